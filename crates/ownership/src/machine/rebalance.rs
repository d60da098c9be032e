//! Planned moves of shards: away from upstreams that leave, own too many shards, or are
//! too busy.

use std::time::Duration;

use eelgrassrock_model::fleet::Goal;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Service, Upstream};

use super::Machine;
use crate::balance::{self, Utilization};
use crate::decision::Reason;
use crate::event::Load;

/// Least time between two moves of one shard for better balance.
const SHARD_COOLDOWN: Duration = Duration::from_secs(60);

/// Least time between two rounds of moves for better balance away from one upstream.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Time until the next check for moves for better balance, if the last check found none.
const REBALANCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of the latest measurement in the moving average of the utilization by a shard.
const LATEST_WINDOW_WEIGHT: f64 = 0.5;

/// Utilization below which a shard counts as idle.
const IDLE_UTILIZATION: f64 = 1e-6;

/// Utilization by which the receiver of shards may exceed the giver.
const MAX_EXCESS_UTILIZATION: f64 = 0.05;

/// Divisor for the number of shards of an upstream that move in one round at most.
const ROUND_DIVISOR: usize = 4;

impl Machine {
    pub(super) fn on_load(&mut self, loads: &[Load]) {
        for load in loads {
            let slots = self.view.fleet.upstreams.get(&load.upstream);
            let slots = slots.map_or(1, |it| it.slots.max(1));
            let capacity = (load.window * slots).as_secs_f64();
            if let Some(held) = self.held.get_mut(&load.upstream)
                && capacity > 0.0
            {
                held.shard_utilization
                    .values_mut()
                    .for_each(|it| *it *= 1.0 - LATEST_WINDOW_WEIGHT);
                for (shard, busy) in &load.shards {
                    let share = busy.as_secs_f64() / capacity;
                    *held.shard_utilization.entry(*shard).or_default() +=
                        share * LATEST_WINDOW_WEIGHT;
                }
                held.shard_utilization
                    .retain(|_, share| *share > IDLE_UTILIZATION);
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
            } else if self.now >= held.next_rebalance {
                self.plan_rebalance(&service, &upstream);
            }
        }
    }

    /// Plans to move all shards away from an upstream that is leaving.
    fn plan_departure(&mut self, service: &Service, upstream: &Upstream) {
        if self.view.owned_count(upstream) == 0 {
            return;
        }
        let mut shards = self.free_shards(service, upstream);
        shards.retain(|shard| self.is_movable(service, upstream, *shard));
        let parts = self.divide(service, upstream, &shards);
        self.plan(upstream, parts, Reason::Leaving);
    }

    /// Plans to move shards away from an upstream that owns too many or is too busy.
    fn plan_rebalance(&mut self, service: &Service, upstream: &Upstream) {
        let Some(goal) = self.goal_of(service) else {
            return;
        };
        let loaded = self.offload(service, upstream, goal);
        let (parts, reason) = match (goal, loaded) {
            (Goal::Balance, Some(parts)) => (parts, Reason::Busy),
            (Goal::Availability, Some(parts)) if !parts.is_empty() => (parts, Reason::Busy),
            _ => (self.even_counts(service, upstream, goal), Reason::Uneven),
        };
        let pause = if parts.is_empty() {
            REBALANCE_CHECK_INTERVAL
        } else {
            REBALANCE_INTERVAL
        };
        if let Some(held) = self.held.get_mut(upstream) {
            held.next_rebalance = self.now + pause;
        }
        if parts.is_empty() {
            return;
        }
        self.plan(upstream, parts, reason);
    }

    /// Returns the moves that reduce the utilization of an upstream. Returns `None` if
    /// the load is unknown or too low to compare.
    fn offload(
        &self,
        service: &Service,
        upstream: &Upstream,
        goal: Goal,
    ) -> Option<Vec<(Upstream, Vec<Shard>)>> {
        let held = &self.held[upstream];
        let own = held.utilization();
        let others = self.receivers(service, upstream);
        if !held.has_load || !is_loaded(own, &others) {
            return None;
        }
        let shards = self.cooled_down_shards(service, upstream).into_iter();
        let busy = |shard: &Shard| held.shard_utilization.get(shard).copied().unwrap_or(0.0);
        let shards: Vec<_> = shards.map(|shard| (shard, busy(&shard))).collect();
        Some(balance::offload(&shards, own, &others, goal))
    }

    pub(super) fn goal_of(&self, service: &Service) -> Option<Goal> {
        Some(self.view.fleet.services.get(service)?.goal)
    }

    fn even_counts(
        &self,
        service: &Service,
        upstream: &Upstream,
        goal: Goal,
    ) -> Vec<(Upstream, Vec<Shard>)> {
        let shares = self.shares(service, None);
        let mut transfers = balance::even_counts(&shares, upstream, goal);
        let own = self.held[upstream].utilization();
        let busy = |it: &Upstream| self.status(it).map_or(0, |status| status.busy_ppm);
        transfers.retain(|(to, _)| f64::from(busy(to)) / 1e6 <= own + MAX_EXCESS_UTILIZATION);
        if transfers.is_empty() {
            return Vec::new();
        }
        let most = (self.view.owned_count(upstream) / ROUND_DIVISOR).max(1);
        let mut shards = self.cooled_down_shards(service, upstream);
        shards.truncate(most);
        let mut parts = Vec::new();
        for (to, count) in transfers {
            let rest = shards.split_off(count.min(shards.len()));
            let part = std::mem::replace(&mut shards, rest);
            if !part.is_empty() {
                parts.push((to, part));
            }
        }
        parts
    }

    /// Returns the shards of an upstream that haven't moved recently.
    fn cooled_down_shards(&self, service: &Service, upstream: &Upstream) -> Vec<Shard> {
        let held = &self.held[upstream];
        let mut shards = self.free_shards(service, upstream);
        shards.retain(|shard| {
            let gained = held
                .gained_at
                .get(shard)
                .copied()
                .unwrap_or(held.home_since);
            let is_cooled_down = self.now >= gained + SHARD_COOLDOWN;
            is_cooled_down && self.is_movable(service, upstream, *shard)
        });
        shards
    }

    /// Returns the other upstreams of a service that may receive shards, with their
    /// utilization.
    fn receivers(&self, service: &Service, except: &Upstream) -> Vec<Utilization> {
        let shares = self.shares(service, Some(except)).into_iter();
        let busy = shares.filter_map(|share| {
            let busy_ppm = self.status(&share.upstream)?.busy_ppm;
            Some(Utilization {
                upstream: share.upstream,
                share: f64::from(busy_ppm) / 1e6,
            })
        });
        busy.collect()
    }

    /// Divides shards of an upstream among the other upstreams of its service: by load if
    /// the load is known and the service aims for balance, else by number.
    pub(super) fn divide(
        &self,
        service: &Service,
        from: &Upstream,
        shards: &[Shard],
    ) -> Vec<(Upstream, Vec<Shard>)> {
        let held = &self.held[from];
        let others = self.receivers(service, from);
        let by_load = self.goal_of(service) == Some(Goal::Balance) && held.has_load;
        if !by_load || !is_loaded(held.utilization(), &others) {
            let shares = self.shares(service, Some(from));
            return crate::placement::divide_by_count(shards, &shares);
        }
        let sum: f64 = others.iter().map(|it| it.share).sum();
        let count = self.view.services[service].count.get();
        let least = sum / f64::from(count) / 10.0;
        let busy = |shard: &Shard| held.shard_utilization.get(shard).copied().unwrap_or(0.0);
        let shards: Vec<_> = shards.iter().map(|it| (*it, busy(it))).collect();
        balance::divide_by_load(&shards, &others, least)
    }
}

/// Returns whether the load is high enough to compare upstreams.
fn is_loaded(own: f64, others: &[Utilization]) -> bool {
    const MIN_MEAN_UTILIZATION: f64 = 0.01;
    let sum: f64 = others.iter().map(|it| it.share).sum();
    (own + sum) / (others.len() + 1) as f64 >= MIN_MEAN_UTILIZATION
}
