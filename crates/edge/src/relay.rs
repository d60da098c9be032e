//! News of the store within a data centre: one router reads the store's feeds,
//! the others ask it.
//!
//! Every router that follows the feeds itself is woken, and makes a call, for
//! each change. So the routers of a data centre agree on a *relay*, the first
//! by size and name that answers. The others hold one call to it that it
//! answers on news, or after a short while to show that it still hears from
//! the store. A follower that hears of a version that its relay doesn't bring
//! asks the router that has it. One that gets no such answers reads the store by
//! itself.
//!
//! A router that starts reads only the table of the routers from the store, to find
//! its relay; the relay gives it the other tables whole. So the start of a fleet costs
//! the store two calls a router.

mod journal;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::Contact;
use eelgrassrock_ranges::versioned::Delta;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use self::journal::{Journal, Part};
use crate::book::Departure;
use crate::clock;
use crate::duty::Pace;
use crate::node::{Node, Router, Shares};
use crate::notice::Notices;
use crate::peer;
use crate::seam::{Platform, Row, Rows, Table};
use crate::watch;

/// Longest time for which a relay holds back an answer without news. A
/// follower misses a lost relay for this time and that of a call.
const HOLD_BACK: Duration = Duration::from_millis(400);
/// Time for which a relay that didn't answer is passed over.
const PASS_OVER: Duration = Duration::from_secs(3);
/// Time that a relay gets to bring a version that another router has: it
/// gathers changes for a moment.
const NEWS_SLACK: Duration = Duration::from_millis(350);
/// Time since the last sign of the store after which a router is no longer a
/// relay to rely on: one proving wait and a call.
const DEAF_AFTER: Duration = Duration::from_millis(1_600);
/// Time for which a router reads the store by itself after its relay was late.
const DIRECT_TIME: Duration = Duration::from_secs(2);
/// Routers of each other data centre that are told of versions: its relay, and who
/// is next should that one be lost.
const RELAYS_TOLD: usize = 3;
/// Time for which a relay may not know this router yet, and pause until it is
/// asked again: its own row is on its way to the relay.
const INTRODUCTION: Duration = Duration::from_millis(1_500);
const INTRODUCTION_PAUSE: Duration = Duration::from_millis(150);
/// Routers that one is asked before it believes the store.
const CONSULTED: usize = 3;
/// Pause before a follower that has no relay looks again.
const ROLE_POLL: Duration = Duration::from_millis(500);

/// All tables, in the order in which messages name them.
pub(crate) const TABLES: [Table; 3] = [Table::Configuration, Table::Registry, Table::Routers];

/// Recent changes of the tables, and where they come from.
#[derive(Default)]
pub(crate) struct Relay {
    journals: RefCell<[Journal; 3]>,
    passed_over: RefCell<HashMap<Arc<str>, Instant>>,
    direct_until: Cell<Option<Instant>>,
    /// Last sign of the store, direct or through a relay.
    heard: Cell<Option<Instant>>,
    /// Wakes followers that wait for news.
    news: Notify,
    /// Wakes those who read, when where to read from may have changed.
    pub(crate) role: Notify,
    /// Wakes those who read the store, when their calls may be dead.
    pub(crate) feeds_lost: Notify,
}

/// Question of a follower.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Question {
    after: [Revision; 3],
    maps: Vec<(Arc<str>, Revision)>,
    /// Answers that the follower got, by service.
    paces: Vec<(Arc<str>, Vec<Pace>)>,
    notices: Notices,
}

/// Answer of a relay.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Whether the relay can be relied upon: it hears from the store.
    is_live: bool,
    tables: Vec<Part>,
    /// Changes of the maps since the versions that the follower has.
    maps: Vec<(Arc<str>, Delta)>,
    /// For each service, shares of requests that overloaded holders can serve.
    admitted: Vec<(Arc<str>, Shares)>,
    departures: Vec<Departure>,
    /// Services that have had a keeper, and the era of the store in which the last one
    /// took the duty; for a follower that is new.
    history: Vec<(Arc<str>, u64)>,
}

impl Relay {
    /// Lets this router read the store by itself for a while.
    fn go_direct(&self) {
        self.direct_until.set(Some(clock::now() + DIRECT_TIME));
        self.role.notify_waiters();
    }
}

/// Order in which the routers of a data centre become its relay.
type Rank = (Reverse<u32>, u64);

/// The largest VM first; equal ones in an order of their own.
fn rank(name: &Arc<str>, router: &Router) -> Rank {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    (Reverse(router.size), hasher.finish())
}

impl<P: Platform> Node<P> {
    /// Returns the router whose news this one follows, `None` if it reads the
    /// store by itself.
    pub(crate) fn relay_to_follow(&self) -> Option<Router> {
        let now = clock::now();
        let direct = self
            .relay
            .direct_until
            .get()
            .is_some_and(|until| now < until);
        if direct || self.relay.after(Table::Routers).is_none() {
            return None;
        }
        let own = &self.settings;
        let state = self.state.borrow();
        let passed_over = self.relay.passed_over.borrow();
        let is_passed = |name: &Arc<str>| passed_over.get(name).is_some_and(|until| now < *until);
        let near = state.routers.iter().filter(|(name, router)| {
            router.data_centre == own.data_centre && (**name == own.router || !is_passed(name))
        });
        let (name, router) = near.min_by_key(|(name, router)| rank(name, router))?;
        (*name != own.router).then(|| router.clone())
    }

    /// Addresses of the routers that are told which versions this one has.
    pub(crate) fn news_addresses(&self) -> Vec<SocketAddr> {
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
                others.push((rank(name, router), router.address));
            }
        }
        for mut others in elsewhere.into_values() {
            others.sort_unstable();
            let first = others.into_iter().take(RELAYS_TOLD);
            addresses.extend(first.map(|(_, address)| address));
        }
        addresses
    }

    /// Name of a router with this address.
    fn router_at(&self, router: &Router) -> Option<Arc<str>> {
        let state = self.state.borrow();
        let mut routers = state.routers.iter();
        routers
            .find(|(_, other)| other.address == router.address)
            .map(|(name, _)| Arc::clone(name))
    }

    /// Whether this router hears from the store, if only through its relay:
    /// followers move up one by one when a relay is lost.
    pub(crate) fn hears_from_store(&self) -> bool {
        let heard = self.relay.heard();
        !self.is_stopping() && heard.is_some_and(|at| clock::now() - at < DEAF_AFTER)
    }

    /// Notes the versions that another router has. If the own relay doesn't bring
    /// them soon, that router is asked, and the store if it doesn't answer.
    pub(crate) fn hear_versions(self: &Rc<Self>, versions: [Revision; 2], sender: SocketAddr) {
        let is_behind = move |node: &Self| {
            let own = node.relay.newest();
            own.iter()
                .zip(versions)
                .any(|(own, theirs)| !own.is_none() && *own < theirs)
        };
        if !is_behind(self) {
            return;
        }
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(NEWS_SLACK).await;
            if !is_behind(&node) {
                return;
            }
            if node.relay_to_follow().is_none() {
                node.relay.feeds_lost.notify_waiters();
                return;
            }
            node.catch_up(sender).await;
            if is_behind(&node) {
                node.relay.go_direct();
            }
        });
    }

    /// Takes what another router knows and this one doesn't.
    async fn catch_up(self: &Rc<Self>, sender: SocketAddr) {
        let question = self.question(Vec::new());
        let answer = self.peers.follow(sender, HOLD_BACK, &question);
        if let Ok(mut answer) = answer.await {
            // What this router has is newer than much of a whole table.
            answer.tables.retain(|part| !part.is_whole);
            self.take_answer(answer);
        }
    }

    /// Returns the question for what is news here.
    fn question(&self, paces: Vec<(Arc<str>, Vec<Pace>)>) -> Question {
        let state = self.state.borrow();
        let maps = state.maps.iter();
        Question {
            after: TABLES.map(|table| self.relay.after(table).unwrap_or_default()),
            maps: maps
                .map(|(name, edition)| (Arc::clone(name), edition.version()))
                .collect(),
            paces,
            notices: self.own_notices(),
        }
    }

    /// Answers a follower when there is news, or after a while.
    pub(crate) async fn answer_follower(self: &Rc<Self>, question: Question) -> Answer {
        for (service, paces) in question.paces {
            self.duties.absorb_paces(&service, &paces);
        }
        self.hear_notices(question.notices);
        let news = || {
            let tables = self.relay.changes(question.after);
            let maps = self.newer_maps(&question.maps);
            (!tables.is_empty() || !maps.is_empty()).then_some((tables, maps))
        };
        let found = match news() {
            Some(found) => Some(found),
            None => {
                let notified = self.relay.news.notified();
                // Without news, the answer shows that this router lives.
                let _ = timeout(HOLD_BACK, notified).await;
                news()
            }
        };
        let nothing = || (self.relay.unchanged(question.after), Vec::new());
        let (tables, maps) = found.unwrap_or_else(nothing);
        // It has read the routers by itself, to find its relay.
        let is_new = question.after.iter().any(Revision::is_none);
        self.answer_with(tables, maps, is_new)
    }

    /// Tells a router that starts what is known here.
    pub(crate) fn answer_consultation(&self) -> Answer {
        let tables = self.relay.changes(Question::default().after);
        self.answer_with(tables, Vec::new(), true)
    }

    fn answer_with(&self, tables: Vec<Part>, maps: Vec<(Arc<str>, Delta)>, is_new: bool) -> Answer {
        Answer {
            is_live: self.hears_from_store(),
            tables,
            maps,
            admitted: self
                .admitted
                .borrow()
                .iter()
                .map(|(name, shares)| (Arc::clone(name), shares.clone()))
                .collect(),
            departures: self.departures(is_new),
            history: if is_new {
                self.duties.history()
            } else {
                Vec::new()
            },
        }
    }

    fn newer_maps(&self, known: &[(Arc<str>, Revision)]) -> Vec<(Arc<str>, Delta)> {
        let state = self.state.borrow();
        let maps = state.maps.iter();
        let changes = maps.filter_map(|(name, edition)| {
            let known = known.iter().find(|(other, _)| other == name);
            let known = known.map_or_else(Revision::default, |(_, known)| *known);
            (edition.version() > known).then(|| (Arc::clone(name), edition.since(known)))
        });
        changes.collect()
    }

    /// Follows a relay as long as there is one.
    pub(crate) async fn follow_relay(self: Rc<Self>) {
        let mut unknown_since = None;
        loop {
            let Some(relay) = self.relay_to_follow() else {
                let _ = timeout(ROLE_POLL, self.relay.role.notified()).await;
                continue;
            };
            let question = self.question(self.duties.take_paces());
            match self.peers.follow(relay.address, HOLD_BACK, &question).await {
                Ok(answer) if answer.is_live => {
                    unknown_since = None;
                    self.relay.hear_store();
                    self.take_answer(answer);
                }
                Err(Contact::Unrecognized)
                    if clock::now() - *unknown_since.get_or_insert_with(clock::now)
                        < INTRODUCTION =>
                {
                    sleep(INTRODUCTION_PAUSE).await;
                }
                Ok(_) | Err(_) => {
                    unknown_since = None;
                    if self.relay.after(Table::Configuration).is_none() {
                        // Until it knows more it can't serve, and the next relay may
                        // be as lost as this one.
                        self.relay.go_direct();
                    }
                    if let Some(name) = self.router_at(&relay) {
                        let until = clock::now() + PASS_OVER;
                        self.relay.passed_over.borrow_mut().insert(name, until);
                    }
                    self.relay.role.notify_waiters();
                }
            }
        }
    }

    /// Asks some routers that live what they know, before the store is believed: it may
    /// have come back from a copy that shows what is over by now.
    pub(crate) async fn consult(self: &Rc<Self>) {
        let addresses = self.news_addresses().into_iter().take(CONSULTED);
        let calls = addresses.map(|address| {
            let node = Rc::clone(self);
            tokio::task::spawn_local(async move { node.consult_router(address).await })
        });
        for call in calls.collect::<Vec<_>>() {
            // A task that was cancelled has told nothing.
            let _ = call.await;
        }
    }

    /// Asks one router, until it knows this one.
    async fn consult_router(self: Rc<Self>, address: SocketAddr) {
        let began = clock::now();
        loop {
            match self.peers.consult(address).await {
                Ok(answer) => return self.take_consultation(answer),
                Err(Contact::Unrecognized) if clock::now() - began < INTRODUCTION => {
                    sleep(INTRODUCTION_PAUSE).await;
                }
                // It has nothing to tell, or has ended.
                Err(_) => return,
            }
        }
    }

    fn take_consultation(self: &Rc<Self>, answer: Answer) {
        self.hear_departures(answer.departures);
        for (service, era) in answer.history {
            self.note_history(&service, era);
        }
        for part in answer.tables {
            if let Some(table) = TABLES.get(usize::from(part.table)) {
                let rows: Vec<Row> = part.rows.into_iter().map(Row::from).collect();
                self.merge_remote(*table, &rows);
            }
        }
    }

    fn take_answer(self: &Rc<Self>, answer: Answer) {
        for (service, era) in answer.history {
            self.note_history(&service, era);
        }
        self.hear_departures(answer.departures);
        for part in answer.tables {
            let Some(table) = TABLES.get(usize::from(part.table)).copied() else {
                continue;
            };
            let rows = Rows {
                rows: part.rows.into_iter().map(Row::from).collect(),
                version: part.version,
            };
            self.observe_era(rows.version.era);
            if rows.version.era < self.era.get() {
                // The relay hasn't noticed yet that the store has lost this.
                continue;
            }
            if !part.is_whole {
                watch::take_changes(self, table, &rows);
            } else if self
                .relay
                .after(table)
                .is_none_or(|own| own <= rows.version)
            {
                // An older table would take back what this router has seen since.
                watch::take_whole(self, table, &rows);
            }
        }
        for (service, shares) in answer.admitted {
            self.learn_shares(&service, shares);
        }
        for (service, changes) in answer.maps {
            self.learn_changes(&service, changes);
        }
    }

    /// Gives the changes of the own map after `before` to the relays of the other
    /// data centres and to the own one; theirs tell their followers.
    pub(crate) fn publish_map(self: &Rc<Self>, service: &Arc<str>, before: Revision) {
        let changes = {
            let state = self.state.borrow();
            state.maps.get(service).map(|edition| edition.since(before))
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
                let candidate = (rank(name, router), router.address);
                let first = relays
                    .entry(Arc::clone(&router.data_centre))
                    .or_insert(candidate);
                *first = (*first).min(candidate);
            }
        }
        for (_, address) in relays.into_values() {
            let node = Rc::clone(self);
            let message = peer::News {
                service: Arc::clone(service),
                changes: changes.clone(),
            };
            tokio::task::spawn_local(async move {
                // What gets lost comes with the answer to the next report.
                let _ = node.peers.tell_map(address, &message).await;
            });
        }
    }
}
