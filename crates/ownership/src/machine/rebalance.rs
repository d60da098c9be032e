//! Planned moves: away from upstreams that leave, own too many shards, or are
//! too busy.

use std::time::Duration;

use eelgrassrock_model::fleet::Goal;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Service, Upstream};

use super::Machine;
use crate::balance::{self, Busy};
use crate::decision::Reason;
use crate::event::Load;

/// Least time between two moves of one shard that aren't necessary.
const SHARD_REST: Duration = Duration::from_secs(60);

/// Least time between two rounds of moves away from one upstream that aren't
/// necessary.
const ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two looks for moves that aren't necessary, when the last look
/// found none.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of the latest window in the average busy time of a shard.
const LOAD_WEIGHT: f64 = 0.5;

/// Busy share below which a shard counts as idle.
const IDLE: f64 = 1e-6;

/// Busy share by which an upstream that gets more shards may exceed the giver.
const SPARE: f64 = 0.05;

/// Part of the shards of an upstream that one round moves at most.
const ROUND_PART: usize = 4;

impl Machine {
    pub(super) fn on_load(&mut self, loads: &[Load]) {
        for load in loads {
            let slots = self.view.fleet.upstreams.get(&load.upstream);
            let slots = slots.map_or(1, |it| it.slots.max(1));
            let capacity = (load.window * slots).as_secs_f64();
            if let Some(held) = self.held.get_mut(&load.upstream)
                && capacity > 0.0
            {
                held.busy
                    .values_mut()
                    .for_each(|it| *it *= 1.0 - LOAD_WEIGHT);
                for (shard, busy) in &load.shards {
                    let share = busy.as_secs_f64() / capacity;
                    *held.busy.entry(*shard).or_default() += share * LOAD_WEIGHT;
                }
                held.busy.retain(|_, share| *share > IDLE);
                held.has_load = true;
            }
        }
    }

    /// Plans moves away from upstreams of this router.
    pub(super) fn plan_moves(&mut self) {
        let upstreams: Vec<Upstream> = self.held.keys().cloned().collect();
        for upstream in upstreams {
            let Some(service) = self.view.service_of(&upstream).cloned() else {
                continue;
            };
            let held = &self.held[&upstream];
            if !held.plans.is_empty() || !held.is_settled(self.now) || !held.is_alive() {
                continue;
            }
            if self.is_leaving(&upstream) {
                self.plan_departure(&service, &upstream);
            } else if self.now >= held.next_round {
                self.plan_round(&service, &upstream);
            }
        }
    }

    /// Moves everything away from an upstream that is leaving.
    fn plan_departure(&mut self, service: &Service, upstream: &Upstream) {
        if self.view.owned_count(upstream) == 0 {
            return;
        }
        let mut shards = self.free_shards(service, upstream);
        shards.retain(|shard| self.is_movable(service, upstream, *shard));
        let parts = self.divide(service, upstream, &shards);
        self.plan(upstream, parts, Reason::Leaving);
    }

    /// Moves shards away from an upstream that owns too many or is too busy.
    fn plan_round(&mut self, service: &Service, upstream: &Upstream) {
        let Some(goal) = self.goal_of(service) else {
            return;
        };
        let loaded = self.relieve(service, upstream, goal);
        let (parts, reason) = match (goal, loaded) {
            (Goal::Balance, Some(parts)) => (parts, Reason::Busy),
            (Goal::Availability, Some(parts)) if !parts.is_empty() => (parts, Reason::Busy),
            _ => (self.even_out(service, upstream, goal), Reason::Uneven),
        };
        let pause = if parts.is_empty() {
            LOOK_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        if let Some(held) = self.held.get_mut(upstream) {
            held.next_round = self.now + pause;
        }
        if parts.is_empty() {
            return;
        }
        self.plan(upstream, parts, reason);
    }

    /// Returns the moves that make an upstream less busy, `None` if the load is
    /// too low to tell.
    fn relieve(
        &self,
        service: &Service,
        upstream: &Upstream,
        goal: Goal,
    ) -> Option<Vec<(Upstream, Vec<Shard>)>> {
        let held = &self.held[upstream];
        let own = held.busy_share();
        let others = self.receivers(service, upstream);
        if !held.has_load || !is_loaded(own, &others) {
            return None;
        }
        let shards = self.rested_shards(service, upstream).into_iter();
        let busy = |shard: &Shard| held.busy.get(shard).copied().unwrap_or(0.0);
        let shards: Vec<_> = shards.map(|shard| (shard, busy(&shard))).collect();
        Some(balance::relieve(&shards, own, &others, goal))
    }

    pub(super) fn goal_of(&self, service: &Service) -> Option<Goal> {
        Some(self.view.fleet.services.get(service)?.goal)
    }

    fn even_out(
        &self,
        service: &Service,
        upstream: &Upstream,
        goal: Goal,
    ) -> Vec<(Upstream, Vec<Shard>)> {
        let shares = self.shares(service, None);
        let mut gifts = balance::even(&shares, upstream, goal);
        let own = self.held[upstream].busy_share();
        let busy = |it: &Upstream| self.status(it).map_or(0, |status| status.busy_ppm);
        gifts.retain(|(to, _)| f64::from(busy(to)) / 1e6 <= own + SPARE);
        if gifts.is_empty() {
            return Vec::new();
        }
        let most = (self.view.owned_count(upstream) / ROUND_PART).max(1);
        let mut shards = self.rested_shards(service, upstream);
        shards.truncate(most);
        let mut parts = Vec::new();
        for (to, count) in gifts {
            let rest = shards.split_off(count.min(shards.len()));
            let part = std::mem::replace(&mut shards, rest);
            if !part.is_empty() {
                parts.push((to, part));
            }
        }
        parts
    }

    /// Returns the shards of an upstream that may move again.
    fn rested_shards(&self, service: &Service, upstream: &Upstream) -> Vec<Shard> {
        let held = &self.held[upstream];
        let mut shards = self.free_shards(service, upstream);
        shards.retain(|shard| {
            let gained = held.gained.get(shard).copied().unwrap_or(held.since);
            let rested = self.now >= gained + SHARD_REST;
            rested && self.is_movable(service, upstream, *shard)
        });
        shards
    }

    /// Returns the other upstreams of a service that may get shards.
    fn receivers(&self, service: &Service, except: &Upstream) -> Vec<Busy> {
        let shares = self.shares(service, Some(except)).into_iter();
        let busy = shares.filter_map(|share| {
            let busy_ppm = self.status(&share.upstream)?.busy_ppm;
            Some(Busy {
                upstream: share.upstream,
                share: f64::from(busy_ppm) / 1e6,
            })
        });
        busy.collect()
    }

    /// Divides shards of an upstream among the others of its service: by load
    /// if that is known and even load is the goal, else by number.
    pub(super) fn divide(
        &self,
        service: &Service,
        from: &Upstream,
        shards: &[Shard],
    ) -> Vec<(Upstream, Vec<Shard>)> {
        let held = &self.held[from];
        let others = self.receivers(service, from);
        let by_load = self.goal_of(service) == Some(Goal::Balance) && held.has_load;
        if !by_load || !is_loaded(held.busy_share(), &others) {
            let shares = self.shares(service, Some(from));
            return crate::place::divide(shards, &shares);
        }
        let sum: f64 = others.iter().map(|it| it.share).sum();
        let count = self.view.services[service].count.get();
        let least = sum / f64::from(count) / 10.0;
        let busy = |shard: &Shard| held.busy.get(shard).copied().unwrap_or(0.0);
        let shards: Vec<_> = shards.iter().map(|it| (*it, busy(it))).collect();
        balance::divide(&shards, &others, least)
    }
}

/// Returns whether the load is high enough to tell upstreams apart.
fn is_loaded(own: f64, others: &[Busy]) -> bool {
    const LEAST_MEAN: f64 = 0.01;
    let sum: f64 = others.iter().map(|it| it.share).sum();
    (own + sum) / (others.len() + 1) as f64 >= LEAST_MEAN
}
