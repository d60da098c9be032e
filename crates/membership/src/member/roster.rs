//! All routers that one router knows, and what it believes about them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Name, Router};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{Listed, Member, Rumour, State, Tag};

/// Number of buckets in which members are compared.
pub(crate) const BUCKETS: usize = 64;

/// Factor by which a suspicion lasts longer for those who only heard of it.
const HEARSAY_FACTOR: u32 = 2;

/// One known router.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) state: State,
    /// Time of the last change of `state`.
    pub(crate) since: Instant,
    /// Whether the latest list of the platform names it.
    pub(crate) listed: bool,
    /// Whether this router's own pings found it silent.
    pub(crate) accused: bool,
    hash: u64,
}

impl Entry {
    /// Returns when a suspicion ends in the router's death, `None` if it isn't
    /// suspected. The router whose own pings failed decides first; the others
    /// only if it doesn't.
    pub(crate) fn end_of_suspicion(&self, span: Duration) -> Option<Instant> {
        let factor = if self.accused { 1 } else { HEARSAY_FACTOR };
        (self.state == State::Suspect).then(|| self.since + span * factor)
    }

    /// Returns the belief as it is passed on.
    pub(crate) fn rumour(&self) -> Rumour {
        Rumour {
            member: self.member.clone(),
            state: self.state,
        }
    }

    /// Returns whether the router may be given work: it has shown itself, and
    /// isn't believed dead.
    pub(crate) fn is_live(&self) -> bool {
        self.member.incarnation > 0 && self.state.is_live()
    }
}

/// What a rumour changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing: the rumour was known or older.
    Nothing,
    /// The belief changed.
    From {
        /// State before, `None` if the router was unknown.
        state: Option<State>,
        /// Whether it might be given work before.
        live: bool,
    },
}

/// Routers by name, without the owner of the roster.
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

    /// Returns the router with this address and name.
    pub(crate) fn find(&self, address: SocketAddr, tag: Tag) -> Option<Member> {
        let router = self.by_address.get(&address)?;
        let entry = self.entries.get(router)?;
        let found = entry.member.address == address && Tag::from(router) == tag;
        found.then(|| entry.member.clone())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the routers that may be given work.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Entry> {
        self.iter().filter(|entry| entry.is_live())
    }

    /// Returns the live routers and those that were only listed so far.
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
            return Change::From {
                state: None,
                live: false,
            };
        };
        let old = (entry.member.incarnation, entry.state);
        if (rumour.member.incarnation, rumour.state) <= old {
            return Change::Nothing;
        }
        let live = entry.is_live();
        entry.member = rumour.member.clone();
        if entry.state != rumour.state {
            entry.state = rumour.state;
            entry.since = now;
            entry.accused = false;
        }
        Change::From {
            state: Some(old.1),
            live,
        }
    }

    fn insert(&mut self, now: Instant, rumour: &Rumour) {
        let entry = Entry {
            member: rumour.member.clone(),
            state: rumour.state,
            since: now,
            listed: false,
            accused: false,
            hash: hash(&rumour.member.router),
        };
        self.entries.insert(rumour.member.router.clone(), entry);
    }

    /// Returns what is believed about the routers that may have died.
    pub(crate) fn dead(&self) -> impl Iterator<Item = Rumour> {
        self.iter()
            .filter(|entry| entry.state == State::Dead)
            .map(Entry::rumour)
    }

    /// Notes that this router's own pings found `router` silent.
    pub(crate) fn accuse(&mut self, router: &Router) {
        if let Some(entry) = self.entries.get_mut(router) {
            entry.accused = true;
        }
    }

    /// Gives every suspected router the full time to refute again.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.state == State::Suspect {
                entry.since = now;
            }
        }
    }

    pub(crate) fn clear_listed(&mut self) {
        self.entries
            .values_mut()
            .for_each(|entry| entry.listed = false);
    }

    /// Marks the known routers that the platform's list names.
    pub(crate) fn mark_listed(&mut self, listed: &[Listed]) {
        for vm in listed {
            if let Some(entry) = self.entries.get_mut(&vm.router) {
                entry.listed = true;
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

    /// Returns the live member of `data_centre` that follows `start` on the
    /// ring of hashes, so that each router has exactly one predecessor.
    pub(crate) fn successor(&self, start: u64, data_centre: &DataCentre) -> Option<&Member> {
        self.targets()
            .filter(|entry| entry.member.data_centre == *data_centre)
            .min_by_key(|entry| entry.hash.wrapping_sub(start))
            .map(|entry| &entry.member)
    }

    /// Returns a digest for each bucket of the live members of `me`'s data
    /// centre, `me` included.
    pub(crate) fn buckets(&self, me: &Member) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        let mates = self
            .live()
            .filter(|entry| entry.member.data_centre == me.data_centre);
        let mates = mates.map(|entry| (entry.hash, entry.member.incarnation));
        for (hash, incarnation) in mates.chain([(hash(&me.router), me.incarnation)]) {
            buckets[bucket(hash)] ^= mix(hash, incarnation);
        }
        buckets
    }
}

/// Returns the bucket of a router with this hash.
pub(crate) fn bucket(hash: u64) -> usize {
    (hash >> 32) as usize % BUCKETS
}

/// Combines the digests of all buckets into one.
pub(crate) fn fold(buckets: &[u32]) -> u32 {
    let bytes: Vec<u8> = buckets
        .iter()
        .flat_map(|bucket| bucket.to_le_bytes())
        .collect();
    xxh3_64(&bytes) as u32
}

fn mix(hash: u64, incarnation: u64) -> u32 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&hash.to_le_bytes());
    bytes[8..].copy_from_slice(&incarnation.to_le_bytes());
    xxh3_64(&bytes) as u32
}
