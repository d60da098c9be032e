//! Assignment of shards to upstreams, written to the table.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Check, Write};
use eelgrassrock_model::{Epoch, Router, Service, Upstream};
use indexmap::IndexSet;

use super::Machine;
use crate::action::Action;
use crate::decision::{DecisionKind, Reason};
use crate::held::Plan;
use crate::liveness::State;
use crate::message::Message;
use crate::placement::{self, Share};
use crate::row::{self, BLOCK_SHARDS, Entry, Key};
use crate::write::Purpose;

/// Delay per rank: each router waits this long for every router that ranks before it.
const PLACEMENT_STAGGER: Duration = Duration::from_millis(250);

/// Time to wait for reports on all upstreams before the shards of a service are placed
/// without them.
const FIRST_PLACEMENT_GRACE: Duration = Duration::from_secs(1);

/// Time after which a report on an upstream is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Time after which a planned move is dropped if the next owner hasn't reported that it
/// is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Most blocks that one transaction changes.
const MAX_BLOCKS: usize = 60;

impl Machine {
    /// Updates whether a service has shards without an owner.
    pub(super) fn check_unowned(&mut self, service: &Service) {
        let blocks = self.view.services.get(service);
        let open = blocks.is_some_and(|it| !it.unowned.is_empty());
        if open && self.loaded_services.contains(service) {
            let since = self.now;
            self.unowned_since.entry(service.clone()).or_insert(since);
        } else {
            self.unowned_since.swap_remove(service);
        }
    }

    pub(super) fn poll_placement(&mut self) {
        if self.may_write() {
            let services: Vec<Service> = self.unowned_since.keys().cloned().collect();
            for service in services {
                self.place_unowned(&service);
            }
            let upstreams: Vec<Upstream> = self.held.keys().cloned().collect();
            for upstream in &upstreams {
                self.reassign_lost(upstream);
                self.move_planned(upstream);
                self.clear_priors(upstream);
            }
        }
        if self.draining_since.is_none() {
            self.plan_moves();
        }
    }

    /// Assigns the shards of a service that have no owner.
    fn place_unowned(&mut self, service: &Service) {
        let shares = self.shares(service, None);
        if shares.is_empty() {
            self.unowned_since.insert(service.clone(), self.now);
            return;
        }
        let since = self.unowned_since[service];
        let Some(rank) = self.placer_rank(service) else {
            return;
        };
        let members = self.view.members_of.get(service);
        let known = members
            .into_iter()
            .flatten()
            .all(|it| self.status(it).is_some_and(|status| status.alive));
        let delay = if known {
            Duration::ZERO
        } else {
            FIRST_PLACEMENT_GRACE
        };
        if self.now < since + delay + PLACEMENT_STAGGER * rank {
            return;
        }
        let blocks = &self.view.services[service];
        let mut shards = Vec::new();
        for &index in &blocks.unowned {
            let key = Key::Block(service.clone(), index).text();
            if self.is_writing(&key) {
                return;
            }
            let entries = blocks.blocks[index as usize].entries.iter().enumerate();
            let unowned = entries.filter(|(_, entry)| entry.owner.is_none());
            shards.extend(unowned.map(|(at, _)| Shard(index * BLOCK_SHARDS + at as u32)));
        }
        let parts = placement::divide_by_count(&shards, &shares);
        self.assign(service, parts, None, Purpose::Place, Reason::Unowned);
    }

    /// Returns the rank of this router among the homes of a service.
    fn placer_rank(&self, service: &Service) -> Option<u32> {
        use eelgrassrock_model::Name;
        let me = &self.settings.router;
        let upstreams = self.view.members_of.get(service)?;
        let homes: IndexSet<&Router> = upstreams
            .iter()
            .filter_map(|upstream| Some(&self.view.home(upstream)?.router))
            .collect();
        if !homes.contains(me) {
            return None;
        }
        let weight =
            |router: &Router| (placement::weight(router, service.as_str()), router.clone());
        let mine = weight(me);
        let before = homes.into_iter().filter(|it| weight(it) < mine);
        u32::try_from(before.count()).ok()
    }

    /// Returns the latest report on an upstream, unless it is too old.
    pub(super) fn status(&self, upstream: &Upstream) -> Option<&crate::message::Report> {
        let status = self.statuses.get(upstream)?;
        let fresh = self.now < status.at + REPORT_LIFETIME;
        fresh.then_some(&status.report)
    }

    /// Returns the upstreams of a service that may receive shards.
    pub(super) fn shares(&self, service: &Service, except: Option<&Upstream>) -> Vec<Share> {
        let members = self.view.members_of.get(service).into_iter().flatten();
        members
            .filter(|it| Some(*it) != except && self.may_receive(it))
            .map(|upstream| Share {
                upstream: upstream.clone(),
                shards: self.view.owned_count(upstream),
            })
            .collect()
    }

    fn may_receive(&self, upstream: &Upstream) -> bool {
        let status = self.status(upstream);
        status.is_some_and(|it| it.alive && !it.leaving) && !self.is_leaving(upstream)
    }

    /// Writes new owners of shards. If `from` is given, the transactions also check that
    /// this router is the home of that upstream.
    fn assign(
        &mut self,
        service: &Service,
        parts: Vec<(Upstream, Vec<Shard>)>,
        from: Option<&Upstream>,
        purpose: Purpose,
        reason: Reason,
    ) {
        let keeps_prior = matches!(purpose, Purpose::Move(_));
        let term = from.and_then(|it| self.held.get(it)).map(|it| it.term);
        let mut owners: BTreeMap<Shard, Upstream> = BTreeMap::new();
        for (owner, shards) in parts {
            owners.extend(shards.into_iter().map(|shard| (shard, owner.clone())));
        }
        let mut blocks: BTreeMap<u32, Vec<Entry>> = BTreeMap::new();
        for (shard, owner) in &owners {
            let index = shard.0 / BLOCK_SHARDS;
            let entries = blocks.entry(index).or_insert_with(|| {
                let block = &self.view.services[service].blocks[index as usize];
                block.entries.clone()
            });
            if let Some(entry) = entries.get_mut((shard.0 % BLOCK_SHARDS) as usize) {
                let prior = entry.owner.take().filter(|_| keeps_prior);
                *entry = Entry {
                    owner: Some(owner.clone()),
                    epoch: entry.epoch.next(),
                    prior_term: term.filter(|_| prior.is_some()),
                    prior,
                };
            }
        }
        self.log_assigned(service, &owners, from, reason);
        let blocks: Vec<_> = blocks.into_iter().collect();
        for chunk in blocks.chunks(MAX_BLOCKS) {
            let mut checks = Vec::new();
            if let Some(upstream) = from
                && let Some(held) = self.held.get(upstream)
            {
                let key = Key::Home(upstream.clone()).text();
                let version = held.version;
                checks.push(Check { key, version });
            }
            let mut writes = Vec::new();
            for (index, entries) in chunk {
                let key = Key::Block(service.clone(), *index).text();
                let block = &self.view.services[service].blocks[*index as usize];
                checks.push(Check {
                    key: key.clone(),
                    version: block.version(),
                });
                let value = Some(row::encode_block(entries));
                writes.push(Write { key, value });
            }
            self.write(purpose.clone(), checks, writes);
        }
    }

    /// Logs assignments, one decision for each run of shards with the same owner.
    fn log_assigned(
        &mut self,
        service: &Service,
        owners: &BTreeMap<Shard, Upstream>,
        from: Option<&Upstream>,
        reason: Reason,
    ) {
        let owners: Vec<_> = owners.iter().collect();
        for run in owners.chunk_by(|a, b| a.1 == b.1) {
            let epochs = run.iter().filter_map(|(shard, _)| {
                let entry = self.view.entry(service, **shard)?;
                Some(entry.epoch.next())
            });
            let what = DecisionKind::Assigned {
                service: service.clone(),
                first: *run[0].0,
                count: run.len() as u32,
                upstream: run[0].1.clone(),
                prior: from.cloned(),
                epoch: epochs.max().unwrap_or(Epoch(0)),
            };
            self.record_decision(what, reason);
        }
    }

    /// Returns the shards of an upstream whose rows aren't being written.
    pub(super) fn free_shards(&self, service: &Service, upstream: &Upstream) -> Vec<Shard> {
        let owned = self.view.owned(upstream);
        let mut last: Option<(u32, bool)> = None;
        owned
            .filter(|shard| {
                let block = shard.0 / BLOCK_SHARDS;
                let free = match last {
                    Some((known, free)) if known == block => free,
                    _ => !self.is_writing(&Key::Block(service.clone(), block).text()),
                };
                last = Some((block, free));
                free
            })
            .collect()
    }

    /// Reassigns the shards of an upstream whose grants have all expired.
    fn reassign_lost(&mut self, upstream: &Upstream) {
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        let lost = held.state() == State::Lost {} && held.outstanding.is_empty();
        if !lost || !held.is_settled(self.now) || self.view.owned_count(upstream) == 0 {
            return;
        }
        let Some(service) = self.view.service_of(upstream).cloned() else {
            return;
        };
        let mut shards = self.free_shards(&service, upstream);
        shards.retain(|shard| self.is_movable(&service, upstream, *shard));
        let parts = self.divide(&service, upstream, &shards);
        if !parts.is_empty() {
            let purpose = Purpose::Reassign(upstream.clone());
            self.assign(&service, parts, Some(upstream), purpose, Reason::Lost);
        }
    }

    /// Returns whether the prior owner of a shard, if any, has released it.
    pub(super) fn is_movable(&self, service: &Service, owner: &Upstream, shard: Shard) -> bool {
        let Some(entry) = self.view.entry(service, shard) else {
            return false;
        };
        let held = self.held.get(owner);
        let released = held.and_then(|held| held.released.get(&shard));
        entry.prior.is_none() || released == Some(&entry.epoch)
    }

    /// Plans moves, and asks the homes of the next owners whether these are ready.
    pub(super) fn plan(
        &mut self,
        from: &Upstream,
        parts: Vec<(Upstream, Vec<Shard>)>,
        reason: Reason,
    ) {
        for (to, shards) in parts {
            let is_local = self.held.contains_key(&to);
            let plan = Plan {
                to: to.clone(),
                shards,
                asked_at: self.now,
                is_ready: is_local,
                reason,
            };
            if let Some(held) = self.held.get_mut(from) {
                held.plans.push(plan);
            }
            if is_local {
                self.actions.push(Action::Warm { upstream: to });
            } else if let Some(home) = self.view.home(&to).map(|it| it.router.clone()) {
                self.send(&home, Message::AskReady { upstream: to });
            }
        }
    }

    pub(super) fn on_ask_ready(&mut self, from: &Router, upstream: &Upstream) {
        let ready = self.held.get(upstream).is_some_and(|held| {
            let granted = held.granted.as_ref();
            granted.is_some_and(|it| it.valid_until > self.now)
        });
        if ready && !self.is_leaving(upstream) {
            let upstream = upstream.clone();
            self.actions.push(Action::Warm {
                upstream: upstream.clone(),
            });
            self.send(from, Message::Ready { upstream });
        }
    }

    pub(super) fn on_ready(&mut self, upstream: &Upstream) {
        for held in self.held.values_mut() {
            for plan in held.plans.iter_mut().filter(|plan| plan.to == *upstream) {
                plan.is_ready = true;
            }
        }
    }

    /// Writes the planned moves whose next owner is ready.
    fn move_planned(&mut self, upstream: &Upstream) {
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        if held.plans.is_empty() {
            return;
        }
        let ready: Vec<Plan> = held.plans.extract_if(.., |plan| plan.is_ready).collect();
        held.plans
            .retain(|plan| now < plan.asked_at + READY_TIMEOUT);
        if !held.is_settled(now) || held.reassignments_in_flight > 0 {
            return;
        }
        let Some(service) = self.view.service_of(upstream).cloned() else {
            return;
        };
        let free: IndexSet<Shard> = self.free_shards(&service, upstream).into_iter().collect();
        let reason = ready.first().map(|plan| plan.reason);
        let parts: Vec<_> = ready
            .into_iter()
            .map(|mut plan| {
                plan.shards.retain(|shard| {
                    free.contains(shard) && self.is_movable(&service, upstream, *shard)
                });
                (plan.to, plan.shards)
            })
            .filter(|(_, shards)| !shards.is_empty())
            .collect();
        if let Some(reason) = reason.filter(|_| !parts.is_empty()) {
            let purpose = Purpose::Move(upstream.clone());
            self.assign(&service, parts, Some(upstream), purpose, reason);
        }
    }
}
