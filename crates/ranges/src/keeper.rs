//! The rules by which keys change hands.
//!
//! 1. A grant follows a map that is in the store. A change of the map is
//!    written before anything is granted under it.
//! 2. Keys go to a new holder only when the earlier one can't have them any
//!    more: it released them, or all grants have run out by the slowest clock
//!    allowed, or its process has ended. A release carries the fencing token of
//!    the new holder, so the earlier one refuses every grant that it was sent
//!    before, by whichever keeper, and that arrives late.
//! 3. A keeper grants only while it has *authority*: for a bounded time after
//!    it sent the last question to which the store answered that the duty is
//!    its own. A successor renews what the map says at once, under new fencing
//!    tokens: a holder that took one refuses all that the predecessor may
//!    still send. Only keys whose holder can't be reached wait until the
//!    predecessor has provably stopped or its authority has run out.
//! 4. A store that comes back from a copy has lost who had the duty last, and what
//!    that keeper has granted. So in a new era of the store no map is written until
//!    no keeper that the store has forgotten can act any more, and all its grants have
//!    run out. Until then, a keeper that had the duty shortly before goes on renewing
//!    what it granted, under the tokens of the earlier era, and any other one waits.

mod planning;
mod silence;
mod transfer;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use self::silence::Silence;
use self::transfer::Transfer;
use crate::lease::Lease;
pub use crate::lease::Outcome;
use crate::map::{Life, Map, Range};
use crate::pace::Paces;
use crate::weights::Weights;

/// Share by which the slowest clock of an upstream may lag behind ours.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to every bound, for the time from the last look at our clock until a
/// call that is given up has arrived.
const SLACK: Duration = Duration::from_millis(300);
/// Renewals in the time of one grant, so that two may fail.
const RENEWALS_PER_HOLD: u32 = 4;
/// Time in which arrivals of ranges are gathered for one map, for each range of the
/// map: hundreds of ranges may be on their way, and each map is written whole and told
/// to every router.
const SETTLE_PER_RANGE: Duration = Duration::from_micros(100);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Pause after a call to an upstream that couldn't be reached.
const UNREACHED_PAUSE: Duration = Duration::from_millis(250);

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
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
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

impl Order {
    /// Creates the order to give a range to an upstream, or to take it back.
    pub(crate) fn new(life: &Life, range: &Range) -> Self {
        Self {
            life: life.clone(),
            from: range.from,
            to: range.to,
            fence: range.fence,
        }
    }

    /// Whether it is about this range under its present token.
    pub(crate) fn is_of(&self, range: &Range) -> bool {
        (self.from, self.to, self.fence) == (range.from, range.to, range.fence)
    }
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
        until: Instant,
        /// It was seen to stop, or else its authority has run out.
        is_proven: bool,
    },
}

/// The router that grants the keys of one service.
#[derive(Debug)]
pub struct Keeper {
    settings: Settings,
    map: Map,
    draft: Option<Map>,
    leases: IndexMap<Order, Lease>,
    transfers: Vec<Transfer>,
    silences: Vec<Silence>,
    upstreams: IndexMap<Arc<str>, Upstream>,
    paces: Paces,
    shares: Vec<(Arc<str>, f32)>,
    /// Upstreams of which much of the capacity is used.
    busy: HashSet<Arc<str>>,
    /// When the grants of new fencing tokens were first answered.
    granted_at: HashMap<u64, Instant>,
    inherited: Inherited,
    /// Ranges that holders took under fencing tokens of this keeper.
    fenced_off: Vec<(Life, u16, u16)>,
    /// Lowest fencing token of this keeper.
    first_fence: u64,
    authority_until: Instant,
    weights: Weights,
    plan_due: Instant,
    /// When arrivals of ranges may be written next.
    settle_due: Instant,
    /// Keys whose holder has seen a higher fencing token than ours.
    fenced: Option<Order>,
    /// Era of the store in which the duty is held.
    era: u64,
    /// When no keeper that the store has forgotten can act any more, nor anything that
    /// it granted be in force. No map is written before.
    settled_at: Instant,
}

impl Keeper {
    /// Creates the keeper of a service that never had one.
    pub fn first(settings: Settings, era: u64, asked: Instant, now: Instant) -> Self {
        let stopped = Inherited::Stopped {
            until: now,
            is_proven: true,
        };
        let mut map = Map::unowned();
        map.enter_era(era);
        Self::new(settings, map, stopped, era, asked, now)
    }

    /// Creates a keeper that took the duty over at `now`, with the map that it
    /// read after that. The store was asked for the duty at `asked`.
    pub fn successor(settings: Settings, map: Map, era: u64, asked: Instant, now: Instant) -> Self {
        let until = now + settings.authority + SLACK;
        Self::new(settings, map, Inherited::Active { until }, era, asked, now)
    }

    /// Creates a keeper like [`Self::successor`], in an era of the store of which nobody
    /// has made sure yet that no forgotten keeper acts. Without a map of this era it has
    /// nothing to renew.
    pub fn unsettled(
        settings: Settings,
        map: Option<Map>,
        era: u64,
        asked: Instant,
        now: Instant,
    ) -> Self {
        let mut map = map.unwrap_or_else(Map::unowned);
        map.enter_era(era);
        let mut keeper = Self::successor(settings, map, era, asked, now);
        keeper.unsettle(now);
        keeper
    }

    /// Goes on in a new era of the store, in which the duty was taken again with `map`:
    /// the one that this keeper had. The store was asked for the duty at `asked`.
    pub fn enter_era(&mut self, era: u64, map: Map, asked: Instant, now: Instant) {
        self.era = era;
        self.adopt(map, asked);
        self.unsettle(now);
    }

    fn unsettle(&mut self, now: Instant) {
        self.settled_at = now + self.settings.authority + SLACK + self.longest_hold();
    }

    /// Returns the era of the store in which the duty is held.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether no keeper that the store has forgotten can act, nor anything that it
    /// granted be in force.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at
    }

    fn new(
        settings: Settings,
        map: Map,
        inherited: Inherited,
        era: u64,
        asked: Instant,
        now: Instant,
    ) -> Self {
        Self {
            era,
            settled_at: now,
            settings,
            fenced_off: Vec::new(),
            first_fence: map.next_fence,
            map,
            draft: None,
            leases: IndexMap::new(),
            transfers: Vec::new(),
            silences: Vec::new(),
            upstreams: IndexMap::new(),
            paces: Paces::default(),
            shares: Vec::new(),
            busy: HashSet::new(),
            granted_at: HashMap::new(),
            inherited,
            authority_until: asked + settings.authority,
            weights: Weights::new(now),
            plan_due: now,
            settle_due: now,
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

    /// Returns the time since the last question to which the store answered that
    /// the duty is ours.
    pub fn since_confirmed(&self, now: Instant) -> Duration {
        (now + self.settings.authority) - self.authority_until
    }

    /// Whether the keeper may act.
    pub fn has_authority(&self, now: Instant) -> bool {
        now < self.authority_until
    }

    /// Notes that the predecessor has stopped for good.
    pub fn predecessor_stopped(&mut self, now: Instant) {
        if let Inherited::Active { .. } = self.inherited {
            let until = now + self.longest_hold();
            self.inherited = Inherited::Stopped {
                until,
                is_proven: true,
            };
        }
    }

    /// Whether the predecessor may still act.
    pub fn has_active_predecessor(&self) -> bool {
        matches!(self.inherited, Inherited::Active { .. })
    }

    /// Replaces the list of upstreams whose process is taken to run.
    pub fn set_upstreams(&mut self, upstreams: Vec<Upstream>) {
        let by_name = |upstream: Upstream| (Arc::clone(&upstream.life.upstream), upstream);
        self.upstreams = upstreams.into_iter().map(by_name).collect();
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
        self.probe(now, &mut actions);
        if !self.is_settled(now) {
            // The plan says which holders are overloaded; it isn't written.
            let _ = self.plan(now);
        } else if self.draft.is_none() {
            let next = self
                .fence_off()
                .or_else(|| self.settle(now))
                .or_else(|| self.refence());
            if let Some(map) = next.or_else(|| self.plan(now)) {
                self.draft = Some(map.clone());
                actions.push(Action::Commit(map));
            }
        }
        actions
    }

    /// Notes the end of a grant. Returns whether there may be something to do
    /// because of it: not after a renewal that was answered.
    pub fn granted(&mut self, order: &Order, outcome: &Outcome, now: Instant) -> bool {
        let is_done = matches!(outcome, Outcome::Done { .. });
        if is_done {
            self.heard(&order.life);
        }
        let longest = self.longest_hold();
        let renewal = self.settings.hold / RENEWALS_PER_HOLD;
        let Some(lease) = self.leases.get_mut(order) else {
            return true;
        };
        let is_renewal = lease.is_answered();
        lease.end(outcome, longest, now);
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
        !(is_done && is_renewal)
    }

    /// Notes the end of a release.
    pub fn released(&mut self, order: &Order, outcome: &Outcome, now: Instant) {
        let is_answered = matches!(outcome, Outcome::Done { .. });
        if is_answered {
            self.heard(&order.life);
        }
        let mut transfers = self.transfers.iter_mut();
        let Some(transfer) = transfers.find(|transfer| transfer.order == *order) else {
            self.probed(&order.life, now);
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
            self.settle_due = asked + SETTLE_PER_RANGE * map.ranges.len() as u32;
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
        self.forget_transfers();
    }

    /// Forgets a commit that certainly had no effect.
    pub fn not_committed(&mut self) {
        self.draft = None;
    }

    /// Longest time for which a grant that arrives now is in force.
    fn longest_hold(&self) -> Duration {
        self.settings.hold.mul_f64(1.0 + CLOCK_DRIFT) + SLACK
    }

    fn expire_predecessor(&mut self, now: Instant) {
        if let Inherited::Active { until } = self.inherited
            && now >= until
        {
            self.inherited = Inherited::Stopped {
                until: until + self.longest_hold(),
                is_proven: false,
            };
        }
    }
}
