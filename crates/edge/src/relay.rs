//! Relays: one router per data centre reads the store's feeds, and the others follow it.
//!
//! Every router that follows the feeds itself is woken and makes a call for each change. To save
//! the store this load, the routers of a data centre agree on a *relay*: the first by size and name
//! that responds. The others keep one long poll open to it. The relay answers on changes, or after
//! a short while to show that it still has contact to the store. A follower that hears of a version
//! that its relay doesn't supply asks the router that has it. A follower that gets no such
//! responses for part of the time in which a configuration must be in force reads the store itself,
//! until one of the relays that it tries meanwhile supplies it.
//!
//! A router that starts reads only the table of the routers from the store, to find its relay. The
//! relay supplies the other tables in full, so the start of a fleet costs the store two calls per
//! router.

mod follow;
mod journal;
mod transfer;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::observation::Observation;
use eelgrassrock_dispatch::source::Sources;
use eelgrassrock_dispatch::transfer::{CatchUp, Pending, Reading, Transfers};
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::Contact;
use eelgrassrock_ranges::versioned::Delta;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use self::journal::{Journal, Part, index};
use self::transfer::{Compressed, Incoming, LargeRow};
pub(crate) use self::transfer::{RowRequest, RowResponse};
use crate::clock;
use crate::leadership::ServiceTime;
use crate::node::{Node, Shares};
use crate::notice::Notices;
use crate::peer;
use crate::platform::{Platform, Table};
use crate::registry::Departure;

/// Maximum time for which a relay delays a response without changes. A follower detects the loss of
/// its relay after this time and that of a call.
const LONG_POLL_TIME: Duration = Duration::from_millis(400);
/// Time that a relay has to supply a version that another router already has, since a relay batches
/// changes.
const RELAY_LAG_ALLOWANCE: Duration = Duration::from_millis(350);
/// Time since the last contact to the store after which a router can't be relied on as a relay. It
/// covers one probe of the store and a call.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time for which a router reads the store itself after its relay was late.
const BYPASS_TIME: Duration = Duration::from_secs(2);
/// Number of routers in each other data centre that are sent versions: its relay, and the next
/// candidates in case the relay is lost.
const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Time for which a relay may not recognize this router yet, because this router's row is still on
/// its way to the relay, and the pause between attempts.
const REGISTRATION_LAG: Duration = Duration::from_millis(1_500);
const REGISTRATION_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of routers that are consulted before a starting router trusts the store.
const MAX_CONSULTED_ROUTERS: usize = 3;

/// Tables that are relayed, in the order in which messages index them.
pub(crate) const TABLES: [Table; 3] = [Table::Configuration, Table::Registry, Table::Routers];

/// Recent changes of the tables, and the choice of where to read them.
#[derive(Default)]
pub(crate) struct Relay {
    journals: RefCell<[Journal; 3]>,
    /// Large rows that were announced and haven't arrived.
    transfers: RefCell<[Transfers<Incoming>; 3]>,
    /// Large rows as they were sent last, newest first.
    compressed: RefCell<VecDeque<Compressed>>,
    /// Relays that may supply this router.
    sources: RefCell<Sources>,
    bypass_until: Cell<Option<Instant>>,
    /// Last contact to the store, directly or through a relay.
    last_contact: Cell<Option<Instant>>,
    /// Wakes the long polls of followers.
    updates: Notify,
    /// Wakes the readers of tables when the router to read from may have changed.
    pub(crate) source_changed: Notify,
    /// Wakes the readers of the store's feeds when their calls may be dead, by table.
    feeds_lost: [Notify; 3],
    /// When the calls to the store under way were sent, by table.
    readings: [Cell<Option<Instant>>; 3],
    /// When the store last failed calls, by table, until it answers one.
    failures: [Cell<Option<Instant>>; 3],
    /// Versions of the configuration that other routers have and this one lacks.
    heard: RefCell<Pending>,
}

impl Relay {
    /// Wakes the reader of a table's feed when its call may be dead.
    pub(crate) fn feed_lost(&self, table: Table) -> &Notify {
        &self.feeds_lost[index(table)]
    }

    /// Makes the readers of all feeds send their calls again.
    pub(crate) fn restart_feeds(&self) {
        self.feeds_lost.iter().for_each(Notify::notify_waiters);
    }

    /// Records that a call to the store for a table is about to be sent.
    pub(crate) fn begin_reading(&self, table: Table) {
        self.readings[index(table)].set(Some(clock::now()));
    }

    /// Returns when the call for a table was sent that is under way.
    pub(crate) fn reading_since(&self, table: Table) -> Option<Instant> {
        self.readings[index(table)].get()
    }

    /// Records that the store fails calls for a table.
    pub(crate) fn record_failure(&self, table: Table) {
        self.failures[index(table)].set(Some(clock::now()));
    }

    /// Returns when the store last failed a call for a table, and forgets it.
    pub(crate) fn take_failure(&self, table: Table) -> Option<Instant> {
        self.failures[index(table)].take()
    }

    /// Records that the call for a table has ended.
    pub(crate) fn end_reading(&self, table: Table) {
        self.readings[index(table)].set(None);
    }

    /// Records that rows were applied with which the store answered a call for a table that was sent
    /// at `queried_at`. An answer without rows, such as a lost history, confirms nothing.
    pub(crate) fn confirm_versions(&self, table: Table, queried_at: Instant) {
        if table == Table::Configuration {
            self.heard.borrow_mut().confirm(queried_at);
        }
    }

    /// Whether another router has had a configuration for `limit` that this one lacks.
    fn is_behind(&self, limit: Duration, now: Instant) -> bool {
        let [own, _] = self.newest_versions();
        let mut heard = self.heard.borrow_mut();
        heard.arrive(own);
        heard.is_outdated(limit, now)
    }
}

/// Long poll of a follower, with what it has and has measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct FollowRequest {
    after: [Revision; 3],
    maps: Vec<(Arc<str>, Revision)>,
    /// Service times that the follower measured, by service.
    service_times: Vec<(Arc<str>, Vec<ServiceTime>)>,
    notices: Notices,
    large_rows: Vec<LargeRow>,
}

/// Response to a follower or to a starting router's consultation.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FollowResponse {
    /// Whether the responding router can be relied on, because it has contact to the store.
    is_live: bool,
    tables: Vec<Part>,
    /// Changes of the maps since the versions that the follower has.
    maps: Vec<(Arc<str>, Delta)>,
    /// Overloaded holders of each service, with the share of requests that they can serve.
    admitted: Vec<(Arc<str>, Shares)>,
    departures: Vec<Departure>,
    observations: Vec<Observation>,
    /// Services that have had a leader, and the era of the store in which the last one took
    /// leadership. Only sent to a new follower.
    history: Vec<(Arc<str>, u64)>,
}

/// Versions of the configuration and the registry that this router lacks and another one has.
#[derive(Serialize)]
struct BehindLine {
    /// Router that has them.
    sender: SocketAddr,
    configuration: [u64; 2],
    registry: [u64; 2],
    /// Where this router reads the tables.
    source: &'static str,
}

#[derive(Serialize)]
struct BypassedLine {
    reason: &'static str,
}

/// Order in which the routers of a data centre become its relay.
type Rank = (Reverse<u32>, u64);

/// Ranks the largest VM first, and equal ones by a hash of their names.
fn rank(name: &Arc<str>, size: u32) -> Rank {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    (Reverse(size), hasher.finish())
}

impl<P: Platform> Node<P> {
    /// Whether this router reads the store itself although there may be a relay.
    pub(crate) fn is_bypassing_relay(&self) -> bool {
        let until = self.relay.bypass_until.get();
        until.is_some_and(|until| clock::now() < until)
    }

    /// Lets this router read the store itself for a while.
    fn bypass_relay(&self, reason: &'static str) {
        self.log.info("relay bypassed", &BypassedLine { reason });
        let until = clock::now() + BYPASS_TIME;
        self.relay.bypass_until.set(Some(until));
        self.relay.source_changed.notify_waiters();
    }

    /// Returns the addresses of the routers to which this one sends its versions.
    pub(crate) fn version_targets(&self) -> Vec<SocketAddr> {
        let own = &self.settings;
        let state = self.state.borrow();
        let mut addresses = Vec::new();
        let mut elsewhere: HashMap<&str, Vec<(Rank, SocketAddr)>> = HashMap::new();
        for (name, router) in state
            .routers
            .iter()
            .filter(|(name, _)| **name != own.router)
        {
            if router.data_centre == own.data_centre {
                addresses.push(router.address);
            } else {
                let others = elsewhere.entry(&router.data_centre).or_default();
                others.push((rank(name, router.size), router.address));
            }
        }
        for mut others in elsewhere.into_values() {
            others.sort_unstable();
            let first = others.into_iter().take(RELAYS_PER_DATA_CENTRE);
            addresses.extend(first.map(|(_, address)| address));
        }
        addresses
    }

    /// Whether this router has contact to the store, directly or through its relay. Contact through
    /// a relay counts because followers take over one by one when a relay is lost.
    pub(crate) fn has_store_contact(&self) -> bool {
        let last_contact = self.relay.last_store_contact();
        !self.is_stopping()
            && last_contact.is_some_and(|at| clock::now() - at < STORE_CONTACT_TIMEOUT)
    }

    /// Compares the versions of another router with the known ones. If the relay doesn't supply
    /// newer ones soon, asks that router, and then the store if it doesn't respond. A router that
    /// reads the store itself asks the other router last.
    pub(crate) fn learn_versions(self: &Rc<Self>, versions: [Revision; 2], sender: SocketAddr) {
        let lacks = move |node: &Self| {
            let own = node.relay.announced_versions();
            [0, 1].map(|table| !own[table].is_none() && own[table] < versions[table])
        };
        let heard_at = clock::now();
        if lacks(self) == [false; 2] {
            return;
        }
        if lacks(self)[0] {
            self.relay.heard.borrow_mut().note(versions[0], heard_at);
        }
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(RELAY_LAG_ALLOWANCE).await;
            if lacks(&node) == [false; 2] {
                return;
            }
            node.log_behind(versions, sender);
            if node.relay_to_follow().is_none() {
                while node.restart_dead_feeds(lacks(&node), heard_at) == CatchUp::Wait {
                    sleep(RELAY_LAG_ALLOWANCE).await;
                }
                sleep(RELAY_LAG_ALLOWANCE).await;
            }
            if lacks(&node) == [false; 2] {
                return;
            }
            // The relay lags behind, or the store turns this router away.
            node.catch_up(sender).await;
            // A relay may have become the source meanwhile, before the store could answer.
            if lacks(&node) != [false; 2] && node.relay_to_follow().is_some() {
                node.bypass_relay("behind");
            }
        });
    }

    /// Sends the calls for configuration and registry again that may be dead, of those that this
    /// router lacks. Returns whether one of them has to be looked at again.
    fn restart_dead_feeds(&self, lacks: [bool; 2], heard_at: Instant) -> CatchUp {
        let is_arriving = self.platform.is_receiving();
        let mut result = CatchUp::Settled;
        for (table, lacks) in [Table::Configuration, Table::Registry]
            .into_iter()
            .zip(lacks)
        {
            let started = self.relay.readings[index(table)].get();
            let Some(started) = started.filter(|_| lacks) else {
                continue;
            };
            let reading = Reading {
                started,
                is_arriving,
            };
            match reading.catch_up(heard_at) {
                CatchUp::Settled => {}
                CatchUp::Wait => result = CatchUp::Wait,
                CatchUp::Restart => self.relay.feed_lost(table).notify_waiters(),
            }
        }
        result
    }

    fn log_behind(&self, versions: [Revision; 2], sender: SocketAddr) {
        let own = self.relay.announced_versions();
        let of = |index: usize| [own[index].number, versions[index].number];
        let line = BehindLine {
            sender,
            configuration: of(0),
            registry: of(1),
            source: match self.relay_to_follow() {
                Some(_) => "router",
                None => "store",
            },
        };
        self.log.request("behind", &line);
    }

    /// Fetches changes from another router.
    async fn catch_up(self: &Rc<Self>, sender: SocketAddr) {
        let request = self.request(Vec::new());
        let response = self
            .peers
            .follow(sender, LONG_POLL_TIME, &request, self.link_wait());
        if let Ok(mut response) = response.await {
            response.tables.retain(|part| self.relay.may_be_news(part));
            self.apply_response(response, sender);
        }
    }

    /// Builds a request for everything that is newer than what this router has.
    fn request(&self, service_times: Vec<(Arc<str>, Vec<ServiceTime>)>) -> FollowRequest {
        let state = self.state.borrow();
        let maps = state.maps.iter();
        FollowRequest {
            after: TABLES.map(|table| self.relay.followed_version(table)),
            maps: maps
                .map(|(name, versioned)| (Arc::clone(name), versioned.version()))
                .collect(),
            service_times,
            notices: self.own_notices(),
            large_rows: self.relay.all_large_rows(),
        }
    }

    /// Answers a follower when there are changes, or after [`LONG_POLL_TIME`].
    pub(crate) async fn serve_follower(self: &Rc<Self>, request: FollowRequest) -> FollowResponse {
        for (service, service_times) in request.service_times {
            self.leaderships
                .merge_reported_times(&service, &service_times);
        }
        self.merge_notices(request.notices);
        let changes = || {
            let tables = self.relay.changes(request.after);
            let maps = self.newer_maps(&request.maps);
            (!tables.is_empty() || !maps.is_empty()).then_some((tables, maps))
        };
        let found = match changes() {
            Some(found) => Some(found),
            None => {
                let notified = self.relay.updates.notified();
                // Without changes, the response shows that this router is alive.
                let _ = timeout(LONG_POLL_TIME, notified).await;
                changes()
            }
        };
        let nothing = || (self.relay.unchanged(request.after), Vec::new());
        let (mut tables, maps) = found.unwrap_or_else(nothing);
        self.relay
            .insert_differences(&mut tables, &request.large_rows);
        // A new follower has only read the table of the routers, to find its relay.
        let is_new = request.after.iter().any(Revision::is_none);
        self.build_response(tables, maps, is_new)
    }

    /// Answers a starting router with everything that is known here.
    pub(crate) fn serve_consultation(&self) -> FollowResponse {
        let tables = self.relay.changes(FollowRequest::default().after);
        self.build_response(tables, Vec::new(), true)
    }

    fn build_response(
        &self,
        tables: Vec<Part>,
        maps: Vec<(Arc<str>, Delta)>,
        is_new: bool,
    ) -> FollowResponse {
        FollowResponse {
            is_live: self.has_store_contact(),
            tables,
            maps,
            admitted: self
                .admitted
                .borrow()
                .iter()
                .map(|(name, shares)| (Arc::clone(name), shares.clone()))
                .collect(),
            departures: self.departures(is_new),
            observations: self.observations.borrow().all(clock::now()),
            history: if is_new {
                self.leaderships.history()
            } else {
                Vec::new()
            },
        }
    }

    fn newer_maps(&self, known_versions: &[(Arc<str>, Revision)]) -> Vec<(Arc<str>, Delta)> {
        let state = self.state.borrow();
        let maps = state.maps.iter();
        let changes = maps.filter_map(|(name, versioned)| {
            let known_version = known_versions.iter().find(|(other, _)| other == name);
            let known_version =
                known_version.map_or_else(Revision::default, |(_, version)| *version);
            (versioned.version() > known_version)
                .then(|| (Arc::clone(name), versioned.since(known_version)))
        });
        changes.collect()
    }

    /// Asks some running routers what they know before this router trusts the store, which may have
    /// been restored from a backup and show outdated rows.
    pub(crate) async fn consult(self: &Rc<Self>) {
        let addresses = self
            .version_targets()
            .into_iter()
            .take(MAX_CONSULTED_ROUTERS);
        let calls = addresses.map(|address| {
            let node = Rc::clone(self);
            tokio::task::spawn_local(async move { node.consult_router(address).await })
        });
        for call in calls.collect::<Vec<_>>() {
            if let Ok(Some((response, source))) = call.await {
                self.apply_consultation(response, source).await;
            }
        }
    }

    /// Consults one router, with retries until it recognizes this one.
    async fn consult_router(
        self: Rc<Self>,
        address: SocketAddr,
    ) -> Option<(FollowResponse, SocketAddr)> {
        let started = clock::now();
        loop {
            match self.peers.consult(address).await {
                Ok(response) => return Some((response, address)),
                Err(Contact::Unrecognized) if clock::now() - started < REGISTRATION_LAG => {
                    sleep(REGISTRATION_RETRY_PAUSE).await;
                }
                // It has no information, or has ended.
                Err(_) => return None,
            }
        }
    }

    async fn apply_consultation(self: &Rc<Self>, response: FollowResponse, source: SocketAddr) {
        self.merge_departures(response.departures);
        self.merge_observations(&response.observations);
        for (service, era) in response.history {
            self.record_history(&service, era);
        }
        for part in response.tables {
            if let Some(table) = TABLES.get(usize::from(part.table)) {
                let rows = self.complete_part(part, source).await;
                self.merge_remote(*table, &rows);
            }
        }
    }

    fn apply_response(self: &Rc<Self>, response: FollowResponse, source: SocketAddr) {
        for (service, era) in response.history {
            self.record_history(&service, era);
        }
        self.merge_departures(response.departures);
        self.merge_observations(&response.observations);
        for part in response.tables {
            self.receive_part(part, source);
        }
        for (service, shares) in response.admitted {
            self.set_admitted_shares(&service, shares);
        }
        for (service, changes) in response.maps {
            self.learn_changes(&service, changes);
        }
    }

    /// Sends the changes of a map after `before` to the relays of all data centres, which pass them
    /// on to their followers.
    pub(crate) fn publish_map(self: &Rc<Self>, service: &Arc<str>, before: Revision) {
        let changes = {
            let state = self.state.borrow();
            state
                .maps
                .get(service)
                .map(|versioned| versioned.since(before))
        };
        let Some(changes) = changes else {
            return;
        };
        let mut relays: HashMap<Arc<str>, (Rank, SocketAddr)> = HashMap::new();
        {
            let state = self.state.borrow();
            let others = state
                .routers
                .iter()
                .filter(|(name, _)| **name != self.settings.router);
            for (name, router) in others {
                let candidate = (rank(name, router.size), router.address);
                let first = relays
                    .entry(Arc::clone(&router.data_centre))
                    .or_insert(candidate);
                *first = (*first).min(candidate);
            }
        }
        for (_, address) in relays.into_values() {
            let node = Rc::clone(self);
            let message = peer::MapUpdate {
                service: Arc::clone(service),
                changes: changes.clone(),
            };
            tokio::task::spawn_local(async move {
                // A lost update is supplied with the response to the next report.
                let _ = node.peers.send_map(address, &message).await;
            });
        }
    }
}
