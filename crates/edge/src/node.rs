//! State shared by all tasks of a process, and its updates.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::Split;
use eelgrassrock_dispatch::detour::Detours;
use eelgrassrock_dispatch::directory::{Directory, Route};
use eelgrassrock_dispatch::evacuation::Evacuations;
use eelgrassrock_dispatch::observation::Observations;
use eelgrassrock_dispatch::place::{self, Place};
use eelgrassrock_dispatch::roster::Roster;
use eelgrassrock_dispatch::service::{Service, Span, Step};
use eelgrassrock_dispatch::suspect::Suspects;
use eelgrassrock_dispatch::uplink::{Size, Uplink};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::map::Map;
use eelgrassrock_ranges::versioned::{Delta, VersionedMap};
use eelgrassrock_telemetry::log::Logger;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use crate::clock;
use crate::crash::Breaks;
use crate::leadership::Leaderships;
use crate::link::Links;
use crate::log::Log;
use crate::lost::Watch;
use crate::metrics::Metrics;
use crate::notice::Pauses;
use crate::payload::Memory;
use crate::peer::Peers;
use crate::platform::{Platform, Table};
use crate::pressure;
use crate::registration::Registration;
use crate::registry::Registry;
use crate::relay::Relay;
use crate::request::Decision;
use crate::settings::Settings;
use crate::warm_up::Permits;

/// Share of an upstream's connection limit that all routers together may keep idle. The rest is for
/// requests under way.
const IDLE_CONNECTIONS_SHARE: f64 = 0.7;
/// Time by which the process ends before the grace period does.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which a queue is polled when no event triggers it.
const QUEUE_POLL: Duration = Duration::from_millis(20);

/// Overloaded holders with the share of requests for them that they can serve.
pub(crate) type Shares = Vec<(Arc<str>, f32)>;

/// Row of a router in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Router {
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Arc<str>,
    pub(crate) incarnation: u64,
    /// Size of the VM relative to others, in thousandths of a core.
    pub(crate) size: u32,
    /// Whether the process writes its row again if another router removes it.
    #[serde(skip)]
    pub(crate) renews: bool,
}

/// Follows the fields in a row whose process writes it again. Earlier versions ignore it.
const RENEWS: u8 = 1;

impl Router {
    /// Encodes the value of the row.
    pub(crate) fn encode(&self) -> Option<Bytes> {
        let mut value = postcard::to_allocvec(self).ok()?;
        value.extend(self.renews.then_some(RENEWS));
        Some(value.into())
    }

    /// Decodes the value of a row.
    pub(crate) fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        let (router, rest) = postcard::take_from_bytes::<Self>(value)?;
        let renews = rest.first() == Some(&RENEWS);
        Ok(Self { renews, ..router })
    }
}

#[derive(Serialize)]
struct HealthLine<'a> {
    service: &'a str,
    upstream: &'a str,
    /// Consecutive failures.
    failures: u32,
    pause_ms: u64,
}

#[derive(Serialize)]
struct ReachLine<'a> {
    service: &'a str,
    /// Upstreams to which connections could be opened lately.
    reached: usize,
    /// Upstreams to which they couldn't.
    unreachable: usize,
}

#[derive(Serialize)]
struct InvalidMapLine<'a> {
    service: &'a str,
    version: u64,
    reason: &'a str,
}

/// State that all tasks of a process share.
pub(crate) struct Node<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) links: Links,
    pub(crate) breaks: Breaks,
    /// Routers that handle requests while this one can't reach the upstreams.
    pub(crate) detours: RefCell<Detours>,
    /// Requests under which processes of upstreams have ended.
    pub(crate) suspects: RefCell<Suspects>,
    /// Wakes the task that shares suspects with the other routers.
    pub(crate) suspects_changed: Notify,
    pub(crate) state: RefCell<State>,
    pub(crate) leaderships: Leaderships,
    pub(crate) relay: Relay,
    pub(crate) registration: Registration,
    pub(crate) watch: Watch,
    pub(crate) peers: Peers,
    pub(crate) pauses: Pauses,
    pub(crate) permits: Permits,
    /// What this and other routers have seen of the limits of upstreams.
    pub(crate) observations: RefCell<Observations>,
    /// Data centres whose upstreams get no more requests.
    pub(crate) evacuations: RefCell<Evacuations>,
    pub(crate) memory: Memory,
    pub(crate) uplink: RefCell<Uplink>,
    /// Mean size of the answers to each route.
    pub(crate) sizes: RefCell<HashMap<Arc<str>, Size>>,
    /// Highest known era of the store.
    pub(crate) era: Cell<u64>,
    /// Era of the store in which this process started.
    pub(crate) first_era: Cell<u64>,
    /// When this process noticed that the store was restored from a backup.
    pub(crate) restored_at: Cell<Option<Instant>>,
    /// Load that overloaded holders can serve, by service, as reported by the leaders.
    pub(crate) admitted: RefCell<IndexMap<Arc<str>, Shares>>,
    /// Socket for datagrams between routers, once it is open.
    pub(crate) socket: RefCell<Option<Rc<UdpSocket>>>,
    /// When the stop signal arrived.
    pub(crate) stopped: Cell<Option<Instant>>,
    pub(crate) stop: Notify,
    /// Wakes the task that sends counts of requests in flight to other routers.
    pub(crate) counts_changed: Notify,
    /// Requests that have no answer yet.
    pub(crate) open_requests: Cell<u64>,
    /// Open connections of callers. After the stop signal, a connection ends as soon as the last
    /// byte of its answer has been sent.
    pub(crate) open_connections: Cell<u64>,
    next_ticket: Cell<u64>,
    /// Requests that wait in a queue, by ticket.
    waiters: RefCell<HashMap<u64, Waiter<P>>>,
}

/// Request that waits in a queue.
struct Waiter<P: Platform> {
    key: Option<u16>,
    sender: oneshot::Sender<Decision<P>>,
}

/// Current view of configuration, upstreams, maps and other routers.
pub(crate) struct State {
    pub(crate) directory: Option<Arc<Directory>>,
    pub(crate) registry: Registry,
    pub(crate) services: IndexMap<Arc<str>, Service>,
    pub(crate) maps: IndexMap<Arc<str>, VersionedMap>,
    pub(crate) routers: IndexMap<Arc<str>, Router>,
    /// Routers by which the owners of the limits of cold upstreams are chosen.
    roster: Arc<Roster>,
    /// Addresses of routers whose subsets of upstreams overlap with that of this router.
    pub(crate) neighbours: Vec<SocketAddr>,
    /// Incarnations of routers that have removed their rows, by name.
    pub(crate) stopped_routers: HashMap<Arc<str>, u64>,
    /// Addresses of routers whose rows were removed, and when. A router that stops removes its row
    /// first and keeps running during its grace period.
    pub(crate) departed_routers: HashMap<IpAddr, Instant>,
    splits: HashMap<Arc<str>, Split>,
    polled_queues: HashMap<Arc<str>, ()>,
    /// Whether the last call for each table succeeded.
    pub(crate) contact: HashMap<Table, bool>,
}

impl State {
    /// Removes a router, but remembers its address.
    pub(crate) fn forget_router(&mut self, name: &str) {
        if let Some(router) = self.routers.shift_remove(name) {
            self.departed_routers
                .insert(router.address.ip(), clock::now());
        }
    }

    /// Returns the number of routers, and the position of `own` among them by name. Its own row may
    /// not have been read yet.
    fn count_routers(&self, own: &Arc<str>) -> (usize, usize) {
        let is_listed = self.routers.contains_key(own);
        let rank = self.routers.keys().filter(|name| *name < own).count();
        (self.routers.len() + usize::from(!is_listed), rank)
    }

    /// Returns the present roster.
    fn update_roster(&mut self, now: Instant) -> Arc<Roster> {
        let listed = self.routers.iter();
        let listed = listed.map(|(name, router)| (name, &router.data_centre));
        Arc::make_mut(&mut self.roster).update(listed, now);
        Arc::clone(&self.roster)
    }

    /// Returns the router with this IP address.
    pub(crate) fn router_from(&self, address: IpAddr) -> Option<&Router> {
        let mut routers = self.routers.values();
        routers.find(|router| router.address.ip() == address)
    }

    /// Whether an address belongs to a router, or to one that was removed less than `grace` ago.
    pub(crate) fn recognizes(&self, address: IpAddr, grace: Duration) -> bool {
        let removed_at = self.departed_routers.get(&address);
        self.router_from(address).is_some()
            || removed_at.is_some_and(|since| clock::now() < *since + grace)
    }
}

impl<P: Platform> Node<P> {
    pub(crate) fn new(platform: P, settings: Settings, logger: Logger) -> Self {
        let metrics = Metrics::new();
        let log = Log::new(logger, settings.log, metrics.suppressed_lines());
        let leaderships = Leaderships::default();
        let registry = Registry::new(settings.return_time, settings.drain);
        let peers = Peers::new(settings.peer.ip(), metrics.peer_calls());
        let memory = Memory::of(settings.memory);
        let router = Arc::clone(&settings.router);
        let roster = Arc::new(Roster::new(Arc::clone(&router)));
        let observations = Observations::new(router, settings.incarnation);
        let evacuations = Evacuations::new(settings.evacuation.unwrap_or_default());
        let permits = Permits::new(settings.incarnation);
        let uplink = RefCell::new(Uplink::new(settings.link_mbit_per_s));
        let relay = Relay::new(settings.apply);
        let registration = Registration::new(settings.incarnation);
        Self {
            platform,
            settings,
            log,
            metrics,
            links: Links::default(),
            breaks: Breaks::default(),
            detours: RefCell::default(),
            suspects: RefCell::default(),
            suspects_changed: Notify::new(),
            state: RefCell::new(State {
                directory: None,
                registry,
                services: IndexMap::new(),
                maps: IndexMap::new(),
                routers: IndexMap::new(),
                roster,
                neighbours: Vec::new(),
                stopped_routers: HashMap::new(),
                departed_routers: HashMap::new(),
                splits: HashMap::new(),
                polled_queues: HashMap::new(),
                contact: HashMap::new(),
            }),
            leaderships,
            relay,
            registration,
            watch: Watch::default(),
            peers,
            pauses: Pauses::default(),
            permits,
            observations: RefCell::new(observations),
            evacuations: RefCell::new(evacuations),
            memory,
            uplink,
            sizes: RefCell::default(),
            era: Cell::new(0),
            first_era: Cell::new(0),
            restored_at: Cell::new(None),
            admitted: RefCell::default(),
            socket: RefCell::new(None),
            stopped: Cell::new(None),
            stop: Notify::new(),
            counts_changed: Notify::new(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            next_ticket: Cell::new(1),
            waiters: RefCell::default(),
        }
    }

    pub(crate) fn ticket(&self) -> u64 {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        ticket
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopped.get().is_some()
    }

    /// Returns the latest time at which the process ends, once the stop signal has arrived.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        let stopped = self.stopped.get()?;
        Some(stopped + self.settings.grace.saturating_sub(GRACE_MARGIN))
    }

    /// Whether the router is ready to receive requests of callers.
    pub(crate) fn is_ready(&self) -> bool {
        if self.is_stopping() || self.is_configuration_outdated() {
            return false;
        }
        let state = self.state.borrow();
        state.directory.is_some() && state.registry.len() > 0
    }

    /// Whether the keys of a service are divided among its upstreams.
    pub(crate) fn is_keyed(&self, service: &str) -> bool {
        let state = self.state.borrow();
        let declared = state
            .directory
            .as_ref()
            .and_then(|directory| directory.services.get(service));
        declared.is_some_and(|service| service.keyed.is_some())
    }

    /// Chooses the service that handles the next request of a route.
    pub(crate) fn choose_service(&self, route: &Route) -> Arc<str> {
        if let [part] = &*route.parts {
            return Arc::clone(&part.service);
        }
        let mut state = self.state.borrow_mut();
        let split = state.splits.entry(Arc::clone(&route.name)).or_default();
        Arc::clone(&route.parts[split.choose(&route.parts)].service)
    }

    /// Calls `decide` with a service, logs changes of its upstreams' health, and passes resulting
    /// decisions to the queued requests.
    pub(crate) fn with_service<T>(
        self: &Rc<Self>,
        service: &Arc<str>,
        decide: impl FnOnce(&mut Service, Instant) -> T,
    ) -> Option<T> {
        let now = clock::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let entry = state.services.get_mut(service)?;
        let result = decide(entry, now);
        for change in entry.take_health_changes() {
            let line = HealthLine {
                service,
                upstream: &change.upstream,
                failures: change.failures,
                pause_ms: change.pause.as_millis() as u64,
            };
            let event = if change.failures > 0 {
                "upstream paused"
            } else {
                "upstream trusted again"
            };
            self.log.info(event, &line);
        }
        self.log_cold_changes(service, entry.take_cold_changes());
        if let Some(change) = entry.take_pressure_change() {
            pressure::log_change(&self.log, service, change);
        }
        let steps = entry.poll(now);
        let waits = entry.waiting() > 0 && !state.polled_queues.contains_key(service);
        if waits {
            state.polled_queues.insert(Arc::clone(service), ());
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move { node.poll_queue(service).await });
        }
        // A decision that nobody waits for any more gives its place back, which needs the state.
        drop(guard);
        for (ticket, step) in steps {
            self.deliver(service, ticket, step);
        }
        Some(result)
    }

    /// Passes a decision to a queued request. If its caller has left, the place that the decision
    /// holds is given back.
    fn deliver(self: &Rc<Self>, service: &Arc<str>, ticket: u64, step: Step) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        let key = waiter.as_ref().and_then(|waiter| waiter.key);
        let decision = Decision::new(self, service, key, step);
        if let Some(waiter) = waiter {
            let _ = waiter.sender.send(decision);
        }
    }

    /// Records the result of an attempt to connect to an upstream.
    pub(crate) fn record_connect(self: &Rc<Self>, upstream: &Upstream, is_open: bool) {
        let change = self.with_service(&upstream.service, |service, now| {
            let was_cut_off = service.is_cut_off(now);
            service.record_connect(&upstream.id, is_open, now);
            let is_cut_off = service.is_cut_off(now);
            (was_cut_off != is_cut_off).then(|| (is_cut_off, service.reach(now)))
        });
        let Some(Some((is_cut_off, reach))) = change else {
            return;
        };
        let line = ReachLine {
            service: &upstream.service,
            reached: reach.reached,
            unreachable: reach.unreachable,
        };
        if is_cut_off {
            self.log.warn("upstreams out of reach", &line);
        } else {
            self.log.info("upstreams in reach", &line);
        }
    }

    /// Whether this router reaches few of the upstreams of a service.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        let state = self.state.borrow();
        let service = state.services.get(service);
        service.is_some_and(|service| service.is_cut_off(clock::now()))
    }

    async fn poll_queue(self: Rc<Self>, service: Arc<str>) {
        loop {
            tokio::time::sleep(QUEUE_POLL).await;
            let waiting = self.with_service(&service, |service, _| service.waiting());
            if waiting.unwrap_or(0) == 0 {
                self.state.borrow_mut().polled_queues.remove(&service);
                return;
            }
        }
    }

    /// Returns a receiver for the decision about a queued request.
    pub(crate) fn wait_for(&self, ticket: u64, key: Option<u16>) -> oneshot::Receiver<Decision<P>> {
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { key, sender };
        self.waiters.borrow_mut().insert(ticket, waiter);
        receiver
    }

    pub(crate) fn cancel_wait(&self, ticket: u64) {
        self.waiters.borrow_mut().remove(&ticket);
    }

    /// Updates the services after a change of configuration, registry, maps or routers.
    pub(crate) fn refresh(self: &Rc<Self>) {
        let names = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let Some(directory) = state.directory.clone() else {
                return;
            };
            let now = clock::now();
            let evacuations = self.evacuations.borrow();
            let homes = Homes::new(&state.registry, &evacuations);
            let data_centre = homes.of(&self.settings.router, &self.settings.data_centre);
            let (place, neighbours) = place(state, &directory, &self.settings, &homes);
            state.neighbours = neighbours;
            state
                .services
                .retain(|name, _| directory.services.contains_key(name));
            let (routers, rank) = state.count_routers(&self.settings.router);
            let roster = state.update_roster(now);
            for (name, declared) in &directory.services {
                let service = state.services.entry(Arc::clone(name)).or_insert_with(|| {
                    Service::new(Arc::clone(&data_centre), self.settings.repeats)
                });
                service.set_data_centre(Arc::clone(&data_centre));
                service.set_place(place);
                service.set_drain(self.settings.drain);
                service.set_evacuations(evacuations.all());
                let warm_up = declared.warm_up.zip(self.settings.cold_tolerance);
                service.set_roster(Arc::clone(&roster), now);
                service.set_warm_up(warm_up, now);
                service.set_upstreams(state.registry.of_service(name), now);
                service.set_routers(routers, rank, now);
                service.set_priorities(directory.priorities(name));
                let map = state.maps.get(name).map(VersionedMap::map);
                service.set_spans(declared.keyed.map(|_| map.map(spans).unwrap_or_default()));
            }
            state.services.keys().cloned().collect::<Vec<_>>()
        };
        for name in names {
            self.with_service(&name, |_, _| ());
            if self.is_keyed(&name) {
                self.join_election(&name);
            }
        }
    }

    /// Applies the shares of requests that overloaded holders can serve, as reported by the leader.
    pub(crate) fn set_admitted_shares(self: &Rc<Self>, service: &Arc<str>, shares: Shares) {
        let mut admitted = self.admitted.borrow_mut();
        if admitted.get(service).unwrap_or(&Shares::new()) == &shares {
            return;
        }
        admitted.insert(Arc::clone(service), shares.clone());
        drop(admitted);
        self.with_service(service, |service, _| service.set_shares(shares));
    }

    /// Maximum number of idle connections that this router may keep to one upstream.
    pub(crate) fn idle_limit(&self, service: &str) -> usize {
        let state = self.state.borrow();
        let declared = state
            .directory
            .as_ref()
            .and_then(|directory| directory.services.get(service));
        let all = declared.map_or(0, |service| service.max_connections as usize);
        let routers = state.routers.len().max(1);
        ((all as f64 * IDLE_CONNECTIONS_SHARE) as usize / routers).max(1)
    }

    /// Delay after which a request is hedged at another upstream. `None` means no hedging: on a
    /// busy link a second answer would only delay all others.
    pub(crate) fn hedge_delay(&self, service: &str, upstream: &str) -> Option<Duration> {
        if self.is_link_busy() {
            return None;
        }
        let state = self.state.borrow();
        let service = state.services.get(service)?;
        service.hedge_delay(upstream, clock::now())
    }

    /// Version of the map of a service; none if there is no map.
    pub(crate) fn map_version(&self, service: &str) -> Revision {
        let state = self.state.borrow();
        let versioned = state.maps.get(service);
        versioned.map(VersionedMap::version).unwrap_or_default()
    }

    /// Adopts a map unless the known one is at least as recent.
    pub(crate) fn learn_map(self: &Rc<Self>, service: &Arc<str>, map: Map, version: Revision) {
        if self.map_version(service) >= version {
            return;
        }
        let mut state = self.state.borrow_mut();
        match state.maps.get_mut(service) {
            Some(versioned) => versioned.advance(map, version),
            None => {
                let versioned = VersionedMap::new(map, version);
                state.maps.insert(Arc::clone(service), versioned);
            }
        }
        drop(state);
        self.apply_map(service);
    }

    /// Applies changes of a map that another router sent, unless later ones are known. Returns
    /// whether earlier changes are missing.
    pub(crate) fn learn_changes(self: &Rc<Self>, service: &Arc<str>, delta: Delta) -> bool {
        let mut state = self.state.borrow_mut();
        let version = delta.version();
        let taken = match state.maps.get_mut(service) {
            Some(versioned) => versioned.apply(delta),
            None => delta.into_whole().map(|versioned| {
                state.maps.insert(Arc::clone(service), versioned);
                true
            }),
        };
        drop(state);
        match taken {
            Ok(true) => {
                self.apply_map(service);
                false
            }
            Ok(false) => self.map_version(service) < version,
            Err(fault) => {
                let reason = fault.to_string();
                let line = InvalidMapLine {
                    service,
                    version: version.number,
                    reason: &reason,
                };
                self.log.warn("map refused", &line);
                true
            }
        }
    }

    /// Routes requests by the current map, and notifies followers of it.
    fn apply_map(self: &Rc<Self>, service: &Arc<str>) {
        {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let versioned = state.maps.get(service);
            if let (Some(versioned), Some(service)) = (versioned, state.services.get_mut(service)) {
                service.set_spans(Some(spans(versioned.map())));
            }
        }
        self.with_service(service, |_, _| ());
        self.relay.notify_followers();
    }
}

/// Data centres whose upstreams routers prefer.
struct Homes<'a> {
    evacuations: &'a Evacuations,
    /// Data centres that can take the requests of others, sorted.
    others: Vec<Arc<str>>,
}

impl<'a> Homes<'a> {
    fn new(registry: &Registry, evacuations: &'a Evacuations) -> Self {
        let is_any = evacuations.all().next().is_some();
        let mut others = if is_any {
            registry.data_centres()
        } else {
            Vec::new()
        };
        others.retain(|data_centre| !evacuations.is_evacuated(data_centre));
        others.sort_unstable();
        Self {
            evacuations,
            others,
        }
    }

    /// Returns the home of a router in a data centre.
    fn of(&self, router: &str, data_centre: &Arc<str>) -> Arc<str> {
        if self.evacuations.is_evacuated(data_centre) {
            Arc::clone(place::home(router, data_centre, &self.others))
        } else {
            Arc::clone(data_centre)
        }
    }
}

/// Returns the position of this router among those of its data centre, and the addresses of those
/// whose subsets of upstreams overlap with its own.
fn place(
    state: &State,
    directory: &Directory,
    own: &Settings,
    homes: &Homes<'_>,
) -> (Place, Vec<SocketAddr>) {
    let data_centre = homes.of(&own.router, &own.data_centre);
    let routers = state.routers.iter();
    let mut ring: Vec<(&Arc<str>, SocketAddr)> = routers
        .filter(|(name, router)| homes.of(name, &router.data_centre) == data_centre)
        .map(|(name, router)| (name, router.address))
        .collect();
    if !state.routers.contains_key(&own.router) {
        ring.push((&own.router, own.peer));
    }
    ring.sort_by_cached_key(|(name, _)| place::order(name));
    let index = ring.iter().position(|(name, _)| **name == own.router);
    // Keys decide which upstream serves a service with divided keys, so only other services count.
    let undivided = directory
        .services
        .iter()
        .filter(|(_, declared)| declared.keyed.is_none());
    let counts = undivided.map(|(name, _)| state.registry.count_in(name, &data_centre));
    let least = counts.filter(|count| *count > 0).min();
    let place = Place::new(index.unwrap_or(0), ring.len(), least.unwrap_or(0));
    let others = ring.iter().enumerate();
    let neighbours = others
        .filter(|(index, (name, _))| **name != own.router && place.is_neighbour(*index))
        .map(|(_, (_, address))| *address)
        .collect();
    (place, neighbours)
}

/// Converts a map to spans for routing. A range that earlier holders may still hold gets no holder,
/// so that no request goes to the new one too early.
fn spans(map: &Map) -> Vec<Span> {
    let span = |range: &eelgrassrock_ranges::map::Range| Span {
        from: range.from,
        to: range.to,
        holder: match &range.holder {
            Some(holder) if range.sources.is_empty() => Some(Arc::clone(&holder.upstream)),
            _ => None,
        },
    };
    map.ranges.iter().map(span).collect()
}
