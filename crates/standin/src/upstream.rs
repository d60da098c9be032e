//! Stand-in for an upstream: a server that owns shards through fenced grants.

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
use crate::fault::{Admin, AdminHandler};
use crate::serve::{Handler, Port};
use crate::tamper::Tamper;
use grant::{Grants, Order, Refusal};
use runs::Counters;
use work::IdempotentRun;

pub use fault::{Damage, Faults, Health, Shed};
pub use grant::{Grant, State};
pub use history::Tenure;
pub use runs::Runs;

const MAX_ORDER_BYTES: usize = 64 << 20;
const MAX_CLOCK_OFFSET_MS: u64 = 1 << 40;

/// Configuration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name that the upstream puts into its answers.
    pub name: String,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Whether the upstream refuses orders older than the last one, by term and sequence.
    pub checks_orders: bool,
    /// Whether the upstream itself runs a request with an `Idempotency-Key` at
    /// most once, and answers repeated requests from memory.
    pub checks_idempotency: bool,
}

/// Upstream that runs in the process of a test.
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
    counters: Counters,
    slots: Arc<Semaphore>,
    faults: watch::Sender<Faults>,
    frozen_until: watch::Sender<Instant>,
    answers: Mutex<IndexMap<String, Arc<IdempotentRun>>>,
    load_sample: Mutex<Option<LoadSample>>,
    /// Contents of the last answer, and the identifier of its request.
    last_answer: Mutex<(Bytes, String)>,
}

/// Load at an earlier instant.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    taken: Instant,
    load: f64,
}

impl Server {
    /// Starts the server without any grant.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(config: Config, addresses: Addresses) -> io::Result<Self> {
        let upstream = Arc::new(Upstream::new(config));
        let port = Port::open(addresses.listen, upstream.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(AdminHandler(upstream.clone()))).await?;
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

    /// Returns the address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.upstream.set_faults(faults);
    }

    /// Returns the upstream's own view of its grants.
    pub fn state(&self) -> State {
        self.upstream.grants().state()
    }

    /// Returns the periods in which the upstream considered itself the owner of a shard.
    pub fn tenures(&self) -> Vec<Tenure> {
        self.upstream.grants().history.tenures()
    }

    /// Returns the number of runs so far, in total and per request.
    pub fn runs(&self) -> Runs {
        self.upstream.counters.get().clone()
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
            "/grants/v1/runs" => Answer::json(StatusCode::OK, &*self.counters.get()),
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
    async fn handle(self: Arc<Self>, request: Request<Incoming>, tamper: Tamper) -> Answer {
        self.wait_until_unfrozen().await;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/grants/v1/ticket") => self.ticket().await,
            (&Method::POST, "/grants/v1/orders") => self.order(request.into_body()).await,
            (&Method::GET, "/grants/v1/state") => {
                Answer::json(StatusCode::OK, &self.grants().state())
            }
            (&Method::GET, "/health") => self.health(),
            _ => self.work(request, tamper).await,
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
            counters: Counters::default(),
            slots: Arc::new(Semaphore::new(config.slots)),
            faults: watch::Sender::default(),
            frozen_until: watch::Sender::new(now),
            answers: Mutex::default(),
            load_sample: Mutex::default(),
            last_answer: Mutex::default(),
            config,
        }
    }

    fn grants(&self) -> MutexGuard<'_, Grants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the upstream is no longer frozen.
    async fn wait_until_unfrozen(&self) {
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
        self.wait_until_unfrozen().await;
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
        let load = self.sampled_load();
        let (status, text, load) = match self.faults.borrow().health {
            Health::Truth if self.is_leaving() => (StatusCode::OK, "leaving", load),
            Health::Truth => (StatusCode::OK, "ok", load),
            Health::Healthy => (StatusCode::OK, "ok", 0.0),
            Health::Failing => (StatusCode::SERVICE_UNAVAILABLE, "failing", 1.0),
        };
        Answer::json(status, &json!({ "status": text, "load": load }))
    }

    /// Returns the share of busy slots, which may be up to `health_lag_ms` old.
    fn sampled_load(&self) -> f64 {
        let lag = Duration::from_millis(self.faults.borrow().health_lag_ms);
        let now = Instant::now();
        let mut load_sample = self
            .load_sample
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match *load_sample {
            Some(sample) if now - sample.taken < lag => sample.load,
            _ => {
                let load = self.load();
                *load_sample = Some(LoadSample { taken: now, load });
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
