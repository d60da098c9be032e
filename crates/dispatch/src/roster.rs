//! Routers that own the limit of a cold upstream.
//!
//! Each router works out the owners from its own list of routers, by rendezvous hashing. The lists
//! differ for a while whenever a router starts or ends. A router that has left the list therefore
//! keeps its place for some time, and one that has joined it owns nothing for that time: nobody
//! takes over the part of an owner that may not yet know that it has lost it.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use crate::upstream::Upstream;

/// Time within which all routers that are in touch learn of a change to the list.
const SETTLING_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Entry {
    data_centre: Arc<str>,
    listed_at: Instant,
    /// When it left the list.
    left_at: Option<Instant>,
}

impl Entry {
    fn counts(&self, now: Instant) -> bool {
        self.left_at.is_none_or(|at| now - at < SETTLING_TIME)
    }
}

/// Routers that one router lists, and those that have left the list lately.
///
/// ```
/// use eelgrassrock_dispatch::roster::Roster;
/// use eelgrassrock_model::time::Instant;
///
/// let mut roster = Roster::new("router-1".into());
/// let listed = [("router-1".into(), "dc-a".into())];
/// roster.update(listed.iter().map(|(name, place)| (name, place)), Instant::from_millis(0));
/// ```
#[derive(Clone, Debug)]
pub struct Roster {
    own: Arc<str>,
    entries: IndexMap<Arc<str>, Entry>,
}

impl Roster {
    /// Creates the empty roster of a router.
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            entries: IndexMap::new(),
        }
    }

    /// Replaces the list of routers, given with their data centres.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.entries);
        for (name, data_centre) in listed {
            let known = before.swap_remove(name);
            let listed_at = known
                .filter(|entry| entry.left_at.is_none())
                .map_or(now, |entry| entry.listed_at);
            let entry = Entry {
                data_centre: Arc::clone(data_centre),
                listed_at,
                left_at: None,
            };
            self.entries.insert(Arc::clone(name), entry);
        }
        before.retain(|_, entry| entry.counts(now));
        for (name, entry) in before {
            let left_at = entry.left_at.or(Some(now));
            self.entries.insert(name, Entry { left_at, ..entry });
        }
    }

    /// Returns the owners of the limit of an upstream, those of its data centre first. It takes one
    /// pass, as there may be thousands of routers.
    fn owners(&self, upstream: &Upstream, count: usize, now: Instant) -> Vec<(&Arc<str>, &Entry)> {
        let mut owners = Vec::with_capacity(count + 1);
        for (name, entry) in &self.entries {
            if !entry.counts(now) {
                continue;
            }
            let is_elsewhere = entry.data_centre != upstream.data_centre;
            let rank = (is_elsewhere, Reverse(weight(&upstream.id, name)), name);
            let place = owners.partition_point(|(other, _)| *other < rank);
            if place < count {
                owners.insert(place, (rank, entry));
                owners.truncate(count);
            }
        }
        let owners = owners.into_iter();
        owners.map(|((_, _, name), entry)| (name, entry)).collect()
    }

    /// Whether this router may give out a part of the limit of an upstream.
    pub fn is_owner(&self, upstream: &Upstream, count: usize, now: Instant) -> bool {
        let owners = self.owners(upstream, count, now);
        let own = owners.into_iter().find(|(name, _)| **name == self.own);
        own.is_some_and(|(_, entry)| {
            entry.left_at.is_none() && now - entry.listed_at >= SETTLING_TIME
        })
    }

    /// Returns the other routers that give out parts of the limit of an upstream. Different routers
    /// begin with different ones.
    pub fn others(&self, upstream: &Upstream, count: usize, now: Instant) -> Vec<Arc<str>> {
        let mut others: Vec<Arc<str>> = self
            .owners(upstream, count, now)
            .into_iter()
            .filter(|(name, entry)| **name != self.own && entry.left_at.is_none())
            .map(|(name, _)| Arc::clone(name))
            .collect();
        if !others.is_empty() {
            let first = weight(&upstream.id, &self.own) % others.len() as u64;
            others.rotate_left(first as usize);
        }
        others
    }
}

fn weight(upstream: &str, router: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (upstream, router).hash(&mut hasher);
    hasher.finish()
}
