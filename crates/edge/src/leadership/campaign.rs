//! Taking leadership, and making sure that earlier leaders have stopped.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::process::{Finding, Sign};
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::{Leadership, Predecessor};
use eelgrassrock_ranges::leader::{Leader, Settings};
use eelgrassrock_ranges::map::Map;
use serde::Serialize;
use tokio::time::sleep;

use super::{
    CONFIRM_INTERVAL, REPORT_INTERVAL, STORE_RETRY_PAUSE, decode_leadership, leadership_row,
};
use crate::clock;
use crate::node::Node;
use crate::platform::{Commit, Platform, Table, Transaction};

/// Maximum duration of a grant, if the platform allows it. The keys of a holder that is lost
/// without notice become free after this time.
const HOLD: Duration = Duration::from_secs(3);
/// Authority of a leader as a share of the maximum hold. Together with the hold it bridges a store
/// outage of nine tenths of that maximum. With a larger share, keys that are being moved wait
/// longer when a leader is lost without notice.
const AUTHORITY_SHARE: f64 = 0.6;
/// Time without any response after which a holder loses its keys.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a change of the routers after which a router may campaign for a service that never
/// had a leader. By then, routers that start together know which of them are relays, which run on
/// large VMs.
const FIRST_CAMPAIGN_DELAY: Duration = Duration::from_millis(1_000);
/// Pause between attempts to find out whether earlier leaders have stopped.
const YIELD_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Sign of whether an earlier leader has stopped, logged when it changes.
#[derive(Serialize)]
struct PredecessorLine<'a> {
    service: &'a str,
    term: u64,
    address: SocketAddr,
    incarnation: u64,
    sign: &'a str,
}

impl<P: Platform> Node<P> {
    pub(super) fn campaign_delay(&self, service: &Arc<str>, now: Instant) -> Duration {
        if !self.may_campaign(service, now) {
            return REPORT_INTERVAL;
        }
        let at = self
            .participant(service, |participant| participant.election.campaign_at())
            .flatten();
        at.map_or(REPORT_INTERVAL, |at| {
            (at - now).max(Duration::from_millis(5))
        })
    }

    /// Whether this router couldn't grant the keys of a service, because it reaches few upstreams.
    fn is_barred(&self, service: &Arc<str>, now: Instant) -> bool {
        let barred_until = self.participant(service, |participant| participant.barred_until);
        let is_barred = barred_until.flatten().is_some_and(|until| now < until);
        is_barred || self.is_cut_off(service)
    }

    /// Whether this router may campaign for leadership of a service.
    fn may_campaign(&self, service: &Arc<str>, now: Instant) -> bool {
        let has_known_leader = self.participant(service, |participant| {
            participant.election.leadership().is_some()
        });
        let are_routers_stable = || {
            let changed = self.relay.changed_at(Table::Routers);
            changed.is_some_and(|at| now - at >= FIRST_CAMPAIGN_DELAY)
        };
        // A router that is behind its relay may be behind because of its own link, and can't tell
        // whether the leader is lost.
        if self.is_bypassing_relay() || self.is_barred(service, now) {
            return false;
        }
        // Leadership can't be taken without the store. Store contact also implies that the router
        // isn't stopping.
        self.has_store_contact() && (has_known_leader == Some(true) || are_routers_stable())
    }

    pub(super) fn campaign_if_due(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        if !self.may_campaign(service, now) {
            return;
        }
        let address = self.settings.peer;
        let due = self.participant(service, |participant| {
            let due = if participant.is_campaigning {
                None
            } else {
                participant.election.poll(address, now)
            };
            participant.is_campaigning |= due.is_some();
            due
        });
        if let Some(Some(_)) = due {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.campaign(&service).await;
                node.participant(&service, |participant| participant.is_campaigning = false);
                node.wake(&service);
            });
        }
    }

    /// Tries to take leadership of a service.
    pub(super) async fn campaign(self: &Rc<Self>, service: &Arc<str>) {
        let era = self.era.get();
        // The era may have changed since this campaign became due.
        let address = self.settings.peer;
        let claim = self.participant(service, |participant| participant.election.claim(address));
        let Some((leadership, version)) = claim else {
            return;
        };
        let key = leadership_row(era, service);
        let queried_at = clock::now();
        let Ok(value) = postcard::to_allocvec(&leadership) else {
            return;
        };
        let transaction = Transaction {
            era,
            expected: vec![(key.clone(), version)],
            put: vec![(key.clone(), value.into())],
            remove: Vec::new(),
        };
        let taken = match self.write_rows(&transaction).await {
            Commit::Done(version) => Some(version),
            Commit::Conflict | Commit::Unknown(_) => {
                let row = self.read_row(&key).await;
                if era != self.era.get() {
                    return;
                }
                let Ok(current) = row.map(|row| row.and_then(|row| decode_leadership(&row))) else {
                    return;
                };
                let own = current
                    .as_ref()
                    .filter(|(current, _)| *current == leadership)
                    .map(|(_, at)| *at);
                if own.is_none() {
                    self.learn_leadership(service, current);
                }
                own
            }
            Commit::NotDone(_) => None,
        };
        if let Some(version) = taken
            && let Some((map, queried_at)) =
                self.read_own_map(service, &leadership, queried_at).await
        {
            self.start_leading(service, leadership, version, map, queried_at);
        }
    }

    /// Reads the map of a service that this router led at `queried_at`. Returns the map, and when
    /// leadership was last confirmed; `None` if another router leads meanwhile or this one is
    /// stopping.
    async fn read_own_map(
        self: &Rc<Self>,
        service: &Arc<str>,
        leadership: &Leadership,
        mut queried_at: Instant,
    ) -> Option<(Option<(Map, Revision)>, Instant)> {
        loop {
            if let Some(map) = self.read_map(service).await {
                return Some((map, queried_at));
            }
            // The service can't be led without its map. By the time that the store responds,
            // another router may lead.
            sleep(STORE_RETRY_PAUSE).await;
            if self.is_stopping() {
                return None;
            }
            let next_query = clock::now();
            let era = self.era.get();
            let Ok(row) = self.read_row(&leadership_row(era, service)).await else {
                continue;
            };
            if era != self.era.get() {
                return None;
            }
            match row.and_then(|row| decode_leadership(&row)) {
                Some((current, _)) if current == *leadership => queried_at = next_query,
                current => {
                    self.learn_leadership(service, current);
                    return None;
                }
            }
        }
    }

    /// Starts to lead. Leadership was taken or confirmed by a call to the store that was sent at
    /// `queried_at`.
    pub(super) fn start_leading(
        self: &Rc<Self>,
        service: &Arc<str>,
        leadership: Leadership,
        version: Revision,
        map: Option<(Map, Revision)>,
        queried_at: Instant,
    ) {
        let now = clock::now();
        let is_lost = self.participant(service, |participant| {
            let known = participant.election.leadership();
            known.is_some_and(|(_, known)| *known > version)
        });
        if is_lost == Some(true) {
            return;
        }
        let settings = Settings {
            hold: HOLD.min(self.settings.max_hold),
            authority: self.settings.max_hold.mul_f64(AUTHORITY_SHARE),
            response_timeout: RESPONSE_TIMEOUT,
        };
        let era = version.era;
        let read = map.as_ref().map(|(map, _)| map.clone());
        let mut leader = match read {
            read if leadership.is_recovering => {
                Leader::recovering(settings, read, era, queried_at, now)
            }
            None => Leader::first(settings, era, queried_at, now),
            Some(map) => Leader::successor(settings, map, era, queried_at, now),
        };
        // An earlier incarnation of this process has ended.
        let mut predecessors = leadership.predecessors.clone();
        predecessors.retain(|predecessor| predecessor.address != self.settings.peer);
        if predecessors.is_empty() {
            leader.predecessor_stopped(now);
        }
        let term = leadership.term;
        self.participant(service, |participant| {
            participant
                .election
                .learn(Some((leadership, version)), 0, now);
            participant.keys.clear();
            participant.leader = Some(leader);
            participant.confirm_due = now + CONFIRM_INTERVAL;
            participant.is_confirming = false;
            participant.wake.notify_one();
        });
        if let Some((map, version)) = map {
            self.learn_map(service, map, version);
        }
        self.log_term(service, term, &self.settings.router, "taken");
        if !predecessors.is_empty() {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.await_predecessors(&service, predecessors, term).await;
            });
        }
    }

    /// Asks earlier leaders to yield until all of them have certainly stopped.
    pub(super) async fn await_predecessors(
        self: Rc<Self>,
        service: &Arc<str>,
        mut predecessors: Vec<Predecessor>,
        term: u64,
    ) {
        let mut signs = HashMap::new();
        loop {
            match self.leader(service, |leader| leader.has_active_predecessor()) {
                None => return,
                Some(true) => {}
                Some(false) => {
                    // Their authority has expired.
                    self.clear_predecessors(service).await;
                    return;
                }
            }
            let mut active = Vec::new();
            for predecessor in predecessors {
                let sign = self.peers.ask_to_yield(&predecessor, service, term).await;
                if signs.insert(predecessor.address, sign) != Some(sign) {
                    self.log_predecessor(service, term, &predecessor, sign);
                }
                // A refused connection proves nothing: a partition may refuse connections, too.
                if sign.judge(self.is_cut_off(service)) != Finding::Stopped {
                    active.push(predecessor);
                }
            }
            predecessors = active;
            if predecessors.is_empty() {
                let now = clock::now();
                self.leader(service, |leader| leader.predecessor_stopped(now));
                self.log_term(
                    service,
                    term,
                    &self.settings.router,
                    "earlier leaders have stopped",
                );
                self.wake(service);
                self.clear_predecessors(service).await;
                return;
            }
            sleep(YIELD_RETRY_PAUSE).await;
        }
    }

    fn log_predecessor(&self, service: &str, term: u64, predecessor: &Predecessor, sign: Sign) {
        let line = PredecessorLine {
            service,
            term,
            address: predecessor.address,
            incarnation: predecessor.incarnation,
            sign: sign.as_str(),
        };
        self.log.info("earlier leader", &line);
    }

    /// Removes the earlier leaders from the leadership row, so that no successor asks them again.
    pub(super) async fn clear_predecessors(self: &Rc<Self>, service: &Arc<str>) {
        let leadership = self
            .participant(service, |participant| {
                participant.election.leadership().cloned()
            })
            .flatten();
        let Some((mut leadership, version)) =
            leadership.filter(|(leadership, _)| !leadership.predecessors.is_empty())
        else {
            return;
        };
        leadership.predecessors.clear();
        self.rewrite_leadership(service, leadership, version).await;
    }

    /// Writes a change of this router's own leadership row, on condition that the row has this
    /// version.
    pub(super) async fn rewrite_leadership(
        self: &Rc<Self>,
        service: &Arc<str>,
        leadership: Leadership,
        version: Revision,
    ) {
        let Ok(value) = postcard::to_allocvec(&leadership) else {
            return;
        };
        let key = leadership_row(version.era, service);
        let transaction = Transaction {
            era: version.era,
            expected: vec![(key.clone(), version)],
            put: vec![(key, value.into())],
            remove: Vec::new(),
        };
        if let Commit::Done(version) = self.write_rows(&transaction).await {
            self.learn_leadership(service, Some((leadership, version)));
        }
    }

    /// Number of data centres whose routers campaign before this one. Relays campaign first, in an
    /// order of data centres that differs between services.
    pub(super) fn rank(&self, service: &str) -> u32 {
        if self.relay_to_follow().is_some() {
            return u32::MAX;
        }
        let mix = |data_centre: &str| {
            let mut hasher = DefaultHasher::new();
            (data_centre, service).hash(&mut hasher);
            hasher.finish()
        };
        let own = mix(&self.settings.data_centre);
        let state = self.state.borrow();
        let mut before: Vec<&Arc<str>> = state
            .routers
            .values()
            .map(|router| &router.data_centre)
            .filter(|data_centre| mix(data_centre) < own)
            .collect();
        before.sort();
        before.dedup();
        before.len() as u32
    }
}
