//! One run: a deployment, its callers, and the faults of a seed.

mod inject;

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_dispatch::budget;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_platform_standin::settings;
use eelgrassrock_platform_standin::store::Store;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::caller::{Caller, Served};
use crate::ledger::{Ledger, STABLE, Subject};
use crate::plan::{self, Plan};
use crate::promise::{Promise, Violation};
use crate::proxy::Proxy;
use crate::router::Router;
use crate::schedule::Event;
use crate::upstream::{SLOTS, Server};

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Longest time for which keys may be granted.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Time from the end of the faults until requests are served again.
const RECOVER: Duration = Duration::from_secs(15);
/// Time without faults at the start.
const WARM: Duration = Duration::from_secs(3);
/// Time between two looks at how late this process itself is, and what counts
/// as late: then nothing here can tell how fast a router was.
const TICK: Duration = Duration::from_millis(20);
const MAX_LAG: Duration = Duration::from_millis(150);

/// What came of a run.
#[derive(Clone, Debug, Display)]
#[display(
    "seed {seed}: {} events, {starts} starts, {lags} lags, recovered in {:.1} s, {answers:?}, {} broken",
    events.len(), recovered.as_secs_f64(), violations.len()
)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The faults.
    pub events: Vec<Event>,
    /// Requests by how they ended for their callers.
    pub answers: BTreeMap<String, usize>,
    /// Times that routers were started.
    pub starts: u32,
    /// Times that this process itself was late; bounds on time don't hold then.
    pub lags: u32,
    /// Time from the end of the faults until every router served every kind.
    pub recovered: Duration,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// An upstream that may be replaced by another one.
struct Slot {
    service: Arc<str>,
    is_keyed: bool,
    current: Mutex<(Arc<Server>, Arc<Proxy>)>,
}

/// All parts of a run.
struct Fleet {
    seed: u64,
    ledger: Arc<Ledger>,
    store: Store,
    store_proxies: Vec<Proxy>,
    front_proxies: Vec<Proxy>,
    routers: Vec<Arc<Router>>,
    slots: Vec<Slot>,
    lives: AtomicU64,
    /// Statements that upstreams have made of themselves.
    statements: AtomicU64,
    version: AtomicU64,
    lags: AtomicU32,
}

/// Plays the faults of a seed and checks the promises.
///
/// # Errors
///
/// Returns the error if files can't be written or ports not opened.
pub async fn play(plan: &Plan, seed: u64, events: Vec<Event>) -> io::Result<Report> {
    let fleet = Arc::new(Fleet::start(plan, seed).await?);
    let ledger = &fleet.ledger;
    let mut tasks = JoinSet::new();
    for router in &fleet.routers {
        tasks.spawn(Arc::clone(router).supervise(Arc::clone(ledger)));
    }
    tasks.spawn(Arc::clone(&fleet).watch_lag());
    let served = Arc::new(Served::new(plan.routers));
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..plan.routers * plan.callers {
        let router = number % plan.routers;
        let caller = Caller {
            router,
            address: fleet.front_proxies[router].address(),
            ledger: Arc::clone(ledger),
            random: Caller::random(seed, number),
            served: Arc::clone(&served),
        };
        callers.spawn(caller.run(stopped.clone()));
    }
    for router in 0..plan.routers {
        ledger.disturb(Subject::Router(router), WARM);
    }
    sleep(WARM).await;
    let started = Instant::now();
    let mut faults = JoinSet::new();
    for event in events.clone() {
        let fleet = Arc::clone(&fleet);
        faults.spawn(async move {
            sleep_until(started + event.at).await;
            fleet.inject(event).await;
        });
    }
    while let Some(done) = faults.join_next().await {
        if let Err(error) = done {
            ledger.violate(Promise::StaysUp, format!("the soak itself failed: {error}"));
        }
    }
    let recovered = fleet.until_recovered(&served).await;
    let _ = stop.send(true);
    callers.join_all().await;
    fleet.finish().await;
    Ok(Report {
        seed,
        events,
        answers: ledger.counts(),
        starts: fleet
            .routers
            .iter()
            .map(|router| router.starts.load(Ordering::Relaxed))
            .sum(),
        lags: fleet.lags.load(Ordering::Relaxed),
        recovered,
        violations: ledger.violations(),
    })
}

/// Returns the network of a run, so that runs don't share addresses.
fn network() -> (u8, u8) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let run = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    ((64 + process % 128) as u8, (run % 250) as u8)
}

impl Fleet {
    async fn start(plan: &Plan, seed: u64) -> io::Result<Self> {
        let ledger = Arc::new(Ledger::new());
        let store = Store::start(seed).await?;
        let (high, low) = network();
        let mut fleet = Self {
            seed,
            ledger,
            store,
            store_proxies: Vec::new(),
            front_proxies: Vec::new(),
            routers: Vec::new(),
            slots: Vec::new(),
            lives: AtomicU64::new(0),
            statements: AtomicU64::new(0),
            version: AtomicU64::new(0),
            lags: AtomicU32::new(0),
        };
        fleet.configure();
        for slot in 0..plan.upstreams {
            let (service, is_keyed) = plan::service_of(slot);
            let service = service.into();
            let current = Mutex::new(fleet.begin(&service, is_keyed, None).await?);
            fleet.slots.push(Slot {
                service,
                is_keyed,
                current,
            });
        }
        for number in 0..plan.routers {
            let to_store = Proxy::start(fleet.store.address()).await?;
            let settings = settings::Router {
                name: format!("router-{number}"),
                address: IpAddr::V4(Ipv4Addr::new(127, high, low, 1 + number as u8)),
                data_centre: data_centre(number),
                store: to_store.address(),
                grace: GRACE,
                max_hold: MAX_HOLD,
                repeats: budget::Limits {
                    ratio: 0.2,
                    extra: 56.0,
                    window: Duration::from_secs(10),
                },
            };
            let front = Proxy::start(settings.front()).await?;
            let router = Router::new(number, settings, &plan.program, &plan.logs)?;
            fleet.routers.push(Arc::new(router));
            fleet.store_proxies.push(to_store);
            fleet.front_proxies.push(front);
        }
        Ok(fleet)
    }

    /// Starts a life of an upstream and registers it, under a new name unless
    /// there is one.
    async fn begin(
        &self,
        service: &Arc<str>,
        is_keyed: bool,
        name: Option<String>,
    ) -> io::Result<Current> {
        let life = self.lives.fetch_add(1, Ordering::Relaxed) as usize;
        let id = name.unwrap_or_else(|| format!("upstream-{life}"));
        let server = Server::start(life, id, service, is_keyed, self.seed, &self.ledger).await?;
        let proxy = Proxy::start(server.address).await?;
        self.state(&server, &proxy, false);
        Ok((server, Arc::new(proxy)))
    }

    /// Lets an upstream write what it says of itself.
    fn state(&self, server: &Server, proxy: &Proxy, leaving: bool) {
        let sequence = self.statements.fetch_add(1, Ordering::Relaxed) + 1;
        self.store
            .register(&entry(server, proxy, sequence, leaving));
    }

    fn slot(&self, slot: usize) -> MutexGuard<'_, Current> {
        let current = self.slots[slot].current.lock();
        current.unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the next life of an upstream, unless another fault has done so.
    async fn replace(&self, slot: usize, ended: &Server, name: Option<String>) {
        if self.slot(slot).0.life != ended.life {
            return;
        }
        let (service, is_keyed) = (&self.slots[slot].service, self.slots[slot].is_keyed);
        match self.begin(service, is_keyed, name).await {
            Ok(current) => *self.slot(slot) = current,
            Err(error) => panic!("can't start an upstream: {error}"),
        }
    }

    fn configure(&self) {
        self.version.fetch_add(1, Ordering::Relaxed);
        self.write_configuration();
    }

    fn write_configuration(&self) {
        let version = self.version.load(Ordering::Relaxed);
        let (directory, services) = plan::directory(version);
        self.store.configure(&directory);
        for (prefix, service) in services {
            self.ledger.route(prefix, service);
        }
    }

    async fn watch_lag(self: Arc<Self>) {
        loop {
            let due = Instant::now() + TICK;
            sleep_until(due).await;
            if due.elapsed() > MAX_LAG {
                self.lags.fetch_add(1, Ordering::Relaxed);
                for router in 0..self.routers.len() {
                    self.ledger.disturb(Subject::Router(router), Duration::ZERO);
                }
                self.ledger.disturb(Subject::Store, Duration::ZERO);
            }
        }
    }

    /// Waits until every router serves every kind of request.
    async fn until_recovered(&self, served: &Served) -> Duration {
        let ended = Instant::now();
        served.clear();
        while ended.elapsed() < RECOVER {
            sleep(TICK).await;
            // What was held back may come at once; it must go on.
            if served.missing().is_empty() {
                let recovered = ended.elapsed();
                sleep(STABLE).await;
                return recovered;
            }
        }
        let missing = served.missing();
        let what = format!("not served after {RECOVER:?}: {missing:?}");
        self.ledger.violate(Promise::Recovery, what);
        ended.elapsed()
    }

    async fn finish(&self) {
        let mut ends = JoinSet::new();
        for router in &self.routers {
            let router = Arc::clone(router);
            ends.spawn(async move { (router.number, router.finish().await) });
        }
        for (number, is_in_time) in ends.join_all().await {
            if !is_in_time {
                let what = format!("router {number} runs after its grace");
                self.ledger.violate(Promise::GracefulStop, what);
            }
        }
        self.ledger.close();
    }
}

/// A life of an upstream, and where routers reach it.
type Current = (Arc<Server>, Arc<Proxy>);

fn data_centre(number: usize) -> String {
    format!("dc-{}", ["a", "b"][number % 2])
}

fn entry(server: &Server, proxy: &Proxy, sequence: u64, leaving: bool) -> Upstream {
    Upstream {
        id: server.id.as_str().into(),
        incarnation: server.life as u64 + 1,
        sequence,
        service: Arc::clone(&server.service),
        address: proxy.address(),
        data_centre: data_centre(server.life).into(),
        slots: SLOTS as u32,
        leaving,
        warm_up: Duration::ZERO,
    }
}
