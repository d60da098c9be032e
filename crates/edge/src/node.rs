//! What all tasks of a process share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::Split;
use eelgrassrock_dispatch::directory::{Directory, Route};
use eelgrassrock_dispatch::place::{self, Place};
use eelgrassrock_dispatch::service::{Service, Span, Step};
use eelgrassrock_dispatch::uplink::{Size, Uplink};
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::map::Map;
use eelgrassrock_ranges::versioned::{Delta, VersionedMap};
use eelgrassrock_telemetry::log::Logger;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use crate::book::Book;
use crate::clock;
use crate::duty::Duties;
use crate::link::Links;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::notice::Pauses;
use crate::payload::Memory;
use crate::peer::Peers;
use crate::relay::Relay;
use crate::seam::{Platform, Table};
use crate::settings::Settings;

/// Share of the connections that an upstream accepts which all routers may keep
/// unused; the rest is for requests under way.
const IDLE_CONNECTIONS_SHARE: f64 = 0.7;
/// Time kept free at the end of the grace.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time between two looks at a queue that no event moves.
const QUEUE_POLL: Duration = Duration::from_millis(20);

/// Shares of the requests for overloaded holders that they can serve.
pub(crate) type Shares = Vec<(Arc<str>, f32)>;

/// Another router, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Router {
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Arc<str>,
    pub(crate) incarnation: u64,
    /// Size of the VM relative to others.
    pub(crate) size: u32,
}

#[derive(Serialize)]
struct TrustLine<'a> {
    service: &'a str,
    upstream: &'a str,
    /// Failures in a row.
    failures: u32,
    pause_ms: u64,
}

#[derive(Serialize)]
struct BadMap<'a> {
    service: &'a str,
    version: u64,
    reason: &'a str,
}

/// What all tasks of a process share.
pub(crate) struct Node<P> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) links: Links,
    pub(crate) state: RefCell<State>,
    pub(crate) duties: Duties,
    pub(crate) relay: Relay,
    pub(crate) peers: Peers,
    pub(crate) pauses: Pauses,
    pub(crate) memory: Memory,
    pub(crate) uplink: RefCell<Uplink>,
    /// Mean size of the answers to each route.
    pub(crate) sizes: RefCell<HashMap<Arc<str>, Size>>,
    /// Latest era of the store that is known.
    pub(crate) era: Cell<u64>,
    /// When this process saw the store come back from a copy.
    pub(crate) era_began: Cell<Option<Instant>>,
    /// What the keepers say of overloaded holders.
    pub(crate) admitted: RefCell<IndexMap<Arc<str>, Shares>>,
    /// Socket of the datagrams between routers, once it is open.
    pub(crate) socket: RefCell<Option<Rc<UdpSocket>>>,
    /// When the process was told to stop.
    pub(crate) stopped: Cell<Option<Instant>>,
    pub(crate) stop: Notify,
    /// Wakes the task that tells other routers what is under way.
    pub(crate) counts_changed: Notify,
    /// Requests that have no answer yet.
    pub(crate) open_requests: Cell<u64>,
    /// Connections of callers. After the signal to stop, one ends as soon as the
    /// last byte of its answer has left.
    pub(crate) open_connections: Cell<u64>,
    next_ticket: Cell<u64>,
}

/// What the process believes.
pub(crate) struct State {
    pub(crate) directory: Option<Arc<Directory>>,
    pub(crate) book: Book,
    pub(crate) services: IndexMap<Arc<str>, Service>,
    pub(crate) maps: IndexMap<Arc<str>, VersionedMap>,
    pub(crate) routers: IndexMap<Arc<str>, Router>,
    /// Routers whose subsets of upstreams overlap with that of this one.
    pub(crate) neighbours: Vec<SocketAddr>,
    /// Lives of routers that have removed their rows, by name.
    pub(crate) stopped_routers: HashMap<Arc<str>, u64>,
    /// Addresses of routers whose rows are gone, and since when: a router that
    /// stops removes its row and goes on for the grace.
    pub(crate) departed: HashMap<IpAddr, Instant>,
    splits: HashMap<Arc<str>, Split>,
    waiters: HashMap<u64, oneshot::Sender<Step>>,
    polling: HashMap<Arc<str>, ()>,
    /// Tables that answered to the last call.
    pub(crate) contact: HashMap<Table, bool>,
}

impl State {
    /// Forgets a router, but for its address.
    pub(crate) fn forget_router(&mut self, name: &str) {
        if let Some(router) = self.routers.shift_remove(name) {
            self.departed.insert(router.address.ip(), clock::now());
        }
    }

    /// Returns the router at an address.
    pub(crate) fn router_from(&self, address: IpAddr) -> Option<&Router> {
        let mut routers = self.routers.values();
        routers.find(|router| router.address.ip() == address)
    }

    /// Whether an address is that of a router, or was that of one within `grace`.
    pub(crate) fn knows(&self, address: IpAddr, grace: Duration) -> bool {
        let departed = self.departed.get(&address);
        self.router_from(address).is_some()
            || departed.is_some_and(|since| clock::now() < *since + grace)
    }
}

impl<P: Platform> Node<P> {
    pub(crate) fn new(platform: P, settings: Settings, logger: Logger) -> Self {
        let metrics = Metrics::new();
        let log = Log::new(logger, settings.log, metrics.left_out());
        let duties = Duties::default();
        let book = Book::new(settings.return_time);
        let peers = Peers::new(settings.peer.ip());
        let memory = Memory::of(settings.memory);
        let uplink = RefCell::new(Uplink::new(settings.link_mbit_per_s));
        Self {
            platform,
            settings,
            log,
            metrics,
            links: Links::default(),
            state: RefCell::new(State {
                directory: None,
                book,
                services: IndexMap::new(),
                maps: IndexMap::new(),
                routers: IndexMap::new(),
                neighbours: Vec::new(),
                stopped_routers: HashMap::new(),
                departed: HashMap::new(),
                splits: HashMap::new(),
                waiters: HashMap::new(),
                polling: HashMap::new(),
                contact: HashMap::new(),
            }),
            duties,
            relay: Relay::default(),
            peers,
            pauses: Pauses::default(),
            memory,
            uplink,
            sizes: RefCell::default(),
            era: Cell::new(0),
            era_began: Cell::new(None),
            admitted: RefCell::default(),
            socket: RefCell::new(None),
            stopped: Cell::new(None),
            stop: Notify::new(),
            counts_changed: Notify::new(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            next_ticket: Cell::new(1),
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

    /// When the process ends at the latest, once it was told to stop.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        let stopped = self.stopped.get()?;
        Some(stopped + self.settings.grace.saturating_sub(GRACE_MARGIN))
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.is_stopping() && state.directory.is_some() && state.book.len() > 0
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

    /// Returns the service that takes the next request of a route.
    pub(crate) fn part(&self, route: &Route) -> Arc<str> {
        if let [part] = &*route.parts {
            return Arc::clone(&part.service);
        }
        let mut state = self.state.borrow_mut();
        let split = state.splits.entry(Arc::clone(&route.name)).or_default();
        Arc::clone(&route.parts[split.choose(&route.parts)].service)
    }

    /// Calls `decide` for a service, and passes on what follows for requests
    /// that wait.
    pub(crate) fn with<T>(
        self: &Rc<Self>,
        service: &Arc<str>,
        decide: impl FnOnce(&mut Service, Instant) -> T,
    ) -> Option<T> {
        let now = clock::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let entry = state.services.get_mut(service)?;
        let result = decide(entry, now);
        for note in entry.take_health_changes() {
            let line = TrustLine {
                service,
                upstream: &note.upstream,
                failures: note.failures,
                pause_ms: note.pause.as_millis() as u64,
            };
            let event = if note.failures > 0 {
                "upstream paused"
            } else {
                "upstream trusted again"
            };
            self.log.note(event, &line);
        }
        for (ticket, step) in entry.poll(now) {
            // A caller that left meanwhile has taken itself off the queue.
            if let Some(waiter) = state.waiters.remove(&ticket) {
                let _ = waiter.send(step);
            }
        }
        let waits = entry.waiting() > 0 && !state.polling.contains_key(service);
        if waits {
            state.polling.insert(Arc::clone(service), ());
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move { node.poll_queue(service).await });
        }
        Some(result)
    }

    async fn poll_queue(self: Rc<Self>, service: Arc<str>) {
        loop {
            tokio::time::sleep(QUEUE_POLL).await;
            let waiting = self.with(&service, |service, _| service.waiting());
            if waiting.unwrap_or(0) == 0 {
                self.state.borrow_mut().polling.remove(&service);
                return;
            }
        }
    }

    /// Returns what will say how a queued request goes on.
    pub(crate) fn wait_for(&self, ticket: u64) -> oneshot::Receiver<Step> {
        let (sender, receiver) = oneshot::channel();
        self.state.borrow_mut().waiters.insert(ticket, sender);
        receiver
    }

    pub(crate) fn forget(&self, ticket: u64) {
        self.state.borrow_mut().waiters.remove(&ticket);
    }

    /// Brings the services in line with the configuration, the registry, the
    /// maps and the routers.
    pub(crate) fn refresh(self: &Rc<Self>) {
        let names = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let Some(directory) = state.directory.clone() else {
                return;
            };
            let now = clock::now();
            let (place, neighbours) = place(state, &directory, &self.settings);
            state.neighbours = neighbours;
            state
                .services
                .retain(|name, _| directory.services.contains_key(name));
            for (name, declared) in &directory.services {
                let data_centre = &self.settings.data_centre;
                let service = state.services.entry(Arc::clone(name)).or_insert_with(|| {
                    Service::new(Arc::clone(data_centre), self.settings.repeats)
                });
                service.set_place(place);
                service.set_drain(self.settings.drain);
                service.set_upstreams(state.book.of(name), now);
                service.set_routers(state.routers.len());
                let map = state.maps.get(name).map(VersionedMap::map);
                service.set_spans(declared.keyed.map(|_| map.map(spans).unwrap_or_default()));
            }
            state.services.keys().cloned().collect::<Vec<_>>()
        };
        for name in names {
            self.with(&name, |_, _| ());
            if self.is_keyed(&name) {
                self.tend(&name);
            }
        }
    }

    /// Takes what the keeper says of overloaded holders.
    pub(crate) fn learn_shares(self: &Rc<Self>, service: &Arc<str>, shares: Shares) {
        let mut admitted = self.admitted.borrow_mut();
        if admitted.get(service).unwrap_or(&Shares::new()) == &shares {
            return;
        }
        admitted.insert(Arc::clone(service), shares.clone());
        drop(admitted);
        self.with(service, |service, _| service.set_shares(shares));
    }

    /// Unused connections that this router may keep to one upstream.
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

    /// How long a request may take at an upstream before another is asked, `None` if none
    /// is to be asked: on a busy link a second answer would only make all wait longer.
    pub(crate) fn hedge_delay(&self, service: &str, upstream: &str) -> Option<Duration> {
        if self.is_link_busy() {
            return None;
        }
        let state = self.state.borrow();
        let service = state.services.get(service)?;
        service.hedge_delay(upstream, clock::now())
    }

    /// Version of the map of a service, none if there is no map.
    pub(crate) fn map_version(&self, service: &str) -> Revision {
        let state = self.state.borrow();
        let edition = state.maps.get(service);
        edition.map(VersionedMap::version).unwrap_or_default()
    }

    /// Takes a map unless a later one is known.
    pub(crate) fn learn_map(self: &Rc<Self>, service: &Arc<str>, map: Map, version: Revision) {
        if self.map_version(service) >= version {
            return;
        }
        let mut state = self.state.borrow_mut();
        match state.maps.get_mut(service) {
            Some(edition) => edition.advance(map, version),
            None => {
                let edition = VersionedMap::new(map, version);
                state.maps.insert(Arc::clone(service), edition);
            }
        }
        drop(state);
        self.use_map(service);
    }

    /// Takes changes of a map from another router, unless later ones are known.
    /// Returns whether earlier ones are missing.
    pub(crate) fn learn_changes(self: &Rc<Self>, service: &Arc<str>, delta: Delta) -> bool {
        let mut state = self.state.borrow_mut();
        let version = delta.version();
        let taken = match state.maps.get_mut(service) {
            Some(edition) => edition.apply(delta),
            None => delta.into_whole().map(|edition| {
                state.maps.insert(Arc::clone(service), edition);
                true
            }),
        };
        drop(state);
        match taken {
            Ok(true) => {
                self.use_map(service);
                false
            }
            Ok(false) => self.map_version(service) < version,
            Err(fault) => {
                let reason = fault.to_string();
                let line = BadMap {
                    service,
                    version: version.number,
                    reason: &reason,
                };
                self.log.warn("map refused", &line);
                true
            }
        }
    }

    /// Sends requests by the map that is known now.
    fn use_map(self: &Rc<Self>, service: &Arc<str>) {
        {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let edition = state.maps.get(service);
            if let (Some(edition), Some(service)) = (edition, state.services.get_mut(service)) {
                service.set_spans(Some(spans(edition.map())));
            }
        }
        self.with(service, |_, _| ());
        self.relay.tell();
    }
}

/// Returns where this router stands among those of its data centre, and the
/// addresses of those whose subsets overlap with its own.
fn place(state: &State, directory: &Directory, own: &Settings) -> (Place, Vec<SocketAddr>) {
    let routers = state.routers.iter();
    let mut ring: Vec<(&Arc<str>, SocketAddr)> = routers
        .filter(|(_, router)| router.data_centre == own.data_centre)
        .map(|(name, router)| (name, router.address))
        .collect();
    if !state.routers.contains_key(&own.router) {
        ring.push((&own.router, own.peer));
    }
    ring.sort_by_cached_key(|(name, _)| place::order(name));
    let index = ring.iter().position(|(name, _)| **name == own.router);
    // Keys decide who serves a divided service, so only the others count.
    let undivided = directory
        .services
        .iter()
        .filter(|(_, declared)| declared.keyed.is_none());
    let near = undivided.map(|(name, _)| state.book.near(name, &own.data_centre));
    let least = near.filter(|near| *near > 0).min();
    let place = Place::new(index.unwrap_or(0), ring.len(), least.unwrap_or(0));
    let others = ring.iter().enumerate();
    let neighbours = others
        .filter(|(index, (name, _))| **name != own.router && place.is_neighbour(*index))
        .map(|(_, (_, address))| *address)
        .collect();
    (place, neighbours)
}

/// Requests go to a holder only when no earlier one can have the keys.
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
