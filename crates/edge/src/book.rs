//! Upstreams that are in the registry, or may come back to it.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Share of a service's upstreams whose entries don't vanish at the same time
/// because they all ended: rather, the store lost touch with them.
const LAPSE_SHARE: f64 = 0.5;
/// Time for which the end of a life is remembered: older statements of it may come
/// from a router or a store that is behind, or from a copy of the store.
const DEPARTURE_AGE: Duration = Duration::from_secs(60);
/// Time for which it is told to other routers that an upstream said that it leaves.
/// Routers exchange messages several times in it.
const TELL_TIME: Duration = Duration::from_secs(4);

/// Upstreams that are in the registry, or may come back to it.
#[derive(Debug, Default)]
pub(crate) struct Book {
    entries: IndexMap<Arc<str>, Entry>,
    /// End of the last time without contact to the store.
    regained: Option<Instant>,
    return_time: Duration,
    /// Lives that ended or are about to, by identifier.
    departures: IndexMap<Arc<str>, (Departure, Instant)>,
}

/// Life of an upstream that has ended, or is about to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    pub(crate) upstream: Arc<str>,
    pub(crate) incarnation: u64,
    /// Last statement before its entry was dropped, if it was. Only a later one
    /// brings the entry back.
    dropped_after: Option<u64>,
    /// It said that it leaves, which only another life undoes.
    is_leaving: bool,
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

    /// Whether a later statement of an upstream is known, or its end.
    pub(crate) fn is_outdated(&self, upstream: &Upstream) -> bool {
        let said = (upstream.incarnation, upstream.sequence);
        let is_later = |entry: &Entry| (entry.upstream.incarnation, entry.upstream.sequence) > said;
        let departure = self.departures.get(&upstream.id);
        let is_over = departure.is_some_and(|(departure, _)| {
            let is_dropped = departure.dropped_after.is_some_and(|last| last >= said.1);
            departure.incarnation > said.0 || (departure.incarnation == said.0 && is_dropped)
        });
        is_over || self.entries.get(&upstream.id).is_some_and(is_later)
    }

    /// Takes what an upstream says of itself. An older statement of the same
    /// life changes nothing.
    pub(crate) fn put(&mut self, mut upstream: Upstream) -> Change {
        if let Some((departure, _)) = self.departures.get(&upstream.id) {
            match departure.incarnation.cmp(&upstream.incarnation) {
                Ordering::Greater => return Change::Nothing,
                Ordering::Equal => {
                    let is_old = |last| upstream.sequence <= last;
                    if departure.dropped_after.is_some_and(is_old) {
                        return Change::Nothing;
                    }
                    upstream.leaving |= departure.is_leaving;
                }
                Ordering::Less => {}
            }
        }
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

    /// Takes that an upstream said to this router that it leaves.
    pub(crate) fn leave(&mut self, upstream: &Upstream, now: Instant) -> Change {
        self.depart(
            Departure {
                upstream: Arc::clone(&upstream.id),
                incarnation: upstream.incarnation,
                dropped_after: None,
                is_leaving: true,
            },
            now,
        )
    }

    /// Takes the end of a life, as this router or another one knows it.
    pub(crate) fn depart(&mut self, mut departure: Departure, now: Instant) -> Change {
        if let Some((known, _)) = self.departures.get(&departure.upstream) {
            match known.incarnation.cmp(&departure.incarnation) {
                Ordering::Greater => return Change::Nothing,
                Ordering::Equal => {
                    departure.dropped_after = departure.dropped_after.max(known.dropped_after);
                    departure.is_leaving |= known.is_leaving;
                    if departure == *known {
                        return Change::Nothing;
                    }
                }
                Ordering::Less => {}
            }
        }
        let mut change = Change::Nothing;
        if let Some(entry) = self.entries.get_mut(&departure.upstream)
            && entry.upstream.incarnation == departure.incarnation
            && departure.is_leaving
            && !entry.upstream.leaving
        {
            Arc::make_mut(&mut entry.upstream).leaving = true;
            change = Change::Leaving(Arc::clone(&entry.upstream));
        }
        let id = Arc::clone(&departure.upstream);
        self.departures.insert(id, (departure, now));
        change
    }

    /// Returns the lives whose end is remembered.
    pub(crate) fn departures(&self, now: Instant) -> Vec<Departure> {
        self.departures_since(now, DEPARTURE_AGE, |_| true)
    }

    /// Returns the lives that said to a router a short while ago that they leave.
    pub(crate) fn leaving_news(&self, now: Instant) -> Vec<Departure> {
        self.departures_since(now, TELL_TIME, |departure| departure.is_leaving)
    }

    fn departures_since(
        &self,
        now: Instant,
        age: Duration,
        is_wanted: impl Fn(&Departure) -> bool,
    ) -> Vec<Departure> {
        let recent = self.departures.values().filter(|(_, at)| now - *at < age);
        let departures = recent.map(|(departure, _)| departure);
        departures
            .filter(|departure| is_wanted(departure))
            .cloned()
            .collect()
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
        let mut dropped = Vec::new();
        self.entries.retain(|_, entry| {
            let Some(removed) = entry.removed else {
                return true;
            };
            let (all, lapsed) = members[&entry.upstream.service];
            let together = lapsed > 1 && lapsed as f64 > LAPSE_SHARE * all as f64;
            let after_outage = regained.is_some_and(|at| removed - at < return_time);
            let since = if after_outage {
                regained.unwrap_or(removed)
            } else {
                removed
            };
            let may_return = (together || after_outage) && now - since < return_time;
            let stays = may_return && !entry.upstream.leaving;
            if !stays {
                dropped.push(Arc::clone(&entry.upstream));
            }
            stays
        });
        for upstream in dropped {
            let departure = Departure {
                upstream: Arc::clone(&upstream.id),
                incarnation: upstream.incarnation,
                dropped_after: Some(upstream.sequence),
                is_leaving: upstream.leaving,
            };
            self.depart(departure, now);
        }
        self.departures
            .retain(|_, (_, at)| now - *at < DEPARTURE_AGE);
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
