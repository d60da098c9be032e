//! The rules by which keys change hands.
//!
//! 1. A grant follows a map that is in the store. A change of the map is
//!    written before anything is granted under it.
//! 2. Keys go to a new holder only when the earlier one can't have them any
//!    more: it released them and no unanswered grant of them can still take
//!    effect, or all grants have run out by the slowest clock allowed, or its
//!    process has ended.
//! 3. A keeper grants only while it has *authority*: for a bounded time after
//!    it sent the last question to which the store answered that the duty is
//!    its own. A successor renews what the map says at once, under new fencing
//!    tokens: a holder that took one refuses all that the predecessor may
//!    still send. Only keys whose holder can't be reached, and keys that were
//!    on their way, wait until the predecessor has provably stopped or its
//!    authority has run out.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use crate::lease::Lease;
pub use crate::lease::Outcome;
use crate::map::{Life, Map, Range};
use crate::pace::Paces;
use crate::plan::{self, Candidate};
use crate::weights::{Load, Weights};

/// Share by which the slowest clock of an upstream may lag behind ours.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to every bound, for the time from the last look at our clock until a
/// call that is given up has arrived.
const SLACK: Duration = Duration::from_millis(300);
/// Renewals in the time of one grant, so that two may fail.
const RENEWALS_PER_HOLD: u32 = 4;
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Pause after a call to an upstream that couldn't be reached.
const UNREACHED_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks for a better map.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// Ranges that may move at a time, as a share of the upstreams.
const MOVES_PER_UPSTREAM: f64 = 0.34;
/// Share of the upstreams whose silence is taken for a fault of the keeper's
/// own network.
const ISOLATED_SHARE: f64 = 0.6;

/// Standard deviations of the counts by which a holder must be asked for more
/// than it can serve to be called overloaded.
const OVERLOAD_DEVIATIONS: f64 = 1.0;
/// Share of its capacity above which an upstream counts as busy.
const BUSY_SHARE: f64 = 0.6;
/// Time for which a range that has just changed hands stays, unless it must
/// go: until the load has been counted with it in its place.
const MIN_STAY: Duration = Duration::from_millis(1_500);
/// Smallest share of requests that an overloaded holder is sent, and the steps
/// in which shares are told.
const MIN_SHARE: f64 = 0.2;
const SHARE_STEP: f64 = 0.05;

/// Times that bound the grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a grant holds.
    pub hold: Duration,
    /// Time for which a keeper may act after its last contact with the store.
    pub authority: Duration,
    /// Time after which a holder that answers nothing loses its keys.
    pub silence: Duration,
}

/// Order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Life of the upstream that it is for.
    pub life: Life,
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token.
    pub fence: u64,
}

/// Upstream of the service, as the registry lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its present life.
    pub life: Life,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a grant, and report its end with [`Keeper::granted`].
    Grant {
        /// Whom and what.
        order: Order,
        /// Time for which it holds.
        hold: Duration,
        /// Token of the holder before.
        handover: Option<Arc<str>>,
    },
    /// Take keys back, and report the end with [`Keeper::released`].
    Release(Order),
    /// Write the map if neither the duty nor the map has changed, and report
    /// the end with [`Keeper::committed`], [`Keeper::adopt`], or by dropping
    /// the keeper.
    Commit(Map),
}

/// What an earlier keeper may have left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Inherited {
    /// It may still act, until this instant at the latest.
    Active { until: Instant },
    /// It has stopped; its grants may be in force until then.
    Stopped {
        answered_until: Instant,
        unanswered_until: Instant,
    },
}

/// Range that changes hands.
#[derive(Clone, Debug)]
struct Transfer {
    from: u16,
    to: u16,
    fence: u64,
    released: bool,
    handover: Option<Arc<str>>,
    in_flight: bool,
    due: Instant,
    /// Whether the source can't have the keys any more.
    cleared: bool,
}

/// The router that grants the keys of one service.
#[derive(Debug)]
pub struct Keeper {
    settings: Settings,
    map: Map,
    draft: Option<Map>,
    leases: Vec<Lease>,
    transfers: Vec<Transfer>,
    upstreams: Vec<Upstream>,
    paces: Paces,
    shares: Vec<(Arc<str>, f32)>,
    /// Upstreams of which much of the capacity is used.
    busy: HashSet<Arc<str>>,
    /// When the grants of new fencing tokens were first answered.
    granted_at: HashMap<u64, Instant>,
    inherited: Inherited,
    /// Whether the fencing tokens of an earlier keeper are still in the map.
    is_inherited: bool,
    /// Ranges that holders took under fencing tokens of this keeper.
    fenced_off: Vec<(Life, u16, u16)>,
    /// Lowest fencing token of this keeper.
    first_fence: u64,
    authority_until: Instant,
    weights: Weights,
    plan_due: Instant,
    /// Keys whose holder has seen a higher fencing token than ours.
    fenced: Option<Order>,
}

impl Keeper {
    /// Creates the keeper of a service that never had one.
    pub fn first(settings: Settings, asked: Instant, now: Instant) -> Self {
        let stopped = Inherited::Stopped {
            answered_until: now,
            unanswered_until: now,
        };
        Self::new(settings, Map::unowned(), stopped, asked, now)
    }

    /// Creates a keeper that took the duty over at `now`, with the map that it
    /// read after that. The store was asked for the duty at `asked`.
    pub fn successor(settings: Settings, map: Map, asked: Instant, now: Instant) -> Self {
        let until = now + settings.authority + SLACK;
        Self::new(settings, map, Inherited::Active { until }, asked, now)
    }

    fn new(
        settings: Settings,
        map: Map,
        inherited: Inherited,
        asked: Instant,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            is_inherited: map.next_fence > 1,
            fenced_off: Vec::new(),
            first_fence: map.next_fence,
            map,
            draft: None,
            leases: Vec::new(),
            transfers: Vec::new(),
            upstreams: Vec::new(),
            paces: Paces::default(),
            shares: Vec::new(),
            busy: HashSet::new(),
            granted_at: HashMap::new(),
            inherited,
            authority_until: asked + settings.authority,
            weights: Weights::new(now),
            plan_due: now,
            fenced: None,
        }
    }

    /// Returns the map in force.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Notes that the store, asked at `asked`, said that the duty is ours.
    pub fn confirm(&mut self, asked: Instant) {
        let until = asked + self.settings.authority;
        self.authority_until = self.authority_until.max(until);
    }

    /// Whether the keeper may act.
    pub fn has_authority(&self, now: Instant) -> bool {
        now < self.authority_until
    }

    /// Notes that the predecessor has stopped for good. `is_clean` says that
    /// every grant it sent was answered.
    pub fn predecessor_stopped(&mut self, is_clean: bool, now: Instant) {
        if let Inherited::Active { .. } = self.inherited {
            let until = now + self.longest_hold();
            self.inherited = Inherited::Stopped {
                answered_until: until,
                unanswered_until: if is_clean { now } else { until },
            };
        }
    }

    /// Whether the predecessor may still act.
    pub fn has_active_predecessor(&self) -> bool {
        matches!(self.inherited, Inherited::Active { .. })
    }

    /// Replaces the list of upstreams whose process is taken to run.
    pub fn set_upstreams(&mut self, upstreams: Vec<Upstream>) {
        self.upstreams = upstreams;
    }

    /// Counts answers of an upstream that took `total` together.
    pub fn record_answers(&mut self, upstream: &Arc<str>, answers: u32, total: Duration) {
        let is_busy = self.busy.contains(upstream);
        self.paces.record(upstream, answers, total, is_busy);
    }

    /// Returns, for each holder that is asked for more than it can serve, the
    /// share that it can serve.
    pub fn admitted_shares(&self) -> &[(Arc<str>, f32)] {
        &self.shares
    }

    /// Counts one request for each of these keys.
    pub fn record(&mut self, keys: impl IntoIterator<Item = u16>) {
        self.weights.record(keys);
    }

    /// Whether every grant so far was answered, so that nothing of this keeper
    /// can take effect after a release.
    pub fn is_clean(&self, now: Instant) -> bool {
        let settled = |lease: &Lease| !lease.in_flight && lease.until(true) <= now;
        self.leases.iter().all(settled)
    }

    /// Returns what is to be done now.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.has_authority(now) {
            return actions;
        }
        self.expire_predecessor(now);
        self.drop_old_leases(now);
        self.transfer(now, &mut actions);
        self.renew(now, &mut actions);
        if self.draft.is_none() {
            let next = self
                .fence_off()
                .or_else(|| self.settle())
                .or_else(|| self.refence());
            if let Some(map) = next.or_else(|| self.plan(now)) {
                self.draft = Some(map.clone());
                actions.push(Action::Commit(map));
            }
        }
        actions
    }

    /// Notes the end of a grant.
    pub fn granted(&mut self, order: &Order, outcome: &Outcome, now: Instant) {
        let longest = self.longest_hold();
        let renewal = self.settings.hold / RENEWALS_PER_HOLD;
        let same = |lease: &&mut Lease| {
            lease.life == order.life
                && (lease.from, lease.to, lease.fence) == (order.from, order.to, order.fence)
        };
        let Some(lease) = self.leases.iter_mut().find(same) else {
            return;
        };
        lease.end(outcome, longest, now);
        let is_done = matches!(outcome, Outcome::Done { .. });
        if is_done {
            self.granted_at.entry(order.fence).or_insert(now);
        }
        if is_done && order.fence >= self.first_fence {
            let taken = (order.life.clone(), order.from, order.to);
            if !self.fenced_off.contains(&taken) {
                self.fenced_off.push(taken);
            }
        }
        lease.due = match outcome {
            Outcome::Done { .. } => now + renewal,
            Outcome::Fenced => now + renewal,
            Outcome::NotSent => now + UNREACHED_PAUSE,
            Outcome::Unknown => now + RETRY_PAUSE,
        };
        if *outcome == Outcome::Fenced {
            self.fenced = Some(order.clone());
        }
    }

    /// Notes the end of a release.
    pub fn released(&mut self, order: &Order, outcome: &Outcome, now: Instant) {
        let same = |transfer: &&mut Transfer| {
            (transfer.from, transfer.to) == (order.from, order.to) && transfer.in_flight
        };
        let Some(transfer) = self.transfers.iter_mut().find(same) else {
            return;
        };
        transfer.in_flight = false;
        match outcome {
            Outcome::Done { handover } => {
                transfer.released = true;
                transfer.handover.clone_from(handover);
            }
            Outcome::NotSent => transfer.due = now + UNREACHED_PAUSE,
            Outcome::Fenced | Outcome::Unknown => transfer.due = now + RETRY_PAUSE,
        }
    }

    /// Notes that the map of the last [`Action::Commit`] is in the store.
    pub fn committed(&mut self, asked: Instant) {
        self.confirm(asked);
        if let Some(map) = self.draft.take() {
            self.map = map;
            self.forget_transfers();
        }
    }

    /// Takes the map that is in the store after a commit with unknown end, or
    /// one that didn't take effect.
    pub fn adopt(&mut self, map: Map, asked: Instant) {
        self.confirm(asked);
        self.draft = None;
        self.map = map;
        self.is_inherited = self.has_inherited_fences();
        self.forget_transfers();
    }

    /// Forgets a commit that certainly had no effect.
    pub fn not_committed(&mut self) {
        self.draft = None;
        self.is_inherited = self.has_inherited_fences();
    }

    /// Whether a range that stays with its holder has a fencing token of an
    /// earlier keeper.
    fn has_inherited_fences(&self) -> bool {
        let inherited = |range: &Range| {
            range.holder.is_some() && range.source.is_none() && range.fence < self.first_fence
        };
        self.map.ranges.iter().any(inherited)
    }

    fn forget_transfers(&mut self) {
        let map = &self.map;
        self.transfers.retain(|transfer| {
            let range = map.range(transfer.from);
            range.source.is_some()
                && (range.from, range.to, range.fence)
                    == (transfer.from, transfer.to, transfer.fence)
        });
    }

    /// Longest time for which a grant that arrives now is in force.
    fn longest_hold(&self) -> Duration {
        self.settings.hold.mul_f64(1.0 + CLOCK_DRIFT) + SLACK
    }

    fn expire_predecessor(&mut self, now: Instant) {
        if let Inherited::Active { until } = self.inherited
            && now >= until
        {
            self.predecessor_stopped(false, until);
        }
    }

    /// Drops leases that can't be in force and that the map doesn't name.
    fn drop_old_leases(&mut self, now: Instant) {
        if matches!(self.inherited, Inherited::Stopped { answered_until, .. } if now >= answered_until)
        {
            self.fenced_off.clear();
        }
        let map = &self.map;
        self.leases.retain(|lease| {
            let range = map.range(lease.from);
            let is_named = lease.is_of(range) && range.holder.as_ref() == Some(&lease.life);
            is_named || lease.in_flight || now < lease.until(false)
        });
    }

    /// Works on the ranges that change hands.
    fn transfer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for range in &self.map.ranges {
            let Some(source) = &range.source else {
                continue;
            };
            let known = self.transfers.iter().position(|transfer| {
                (transfer.from, transfer.to, transfer.fence) == (range.from, range.to, range.fence)
            });
            let index = known.unwrap_or_else(|| {
                self.transfers.push(Transfer::new(range, now));
                self.transfers.len() - 1
            });
            let transfer = &mut self.transfers[index];
            if transfer.cleared {
                continue;
            }
            let of_source = |lease: &&Lease| lease.life == source.life && lease.overlaps(range);
            let in_flight = self
                .leases
                .iter()
                .filter(of_source)
                .any(|lease| lease.in_flight);
            let own = self
                .leases
                .iter()
                .filter(of_source)
                .map(|lease| lease.until(transfer.released));
            let is_fenced_off = is_fenced_off(&self.fenced_off, &source.life, range);
            let inherited = match self.inherited {
                _ if is_fenced_off => now,
                Inherited::Active { .. } => continue,
                Inherited::Stopped {
                    unanswered_until, ..
                } if transfer.released => unanswered_until,
                Inherited::Stopped { answered_until, .. } => answered_until,
            };
            let until = own.max().unwrap_or(now).max(inherited);
            let has_restarted = self.upstreams.iter().any(|upstream| {
                let life = &upstream.life;
                life.upstream == source.life.upstream && life.incarnation != source.life.incarnation
            });
            if has_restarted
                || (!in_flight && now >= until && (transfer.released || !transfer.in_flight))
            {
                transfer.cleared = true;
            } else if !transfer.released && !transfer.in_flight && !in_flight && now >= transfer.due
            {
                transfer.in_flight = true;
                actions.push(Action::Release(Order {
                    life: source.life.clone(),
                    from: range.from,
                    to: range.to,
                    fence: source.fence,
                }));
            }
        }
    }

    /// Grants and renews what the map says.
    fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for range in &self.map.ranges {
            let Some(holder) = &range.holder else {
                continue;
            };
            let transfer = self.transfers.iter().find(|transfer| {
                (transfer.from, transfer.to, transfer.fence) == (range.from, range.to, range.fence)
            });
            if range.source.is_some() && !transfer.is_some_and(|transfer| transfer.cleared) {
                continue;
            }
            let is_listed = self
                .upstreams
                .iter()
                .any(|upstream| upstream.life == *holder);
            if !is_listed && !self.upstreams.is_empty() {
                // A renewal would only keep the keys away from others.
                continue;
            }
            let known = |lease: &Lease| lease.is_of(range) && lease.life == *holder;
            let index = self.leases.iter().position(known).unwrap_or_else(|| {
                let handover = transfer.and_then(|transfer| transfer.handover.clone());
                self.leases
                    .push(Lease::new(holder.clone(), range, handover, now));
                self.leases.len() - 1
            });
            let lease = &mut self.leases[index];
            if lease.in_flight || now < lease.due {
                continue;
            }
            lease.in_flight = true;
            actions.push(Action::Grant {
                order: Order {
                    life: holder.clone(),
                    from: range.from,
                    to: range.to,
                    fence: range.fence,
                },
                hold: self.settings.hold,
                handover: lease.handover.clone(),
            });
        }
    }

    /// Returns the map in which every range that stays with its holder has a
    /// fencing token of this keeper, once after it took over.
    fn fence_off(&mut self) -> Option<Map> {
        if !std::mem::take(&mut self.is_inherited) {
            return None;
        }
        let mut map = self.map.clone();
        for index in 0..map.ranges.len() {
            if map.ranges[index].holder.is_some() && map.ranges[index].source.is_none() {
                map.ranges[index].fence = map.take_fence();
            }
        }
        Some(map)
    }

    /// Returns the map in which every range that has reached its new holder is
    /// settled, if there are any.
    fn settle(&self) -> Option<Map> {
        let mut map = self.map.clone();
        let mut settled = false;
        for range in &mut map.ranges {
            if range.source.is_some() && self.is_granted(range) {
                range.source = None;
                settled = true;
            }
        }
        settled.then_some(map)
    }

    fn is_granted(&self, range: &Range) -> bool {
        let answered = |lease: &Lease| {
            lease.is_of(range) && Some(&lease.life) == range.holder.as_ref() && lease.is_answered()
        };
        self.leases.iter().any(answered)
    }

    fn plan(&mut self, now: Instant) -> Option<Map> {
        if now < self.plan_due || self.is_inherited {
            return None;
        }
        self.plan_due = now + PLAN_INTERVAL;
        let listed = self.upstreams.len();
        let usable: Vec<Candidate> = self
            .upstreams
            .iter()
            .filter(|upstream| !self.is_silent(&upstream.life, now))
            .map(|upstream| Candidate {
                life: upstream.life.clone(),
                capacity_per_s: self.paces.capacity_per_s(upstream),
                leaving: upstream.leaving,
            })
            .collect();
        if (listed - usable.len()) as f64 > ISOLATED_SHARE * listed as f64 {
            return None;
        }
        let load = self.weights.load(now, usable.len());
        self.shares = shares(&self.map, &load, &usable);
        self.busy = busy(&self.map, &load, &usable);
        let map = &self.map;
        self.granted_at
            .retain(|fence, _| map.ranges.iter().any(|range| range.fence == *fence));
        let staying = |life: &Life| {
            usable
                .iter()
                .any(|other| other.life == *life && !other.leaving)
        };
        let is_fixed = |range: &Range| {
            if range.source.is_some() {
                return true;
            }
            let Some(holder) = &range.holder else {
                return false;
            };
            let is_own =
                !self.has_active_predecessor() || is_fenced_off(&self.fenced_off, holder, range);
            let has_just_come = range.from == range.to
                && self
                    .granted_at
                    .get(&range.fence)
                    .is_some_and(|at| now - *at < MIN_STAY);
            staying(holder) && (!is_own || has_just_come || self.has_open_call(range, now))
        };
        let moves = (MOVES_PER_UPSTREAM * usable.len() as f64).ceil() as usize;
        plan::improve(&self.map, &load, &usable, is_fixed, moves)
    }

    fn is_silent(&self, life: &Life, now: Instant) -> bool {
        let silent =
            |lease: &Lease| lease.life == *life && lease.is_silent(self.settings.silence, now);
        let answering =
            |lease: &Lease| lease.life == *life && lease.is_answered() && !silent(lease);
        self.leases.iter().any(silent) && !self.leases.iter().any(answering)
    }

    /// Whether a call for these keys may still take effect after a release.
    fn has_open_call(&self, range: &Range, now: Instant) -> bool {
        let open = |lease: &Lease| lease.overlaps(range) && lease.until(true) > now;
        self.leases.iter().any(open)
    }

    /// Returns the map in which a range whose holder has seen a higher fencing
    /// token has a new one.
    fn refence(&mut self) -> Option<Map> {
        let order = self.fenced.take()?;
        let range = self.map.range(order.from);
        let is_same = (range.from, range.to, range.fence) == (order.from, order.to, order.fence);
        if !is_same || range.source.is_some() {
            return None;
        }
        let mut map = self.map.clone();
        let index = map.ranges.partition_point(|range| range.to < order.from);
        map.ranges[index].fence = map.take_fence();
        Some(map)
    }
}

/// Whether a holder took these keys under a fencing token of this keeper.
fn is_fenced_off(fenced_off: &[(Life, u16, u16)], holder: &Life, range: &Range) -> bool {
    let covers = |(life, from, to): &(Life, u16, u16)| {
        life == holder && *from <= range.from && range.to <= *to
    };
    fenced_off.iter().any(covers)
}

/// Requests per second for the keys that an upstream holds.
fn asked(map: &Map, load: &Load, life: &Life) -> f64 {
    let own = map
        .ranges
        .iter()
        .filter(|range| range.holder.as_ref() == Some(life));
    own.map(|range| load.of(range)).sum()
}

/// Returns the upstreams of which much of the capacity is used.
fn busy(map: &Map, load: &Load, candidates: &[Candidate]) -> HashSet<Arc<str>> {
    let is_busy = |candidate: &&Candidate| {
        asked(map, load, &candidate.life) > BUSY_SHARE * candidate.capacity_per_s
    };
    let busy = candidates.iter().filter(is_busy);
    busy.map(|candidate| Arc::clone(&candidate.life.upstream))
        .collect()
}

/// Returns which holders are asked for more than they can serve, and what
/// share they can serve.
fn shares(map: &Map, load: &Load, candidates: &[Candidate]) -> Vec<(Arc<str>, f32)> {
    let count_per_load = load.counted / load.total().max(0.1);
    let mut shares = Vec::new();
    for candidate in candidates {
        let asked = asked(map, load, &candidate.life);
        let noise = 1.0 + OVERLOAD_DEVIATIONS / (asked * count_per_load).max(1.0).sqrt();
        if asked <= candidate.capacity_per_s * noise {
            continue;
        }
        let share = (candidate.capacity_per_s / asked).max(MIN_SHARE);
        let rounded = (share / SHARE_STEP).round() * SHARE_STEP;
        shares.push((Arc::clone(&candidate.life.upstream), rounded as f32));
    }
    shares
}

impl Transfer {
    fn new(range: &Range, now: Instant) -> Self {
        Self {
            from: range.from,
            to: range.to,
            fence: range.fence,
            released: false,
            handover: None,
            in_flight: false,
            due: now,
            cleared: false,
        }
    }
}
