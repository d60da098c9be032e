//! The rules by which keys change hands.
//!
//! 1. A grant follows a map that is in the store. A changed map is written before anything is
//!    granted under it.
//! 2. Keys go to a new holder only when the earlier one can't hold them any more: it released them,
//!    or all its grants have expired even by the slowest clock allowed. A release carries the
//!    fencing token of the new holder. The earlier holder therefore refuses every grant that was
//!    sent before, by any leader, and arrives late.
//! 3. A fencing token is granted only over connections to one process of its upstream: connections
//!    that were opened before the token was taken, and lead to the same process as those still in
//!    use. The next process under the upstream's name knows no token and would accept any, so it is
//!    granted a new one, which needs a map in the store.
//! 4. A leader sends grants only while it has *authority*. Authority lasts for a bounded time from
//!    the moment at which the leader sent the last query that the store answered by confirming its
//!    leadership. A successor renews the grants of the map at once, under new fencing tokens: a
//!    holder that accepted one refuses everything that the predecessor may still send. Only keys
//!    whose holder can't be reached wait until the predecessor has provably stopped or its
//!    authority has expired.
//! 5. A store that is restored from a backup has lost the last leadership and the grants of that
//!    leader. In a new era of the store no map is written until no leader that the store has
//!    forgotten can act any more and all its grants have expired. Until then a recent leader keeps
//!    renewing its grants under the tokens of the earlier era, and any other leader waits.

mod isolation;
mod planning;
mod probe;
mod transfer;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use self::isolation::Silence;
pub use self::isolation::Surroundings;
use self::probe::Probe;
use self::transfer::Transfer;
pub use self::transfer::{Clearance, Reason};
use crate::lease::Lease;
pub use crate::lease::Outcome;
use crate::load::Counts;
use crate::map::{Instance, Map, Range};
use crate::service_time::ServiceTimes;

/// Share by which the slowest clock of an upstream may lag behind the local one.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to every time bound. It covers the time from the last reading of the local clock until a
/// call that the leader gave up on has arrived.
const SLACK: Duration = Duration::from_millis(300);
/// Renewals in the time of one grant, so that two may fail.
const RENEWALS_PER_GRANT: u32 = 4;
/// Time for which completed transfers are gathered before a map is written, per range of the map.
/// Hundreds of ranges may be in transfer, and each map is written whole and sent to every router.
const COMPLETION_DELAY_PER_RANGE: Duration = Duration::from_micros(100);
/// Time for which the first map of a leader waits for connections to the holders. Tokens that are
/// taken before a connection is opened can't be granted over it.
const CONNECT_TIME: Duration = Duration::from_millis(100);
/// Delay after a call that failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(60);
/// Delay after a call to an upstream that couldn't be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(250);

/// Time limits of grants and authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a grant is in force.
    pub hold: Duration,
    /// Time for which a leader may act after its last contact with the store.
    pub authority: Duration,
    /// Time after which a holder that answers nothing loses its keys.
    pub response_timeout: Duration,
}

/// Order to an upstream to take or release a range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Instance of the upstream that the order is sent to.
    pub instance: Instance,
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token of the order; the upstream refuses it after it has seen a higher one.
    pub fence: u64,
}

impl Order {
    /// Creates the order by which an instance takes or releases a range.
    pub(crate) fn new(instance: &Instance, range: &Range) -> Self {
        Self {
            instance: instance.clone(),
            from: range.from,
            to: range.to,
            fence: range.fence,
        }
    }

    /// Whether the order concerns this range under its present fencing token.
    pub(crate) fn is_of(&self, range: &Range) -> bool {
        (self.from, self.to, self.fence) == (range.from, range.to, range.fence)
    }
}

/// Upstream of the service, as the registry lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its running instance.
    pub instance: Instance,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether its data centre is evacuated, so that it gets no keys for now.
    pub evacuated: bool,
    /// Requests per second that it takes from all routers together, if it has set a limit.
    pub limit_per_s: Option<f64>,
}

/// Grant of a range to an upstream, or its renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Receiver, range and fencing token of the grant.
    pub order: Order,
    /// Time for which the grant is in force.
    pub hold: Duration,
    /// Handover token of the previous holder.
    pub handover: Option<Arc<str>>,
    /// Latest time at which the connections to the process that the grant is for were opened.
    pub connected_by: Instant,
    /// Time after which the grant must not be sent any more.
    pub send_by: Instant,
}

/// Call that a leader wants its caller to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to an upstream, and report the end with [`Leader::connected`].
    Connect(Instance),
    /// Send a grant, and report its end with [`Leader::granted`].
    Grant(Grant),
    /// Take keys back, and report the end with [`Leader::released`].
    Release(Order),
    /// Write the map if neither leadership nor the map has changed in the store. Report the end
    /// with [`Leader::committed`], [`Leader::adopt`] or [`Leader::not_committed`], or drop the
    /// leader.
    Commit(Map),
}

/// What an earlier leader may have left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Inherited {
    /// It may still act, until this instant at the latest.
    Active { until: Instant },
    /// It has stopped. Its grants may be in force until this instant.
    Stopped {
        until: Instant,
        /// Whether the leader was seen to stop; otherwise its authority has expired.
        is_proven: bool,
    },
}

/// Loss of all connections to an upstream.
#[derive(Clone, Copy, Debug)]
struct Detachment {
    since: Instant,
    /// Grants that couldn't be sent since.
    count: u32,
    /// Earliest time at which new tokens for the upstream may be taken.
    retry_at: Instant,
}

/// Grants the keys of one service and moves them between upstreams.
#[derive(Debug)]
pub struct Leader {
    settings: Settings,
    map: Map,
    pending_map: Option<Map>,
    leases: IndexMap<Order, Lease>,
    /// When the map with each fencing token of this leader was last on its way to the store.
    taken_at: HashMap<u64, Instant>,
    /// Upstreams to which a connection was asked for, and whether the attempt has ended.
    connections: HashMap<Instance, bool>,
    /// Time until which the first map of this leader waits for connections.
    connect_until: Instant,
    transfers: Vec<Transfer>,
    /// Earlier holders that can't hold their keys any more, since the last report of them.
    clearances: Vec<Clearance>,
    probes: Vec<Probe>,
    upstreams: IndexMap<Arc<str>, Upstream>,
    service_times: ServiceTimes,
    shares: Vec<(Arc<str>, f32)>,
    /// Upstreams that use much of their capacity.
    busy: HashSet<Arc<str>>,
    /// When the grant of each new fencing token was first answered.
    granted_at: HashMap<u64, Instant>,
    inherited: Inherited,
    /// Ranges that holders accepted under fencing tokens of this leader.
    accepted: Vec<(Instance, u16, u16)>,
    /// Lowest fencing token of this leader.
    first_fence: u64,
    authority_until: Instant,
    counts: Counts,
    plan_due: Instant,
    /// Earliest time at which the next completed transfers may be written.
    completion_due: Instant,
    /// Order that a holder refused because it has seen a higher fencing token.
    fenced_order: Option<Order>,
    /// Orders that can't be sent any more, because no connection to the process that they are for is
    /// left.
    detached_orders: Vec<Order>,
    /// Upstreams that lost their connections and haven't answered since.
    detachments: HashMap<Instance, Detachment>,
    /// When an upstream last answered an order.
    answered_at: Instant,
    has_been_answered: bool,
    silence: Silence,
    /// Era of the store in which this leader leads.
    era: u64,
    /// Time from which no leader that the store has forgotten can act and none of its grants can be
    /// in force. No map is written before.
    recovered_at: Instant,
}

impl Leader {
    /// Creates the leader of a service that never had one.
    pub fn first(settings: Settings, era: u64, queried_at: Instant, now: Instant) -> Self {
        let stopped = Inherited::Stopped {
            until: now,
            is_proven: true,
        };
        let mut map = Map::unowned();
        map.enter_era(era);
        Self::new(settings, map, stopped, era, queried_at, now)
    }

    /// Creates a leader that took leadership over at `now`, with the map that it read after that.
    /// The query for leadership was sent to the store at `queried_at`.
    pub fn successor(
        settings: Settings,
        map: Map,
        era: u64,
        queried_at: Instant,
        now: Instant,
    ) -> Self {
        let until = now + settings.authority + SLACK;
        Self::new(
            settings,
            map,
            Inherited::Active { until },
            era,
            queried_at,
            now,
        )
    }

    /// Creates a leader like [`Self::successor`] in an era of the store in which forgotten leaders
    /// may still act. If `map` is `None`, no map was written in this era and the leader has nothing
    /// to renew.
    pub fn recovering(
        settings: Settings,
        map: Option<Map>,
        era: u64,
        queried_at: Instant,
        now: Instant,
    ) -> Self {
        let mut map = map.unwrap_or_else(Map::unowned);
        map.enter_era(era);
        let mut leader = Self::successor(settings, map, era, queried_at, now);
        leader.start_recovery(now);
        leader
    }

    /// Continues in a new era of the store, in which this leader took leadership again with its own
    /// map, `map`. The query for leadership was sent to the store at `queried_at`.
    pub fn enter_era(&mut self, era: u64, map: Map, queried_at: Instant, now: Instant) {
        self.era = era;
        self.adopt(map, queried_at);
        self.start_recovery(now);
    }

    fn start_recovery(&mut self, now: Instant) {
        self.recovered_at = now + self.settings.authority + SLACK + self.max_hold();
    }

    /// Returns the era of the store in which this leader leads.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether no leader that the store has forgotten can act and none of its grants can be in
    /// force.
    pub fn is_recovered(&self, now: Instant) -> bool {
        now >= self.recovered_at
    }

    fn new(
        settings: Settings,
        map: Map,
        inherited: Inherited,
        era: u64,
        queried_at: Instant,
        now: Instant,
    ) -> Self {
        Self {
            era,
            recovered_at: now,
            settings,
            accepted: Vec::new(),
            first_fence: map.next_fence,
            map,
            pending_map: None,
            leases: IndexMap::new(),
            taken_at: HashMap::new(),
            connections: HashMap::new(),
            connect_until: now + CONNECT_TIME,
            transfers: Vec::new(),
            clearances: Vec::new(),
            probes: Vec::new(),
            upstreams: IndexMap::new(),
            service_times: ServiceTimes::default(),
            shares: Vec::new(),
            busy: HashSet::new(),
            granted_at: HashMap::new(),
            inherited,
            authority_until: queried_at + settings.authority,
            counts: Counts::new(now),
            plan_due: now,
            completion_due: now,
            fenced_order: None,
            detached_orders: Vec::new(),
            detachments: HashMap::new(),
            answered_at: now,
            has_been_answered: false,
            silence: Silence::default(),
        }
    }

    /// Returns the map in force.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Records that the store confirmed the leadership in answer to a query sent at `queried_at`.
    pub fn confirm(&mut self, queried_at: Instant) {
        let until = queried_at + self.settings.authority;
        self.authority_until = self.authority_until.max(until);
    }

    /// Returns the time since the last query was sent to which the store answered that this router
    /// leads.
    pub fn since_confirmed(&self, now: Instant) -> Duration {
        (now + self.settings.authority) - self.authority_until
    }

    /// Whether the leader may act.
    pub fn has_authority(&self, now: Instant) -> bool {
        now < self.authority_until
    }

    /// Records that the predecessor has stopped for good.
    pub fn predecessor_stopped(&mut self, now: Instant) {
        if let Inherited::Active { .. } = self.inherited {
            let until = now + self.max_hold();
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

    /// Whether a map is about to be written.
    pub fn is_pending(&self, map: &Map) -> bool {
        self.pending_map.as_ref() == Some(map)
    }

    /// Replaces the list of upstreams whose process is assumed to run.
    pub fn set_upstreams(&mut self, upstreams: Vec<Upstream>) {
        let by_name = |upstream: Upstream| (Arc::clone(&upstream.instance.upstream), upstream);
        self.upstreams = upstreams.into_iter().map(by_name).collect();
    }

    /// Counts answers of an upstream that took `total` together.
    pub fn record_answers(&mut self, upstream: &Arc<str>, answers: u32, total: Duration) {
        let is_busy = self.busy.contains(upstream);
        self.service_times.record(upstream, answers, total, is_busy);
    }

    /// Returns each holder that gets more requests than it can serve, with the share that it can
    /// serve.
    pub fn admitted_shares(&self) -> &[(Arc<str>, f32)] {
        &self.shares
    }

    /// Counts one request for each of these keys.
    pub fn record(&mut self, keys: impl IntoIterator<Item = u16>) {
        self.counts.record(keys);
    }

    /// Returns the actions that are due at `now`.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.has_authority(now) {
            return actions;
        }
        self.expire_predecessor(now);
        self.drop_old_leases(now);
        self.connect(&mut actions);
        self.release_sources(now, &mut actions);
        self.renew(now, &mut actions);
        self.send_probes(now, &mut actions);
        if !self.is_recovered(now) {
            // Planning updates the shares of overloaded holders; the resulting map isn't written.
            let _ = self.plan(now);
        } else if self.pending_map.is_none() {
            let next = self
                .replace_inherited_fences(now)
                .or_else(|| self.complete_transfers(now))
                .or_else(|| self.refence(now));
            if let Some(map) = next.or_else(|| self.plan(now)) {
                self.record_tokens(&map, now);
                self.pending_map = Some(map.clone());
                actions.push(Action::Commit(map));
            }
        }
        actions
    }

    /// Takes the earlier holders that were found not to hold their keys any more since the last call.
    pub fn take_clearances(&mut self) -> Vec<Clearance> {
        std::mem::take(&mut self.clearances)
    }

    /// Records the end of a grant. Returns whether actions may be due because of it, which is not
    /// the case after a successful renewal.
    pub fn granted(&mut self, order: &Order, outcome: &Outcome, now: Instant) -> bool {
        self.record_call(&order.instance, outcome, now);
        let is_done = matches!(outcome, Outcome::Done { .. });
        if is_done {
            self.record_response(&order.instance);
        }
        let longest = self.max_hold();
        let renewal = self.settings.hold / RENEWALS_PER_GRANT;
        let Some(lease) = self.leases.get_mut(order) else {
            return true;
        };
        let is_renewal = lease.is_answered();
        lease.end(outcome, longest, now);
        if is_done {
            self.granted_at.entry(order.fence).or_insert(now);
        }
        if is_done && order.fence >= self.first_fence {
            let taken = (order.instance.clone(), order.from, order.to);
            if !self.accepted.contains(&taken) {
                self.accepted.push(taken);
            }
        }
        lease.due = match outcome {
            Outcome::Done { .. } | Outcome::Fenced => now + renewal,
            Outcome::Detached | Outcome::NotSent => now + UNREACHABLE_BACKOFF,
            Outcome::Unknown => now + RETRY_BACKOFF,
        };
        match outcome {
            Outcome::Fenced => self.fenced_order = Some(order.clone()),
            Outcome::Detached => self.record_detachment(order, now),
            _ => {}
        }
        !(is_done && is_renewal)
    }

    fn record_detachment(&mut self, order: &Order, now: Instant) {
        let new = || Detachment {
            since: now,
            count: 0,
            retry_at: now,
        };
        let instance = order.instance.clone();
        self.detachments.entry(instance).or_insert_with(new).count += 1;
        if !self.detached_orders.contains(order) {
            self.detached_orders.push(order.clone());
        }
    }

    /// Records the end of a release.
    pub fn released(&mut self, order: &Order, outcome: &Outcome, now: Instant) {
        self.record_call(&order.instance, outcome, now);
        let is_answered = matches!(outcome, Outcome::Done { .. });
        if is_answered {
            self.record_response(&order.instance);
        }
        let mut transfers = self.transfers.iter_mut();
        let Some(transfer) = transfers.find(|transfer| transfer.order == *order) else {
            self.probe_ended(&order.instance, now);
            return;
        };
        transfer.is_in_flight = false;
        match outcome {
            Outcome::Done { handover } => {
                transfer.is_released = true;
                transfer.handover.clone_from(handover);
            }
            Outcome::NotSent => transfer.due = now + UNREACHABLE_BACKOFF,
            Outcome::Fenced | Outcome::Detached | Outcome::Unknown => {
                transfer.due = now + RETRY_BACKOFF;
            }
        }
    }

    /// Records that the map of the last [`Action::Commit`] is in the store.
    pub fn committed(&mut self, queried_at: Instant) {
        self.confirm(queried_at);
        if let Some(map) = self.pending_map.take() {
            self.completion_due = queried_at + COMPLETION_DELAY_PER_RANGE * map.ranges.len() as u32;
            self.map = map;
            self.forget_transfers();
        }
    }

    /// Adopts the map that is in the store after a commit with unknown result, or one that didn't
    /// take effect.
    pub fn adopt(&mut self, map: Map, queried_at: Instant) {
        self.confirm(queried_at);
        self.pending_map = None;
        self.map = map;
        self.forget_transfers();
    }

    /// Records that an attempt to connect to an upstream has ended.
    pub fn connected(&mut self, instance: &Instance) {
        if let Some(has_ended) = self.connections.get_mut(instance) {
            *has_ended = true;
        }
    }

    /// Discards a commit that certainly had no effect.
    pub fn not_committed(&mut self) {
        self.pending_map = None;
    }

    /// Asks for a connection to each upstream that was listed since the last call, so that it's open
    /// before a token for the upstream is taken.
    fn connect(&mut self, actions: &mut Vec<Action>) {
        let upstreams = &self.upstreams;
        let is_listed = |instance: &Instance| {
            let listed = upstreams.get(&instance.upstream);
            listed.is_some_and(|upstream| upstream.instance == *instance)
        };
        self.connections.retain(|instance, _| is_listed(instance));
        self.detachments.retain(|instance, _| is_listed(instance));
        for upstream in upstreams.values() {
            if !self.connections.contains_key(&upstream.instance) {
                self.connections.insert(upstream.instance.clone(), false);
                actions.push(Action::Connect(upstream.instance.clone()));
            }
        }
    }

    /// Records the fencing tokens that a map takes, which is about to be written.
    fn record_tokens(&mut self, map: &Map, now: Instant) {
        let known: HashSet<u64> = self.map.ranges.iter().map(|range| range.fence).collect();
        let taken = map.ranges.iter().map(|range| range.fence);
        self.taken_at.extend(
            taken
                .filter(|fence| !known.contains(fence))
                .map(|fence| (fence, now)),
        );
    }

    /// Returns the longest time for which a grant that arrives now is in force.
    fn max_hold(&self) -> Duration {
        self.settings.hold.mul_f64(1.0 + CLOCK_DRIFT) + SLACK
    }

    fn expire_predecessor(&mut self, now: Instant) {
        if let Inherited::Active { until } = self.inherited
            && now >= until
        {
            self.inherited = Inherited::Stopped {
                until: until + self.max_hold(),
                is_proven: false,
            };
        }
    }
}
