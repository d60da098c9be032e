//! Taking the duty, and being sure of earlier keepers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::{Leadership, Predecessor};
use eelgrassrock_ranges::leader::{Leader, Settings};
use eelgrassrock_ranges::map::Map;
use tokio::time::sleep;

use super::{CONFIRM_INTERVAL, REPORT_INTERVAL, STORE_PAUSE, duty_row, read_duty};
use crate::clock;
use crate::node::Node;
use crate::seam::{Commit, Platform, Table, Transaction};

/// Longest time for which a grant holds, if the platform allows it: a holder
/// that is lost without a sign gives its keys back after that.
const HOLD: Duration = Duration::from_secs(3);
/// Authority of a keeper as a share of the longest grant. With the hold it
/// bridges a store outage of nine tenths of that; longer, keys on their way
/// wait longer when a keeper is lost without a sign.
const AUTHORITY_SHARE: f64 = 0.6;
/// Time after which a holder that answers nothing loses its keys.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time without a new router before a duty that nobody ever had is taken: routers
/// that start together know by then which of them are relays, on large VMs.
const FIRST_STAND: Duration = Duration::from_millis(1_000);
/// Pause between two tries to learn whether an earlier keeper has stopped.
const PROOF_PAUSE: Duration = Duration::from_millis(250);

impl<P: Platform> Node<P> {
    pub(super) fn next_stand(&self, service: &Arc<str>, now: Instant) -> Duration {
        if !self.may_stand(service, now) {
            return REPORT_INTERVAL;
        }
        let at = self
            .seat(service, |seat| seat.election.campaign_at())
            .flatten();
        at.map_or(REPORT_INTERVAL, |at| {
            (at - now).max(Duration::from_millis(5))
        })
    }

    /// Whether this router may take the duty of a service.
    fn may_stand(&self, service: &Arc<str>, now: Instant) -> bool {
        let had = self.seat(service, |seat| seat.election.leadership().is_some());
        let routers_settled = || {
            let changed = self.relay.changed(Table::Routers);
            changed.is_some_and(|at| now - at >= FIRST_STAND)
        };
        // Without the store the duty can't be taken. It also says that the router
        // isn't about to stop.
        self.hears_from_store() && (had == Some(true) || routers_settled())
    }

    pub(super) fn stand_if_due(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        if !self.may_stand(service, now) {
            return;
        }
        let address = self.settings.peer;
        let due = self.seat(service, |seat| {
            let due = if seat.standing {
                None
            } else {
                seat.election.poll(address, now)
            };
            seat.standing |= due.is_some();
            due
        });
        if let Some(Some(_)) = due {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.stand(&service).await;
                node.seat(&service, |seat| seat.standing = false);
                node.wake(&service);
            });
        }
    }

    /// Tries to take the duty.
    pub(super) async fn stand(self: &Rc<Self>, service: &Arc<str>) {
        let era = self.era.get();
        // The era may have changed since this router was due to stand.
        let address = self.settings.peer;
        let claim = self.seat(service, |seat| seat.election.claim(address));
        let Some((duty, version)) = claim else {
            return;
        };
        let key = duty_row(era, service);
        let asked = clock::now();
        let Ok(value) = postcard::to_allocvec(&duty) else {
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
                let Ok(found) = row.map(|row| row.and_then(|row| read_duty(&row))) else {
                    return;
                };
                let own = found
                    .as_ref()
                    .filter(|(found, _)| *found == duty)
                    .map(|(_, at)| *at);
                if own.is_none() {
                    self.learn_duty(service, found);
                }
                own
            }
            Commit::NotDone(_) => None,
        };
        if let Some(version) = taken
            && let Some((map, asked)) = self.read_own_map(service, &duty, asked).await
        {
            self.begin(service, duty, version, map, asked);
        }
    }

    /// Reads the map of a duty that was ours at `asked`. Returns it, and when the
    /// duty was last known to be ours; `None` if another router has it meanwhile
    /// or this one stops.
    async fn read_own_map(
        self: &Rc<Self>,
        service: &Arc<str>,
        duty: &Leadership,
        mut asked: Instant,
    ) -> Option<(Option<(Map, Revision)>, Instant)> {
        loop {
            if let Some(map) = self.read_map(service).await {
                return Some((map, asked));
            }
            // Without the map the duty can't be carried out; by the time the
            // store answers another router may have it.
            sleep(STORE_PAUSE).await;
            if self.is_stopping() {
                return None;
            }
            let again = clock::now();
            let era = self.era.get();
            let Ok(row) = self.read_row(&duty_row(era, service)).await else {
                continue;
            };
            if era != self.era.get() {
                return None;
            }
            match row.and_then(|row| read_duty(&row)) {
                Some((found, _)) if found == *duty => asked = again,
                found => {
                    self.learn_duty(service, found);
                    return None;
                }
            }
        }
    }

    /// Begins to carry out the duty, which is ours since `asked` at the latest.
    pub(super) fn begin(
        self: &Rc<Self>,
        service: &Arc<str>,
        duty: Leadership,
        version: Revision,
        map: Option<(Map, Revision)>,
        asked: Instant,
    ) {
        let now = clock::now();
        let is_lost = self.seat(service, |seat| {
            let known = seat.election.leadership();
            known.is_some_and(|(_, known)| *known > version)
        });
        if is_lost == Some(true) {
            return;
        }
        let settings = Settings {
            hold: HOLD.min(self.settings.max_hold),
            authority: self.settings.max_hold.mul_f64(AUTHORITY_SHARE),
            response_timeout: SILENCE,
        };
        let era = version.era;
        let read = map.as_ref().map(|(map, _)| map.clone());
        let mut keeper = match read {
            read if duty.is_recovering => Leader::recovering(settings, read, era, asked, now),
            None => Leader::first(settings, era, asked, now),
            Some(map) => Leader::successor(settings, map, era, asked, now),
        };
        // A former life of this process has ended.
        let mut formers = duty.predecessors.clone();
        formers.retain(|former| former.address != self.settings.peer);
        if formers.is_empty() {
            keeper.predecessor_stopped(now);
        }
        let term = duty.term;
        self.seat(service, |seat| {
            seat.election.learn(Some((duty, version)), 0, now);
            seat.keys.clear();
            seat.keeper = Some(keeper);
            seat.confirm_due = now + CONFIRM_INTERVAL;
            seat.confirming = false;
            seat.wake.notify_one();
        });
        if let Some((map, version)) = map {
            self.learn_map(service, map, version);
        }
        self.note_term(service, term, &self.settings.router, "taken");
        if !formers.is_empty() {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.prove_stopped(&service, formers, term).await;
            });
        }
    }

    /// Asks earlier keepers until all have certainly stopped.
    pub(super) async fn prove_stopped(
        self: Rc<Self>,
        service: &Arc<str>,
        mut formers: Vec<Predecessor>,
        term: u64,
    ) {
        loop {
            match self.keeper(service, |keeper| keeper.has_active_predecessor()) {
                None => return,
                Some(true) => {}
                Some(false) => {
                    // Their authority has run out.
                    self.clear_formers(service).await;
                    return;
                }
            }
            let mut active = Vec::new();
            for former in formers {
                if !self.peers.ask_to_yield(&former, service, term).await {
                    active.push(former);
                }
            }
            formers = active;
            if formers.is_empty() {
                let now = clock::now();
                self.keeper(service, |keeper| keeper.predecessor_stopped(now));
                self.note_term(
                    service,
                    term,
                    &self.settings.router,
                    "earlier keepers have stopped",
                );
                self.wake(service);
                self.clear_formers(service).await;
                return;
            }
            sleep(PROOF_PAUSE).await;
        }
    }

    /// Writes that no earlier keeper acts any more, so that no successor asks
    /// for them again.
    pub(super) async fn clear_formers(self: &Rc<Self>, service: &Arc<str>) {
        let duty = self
            .seat(service, |seat| seat.election.leadership().cloned())
            .flatten();
        let Some((mut duty, version)) = duty.filter(|(duty, _)| !duty.predecessors.is_empty())
        else {
            return;
        };
        duty.predecessors.clear();
        self.rewrite_duty(service, duty, version).await;
    }

    /// Writes a change of the own duty, whose row has this version.
    pub(super) async fn rewrite_duty(
        self: &Rc<Self>,
        service: &Arc<str>,
        duty: Leadership,
        version: Revision,
    ) {
        let Ok(value) = postcard::to_allocvec(&duty) else {
            return;
        };
        let key = duty_row(version.era, service);
        let transaction = Transaction {
            era: version.era,
            expected: vec![(key.clone(), version)],
            put: vec![(key, value.into())],
            remove: Vec::new(),
        };
        if let Commit::Done(version) = self.write_rows(&transaction).await {
            self.learn_duty(service, Some((duty, version)));
        }
    }

    /// Number of routers that stand for a duty before this one. Relays stand
    /// first, in an order of data centres that differs from service to
    /// service.
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
