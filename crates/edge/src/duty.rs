//! The duty of granting keys: standing for it, carrying it out, giving it up.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::{Contact, Duty, Election, Former};
use eelgrassrock_ranges::keeper::{self, Action, Keeper, Order, Outcome, Settings};
use eelgrassrock_ranges::map::{Life, Map};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::node::Node;
use crate::peer::Report;
use crate::seam::{Commit, Name, Platform, Row, Table, Transaction};
use crate::watch::DUTY;

/// Longest time for which a grant holds, if the platform allows it: a holder
/// that is lost without a sign gives its keys back after that.
const HOLD: Duration = Duration::from_secs(3);
/// Time after which a holder that answers nothing loses its keys.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time between two looks of a keeper at what is due.
const KEEPER_TICK: Duration = Duration::from_millis(40);
/// Time between two reports to the keeper.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two questions to the store whether the duty is still ours.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two tries to learn whether an earlier keeper has stopped.
const PROOF_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_millis(150);
/// Keys that are kept for one report. More are sampled by leaving out the rest.
const MAX_REPORTED_KEYS: usize = 4_096;
/// Time that calls under way get when the duty is given up.
const HAND_OVER_TIME: Duration = Duration::from_millis(350);

/// Duties of all services whose keys are divided.
#[derive(Default)]
pub(crate) struct Duties {
    services: RefCell<IndexMap<Arc<str>, Seat>>,
}

/// Answers of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) upstream: Arc<str>,
    pub(crate) answers: u32,
    pub(crate) total_ms: u32,
}

/// What this router has to do with the duty of one service.
struct Seat {
    election: Election,
    keeper: Option<Keeper>,
    /// Calls of the keeper that are under way.
    calls: Vec<AbortHandle>,
    keys: Vec<u16>,
    /// Answers that weren't told yet, or that the keeper has not used.
    paces: IndexMap<Arc<str>, (u32, u32)>,
    confirm_due: Instant,
    confirming: bool,
    standing: bool,
    /// Whether all grants were answered when the duty was last given up.
    left_clean: bool,
    wake: Rc<Notify>,
}

#[derive(Serialize)]
struct Term<'a> {
    service: &'a str,
    term: u64,
    router: &'a str,
    reason: &'a str,
}

#[derive(Serialize)]
struct Call<'a> {
    service: &'a str,
    upstream: &'a str,
    from: u16,
    to: u16,
    fence: u64,
    outcome: &'a str,
    elapsed_ms: u64,
}

#[derive(Serialize)]
struct Plan<'a> {
    service: &'a str,
    ranges: usize,
    moving: usize,
    version: u64,
    outcome: &'a str,
}

impl Duties {
    /// Counts a request for a key.
    pub(crate) fn record(&self, service: &Arc<str>, key: u16) {
        if let Some(seat) = self.services.borrow_mut().get_mut(service) {
            if let Some(keeper) = &mut seat.keeper {
                keeper.record([key]);
            } else if seat.keys.len() < MAX_REPORTED_KEYS {
                seat.keys.push(key);
            }
        }
    }

    /// Counts an answer of an upstream.
    pub(crate) fn record_pace(&self, service: &Arc<str>, upstream: &Arc<str>, span: Duration) {
        let pace = Pace {
            upstream: Arc::clone(upstream),
            answers: 1,
            total_ms: span.as_millis() as u32,
        };
        self.absorb_paces(service, &[pace]);
    }

    /// Counts answers that another router got.
    pub(crate) fn absorb_paces(&self, service: &Arc<str>, paces: &[Pace]) {
        let mut services = self.services.borrow_mut();
        let Some(seat) = services.get_mut(service) else {
            return;
        };
        for pace in paces {
            let sum = seat.paces.entry(Arc::clone(&pace.upstream)).or_default();
            sum.0 += pace.answers;
            sum.1 = sum.1.saturating_add(pace.total_ms);
        }
    }

    /// Takes the answers that were counted since the last time.
    pub(crate) fn take_paces(&self) -> Vec<(Arc<str>, Vec<Pace>)> {
        let mut services = self.services.borrow_mut();
        let asked = services
            .iter_mut()
            .filter(|(_, seat)| !seat.paces.is_empty());
        asked
            .map(|(name, seat)| (Arc::clone(name), seat.take_paces()))
            .collect()
    }

    /// Takes the keys that were asked for since the last time, with the keeper
    /// of each service.
    pub(crate) fn take_keys(&self) -> Vec<(Arc<str>, SocketAddr, Vec<u16>)> {
        let mut services = self.services.borrow_mut();
        let asked = services
            .iter_mut()
            .filter(|(_, seat)| !seat.keys.is_empty());
        let told = asked.filter_map(|(name, seat)| {
            let address = seat.election.duty()?.0.address;
            Some((Arc::clone(name), address, std::mem::take(&mut seat.keys)))
        });
        told.collect()
    }

    /// Whether this router grants the keys of a service.
    pub(crate) fn is_keeper(&self, service: &str) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|seat| seat.keeper.is_some())
    }

    /// Counts keys that another router was asked for.
    pub(crate) fn hear(&self, service: &Arc<str>, keys: &[u16]) {
        let mut services = self.services.borrow_mut();
        if let Some(keeper) = services
            .get_mut(service)
            .and_then(|seat| seat.keeper.as_mut())
        {
            keeper.record(keys.iter().copied());
        }
    }

    /// Whether this router is the keeper and may act.
    pub(crate) fn acts(&self, service: &Arc<str>) -> bool {
        let services = self.services.borrow();
        let keeper = services.get(service).and_then(|seat| seat.keeper.as_ref());
        keeper.is_some_and(|keeper| keeper.has_authority(clock::now()))
    }

    /// Gives the duty up to a later term. Returns whether all grants were
    /// answered, `None` if this process has not had it.
    pub(crate) fn give_up(&self, service: &Arc<str>, term: u64) -> Option<bool> {
        let mut services = self.services.borrow_mut();
        let seat = services.get_mut(service)?;
        let own = seat
            .election
            .duty()
            .is_some_and(|(duty, _)| duty.term >= term);
        if seat.keeper.is_some() && seat.election.is_own() && own {
            return None;
        }
        seat.drop_keeper();
        Some(seat.left_clean)
    }
}

impl Seat {
    fn new(router: Arc<str>, incarnation: u64, now: Instant) -> Self {
        Self {
            election: Election::new(router, incarnation, now),
            keeper: None,
            calls: Vec::new(),
            keys: Vec::new(),
            paces: IndexMap::new(),
            confirm_due: now,
            confirming: false,
            standing: false,
            left_clean: false,
            wake: Rc::new(Notify::new()),
        }
    }

    fn take_paces(&mut self) -> Vec<Pace> {
        let paces = std::mem::take(&mut self.paces).into_iter();
        let pace = |(upstream, (answers, total_ms))| Pace {
            upstream,
            answers,
            total_ms,
        };
        paces.map(pace).collect()
    }

    fn drop_keeper(&mut self) {
        if let Some(keeper) = self.keeper.take() {
            self.left_clean = keeper.is_clean(clock::now());
            self.calls.drain(..).for_each(|call| call.abort());
        }
    }
}

impl<P: Platform> Node<P> {
    /// Begins to tend the duty of a service, unless that is done already.
    pub(crate) fn tend(self: &Rc<Self>, service: &Arc<str>) {
        let mut services = self.duties.services.borrow_mut();
        if services.contains_key(service) {
            return;
        }
        let settings = &self.settings;
        let now = clock::now();
        let seat = Seat::new(Arc::clone(&settings.router), settings.incarnation, now);
        services.insert(Arc::clone(service), seat);
        let node = Rc::clone(self);
        let service = Arc::clone(service);
        tokio::task::spawn_local(async move {
            if let Some(Some((map, version))) = node.read_map(&service).await {
                node.learn_map(&service, map, version);
            }
            node.tend_forever(service).await;
        });
    }

    fn seat<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut Seat) -> T) -> Option<T> {
        self.duties.services.borrow_mut().get_mut(service).map(work)
    }

    fn keeper<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut Keeper) -> T) -> Option<T> {
        self.seat(service, |seat| seat.keeper.as_mut().map(work))
            .flatten()
    }

    fn wake(&self, service: &Arc<str>) {
        self.seat(service, |seat| seat.wake.notify_one());
    }

    /// Number of routers that stand for a duty before this one. Relays stand
    /// first, in an order of data centres that differs from service to
    /// service.
    fn rank(&self, service: &str) -> u32 {
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

    /// Takes what the store says of a duty.
    pub(crate) fn learn_duty(self: &Rc<Self>, service: &Arc<str>, duty: Option<(Duty, u64)>) {
        self.tend(service);
        let rank = self.rank(service);
        let line = duty
            .as_ref()
            .map(|(duty, _)| (duty.term, Arc::clone(&duty.router)));
        let lost = self.seat(service, |seat| {
            seat.election.learn(duty, rank, clock::now());
            let lost = seat.keeper.is_some() && !seat.election.is_own();
            if lost {
                seat.drop_keeper();
            }
            seat.wake.notify_one();
            lost
        });
        if let (Some(true), Some((term, router))) = (lost, line) {
            self.note_term(service, term, &router, "taken over by another router");
        }
    }

    fn note_term(&self, service: &str, term: u64, router: &str, reason: &str) {
        let line = Term {
            service,
            term,
            router,
            reason,
        };
        self.log.note("keeper", &line);
    }

    async fn tend_forever(self: Rc<Self>, service: Arc<str>) {
        let Some(wake) = self.seat(&service, |seat| Rc::clone(&seat.wake)) else {
            return;
        };
        let mut report_due = clock::now();
        loop {
            let now = clock::now();
            let is_keeper = self.keeper(&service, |_| ()).is_some();
            let pause = if is_keeper {
                self.drive(&service, now);
                KEEPER_TICK
            } else {
                if now >= report_due {
                    report_due = now + REPORT_INTERVAL;
                    if self.relay_to_follow().is_none() {
                        tokio::task::spawn_local(Rc::clone(&self).report(Arc::clone(&service)));
                    }
                }
                self.stand_if_due(&service, now);
                (report_due - now).min(self.next_stand(&service, now))
            };
            // Whichever comes first, there is something to look at.
            let _ = timeout(pause, wake.notified()).await;
        }
    }

    fn next_stand(&self, service: &Arc<str>, now: Instant) -> Duration {
        let at = self
            .seat(service, |seat| seat.election.stands_at())
            .flatten();
        at.map_or(REPORT_INTERVAL, |at| {
            (at - now).max(Duration::from_millis(5))
        })
    }

    fn stand_if_due(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        if self.is_stopping() {
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
        if let Some(Some((duty, version))) = due {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.stand(&service, duty, version).await;
                node.seat(&service, |seat| seat.standing = false);
                node.wake(&service);
            });
        }
    }

    /// Tries to take the duty.
    async fn stand(self: &Rc<Self>, service: &Arc<str>, duty: Duty, version: u64) {
        let key = duty_row(service);
        let before = self
            .seat(service, |seat| seat.election.duty().cloned())
            .flatten();
        let asked = clock::now();
        let Ok(value) = postcard::to_allocvec(&duty) else {
            return;
        };
        let transaction = Transaction {
            expected: vec![(key.clone(), version)],
            put: vec![(key.clone(), value.into())],
            remove: Vec::new(),
        };
        let taken = match self.platform.commit(&transaction).await {
            Commit::Done(version) => Some(version),
            Commit::Conflict | Commit::Unknown(_) => {
                let row = self.platform.row(&key).await;
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
        let Some(version) = taken else {
            return;
        };
        let Some(map) = self.read_map(service).await else {
            // Without the map the duty can't be carried out; another try
            // follows as soon as the store answers.
            return;
        };
        self.begin(service, duty, version, before, map, asked);
    }

    /// Reads the map of a service; the inner `None` says that there is none.
    async fn read_map(&self, service: &Arc<str>) -> Option<Option<(Map, u64)>> {
        let row = self.platform.row(&map_row(service)).await.ok()?;
        let Some(row) = row else {
            return Some(None);
        };
        let map = read_map(&row);
        if map.is_none() {
            self.log.warn(
                "map unreadable",
                &Plan {
                    service,
                    ranges: 0,
                    moving: 0,
                    version: row.version,
                    outcome: "unreadable",
                },
            );
        }
        map.map(Some)
    }

    /// Begins to carry out the duty, which is ours since `asked` at the latest.
    fn begin(
        self: &Rc<Self>,
        service: &Arc<str>,
        duty: Duty,
        version: u64,
        before: Option<(Duty, u64)>,
        map: Option<(Map, u64)>,
        asked: Instant,
    ) {
        let now = clock::now();
        let settings = Settings {
            hold: HOLD.min(self.settings.max_hold),
            authority: self.settings.max_hold,
            silence: SILENCE,
        };
        let mut keeper = match &map {
            None => Keeper::first(settings, asked, now),
            Some((map, _)) => Keeper::successor(settings, map.clone(), asked, now),
        };
        // A former life of this process has ended.
        let mut formers = duty.formers.clone();
        formers.retain(|former| former.address != self.settings.peer);
        if formers.is_empty() {
            let released = before.and_then(|(before, _)| before.released);
            let is_clean = released == Some(true) && duty.formers.is_empty();
            keeper.predecessor_stopped(is_clean, now);
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
    async fn prove_stopped(
        self: Rc<Self>,
        service: &Arc<str>,
        mut formers: Vec<Former>,
        term: u64,
    ) {
        let mut is_clean = true;
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
                match self.peers.ask_to_yield(&former, service, term).await {
                    Some(clean) => is_clean &= clean,
                    None => active.push(former),
                }
            }
            formers = active;
            if formers.is_empty() {
                let now = clock::now();
                self.keeper(service, |keeper| keeper.predecessor_stopped(is_clean, now));
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
    async fn clear_formers(self: &Rc<Self>, service: &Arc<str>) {
        let duty = self
            .seat(service, |seat| seat.election.duty().cloned())
            .flatten();
        let Some((mut duty, version)) = duty.filter(|(duty, _)| !duty.formers.is_empty()) else {
            return;
        };
        duty.formers.clear();
        let Ok(value) = postcard::to_allocvec(&duty) else {
            return;
        };
        let transaction = Transaction {
            expected: vec![(duty_row(service), version)],
            put: vec![(duty_row(service), value.into())],
            remove: Vec::new(),
        };
        if let Commit::Done(version) = self.platform.commit(&transaction).await {
            self.learn_duty(service, Some((duty, version)));
        }
    }

    /// Does what is due as the keeper.
    fn drive(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        let upstreams = self.upstreams(service);
        let paces = self.seat(service, Seat::take_paces).unwrap_or_default();
        let done = self.keeper(service, |keeper| {
            for pace in paces {
                let span = Duration::from_millis(u64::from(pace.total_ms));
                keeper.record_answers(&pace.upstream, pace.answers, span);
            }
            keeper.set_upstreams(upstreams);
            (keeper.poll(now), keeper.admitted_shares().to_vec())
        });
        let Some((actions, shares)) = done else {
            return;
        };
        self.learn_shares(service, shares);
        for action in actions {
            self.act(service, action);
        }
        let confirm = self.seat(service, |seat| {
            let due = now >= seat.confirm_due && !seat.confirming;
            seat.confirming |= due;
            due
        });
        if confirm == Some(true) {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.confirm(&service).await;
                let due = clock::now() + CONFIRM_INTERVAL;
                node.seat(&service, |seat| {
                    seat.confirming = false;
                    seat.confirm_due = due;
                });
            });
        }
    }

    fn upstreams(&self, service: &Arc<str>) -> Vec<keeper::Upstream> {
        let state = self.state.borrow();
        let upstream = |upstream: Arc<Upstream>| keeper::Upstream {
            life: Life {
                upstream: Arc::clone(&upstream.id),
                incarnation: upstream.incarnation,
            },
            slots: upstream.slots,
            leaving: upstream.leaving,
        };
        state.book.of(service).into_iter().map(upstream).collect()
    }

    fn act(self: &Rc<Self>, service: &Arc<str>, action: Action) {
        let node = Rc::clone(self);
        let name = Arc::clone(service);
        let task = match action {
            Action::Grant {
                order,
                hold,
                handover,
            } => tokio::task::spawn_local(async move {
                let started = clock::now();
                let outcome = match node.address(&order.life) {
                    Some(address) => {
                        node.platform
                            .grant(address, &order, hold, handover.as_deref())
                            .await
                    }
                    None => Outcome::NotSent,
                };
                let now = clock::now();
                node.note_call("grant", &name, &order, &outcome, now - started);
                node.keeper(&name, |keeper| keeper.granted(&order, &outcome, now));
                node.wake(&name);
            }),
            Action::Release(order) => tokio::task::spawn_local(async move {
                let started = clock::now();
                let outcome = match node.address(&order.life) {
                    Some(address) => node.platform.release(address, &order).await,
                    None => Outcome::NotSent,
                };
                let now = clock::now();
                node.note_call("release", &name, &order, &outcome, now - started);
                node.keeper(&name, |keeper| keeper.released(&order, &outcome, now));
                node.wake(&name);
            }),
            Action::Commit(map) => tokio::task::spawn_local(async move {
                node.commit(&name, map).await;
                node.wake(&name);
            }),
        };
        self.seat(service, |seat| {
            seat.calls.retain(|call| !call.is_finished());
            seat.calls.push(task.abort_handle());
        });
    }

    fn address(&self, life: &Life) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let upstream = state.book.get(&life.upstream)?;
        (upstream.incarnation == life.incarnation).then_some(upstream.address)
    }

    /// First grants, releases and failures get a line, renewals don't.
    fn note_call(
        &self,
        event: &str,
        service: &str,
        order: &Order,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        let text = match outcome {
            Outcome::Done { .. } if event == "grant" => return,
            Outcome::Done { .. } => "done",
            Outcome::Fenced => "fenced",
            Outcome::NotSent => "not sent",
            Outcome::Unknown => "unknown",
        };
        let line = Call {
            service,
            upstream: &order.life.upstream,
            from: order.from,
            to: order.to,
            fence: order.fence,
            outcome: text,
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.log.note(event, &line);
    }

    /// Writes a map if the duty is ours and the map has not changed.
    async fn commit(self: &Rc<Self>, service: &Arc<str>, map: Map) {
        let asked = clock::now();
        let duty = self
            .seat(service, |seat| seat.election.duty().map(|(_, at)| *at))
            .flatten();
        let known = self
            .state
            .borrow()
            .maps
            .get(service)
            .map_or(0, |(_, version)| *version);
        let (Some(duty), Ok(value)) = (duty, postcard::to_allocvec(&map)) else {
            return;
        };
        let map_key = map_row(service);
        let transaction = Transaction {
            expected: vec![(duty_row(service), duty), (map_key.clone(), known)],
            put: vec![(map_key, Bytes::from(value))],
            remove: Vec::new(),
        };
        let end = self.platform.commit(&transaction).await;
        let moving = map
            .ranges
            .iter()
            .filter(|range| range.source.is_some())
            .count();
        let (outcome, version) = match &end {
            Commit::Done(version) => ("done", *version),
            Commit::Conflict => ("conflict", 0),
            Commit::NotDone(_) => ("not done", 0),
            Commit::Unknown(_) => ("unknown", 0),
        };
        self.log.note(
            "map",
            &Plan {
                service,
                ranges: map.ranges.len(),
                moving,
                version,
                outcome,
            },
        );
        match end {
            Commit::Done(version) => {
                self.keeper(service, |keeper| keeper.committed(asked));
                self.publish_map(service, &map, version);
                self.learn_map(service, map, version);
            }
            Commit::NotDone(_) => {
                sleep(STORE_PAUSE).await;
                self.keeper(service, Keeper::not_committed);
            }
            Commit::Conflict | Commit::Unknown(_) => self.read_back(service).await,
        }
    }

    /// Reads what the store holds after a commit whose end isn't known.
    async fn read_back(self: &Rc<Self>, service: &Arc<str>) {
        loop {
            let asked = clock::now();
            if !self.confirm(service).await {
                if self.keeper(service, |_| ()).is_none() {
                    return;
                }
                sleep(STORE_PAUSE).await;
                continue;
            }
            match self.read_map(service).await {
                Some(Some((map, version))) => {
                    self.keeper(service, |keeper| keeper.adopt(map.clone(), asked));
                    self.learn_map(service, map, version);
                    return;
                }
                Some(None) => {
                    self.keeper(service, Keeper::not_committed);
                    return;
                }
                None => sleep(STORE_PAUSE).await,
            }
        }
    }

    /// Asks the store whether the duty is still ours. Returns `true` if so,
    /// `false` if it isn't or the store doesn't answer.
    async fn confirm(self: &Rc<Self>, service: &Arc<str>) -> bool {
        let asked = clock::now();
        let Ok(row) = self.platform.row(&duty_row(service)).await else {
            return false;
        };
        self.learn_duty(service, row.as_ref().and_then(read_duty));
        let is_own = self.seat(service, |seat| seat.election.is_own()) == Some(true);
        if is_own {
            self.keeper(service, |keeper| keeper.confirm(asked));
        }
        is_own
    }

    /// Tells the keeper which keys were asked for, and hears from it.
    async fn report(self: Rc<Self>, service: Arc<str>) {
        let taken = self.seat(&service, |seat| {
            let duty = seat.election.duty().map(|(duty, _)| duty.clone());
            (duty, seat.take_paces())
        });
        let Some((Some(duty), paces)) = taken else {
            // Nobody has had the duty: a look at the store tells.
            self.find_duty(&service).await;
            return;
        };
        if duty.released.is_some() || duty.router == self.settings.router {
            self.find_duty(&service).await;
            return;
        }
        let map_version = self
            .state
            .borrow()
            .maps
            .get(&service)
            .map_or(0, |(_, version)| *version);
        let report = Report {
            router: Arc::clone(&self.settings.router),
            service: Arc::clone(&service),
            paces,
            map_version,
        };
        let (contact, map, shares) = self.peers.report(&duty, &report).await;
        if let Some((map, version)) = map.filter(|(map, _)| map.check().is_ok()) {
            self.learn_map(&service, map, version);
        }
        if contact == Contact::Serving {
            self.learn_shares(&service, shares);
        }
        let rank = self.rank(&service);
        self.seat(&service, |seat| {
            let still = seat
                .election
                .duty()
                .is_some_and(|(now, _)| now.term == duty.term);
            if still {
                seat.election.contact(contact, rank, clock::now());
            }
            seat.wake.notify_one();
        });
    }

    async fn find_duty(self: &Rc<Self>, service: &Arc<str>) {
        if let Ok(row) = self.platform.row(&duty_row(service)).await {
            self.learn_duty(service, row.as_ref().and_then(read_duty));
        }
    }

    /// Gives up all duties before the process ends.
    pub(crate) async fn hand_over(self: &Rc<Self>) {
        let services: Vec<Arc<str>> = self.duties.services.borrow().keys().cloned().collect();
        for service in services {
            // Without the store nobody else can take the duty over, so it is
            // carried out until the store answers or the process ends.
            while self.keeper(&service, |_| ()).is_some() {
                if self.confirm(&service).await {
                    self.release_duty(&service).await;
                    break;
                }
                sleep(STORE_PAUSE).await;
            }
        }
    }

    async fn release_duty(self: &Rc<Self>, service: &Arc<str>) {
        let duty = self.seat(service, |seat| {
            let duty = seat.election.duty().cloned();
            let calls: Vec<AbortHandle> = seat.calls.clone();
            (duty, calls)
        });
        let Some((Some((mut duty, version)), calls)) = duty else {
            return;
        };
        let give_up = clock::now() + HAND_OVER_TIME;
        while calls.iter().any(|call| !call.is_finished()) && clock::now() < give_up {
            sleep(KEEPER_TICK / 4).await;
        }
        let is_sure = self.keeper(service, |keeper| !keeper.has_active_predecessor());
        let is_sure = is_sure == Some(true);
        let is_clean = self.seat(service, |seat| {
            seat.drop_keeper();
            seat.left_clean
        });
        duty.released = is_clean;
        if is_sure {
            duty.formers.clear();
        }
        let key = duty_row(service);
        let Ok(value) = postcard::to_allocvec(&duty) else {
            return;
        };
        let transaction = Transaction {
            expected: vec![(key.clone(), version)],
            put: vec![(key, value.into())],
            remove: Vec::new(),
        };
        // If this fails, others find out by themselves that nobody answers.
        let _ = self.platform.commit(&transaction).await;
        self.note_term(service, duty.term, &self.settings.router, "given up");
    }
}

fn duty_row(service: &str) -> Name {
    Name::new(Table::Routers, format!("{DUTY}{service}"))
}

fn map_row(service: &str) -> Name {
    Name::new(Table::Maps, service)
}

fn read_duty(row: &Row) -> Option<(Duty, u64)> {
    let duty = postcard::from_bytes(row.value.as_ref()?).ok()?;
    Some((duty, row.version))
}

fn read_map(row: &Row) -> Option<(Map, u64)> {
    let map: Map = postcard::from_bytes(row.value.as_ref()?).ok()?;
    map.check().is_ok().then_some((map, row.version))
}
