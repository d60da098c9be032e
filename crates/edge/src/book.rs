//! Upstreams that are in the registry, or may come back to it.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

/// Share of a service's upstreams whose entries don't vanish at the same time
/// because they all ended: rather, the store lost touch with them.
const LAPSE_SHARE: f64 = 0.5;

/// Upstreams that are in the registry, or may come back to it.
#[derive(Debug, Default)]
pub(crate) struct Book {
    entries: IndexMap<Arc<str>, Entry>,
    /// End of the last time without contact to the store.
    regained: Option<Instant>,
    return_time: Duration,
}

#[derive(Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    removed: Option<Instant>,
}

/// What an entry of the registry changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Nothing,
    Learnt(Arc<Upstream>),
    Leaving(Arc<Upstream>),
    Lapsed(Arc<Upstream>),
    Updated,
}

impl Book {
    pub(crate) fn new(return_time: Duration) -> Self {
        Self {
            return_time,
            ..Self::default()
        }
    }

    /// Notes that the store answers again after it didn't.
    pub(crate) fn regain(&mut self, now: Instant) {
        self.regained = Some(now);
    }

    /// Takes what an upstream says of itself. An older statement of the same
    /// life changes nothing.
    pub(crate) fn put(&mut self, mut upstream: Upstream) -> Change {
        let known = self.entries.get(&upstream.id);
        if let Some(entry) = known {
            let same_life = entry.upstream.incarnation == upstream.incarnation;
            if entry.upstream.incarnation > upstream.incarnation
                || (same_life && entry.upstream.sequence > upstream.sequence)
            {
                return Change::Nothing;
            }
            // An upstream that leaves doesn't come back in the same life.
            upstream.leaving |= same_life && entry.upstream.leaving;
            if same_life {
                let began = upstream.leaving && !entry.upstream.leaving;
                let upstream = Arc::new(upstream);
                let returned = entry.removed.is_some();
                let changed = *entry.upstream != *upstream || returned;
                let entry = Entry {
                    upstream: Arc::clone(&upstream),
                    removed: None,
                };
                self.entries.insert(Arc::clone(&upstream.id), entry);
                return match (began, changed) {
                    (true, _) => Change::Leaving(upstream),
                    (false, true) => Change::Updated,
                    (false, false) => Change::Nothing,
                };
            }
        }
        // A process that listens at an address has replaced all before it.
        self.entries.retain(|id, entry| {
            *id == upstream.id
                || entry.upstream.address != upstream.address
                || entry.upstream.incarnation >= upstream.incarnation
        });
        let upstream = Arc::new(upstream);
        let entry = Entry {
            upstream: Arc::clone(&upstream),
            removed: None,
        };
        self.entries.insert(Arc::clone(&upstream.id), entry);
        Change::Learnt(upstream)
    }

    /// Notes that an entry is no longer in the registry.
    pub(crate) fn remove(&mut self, id: &str, now: Instant) -> Change {
        match self.entries.get_mut(id) {
            Some(entry) if entry.removed.is_none() => {
                entry.removed = Some(now);
                Change::Lapsed(Arc::clone(&entry.upstream))
            }
            _ => Change::Nothing,
        }
    }

    /// Notes all identifiers that are in the registry: others are not.
    pub(crate) fn retain(&mut self, present: &[Arc<str>], now: Instant) -> Vec<Change> {
        let absent: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        absent.iter().map(|id| self.remove(id, now)).collect()
    }

    /// Drops the entries that won't come back, and returns whether there were
    /// any.
    pub(crate) fn settle(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        let mut members: IndexMap<Arc<str>, (usize, usize)> = IndexMap::new();
        for entry in self.entries.values() {
            let (all, lapsed) = members
                .entry(Arc::clone(&entry.upstream.service))
                .or_default();
            *all += 1;
            *lapsed += usize::from(entry.removed.is_some() && !entry.upstream.leaving);
        }
        let (regained, return_time) = (self.regained, self.return_time);
        self.entries.retain(|_, entry| {
            let Some(removed) = entry.removed else {
                return true;
            };
            if entry.upstream.leaving {
                return false;
            }
            let (all, lapsed) = members[&entry.upstream.service];
            let together = lapsed > 1 && lapsed as f64 > LAPSE_SHARE * all as f64;
            let after_outage = regained.is_some_and(|at| removed - at < return_time);
            let since = if after_outage {
                regained.unwrap_or(removed)
            } else {
                removed
            };
            (together || after_outage) && now - since < return_time
        });
        self.entries.len() < before
    }

    /// Whether an entry waits for its return or its end.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.entries.values().any(|entry| entry.removed.is_some())
    }

    /// Returns the upstreams of a service.
    pub(crate) fn of(&self, service: &str) -> Vec<Arc<Upstream>> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        upstreams
            .filter(|upstream| &*upstream.service == service)
            .cloned()
            .collect()
    }

    /// Returns how many upstreams a service has in a data centre.
    pub(crate) fn near(&self, service: &str, data_centre: &str) -> usize {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        let is_near = |upstream: &&Arc<Upstream>| {
            &*upstream.service == service && &*upstream.data_centre == data_centre
        };
        upstreams.filter(is_near).count()
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
