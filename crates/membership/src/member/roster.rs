//! Routers that one router knows, and the states it believes them to be in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Name, Router};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{Listed, Member, Rumour, State, Tag};

/// Number of buckets into which members are divided for a comparison.
pub(crate) const BUCKETS: usize = 64;

/// Factor that lengthens the suspicion timeout on routers that only received the
/// suspicion as a rumour.
const INDIRECT_SUSPICION_FACTOR: u32 = 2;

/// One known router.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) state: State,
    /// Time of the last change of `state`.
    pub(crate) state_since: Instant,
    /// Whether the router appears in the latest list of the platform.
    pub(crate) is_listed: bool,
    /// Whether the owner of the roster suspects the router because its own pings
    /// weren't answered.
    pub(crate) has_failed_probe: bool,
    hash: u64,
}

impl Entry {
    /// Returns when a suspected router is declared dead, `None` if it isn't
    /// suspected. The routers whose own pings failed decide first. The others
    /// wait longer and decide only if no decision has reached them by then.
    pub(crate) fn suspicion_deadline(&self, timeout: Duration) -> Option<Instant> {
        let factor = if self.has_failed_probe {
            1
        } else {
            INDIRECT_SUSPICION_FACTOR
        };
        (self.state == State::Suspect).then(|| self.state_since + timeout * factor)
    }

    /// Returns the belief as a rumour.
    pub(crate) fn rumour(&self) -> Rumour {
        Rumour {
            member: self.member.clone(),
            state: self.state,
        }
    }

    /// Returns whether the router may be given work: its incarnation is known, and
    /// it is believed neither dead nor gone.
    pub(crate) fn is_live(&self) -> bool {
        self.member.incarnation > 0 && self.state.is_live()
    }
}

/// Result of applying a rumour to the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The rumour was known already, or is older than the belief.
    Unchanged,
    /// The belief changed.
    Updated {
        /// Previous state, `None` if the router was unknown.
        old_state: Option<State>,
        /// Whether the router counted as live before.
        was_live: bool,
    },
}

/// Entries of all known routers except the owner of the roster.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    entries: IndexMap<Router, Entry>,
    by_address: HashMap<SocketAddr, Router>,
}

pub(crate) fn hash(router: &Router) -> u64 {
    xxh3_64(router.as_str().as_bytes())
}

impl Roster {
    pub(crate) fn get(&self, router: &Router) -> Option<&Entry> {
        self.entries.get(router)
    }

    /// Returns the router at `address`, if the hash of its name is `tag`.
    pub(crate) fn find_by_address(&self, address: SocketAddr, tag: Tag) -> Option<Member> {
        let router = self.by_address.get(&address)?;
        let entry = self.entries.get(router)?;
        let found = entry.member.address == address && Tag::from(router) == tag;
        found.then(|| entry.member.clone())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entries of the routers that may be given work.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Entry> {
        self.iter().filter(|entry| entry.is_live())
    }

    /// Returns the entries of the routers to ping: the live ones, and those that
    /// are known only from the platform's list.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &Entry> {
        self.iter().filter(|entry| entry.state.is_live())
    }

    pub(crate) fn targets_in(&self, data_centre: &DataCentre) -> usize {
        self.targets()
            .filter(|entry| entry.member.data_centre == *data_centre)
            .count()
    }

    /// Applies a rumour if it is newer than what is known.
    pub(crate) fn apply(&mut self, now: Instant, rumour: &Rumour) -> Change {
        let member = &rumour.member;
        let known = self.entries.get(&member.router);
        if known.is_none_or(|entry| entry.member.incarnation < member.incarnation) {
            self.by_address
                .insert(member.address, member.router.clone());
        }
        let known = self.entries.get_mut(&member.router);
        let Some(entry) = known else {
            self.insert(now, rumour);
            return Change::Updated {
                old_state: None,
                was_live: false,
            };
        };
        let old = (entry.member.incarnation, entry.state);
        if (rumour.member.incarnation, rumour.state) <= old {
            return Change::Unchanged;
        }
        let was_live = entry.is_live();
        entry.member = rumour.member.clone();
        if entry.state != rumour.state {
            entry.state = rumour.state;
            entry.state_since = now;
            entry.has_failed_probe = false;
        }
        Change::Updated {
            old_state: Some(old.1),
            was_live,
        }
    }

    fn insert(&mut self, now: Instant, rumour: &Rumour) {
        let entry = Entry {
            member: rumour.member.clone(),
            state: rumour.state,
            state_since: now,
            is_listed: false,
            has_failed_probe: false,
            hash: hash(&rumour.member.router),
        };
        self.entries.insert(rumour.member.router.clone(), entry);
    }

    /// Returns a rumour about each router that is believed dead.
    pub(crate) fn dead(&self) -> impl Iterator<Item = Rumour> {
        self.iter()
            .filter(|entry| entry.state == State::Dead)
            .map(Entry::rumour)
    }

    /// Records that the own pings to `router` weren't answered.
    pub(crate) fn mark_probe_failed(&mut self, router: &Router) {
        if let Some(entry) = self.entries.get_mut(router) {
            entry.has_failed_probe = true;
        }
    }

    /// Restarts the suspicion timeout of every suspected router.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.state == State::Suspect {
                entry.state_since = now;
            }
        }
    }

    pub(crate) fn clear_listed(&mut self) {
        self.entries
            .values_mut()
            .for_each(|entry| entry.is_listed = false);
    }

    /// Marks the known routers that appear in the platform's list.
    pub(crate) fn mark_listed(&mut self, listed: &[Listed]) {
        for vm in listed {
            if let Some(entry) = self.entries.get_mut(&vm.router) {
                entry.is_listed = true;
            }
        }
    }

    /// Removes the entries for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&mut Entry) -> bool) {
        self.entries.retain(|_, entry| keep(entry));
        let entries = &self.entries;
        self.by_address
            .retain(|_, router| entries.contains_key(router));
    }

    /// Returns the first ping target in `data_centre` at or after `start` on the hash
    /// ring, so that each router is pinged by exactly one predecessor.
    pub(crate) fn successor(&self, start: u64, data_centre: &DataCentre) -> Option<&Member> {
        self.targets()
            .filter(|entry| entry.member.data_centre == *data_centre)
            .min_by_key(|entry| entry.hash.wrapping_sub(start))
            .map(|entry| &entry.member)
    }

    /// Returns the digest of each bucket of the live members in the data centre
    /// of `me`, including `me`.
    pub(crate) fn bucket_digests(&self, me: &Member) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        let peers = self
            .live()
            .filter(|entry| entry.member.data_centre == me.data_centre);
        let peers = peers.map(|entry| (entry.hash, entry.member.incarnation));
        for (hash, incarnation) in peers.chain([(hash(&me.router), me.incarnation)]) {
            buckets[bucket(hash)] ^= member_digest(hash, incarnation);
        }
        buckets
    }
}

/// Returns the index of the bucket of a router with this hash.
pub(crate) fn bucket(hash: u64) -> usize {
    (hash >> 32) as usize % BUCKETS
}

/// Combines the digests of all buckets into one digest.
pub(crate) fn combine_digests(buckets: &[u32]) -> u32 {
    let bytes: Vec<u8> = buckets
        .iter()
        .flat_map(|bucket| bucket.to_le_bytes())
        .collect();
    xxh3_64(&bytes) as u32
}

fn member_digest(hash: u64, incarnation: u64) -> u32 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&hash.to_le_bytes());
    bytes[8..].copy_from_slice(&incarnation.to_le_bytes());
    xxh3_64(&bytes) as u32
}
