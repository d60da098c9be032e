//! Execution of one run: a deployment, its callers, and the faults of a seed.

mod deadly;
mod inject;
mod network;
pub mod rest;
mod restart;

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
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

use self::network::Network;
use crate::caller::{Caller, Served};
use crate::checker::{Checker, EVACUATION_LIMIT, STABLE, Subject};
use crate::guarantee::{Guarantee, Violation};
use crate::mesh::{self, Mesh};
use crate::partition::Partition;
use crate::plan::{self, DATA_CENTRES, Plan};
use crate::proxy::{Proxy, Rate};
use crate::router::Router;
use crate::schedule::{
    Event, Fault, has_cut_offs, has_evacuations, has_large_configurations, has_peer_links,
};
use crate::upstream::{SLOTS, Server};

/// Time from SIGTERM to SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Maximum duration of a grant of keys.
pub(crate) const MAX_HOLD: Duration = Duration::from_secs(10);
/// Maximum time from the end of the faults until all requests are served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time without faults at the start of a run.
const WARM_UP: Duration = Duration::from_secs(3);
/// Rate of a slow link, half of 10 Mbit/s.
const SLOW_LINK_BYTES_PER_S: u32 = 625_000;
/// Interval at which this process measures its own scheduling delay.
const TICK: Duration = Duration::from_millis(20);
/// Scheduling delay of this process above which it can't judge how fast a router was.
const MAX_LAG: Duration = Duration::from_millis(150);

/// Result of a run.
#[derive(Clone, Debug, Display)]
#[display(
    "seed {seed}: {} events, {starts} starts, {lags} lags, recovered in {:.1} s, {answers:?}, {} broken",
    events.len(), recovered.as_secs_f64(), violations.len()
)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that were injected.
    pub events: Vec<Event>,
    /// Number of requests by how they ended for their callers: a status code, `broken`,
    /// `left` or `open`.
    pub answers: BTreeMap<String, usize>,
    /// Number of router starts.
    pub starts: u32,
    /// Number of times that this process itself was late. Time bounds aren't checked
    /// around these times.
    pub lags: u32,
    /// Time from the end of the faults until every router served every kind of request.
    pub recovered: Duration,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

/// Place of one upstream, whose incarnations replace each other.
struct Slot {
    service: Arc<str>,
    is_keyed: bool,
    current: Mutex<(Arc<Server>, Arc<Proxy>)>,
}

/// Everything that is deployed in a run.
struct Cluster {
    seed: u64,
    _network: Network,
    checker: Arc<Checker>,
    store: Store,
    store_proxies: Vec<Proxy>,
    /// Links between routers, if they lead through proxies.
    mesh: Option<Arc<Mesh>>,
    front_proxies: Vec<Proxy>,
    /// Paths from each data centre to the upstreams. Its routers read the registry from each other.
    partitions: [Arc<Partition>; DATA_CENTRES],
    routers: Vec<Arc<Router>>,
    slots: Vec<Slot>,
    /// Number of the next incarnation of an upstream.
    next_incarnation: AtomicU64,
    version: AtomicU64,
    lags: AtomicU32,
}

/// Runs a deployment, injects the faults of a seed, and checks the guarantees.
///
/// # Errors
///
/// Returns an error if a file can't be written or a port can't be opened.
pub async fn execute(plan: &Plan, seed: u64, mut events: Vec<Event>) -> io::Result<Report> {
    if plan.earlier.is_some() {
        // An earlier version may not know evacuations.
        events.retain(|event| !matches!(event.fault, Fault::Evacuate(_)));
    }
    let cluster = Arc::new(Cluster::start(plan, seed).await?);
    let checker = &cluster.checker;
    let mut tasks = JoinSet::new();
    for router in &cluster.routers {
        tasks.spawn(Arc::clone(router).supervise(Arc::clone(checker)));
    }
    tasks.spawn(Arc::clone(&cluster).watch_lag());
    let served = Arc::new(Served::new(plan.routers));
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..plan.routers * plan.callers {
        let router = number % plan.routers;
        let caller = Caller {
            router,
            address: cluster.front_proxies[router].address(),
            checker: Arc::clone(checker),
            random: Caller::random(seed, number),
            served: Arc::clone(&served),
        };
        callers.spawn(caller.run(stopped.clone()));
    }
    for router in 0..plan.routers {
        checker.disturb(Subject::Router(router), WARM_UP);
    }
    sleep(WARM_UP).await;
    let started = Instant::now();
    let mut faults = JoinSet::new();
    for event in events.clone() {
        let cluster = Arc::clone(&cluster);
        faults.spawn(async move {
            sleep_until(started + event.at).await;
            cluster.inject(event).await;
        });
    }
    while let Some(done) = faults.join_next().await {
        if let Err(error) = done {
            checker.report(
                Guarantee::NoCrash,
                format!("the injection of a fault failed: {error}"),
            );
        }
    }
    let recovered = cluster.wait_for_recovery(&served).await;
    let _ = stop.send(true);
    callers.join_all().await;
    cluster.check_rest().await;
    cluster.finish().await;
    Ok(Report {
        seed,
        events,
        answers: checker.counts(),
        starts: cluster
            .routers
            .iter()
            .map(|router| router.starts.load(Ordering::Relaxed))
            .sum(),
        lags: cluster.lags.load(Ordering::Relaxed),
        recovered,
        violations: checker.violations(),
    })
}

impl Cluster {
    async fn start(plan: &Plan, seed: u64) -> io::Result<Self> {
        let checker = Arc::new(Checker::new());
        let store = Store::start(seed).await?;
        let network = Network::reserve()?;
        let (high, low) = (network.high, network.low);
        let mut cluster = Self {
            seed,
            _network: network,
            checker,
            store,
            store_proxies: Vec::new(),
            mesh: None,
            front_proxies: Vec::new(),
            partitions: Default::default(),
            routers: Vec::new(),
            slots: Vec::new(),
            next_incarnation: AtomicU64::new(0),
            version: AtomicU64::new(0),
            lags: AtomicU32::new(0),
        };
        cluster.configure();
        for slot in 0..plan.upstreams {
            let (service, is_keyed) = plan::service_of(slot);
            let service = service.into();
            let current = cluster
                .start_upstream(&service, is_keyed, None, None)
                .await?;
            cluster.register(&current.0, &current.1, false);
            let current = Mutex::new(current);
            cluster.slots.push(Slot {
                service,
                is_keyed,
                current,
            });
        }
        for number in 0..plan.routers {
            let partition = Arc::clone(&cluster.partitions[number % DATA_CENTRES]);
            let store = if has_cut_offs(seed) {
                let path = move |upstream| partition.path(upstream);
                cluster.store.view(path).await?
            } else {
                cluster.store.address()
            };
            let to_store = Proxy::start(store).await?;
            let settings = settings::Router {
                name: format!("router-{number}"),
                address: IpAddr::V4(router_address(high, low, number)),
                data_centre: data_centre(number),
                store: to_store.address(),
                grace: GRACE_PERIOD,
                max_hold: MAX_HOLD,
                evacuation: has_evacuations(seed).then_some(EVACUATION_LIMIT),
                retry_budget: budget::Limits {
                    ratio: 0.2,
                    extra: 56.0,
                    window: Duration::from_secs(10),
                },
            };
            let front = Proxy::start(settings.front()).await?;
            let router = Router::new(number, settings, plan, seed);
            cluster.routers.push(Arc::new(router));
            cluster.store_proxies.push(to_store);
            cluster.front_proxies.push(front);
        }
        if has_peer_links(seed, plan.routers) {
            let peers = cluster.routers.iter().map(|router| router.settings.peer());
            let peers: Vec<SocketAddr> = peers.collect();
            cluster.mesh = Some(Mesh::start(&peers).await?);
            let addresses = (0..plan.routers).map(|number| router_address(high, low, number));
            let aliases = addresses.map(|address| (address, mesh::alias(address)));
            cluster.store.set_aliases(aliases.collect());
        }
        if has_large_configurations(seed) {
            cluster.slow_down(seed as usize / 4 % plan.routers);
        }
        Ok(cluster)
    }

    /// Limits the rate of a router's links to callers, the store and other routers.
    fn slow_down(&self, router: usize) {
        let rate = Arc::new(Rate::new(SLOW_LINK_BYTES_PER_S));
        let mesh = self.mesh.as_ref();
        let peers = mesh.map(|mesh| mesh.links(router)).unwrap_or_default();
        let proxies = [&self.front_proxies[router], &self.store_proxies[router]];
        let controls = proxies.map(|proxy| Arc::clone(&proxy.control));
        for control in peers.iter().chain(&controls) {
            control.limit(Some(Arc::clone(&rate)));
        }
    }

    /// Starts an incarnation of an upstream, under a new name unless `name` is given, and at
    /// a new address unless `proxy` is given.
    async fn start_upstream(
        &self,
        service: &Arc<str>,
        is_keyed: bool,
        name: Option<String>,
        proxy: Option<Arc<Proxy>>,
    ) -> io::Result<Current> {
        let life = self.next_incarnation.fetch_add(1, Ordering::Relaxed) as usize;
        self.checker.place(life, self.place(life));
        let id = name.unwrap_or_else(|| format!("upstream-{life}"));
        let server = Server::start(life, id, service, is_keyed, self.seed, &self.checker).await?;
        let proxy = match proxy {
            Some(proxy) => {
                proxy.retarget(server.address);
                proxy
            }
            None => Arc::new(Proxy::start(server.address).await?),
        };
        Ok((server, proxy))
    }

    /// Writes an upstream's entry to the registry, with the next sequence number of its process.
    fn register(&self, server: &Server, proxy: &Proxy, leaving: bool) {
        let data_centre = data_centre(self.place(server.incarnation));
        let entry = entry(server, proxy, data_centre, leaving);
        self.store.register(&entry);
    }

    /// Returns the number of the data centre in which an incarnation of an upstream runs.
    fn place(&self, incarnation: usize) -> usize {
        if has_evacuations(self.seed) {
            // Each data centre has upstreams of all services.
            return incarnation / 2 % DATA_CENTRES;
        }
        incarnation % DATA_CENTRES
    }

    /// Ends an upstream, whose address refuses connections from now on.
    fn end(&self, server: &Server, proxy: &Proxy) {
        server.end();
        proxy.refuse(server.address);
    }

    /// Removes an upstream's entry from the registry, unless a running upstream has its name.
    fn remove_entry(&self, id: &str) {
        let is_used = |(server, _): &Current| server.id == id && server.is_running();
        if !(0..self.slots.len()).any(|slot| is_used(&self.slot(slot))) {
            self.store.unregister(id);
        }
    }

    fn slot(&self, slot: usize) -> MutexGuard<'_, Current> {
        let current = self.slots[slot].current.lock();
        current.unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the next incarnation of an upstream, unless another fault has done so already.
    async fn succeed(
        &self,
        slot: usize,
        ended: &Server,
        name: Option<String>,
        proxy: Option<Arc<Proxy>>,
    ) -> Option<Current> {
        if self.slot(slot).0.incarnation != ended.incarnation {
            return None;
        }
        let (service, is_keyed) = (&self.slots[slot].service, self.slots[slot].is_keyed);
        match self.start_upstream(service, is_keyed, name, proxy).await {
            Ok(current) => {
                self.slot(slot).clone_from(&current);
                Some(current)
            }
            Err(error) => panic!("failed to start an upstream: {error}"),
        }
    }

    /// Replaces an upstream by another one, unless another fault has done so already.
    async fn replace(&self, slot: usize, ended: &Server) {
        if let Some((server, proxy)) = self.succeed(slot, ended, None, None).await {
            self.register(&server, &proxy, false);
        }
    }

    fn configure(&self) {
        self.version.fetch_add(1, Ordering::Relaxed);
        self.write_configuration();
    }

    fn write_configuration(&self) {
        let version = self.version.load(Ordering::Relaxed);
        let (directory, services) = plan::directory(version, has_large_configurations(self.seed));
        self.store.configure(&directory);
        for (prefix, service) in services {
            self.checker.route(prefix, service);
        }
    }

    /// Writes the row that evacuates a data centre.
    fn evacuate(&self, place: usize) {
        self.store.evacuate(&data_centre(place), true);
        self.checker.evacuate(place);
    }

    /// Removes that row, and returns whether there was an evacuation.
    fn take_back(&self, place: usize) -> bool {
        let was_evacuated = self.checker.take_back(place);
        self.store.evacuate(&data_centre(place), false);
        was_evacuated
    }

    async fn watch_lag(self: Arc<Self>) {
        loop {
            let due = Instant::now() + TICK;
            sleep_until(due).await;
            if due.elapsed() > MAX_LAG {
                self.lags.fetch_add(1, Ordering::Relaxed);
                for router in 0..self.routers.len() {
                    self.checker
                        .disturb(Subject::Router(router), Duration::ZERO);
                }
                self.checker.disturb(Subject::Store, Duration::ZERO);
            }
        }
    }

    /// Waits until every router serves every kind of request. Returns how long it took.
    async fn wait_for_recovery(&self, served: &Served) -> Duration {
        let ended = Instant::now();
        served.clear();
        while ended.elapsed() < RECOVERY_LIMIT {
            sleep(TICK).await;
            // The first answers may be to requests that a fault had delayed, so
            // requests must still be served for some time.
            if served.missing().is_empty() {
                let recovered = ended.elapsed();
                sleep(STABLE).await;
                return recovered;
            }
        }
        let missing = served.missing();
        let details = format!("routers and kinds not served after {RECOVERY_LIMIT:?}: {missing:?}");
        self.checker.report(Guarantee::Recovery, details);
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
                let details = format!("router {number} still runs after its grace period");
                self.checker.report(Guarantee::GracefulStop, details);
            }
        }
        self.checker.close(self.routers.len());
    }
}

/// Incarnation of an upstream, and the proxy through which routers reach it.
type Current = (Arc<Server>, Arc<Proxy>);

fn router_address(high: u8, low: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, high, low, 1 + number as u8)
}

fn data_centre(number: usize) -> String {
    format!("dc-{}", ["a", "b"][number % DATA_CENTRES])
}

fn entry(server: &Server, proxy: &Proxy, data_centre: String, leaving: bool) -> Upstream {
    Upstream {
        id: server.id.as_str().into(),
        incarnation: server.incarnation as u64 + 1,
        sequence: server.next_sequence(),
        service: Arc::clone(&server.service),
        address: proxy.address(),
        data_centre: data_centre.into(),
        slots: SLOTS as u32,
        leaving,
        warm_up: Duration::ZERO,
    }
}
