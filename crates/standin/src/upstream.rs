//! Stand-in for an upstream: a server that holds keys by fenced grants.

mod fault;
mod grant;
mod history;
mod job;
mod runs;
mod work;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use indexmap::IndexMap;
use rand::RngExt;
use serde_json::json;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::Addresses;
use crate::answer::Answer;
use crate::fault::{Admin, Desk};
use crate::serve::{Handler, Port};
use crate::tamper::Line;
use grant::{Grants, Order, Refusal};
use runs::Ledger;
use work::Once;

pub use fault::{Damage, Faults, Health, Shed};
pub use grant::{Grant, State};
pub use history::Tenure;
pub use runs::Runs;

const MAX_ORDER_BYTES: usize = 64 << 20;
const MAX_CLOCK_OFFSET_MS: u64 = 1 << 40;

/// What an upstream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name, which its answers carry.
    pub name: String,
    /// Requests that it works on at the same time.
    pub slots: usize,
    /// Whether it refuses orders of an earlier term.
    pub checks_orders: bool,
    /// Whether it runs a request with an `Idempotency-Key` at most once by
    /// itself, and answers repeated ones from memory.
    pub checks_idempotency: bool,
}

/// Upstream in the process of a test.
///
/// ```
/// use eelgrassrock_standin::{Addresses, upstream::{Config, Faults, Server}};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let config = Config {
///     name: "lookup-1".into(),
///     slots: 2,
///     checks_orders: true,
///     checks_idempotency: false,
/// };
/// let server = Server::start(config, Addresses::free()).await?;
/// server.set_faults(Faults { leaving: true, ..Faults::default() });
/// assert!(server.state().shards.is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Server {
    upstream: Arc<Upstream>,
    port: Port,
    admin: Port,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    config: Config,
    started: Instant,
    grants: Mutex<Grants>,
    ledger: Ledger,
    slots: Arc<Semaphore>,
    faults: watch::Sender<Faults>,
    frozen_until: watch::Sender<Instant>,
    answers: Mutex<IndexMap<String, Arc<Once>>>,
    reading: Mutex<Option<Reading>>,
    /// The latest answer and the identifier of its request.
    latest: Mutex<(Bytes, String)>,
}

/// Load at an earlier moment.
#[derive(Clone, Copy, Debug)]
struct Reading {
    taken: Instant,
    load: f64,
}

impl Server {
    /// Starts to listen, without any grant.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn start(config: Config, addresses: Addresses) -> io::Result<Self> {
        let upstream = Arc::new(Upstream::new(config));
        let port = Port::open(addresses.listen, upstream.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(Desk(upstream.clone()))).await?;
        Ok(Self {
            upstream,
            port,
            admin,
        })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the address that takes faults.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.upstream.set_faults(faults);
    }

    /// Returns what the upstream believes that it owns.
    pub fn state(&self) -> State {
        self.upstream.grants().state()
    }

    /// Returns when it believed that it owned which shard.
    pub fn tenures(&self) -> Vec<Tenure> {
        self.upstream.grants().history.tenures()
    }

    /// Returns how often it ran each request.
    pub fn runs(&self) -> Runs {
        self.upstream.ledger.get().clone()
    }
}

impl Admin for Upstream {
    type Faults = Faults;

    fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    fn set_faults(&self, faults: Faults) {
        if faults.freeze_ms > 0 {
            let freeze = Duration::from_millis(faults.freeze_ms);
            self.frozen_until.send_replace(Instant::now() + freeze);
        }
        self.faults.send_replace(faults);
    }

    fn report(&self, path: &str) -> Answer {
        match path {
            "/grants/v1/runs" => Answer::json(StatusCode::OK, &*self.ledger.get()),
            "/grants/v1/state" => Answer::json(StatusCode::OK, &self.grants().state()),
            "/grants/v1/tenures" => {
                let tenures = self.grants().history.tenures();
                Answer::json(StatusCode::OK, &json!({ "tenures": tenures }))
            }
            _ => Answer::status(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for Upstream {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, line: Line) -> Answer {
        self.thaw().await;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/grants/v1/ticket") => self.ticket().await,
            (&Method::POST, "/grants/v1/orders") => self.order(request.into_body()).await,
            (&Method::GET, "/grants/v1/state") => {
                Answer::json(StatusCode::OK, &self.grants().state())
            }
            (&Method::GET, "/health") => self.health(),
            _ => self.work(request, line).await,
        }
    }
}

impl Upstream {
    fn new(config: Config) -> Self {
        let mut random = rand::rng();
        let incarnation = hex::encode(random.random::<[u8; 8]>());
        let clock_offset_ms = random.random_range(0..MAX_CLOCK_OFFSET_MS);
        let grants = Grants::new(incarnation, config.checks_orders, clock_offset_ms);
        let now = Instant::now();
        Self {
            started: now,
            grants: Mutex::new(grants),
            ledger: Ledger::default(),
            slots: Arc::new(Semaphore::new(config.slots)),
            faults: watch::Sender::default(),
            frozen_until: watch::Sender::new(now),
            answers: Mutex::default(),
            reading: Mutex::default(),
            latest: Mutex::default(),
            config,
        }
    }

    fn grants(&self) -> MutexGuard<'_, Grants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the upstream isn't frozen.
    async fn thaw(&self) {
        loop {
            let until = *self.frozen_until.borrow();
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    fn is_leaving(&self) -> bool {
        let faults = self.faults.borrow();
        faults.leaving || faults.draining
    }

    async fn order_delay(&self) {
        let delay = Duration::from_millis(self.faults.borrow().order_ms);
        tokio::time::sleep(delay).await;
        self.thaw().await;
    }

    async fn ticket(&self) -> Answer {
        self.order_delay().await;
        let grants = self.grants();
        let ticket = json!({
            "incarnation": grants.incarnation,
            "clock_ms": grants.clock_ms(),
            "leaving": self.is_leaving(),
            "term": grants.term(),
        });
        Answer::json(StatusCode::OK, &ticket)
    }

    async fn order(&self, body: Incoming) -> Answer {
        let Ok(body) = Limited::new(body, MAX_ORDER_BYTES).collect().await else {
            return Answer::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let order: Order = match serde_json::from_slice(&body.to_bytes()) {
            Ok(order) => order,
            Err(error) => {
                let problem = json!({ "error": error.to_string() });
                return Answer::json(StatusCode::BAD_REQUEST, &problem);
            }
        };
        self.order_delay().await;
        let mut grants = self.grants();
        let sequence = order.sequence;
        match grants.accept(order) {
            Ok(()) => self.accepted(&grants, sequence),
            Err(reason) => self.refused(&grants, reason),
        }
    }

    fn accepted(&self, grants: &Grants, sequence: u64) -> Answer {
        let acceptance = json!({
            "incarnation": grants.incarnation,
            "clock_ms": grants.clock_ms(),
            "leaving": self.is_leaving(),
            "sequence": sequence,
        });
        Answer::json(StatusCode::OK, &acceptance)
    }

    fn refused(&self, grants: &Grants, reason: Refusal) -> Answer {
        let refusal = json!({
            "reason": reason,
            "incarnation": grants.incarnation,
            "clock_ms": grants.clock_ms(),
            "leaving": self.is_leaving(),
            "term": grants.term(),
        });
        Answer::json(StatusCode::CONFLICT, &refusal)
    }

    fn health(&self) -> Answer {
        let load = self.lagging_load();
        let (status, text, load) = match self.faults.borrow().health {
            Health::Truth if self.is_leaving() => (StatusCode::OK, "leaving", load),
            Health::Truth => (StatusCode::OK, "ok", load),
            Health::Healthy => (StatusCode::OK, "ok", 0.0),
            Health::Failing => (StatusCode::SERVICE_UNAVAILABLE, "failing", 1.0),
        };
        Answer::json(status, &json!({ "status": text, "load": load }))
    }

    /// Returns the share of busy slots, as old as the faults allow.
    fn lagging_load(&self) -> f64 {
        let lag = Duration::from_millis(self.faults.borrow().health_lag_ms);
        let now = Instant::now();
        let mut reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        match *reading {
            Some(earlier) if now - earlier.taken < lag => earlier.load,
            _ => {
                let load = self.load();
                *reading = Some(Reading { taken: now, load });
                load
            }
        }
    }

    fn load(&self) -> f64 {
        let slots = self.config.slots;
        let busy = slots - self.slots.available_permits();
        busy as f64 / slots as f64
    }
}
