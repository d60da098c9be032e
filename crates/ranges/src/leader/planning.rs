//! Decides when the map should change, for balance and after a change of leadership.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Leader, Order, UNREACHABLE_BACKOFF};
use crate::load::Load;
use crate::map::{Instance, Map, Range};
use crate::plan::{self, Candidate};

/// Ranges that may move at a time, as a share of the upstreams.
const MOVES_PER_UPSTREAM: f64 = 0.34;
/// Share of unresponsive upstreams above which the leader assumes a fault of its own network and
/// doesn't change the map.
const ISOLATED_SHARE: f64 = 0.6;
/// Standard deviations of the counts by which the requests for a holder must exceed its capacity
/// before it counts as overloaded.
const OVERLOAD_DEVIATIONS: f64 = 1.0;
/// Share of its capacity above which an upstream counts as busy.
const BUSY_SHARE: f64 = 0.6;
/// Time for which a range of one key that has just changed hands stays with a holder that isn't
/// leaving: long enough for its load to be counted at the new holder.
const MIN_RESIDENCE: Duration = Duration::from_millis(1_500);
/// Smallest share of its requests that an overloaded holder is sent, and the granularity of the
/// shares.
const MIN_SHARE: f64 = 0.2;
const SHARE_STEP: f64 = 0.05;
/// Share of its limit for which an upstream in need is assigned keys. Each router keeps to its own
/// part of the limit, and the parts suffice for uneven traffic only if there is room in them.
const PLANNED_LIMIT_SHARE: f64 = 0.7;
/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);

impl Leader {
    pub(super) fn plan(&mut self, now: Instant) -> Option<Map> {
        if now < self.plan_due {
            return None;
        }
        self.plan_due = now + PLAN_INTERVAL;
        let listed = self.upstreams.len();
        let unresponsive = self.unresponsive(now);
        let typical = self.service_times.typical_ms();
        let mut usable: Vec<Candidate> = self
            .upstreams
            .values()
            .filter(|upstream| !unresponsive.contains(&upstream.instance))
            .map(|upstream| Candidate {
                instance: upstream.instance.clone(),
                capacity_per_s: self.service_times.capacity_per_s(upstream, typical),
                leaving: upstream.leaving || upstream.evacuated,
            })
            .collect();
        if (listed - usable.len()) as f64 > ISOLATED_SHARE * listed as f64 {
            return None;
        }
        self.apply_limits(&mut usable, 1.0);
        let load = self.counts.load(now, usable.len());
        let demand = demand(&self.map, &load);
        self.shares = shares(&demand, &load, &usable);
        self.busy = busy(&demand, &usable);
        self.apply_limits(&mut usable, PLANNED_LIMIT_SHARE);
        let map = &self.map;
        let fences: HashSet<u64> = map.ranges.iter().map(|range| range.fence).collect();
        self.granted_at.retain(|fence, _| fences.contains(fence));
        if self.pending_map.is_none() {
            self.taken_at.retain(|fence, _| fences.contains(fence));
        }
        let leaving: HashMap<&Instance, bool> = usable
            .iter()
            .map(|candidate| (&candidate.instance, candidate.leaving))
            .collect();
        let staying = |instance: &Instance| leaving.get(instance) == Some(&false);
        let is_fixed = |range: &Range| {
            let Some(holder) = &range.holder else {
                return false;
            };
            if !range.sources.is_empty() {
                // The transfer continues, unless the new holder was lost or evacuated before the range
                // arrived.
                return leaving.contains_key(holder) && !self.is_evacuated(holder);
            }
            let is_own =
                !self.has_active_predecessor() || is_accepted(&self.accepted, holder, range);
            let has_just_come = range.from == range.to
                && self
                    .granted_at
                    .get(&range.fence)
                    .is_some_and(|at| now - *at < MIN_RESIDENCE);
            staying(holder) && (!is_own || has_just_come)
        };
        let moves = (MOVES_PER_UPSTREAM * usable.len() as f64).ceil() as usize;
        plan::rebalance(&self.map, &load, &usable, is_fixed, moves)
    }

    /// Lowers the capacity of upstreams with a limit to a share of the limit.
    fn apply_limits(&self, candidates: &mut [Candidate], share: f64) {
        for candidate in candidates {
            let upstream = self.upstreams.get(&candidate.instance.upstream);
            if let Some(limit_per_s) = upstream.and_then(|upstream| upstream.limit_per_s) {
                candidate.capacity_per_s = candidate.capacity_per_s.min(share * limit_per_s);
            }
        }
    }

    /// Returns the map in which every range has a fencing token of this leader, unless all have one
    /// already. This is due after a change of leadership, once the holders are connected.
    pub(super) fn replace_inherited_fences(&self, now: Instant) -> Option<Map> {
        if !self.has_inherited_fences() || (now < self.connect_until && self.is_connecting()) {
            return None;
        }
        let mut map = self.map.clone();
        for index in 0..map.ranges.len() {
            if map.ranges[index].holder.is_some() {
                map.ranges[index].fence = map.take_fence();
            }
        }
        Some(map)
    }

    /// Whether a range has a fencing token of an earlier leader.
    fn has_inherited_fences(&self) -> bool {
        let inherited =
            |range: &Range| range.holder.is_some() && !self.taken_at.contains_key(&range.fence);
        self.map.ranges.iter().any(inherited)
    }

    /// Whether a holder is listed and an attempt to connect to it hasn't ended.
    fn is_connecting(&self) -> bool {
        let mut holders = self
            .map
            .ranges
            .iter()
            .filter_map(|range| range.holder.as_ref());
        holders.any(|holder| self.connections.get(holder) == Some(&false))
    }

    /// Returns the map with new fencing tokens for the ranges whose holder has seen a higher one, or
    /// whose token belongs to connections that are closed.
    pub(super) fn refence(&mut self, now: Instant) -> Option<Map> {
        let fenced = self.fenced_order.take();
        let is_settled = |order: &Order| self.map.range(order.from).sources.is_empty();
        let mut orders: Vec<Order> = fenced.filter(is_settled).into_iter().collect();
        for order in std::mem::take(&mut self.detached_orders) {
            let detachment = self.detachments.get(&order.instance);
            if detachment.is_some_and(|detachment| now < detachment.retry_at) {
                self.detached_orders.push(order);
            } else {
                orders.push(order);
            }
        }
        orders.retain(|order| order.is_of(self.map.range(order.from)));
        for order in &orders {
            if let Some(detachment) = self.detachments.get_mut(&order.instance) {
                detachment.retry_at = now + UNREACHABLE_BACKOFF;
            }
        }
        if orders.is_empty() {
            return None;
        }
        let mut map = self.map.clone();
        for order in orders {
            let index = map.ranges.partition_point(|range| range.to < order.from);
            map.ranges[index].fence = map.take_fence();
        }
        Some(map)
    }
}

/// Whether a holder accepted these keys under a fencing token of this leader.
pub(super) fn is_accepted(
    accepted: &[(Instance, u16, u16)],
    holder: &Instance,
    range: &Range,
) -> bool {
    let covers = |(instance, from, to): &(Instance, u16, u16)| {
        instance == holder && *from <= range.from && range.to <= *to
    };
    accepted.iter().any(covers)
}

/// Returns the requests per second for the keys of each holder.
fn demand<'a>(map: &'a Map, load: &Load) -> HashMap<&'a Instance, f64> {
    let mut demand = HashMap::new();
    for range in &map.ranges {
        if let Some(holder) = &range.holder {
            *demand.entry(holder).or_default() += load.of(range);
        }
    }
    demand
}

/// Returns the upstreams that use much of their capacity.
fn busy(demand: &HashMap<&Instance, f64>, candidates: &[Candidate]) -> HashSet<Arc<str>> {
    let is_busy = |candidate: &&Candidate| {
        let demand = demand.get(&candidate.instance).copied().unwrap_or_default();
        demand > BUSY_SHARE * candidate.capacity_per_s
    };
    let busy = candidates.iter().filter(is_busy);
    busy.map(|candidate| Arc::clone(&candidate.instance.upstream))
        .collect()
}

/// Returns the holders that get more requests than they can serve, with the share that they can
/// serve.
fn shares(
    demand: &HashMap<&Instance, f64>,
    load: &Load,
    candidates: &[Candidate],
) -> Vec<(Arc<str>, f32)> {
    let samples_per_load = load.sample_count / load.total().max(0.1);
    let mut shares = Vec::new();
    for candidate in candidates {
        let demand = demand.get(&candidate.instance).copied().unwrap_or_default();
        let noise = 1.0 + OVERLOAD_DEVIATIONS / (demand * samples_per_load).max(1.0).sqrt();
        if demand <= candidate.capacity_per_s * noise {
            continue;
        }
        let share = (candidate.capacity_per_s / demand).max(MIN_SHARE);
        let rounded = (share / SHARE_STEP).round() * SHARE_STEP;
        shares.push((Arc::clone(&candidate.instance.upstream), rounded as f32));
    }
    shares
}
