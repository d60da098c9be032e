//! When the map should change: for balance, and after a takeover.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Keeper;
use crate::map::{Life, Map, Range};
use crate::plan::{self, Candidate};
use crate::weights::Load;

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
/// Time between two looks for a better map.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);

impl Keeper {
    pub(super) fn plan(&mut self, now: Instant) -> Option<Map> {
        if now < self.plan_due {
            return None;
        }
        self.plan_due = now + PLAN_INTERVAL;
        let listed = self.upstreams.len();
        let silent = self.silent(now);
        let typical = self.paces.typical_ms();
        let usable: Vec<Candidate> = self
            .upstreams
            .values()
            .filter(|upstream| !silent.contains(&upstream.life))
            .map(|upstream| Candidate {
                life: upstream.life.clone(),
                capacity_per_s: self.paces.capacity_per_s(upstream, typical),
                leaving: upstream.leaving,
            })
            .collect();
        if (listed - usable.len()) as f64 > ISOLATED_SHARE * listed as f64 {
            return None;
        }
        let load = self.weights.load(now, usable.len());
        let asked = asked(&self.map, &load);
        self.shares = shares(&asked, &load, &usable);
        self.busy = busy(&asked, &usable);
        let map = &self.map;
        let fences: HashSet<u64> = map.ranges.iter().map(|range| range.fence).collect();
        self.granted_at.retain(|fence, _| fences.contains(fence));
        let leaving: HashMap<&Life, bool> = usable
            .iter()
            .map(|candidate| (&candidate.life, candidate.leaving))
            .collect();
        let staying = |life: &Life| leaving.get(life) == Some(&false);
        let is_fixed = |range: &Range| {
            let Some(holder) = &range.holder else {
                return false;
            };
            if !range.sources.is_empty() {
                // It goes on, unless its next holder was lost on the way.
                return leaving.contains_key(holder);
            }
            let is_own =
                !self.has_active_predecessor() || is_fenced_off(&self.fenced_off, holder, range);
            let has_just_come = range.from == range.to
                && self
                    .granted_at
                    .get(&range.fence)
                    .is_some_and(|at| now - *at < MIN_STAY);
            staying(holder) && (!is_own || has_just_come)
        };
        let moves = (MOVES_PER_UPSTREAM * usable.len() as f64).ceil() as usize;
        plan::improve(&self.map, &load, &usable, is_fixed, moves)
    }

    /// Returns the map in which every range has a fencing token of this keeper,
    /// unless all have one: after it took over.
    pub(super) fn fence_off(&self) -> Option<Map> {
        if !self.has_inherited_fences() {
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

    /// Whether a range has a fencing token of an earlier keeper.
    fn has_inherited_fences(&self) -> bool {
        let inherited = |range: &Range| range.holder.is_some() && range.fence < self.first_fence;
        self.map.ranges.iter().any(inherited)
    }

    /// Returns the map in which a range whose holder has seen a higher fencing
    /// token has a new one.
    pub(super) fn refence(&mut self) -> Option<Map> {
        let order = self.fenced.take()?;
        let range = self.map.range(order.from);
        if !order.is_of(range) || !range.sources.is_empty() {
            return None;
        }
        let mut map = self.map.clone();
        let index = map.ranges.partition_point(|range| range.to < order.from);
        map.ranges[index].fence = map.take_fence();
        Some(map)
    }
}

/// Whether a holder took these keys under a fencing token of this keeper.
pub(super) fn is_fenced_off(fenced_off: &[(Life, u16, u16)], holder: &Life, range: &Range) -> bool {
    let covers = |(life, from, to): &(Life, u16, u16)| {
        life == holder && *from <= range.from && range.to <= *to
    };
    fenced_off.iter().any(covers)
}

/// Requests per second for the keys that each upstream holds.
fn asked<'a>(map: &'a Map, load: &Load) -> HashMap<&'a Life, f64> {
    let mut asked = HashMap::new();
    for range in &map.ranges {
        if let Some(holder) = &range.holder {
            *asked.entry(holder).or_default() += load.of(range);
        }
    }
    asked
}

/// Returns the upstreams of which much of the capacity is used.
fn busy(asked: &HashMap<&Life, f64>, candidates: &[Candidate]) -> HashSet<Arc<str>> {
    let is_busy = |candidate: &&Candidate| {
        let asked = asked.get(&candidate.life).copied().unwrap_or_default();
        asked > BUSY_SHARE * candidate.capacity_per_s
    };
    let busy = candidates.iter().filter(is_busy);
    busy.map(|candidate| Arc::clone(&candidate.life.upstream))
        .collect()
}

/// Returns which holders are asked for more than they can serve, and what
/// share they can serve.
fn shares(
    asked: &HashMap<&Life, f64>,
    load: &Load,
    candidates: &[Candidate],
) -> Vec<(Arc<str>, f32)> {
    let count_per_load = load.counted / load.total().max(0.1);
    let mut shares = Vec::new();
    for candidate in candidates {
        let asked = asked.get(&candidate.life).copied().unwrap_or_default();
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
