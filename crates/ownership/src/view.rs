//! Rows of the table, as far as this router knows them.
//!
//! A version of a row never changes its contents. Rows may therefore arrive from anywhere
//! and in any order: the highest version wins.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use eelgrassrock_model::fleet::{self, Fleet};
use eelgrassrock_model::shard::{Count, Shard};
use eelgrassrock_model::table::Row;
use eelgrassrock_model::{Epoch, Router, Service, Upstream, Version};
use indexmap::{IndexMap, IndexSet};

use crate::row::{self, BLOCK_SHARDS, Entry, Key};

/// Row with the home of an upstream.
pub(crate) struct Home {
    pub(crate) row: Row,
    /// Parsed contents, `None` if the row is invalid.
    pub(crate) contents: Option<row::Home>,
}

/// Block of shards of a service.
#[derive(Default)]
pub(crate) struct Block {
    /// `None` if the row is absent.
    pub(crate) row: Option<Row>,
    /// Parsed assignments, empty if the row is invalid.
    pub(crate) entries: Vec<Entry>,
}

impl Block {
    pub(crate) fn version(&self) -> Version {
        self.row.as_ref().map_or(Version(0), |row| row.version)
    }
}

/// All blocks of a service.
pub(crate) struct Blocks {
    pub(crate) count: Count,
    pub(crate) blocks: Vec<Block>,
    /// Blocks that contain shards without an owner.
    pub(crate) unowned: BTreeSet<u32>,
}

/// Change that a row caused.
pub(crate) enum Change {
    /// Nothing changed.
    Nothing,
    /// The home of an upstream changed.
    Home(Upstream),
    /// The shards of these upstreams changed.
    Block(Service, IndexSet<Upstream>),
    /// The row is invalid.
    Invalid(Row, row::Fault),
}

/// Shard that moved away from an upstream that may still hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Outgoing {
    pub(crate) epoch: Epoch,
    pub(crate) owner: Upstream,
}

/// Rows of the table, as far as this router knows them.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) fleet: Fleet,
    pub(crate) homes: IndexMap<Upstream, Home>,
    /// Homes that continue the term of the home row.
    pub(crate) acting: IndexMap<Upstream, Home>,
    pub(crate) services: IndexMap<Service, Blocks>,
    pub(crate) by_router: IndexMap<Router, IndexSet<Upstream>>,
    pub(crate) members_of: IndexMap<Service, Vec<Upstream>>,
    owned: IndexMap<Upstream, BTreeSet<Shard>>,
    incoming: IndexMap<Upstream, BTreeSet<Shard>>,
    outgoing: IndexMap<Upstream, BTreeMap<Shard, Outgoing>>,
    service_of: IndexMap<Upstream, Service>,
    /// Upstreams that a bundle removed. They may still own shards.
    retired: IndexMap<Upstream, fleet::Upstream>,
    /// Rows of services that no bundle has declared yet.
    deferred_rows: IndexMap<Arc<str>, Row>,
}

impl View {
    /// Applies a bundle. Returns the changes by rows that were deferred until the bundle
    /// declared their services.
    pub(crate) fn set_fleet(&mut self, fleet: Fleet) -> Vec<Change> {
        for (name, service) in &fleet.services {
            self.services
                .entry(name.clone())
                .or_insert_with(|| Blocks::new(service.shards));
        }
        self.members_of.clear();
        for (name, upstream) in &fleet.upstreams {
            let service = &upstream.service;
            self.service_of.insert(name.clone(), service.clone());
            self.members_of
                .entry(service.clone())
                .or_default()
                .push(name.clone());
        }
        let before = std::mem::replace(&mut self.fleet, fleet);
        self.retired.extend(before.upstreams);
        let fleet = &self.fleet;
        self.retired
            .retain(|name, _| !fleet.upstreams.contains_key(name));
        let deferred_rows = std::mem::take(&mut self.deferred_rows);
        deferred_rows
            .into_values()
            .map(|row| self.apply(row))
            .collect()
    }

    /// Applies a row, unless the same or a newer version is known.
    pub(crate) fn apply(&mut self, row: Row) -> Change {
        match Key::parse(&row.key) {
            Some(Key::Home(upstream)) => self.apply_home(upstream, row),
            Some(Key::Acting(upstream)) => self.apply_acting(upstream, row),
            Some(Key::Block(service, block)) => self.apply_block(service, block, row),
            None => Change::Nothing,
        }
    }

    fn apply_acting(&mut self, upstream: Upstream, row: Row) -> Change {
        let known = self.acting.get(&upstream);
        if known.is_some_and(|it| it.row.version >= row.version) {
            return Change::Nothing;
        }
        match row::Home::decode(&row.value) {
            Ok(contents) => {
                self.remove_from_router_index(&upstream);
                let contents = Some(contents);
                self.acting.insert(upstream.clone(), Home { row, contents });
                self.add_to_router_index(&upstream);
                Change::Home(upstream)
            }
            Err(fault) => Change::Invalid(row, fault),
        }
    }

    /// Removes an upstream from the index by router.
    fn remove_from_router_index(&mut self, upstream: &Upstream) {
        let router = self.home(upstream).map(|home| home.router.clone());
        if let Some(upstreams) = router.and_then(|it| self.by_router.get_mut(&it)) {
            upstreams.swap_remove(upstream);
        }
    }

    /// Adds an upstream to the index by router.
    fn add_to_router_index(&mut self, upstream: &Upstream) {
        if let Some(router) = self.home(upstream).map(|home| home.router.clone()) {
            let upstreams = self.by_router.entry(router).or_default();
            upstreams.insert(upstream.clone());
        }
    }

    fn apply_home(&mut self, upstream: Upstream, row: Row) -> Change {
        let known = self.homes.get(&upstream);
        if known.is_some_and(|home| home.row.version >= row.version) {
            return Change::Nothing;
        }
        let (contents, fault) = match row::Home::decode(&row.value) {
            Ok(contents) => (Some(contents), None),
            Err(fault) => (None, Some(fault)),
        };
        self.remove_from_router_index(&upstream);
        let home = Home {
            row: row.clone(),
            contents,
        };
        self.homes.insert(upstream.clone(), home);
        self.add_to_router_index(&upstream);
        match fault {
            Some(fault) => Change::Invalid(row, fault),
            None => Change::Home(upstream),
        }
    }

    fn apply_block(&mut self, service: Service, index: u32, row: Row) -> Change {
        let Some(blocks) = self.services.get_mut(&service) else {
            self.defer_row(row);
            return Change::Nothing;
        };
        let len = row::block_len(blocks.count, index);
        let Some(block) = blocks.blocks.get_mut(index as usize) else {
            let fault =
                row::Fault::Contents("the index of the block is out of range for the service");
            return Change::Invalid(row, fault);
        };
        if block.version() >= row.version {
            return Change::Nothing;
        }
        let (entries, fault) = match row::decode_block(&row.value, len) {
            Ok(entries) => (entries, None),
            Err(fault) => (Vec::new(), Some(fault)),
        };
        let before = std::mem::replace(&mut block.entries, entries);
        block.row = Some(row.clone());
        if block.entries.iter().any(|entry| entry.owner.is_none()) {
            blocks.unowned.insert(index);
        } else {
            blocks.unowned.remove(&index);
        }
        let affected = self.update_indexes(&service, index, &before);
        match fault {
            Some(fault) => Change::Invalid(row, fault),
            None => Change::Block(service, affected),
        }
    }

    fn defer_row(&mut self, row: Row) {
        let known = self.deferred_rows.get(&row.key);
        if known.is_none_or(|it| it.version < row.version) {
            self.deferred_rows.insert(row.key.clone(), row);
        }
    }

    /// Updates the indexes after a block changed. Returns the affected upstreams.
    fn update_indexes(
        &mut self,
        service: &Service,
        index: u32,
        before: &[Entry],
    ) -> IndexSet<Upstream> {
        let after = &self.services[service].blocks[index as usize].entries;
        let mut affected = IndexSet::new();
        for offset in 0..before.len().max(after.len()) {
            let (old, new) = (before.get(offset), after.get(offset));
            if old == new {
                continue;
            }
            let shard = Shard(index * BLOCK_SHARDS + offset as u32);
            if let Some(old) = old {
                unindex(&mut self.owned, &old.owner, shard);
                unindex(&mut self.incoming, &old.owner, shard);
                if let Some(prior) = &old.prior {
                    self.outgoing
                        .get_mut(prior)
                        .and_then(|it| it.remove(&shard));
                }
                affected.extend(old.owner.iter().chain(&old.prior).cloned());
            }
            let Some((new, owner)) = new.and_then(|it| Some((it, it.owner.as_ref()?))) else {
                continue;
            };
            if !self.service_of.contains_key(owner) {
                self.service_of.insert(owner.clone(), service.clone());
            }
            self.owned.entry(owner.clone()).or_default().insert(shard);
            affected.insert(owner.clone());
            if let Some(prior) = &new.prior {
                let outgoing = Outgoing {
                    epoch: new.epoch,
                    owner: owner.clone(),
                };
                self.incoming
                    .entry(owner.clone())
                    .or_default()
                    .insert(shard);
                self.outgoing
                    .entry(prior.clone())
                    .or_default()
                    .insert(shard, outgoing);
                affected.insert(prior.clone());
            }
        }
        affected
    }

    /// Returns the assignment of a shard, `None` if its row is invalid or the shard
    /// doesn't exist.
    pub(crate) fn entry(&self, service: &Service, shard: Shard) -> Option<&Entry> {
        let blocks = self.services.get(service)?;
        let block = blocks.blocks.get((shard.0 / BLOCK_SHARDS) as usize)?;
        block.entries.get((shard.0 % BLOCK_SHARDS) as usize)
    }

    /// Returns the home of an upstream: the router that continues the present term if
    /// there is one, else the router in the home row.
    pub(crate) fn home(&self, upstream: &Upstream) -> Option<&row::Home> {
        let home = self.homes.get(upstream);
        let contents = home.and_then(|it| it.contents.as_ref());
        let acting = self
            .acting
            .get(upstream)
            .and_then(|it| it.contents.as_ref());
        match (contents, acting) {
            (None, Some(acting)) if home.is_none() => Some(acting),
            (Some(home), Some(acting)) if acting.term == home.term => Some(acting),
            _ => contents,
        }
    }

    /// Returns the version of the home row of an upstream.
    pub(crate) fn home_version(&self, upstream: &Upstream) -> Version {
        self.homes
            .get(upstream)
            .map_or(Version(0), |home| home.row.version)
    }

    /// Returns the declaration of an upstream in the latest bundle that contained it.
    pub(crate) fn declared(&self, upstream: &Upstream) -> Option<&fleet::Upstream> {
        let present = self.fleet.upstreams.get(upstream);
        present.or_else(|| self.retired.get(upstream))
    }

    /// Returns the service that an upstream belongs to.
    pub(crate) fn service_of(&self, upstream: &Upstream) -> Option<&Service> {
        self.service_of.get(upstream)
    }

    /// Returns the shards that an upstream owns.
    pub(crate) fn owned(&self, upstream: &Upstream) -> impl Iterator<Item = Shard> {
        self.owned.get(upstream).into_iter().flatten().copied()
    }

    /// Returns the number of shards that an upstream owns.
    pub(crate) fn owned_count(&self, upstream: &Upstream) -> usize {
        self.owned.get(upstream).map_or(0, BTreeSet::len)
    }

    /// Returns the shards of an upstream that have a prior owner.
    pub(crate) fn incoming(&self, upstream: &Upstream) -> impl Iterator<Item = Shard> {
        self.incoming.get(upstream).into_iter().flatten().copied()
    }

    /// Returns the shards that moved away from an upstream and aren't known to be
    /// released.
    pub(crate) fn outgoing(&self, upstream: &Upstream) -> impl Iterator<Item = (Shard, &Outgoing)> {
        self.outgoing
            .get(upstream)
            .into_iter()
            .flatten()
            .map(|(shard, outgoing)| (*shard, outgoing))
    }

    /// Returns all upstreams that have owned shards, each with its present number of
    /// shards.
    pub(crate) fn owners(&self) -> impl Iterator<Item = (&Upstream, usize)> {
        self.owned
            .iter()
            .map(|(upstream, shards)| (upstream, shards.len()))
    }

    /// Returns all known rows.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &Row> {
        let homes = self.homes.values().chain(self.acting.values());
        let homes = homes.map(|home| &home.row);
        let blocks = self.services.values().flat_map(|it| &it.blocks);
        homes.chain(blocks.filter_map(|block| block.row.as_ref()))
    }
}

impl Blocks {
    fn new(count: Count) -> Self {
        let len = count.get().div_ceil(BLOCK_SHARDS);
        let block = |index| Block {
            row: None,
            entries: vec![Entry::default(); row::block_len(count, index) as usize],
        };
        Self {
            count,
            blocks: (0..len).map(block).collect(),
            unowned: (0..len).collect(),
        }
    }
}

fn unindex(
    index: &mut IndexMap<Upstream, BTreeSet<Shard>>,
    owner: &Option<Upstream>,
    shard: Shard,
) {
    if let Some(shards) = owner.as_ref().and_then(|it| index.get_mut(it)) {
        shards.remove(&shard);
    }
}
