//! Releases: proof that the prior owner of a shard can no longer hold it.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Check, Write};
use eelgrassrock_model::{Epoch, Router, Service, Upstream};
use indexmap::{IndexMap, IndexSet};

use super::Machine;
use crate::message::{Message, Release};
use crate::row::{self, BLOCK_SHARDS, Entry, Key};
use crate::write::Purpose;

/// Delay after which released prior owners are cleared from the table.
const CLEAR_DELAY: Duration = Duration::from_secs(5);

impl Machine {
    pub(super) fn poll_releases(&mut self) {
        let upstreams: Vec<Upstream> = self.held.keys().cloned().collect();
        for upstream in &upstreams {
            self.announce_releases(upstream);
        }
        for upstream in &upstreams {
            self.request_releases(upstream);
        }
    }

    /// Returns whether it is proven that an upstream of this router can't hold a shard at
    /// an epoch before `epoch`.
    fn is_released(&self, prior: &Upstream, service: &Service, shard: Shard, epoch: Epoch) -> bool {
        let Some(held) = self.held.get(prior) else {
            return false;
        };
        let Some(entry) = self.view.entry(service, shard) else {
            return false;
        };
        // A home that was superseded doesn't know the orders of the later home that moved
        // the shard away.
        let moved = entry.epoch == epoch && entry.prior.as_ref() == Some(prior);
        moved
            && entry.prior_term.is_some_and(|term| held.term >= term)
            && held.is_settled(self.now)
            && !held.has_stale_grants
            && !held.may_hold(shard, epoch)
    }

    /// Tells the homes of the next owners which shards an upstream has released.
    fn announce_releases(&mut self, prior: &Upstream) {
        let Some(service) = self.view.service_of(prior).cloned() else {
            return;
        };
        let Some(held) = self.held.get(prior) else {
            return;
        };
        let mut released: IndexMap<Upstream, Vec<(Shard, Epoch)>> = IndexMap::new();
        for (shard, outgoing) in self.view.outgoing(prior) {
            let announced = held.announced.get(&shard) == Some(&outgoing.epoch);
            if !announced && self.is_released(prior, &service, shard, outgoing.epoch) {
                let shards = released.entry(outgoing.owner.clone()).or_default();
                shards.push((shard, outgoing.epoch));
            }
        }
        for (owner, shards) in released {
            if let Some(held) = self.held.get_mut(prior) {
                held.announced.extend(shards.iter().copied());
            }
            let release = Release {
                service: service.clone(),
                prior: prior.clone(),
                shards,
            };
            if self.held.contains_key(&owner) {
                self.on_released(&release);
            } else if let Some(home) = self.view.home(&owner).map(|it| it.router.clone()) {
                self.send(&home, Message::Released(release));
            }
        }
    }

    /// Asks the homes of prior owners for releases.
    fn request_releases(&mut self, owner: &Upstream) {
        let Some(service) = self.view.service_of(owner).cloned() else {
            return;
        };
        let Some(held) = self.held.get(owner) else {
            return;
        };
        if self.now < held.next_release_request {
            return;
        }
        let mut asked: IndexMap<Upstream, Vec<(Shard, Epoch)>> = IndexMap::new();
        for shard in self.view.incoming(owner) {
            let Some(entry) = self.view.entry(&service, shard) else {
                continue;
            };
            let Some(prior) = &entry.prior else {
                continue;
            };
            if held.released.get(&shard) != Some(&entry.epoch) {
                let shards = asked.entry(prior.clone()).or_default();
                shards.push((shard, entry.epoch));
            }
        }
        if asked.is_empty() {
            return;
        }
        if let Some(held) = self.held.get_mut(owner) {
            held.next_release_request = self.now + self.settings.heartbeat;
        }
        for (prior, shards) in asked {
            let release = Release {
                service: service.clone(),
                prior,
                shards,
            };
            self.request_release(release);
        }
    }

    fn request_release(&mut self, release: Release) {
        if self.held.contains_key(&release.prior) {
            let released = self.proven_releases(&release);
            self.on_released(&released);
        } else if let Some(home) = self.view.home(&release.prior) {
            let router = home.router.clone();
            self.send(&router, Message::AskRelease(release));
        }
    }

    /// Returns the proven part of `release`.
    fn proven_releases(&self, release: &Release) -> Release {
        let mut proven = release.clone();
        proven.shards.retain(|(shard, epoch)| {
            self.is_released(&release.prior, &release.service, *shard, *epoch)
        });
        proven
    }

    pub(super) fn on_ask_release(&mut self, from: &Router, release: &Release) {
        if !self.held.contains_key(&release.prior) {
            self.send_home_rows(from, &release.prior);
            return;
        }
        for (shard, epoch) in &release.shards {
            let known = self.view.entry(&release.service, *shard);
            if known.is_some_and(|entry| entry.epoch < *epoch) {
                self.read_row(Key::of_shard(&release.service, *shard).text());
            }
        }
        let released = self.proven_releases(release);
        if !released.shards.is_empty() {
            self.send(from, Message::Released(released));
        }
    }

    /// Sends the present home rows to a router that asked the wrong home.
    fn send_home_rows(&mut self, to: &Router, upstream: &Upstream) {
        let home = self.view.homes.get(upstream);
        let acting = self.view.acting.get(upstream);
        let rows = home.into_iter().chain(acting).map(|it| it.row.clone());
        let rows = rows.collect();
        self.send(to, Message::Rows(rows));
    }

    pub(super) fn on_released(&mut self, release: &Release) {
        for (shard, epoch) in &release.shards {
            let Some(entry) = self.view.entry(&release.service, *shard) else {
                continue;
            };
            if entry.epoch < *epoch {
                self.read_row(Key::of_shard(&release.service, *shard).text());
                continue;
            }
            let matches = entry.epoch == *epoch && entry.prior.as_ref() == Some(&release.prior);
            let owner = entry.owner.clone();
            if let Some(held) = owner.and_then(|it| self.held.get_mut(&it))
                && matches
                && held.released.insert(*shard, *epoch) != Some(*epoch)
            {
                held.has_stale_grants = true;
                held.clear_delay_started_at = None;
            }
        }
    }

    /// Clears prior owners that have released their shards from the rows.
    pub(super) fn clear_priors(&mut self, upstream: &Upstream) {
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        if held.released.is_empty() {
            return;
        }
        let since = *held.clear_delay_started_at.get_or_insert(now);
        if now < since + CLEAR_DELAY {
            return;
        }
        held.clear_delay_started_at = Some(now);
        let Some(service) = self.view.service_of(upstream).cloned() else {
            return;
        };
        let (view, held) = (&self.view, &self.held[upstream]);
        let mut blocks: BTreeMap<u32, Vec<Entry>> = BTreeMap::new();
        let mut cleared = IndexSet::new();
        for (shard, epoch) in &held.released {
            let index = shard.0 / BLOCK_SHARDS;
            let Some(entry) = view.entry(&service, *shard) else {
                continue;
            };
            let current = entry.epoch == *epoch && entry.prior.is_some();
            if !current || self.is_writing(&Key::Block(service.clone(), index).text()) {
                cleared.extend((!current).then_some(*shard));
                continue;
            }
            let block = &view.services[&service].blocks[index as usize];
            let entries = blocks.entry(index).or_insert_with(|| block.entries.clone());
            let entry = &mut entries[(shard.0 % BLOCK_SHARDS) as usize];
            entry.prior = None;
            entry.prior_term = None;
        }
        for (index, entries) in blocks {
            let key = Key::Block(service.clone(), index).text();
            let version = self.view.services[&service].blocks[index as usize].version();
            let check = Check {
                key: key.clone(),
                version,
            };
            let value = Some(row::encode_block(&entries));
            self.write(Purpose::Clear, vec![check], vec![Write { key, value }]);
        }
        if let Some(held) = self.held.get_mut(upstream) {
            held.released.retain(|shard, _| !cleared.contains(shard));
        }
    }
}
