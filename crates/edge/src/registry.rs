//! Registry of upstreams, including removed ones that may reappear, and of ended incarnations.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// If more than this share of a service's upstreams is removed at the same time, the store is
/// assumed to have lost contact to them, rather than all of them having ended.
const OUTAGE_LAPSE_SHARE: f64 = 0.5;
/// Time by which an entry whose removal may be a mistake is dropped before an upstream that has left
/// must receive no more requests. It covers the requests that are on their way by then.
const DRAIN_MARGIN: Duration = Duration::from_millis(250);
/// Time for which the end of an incarnation is remembered. Until then, older registrations of it
/// may still arrive from a router or a store that lags behind, or from a backup of the store.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);
/// Time for which other routers are told that an upstream announced that it is leaving. It spans
/// several of the messages that routers exchange.
const LEAVING_ANNOUNCE_TIME: Duration = Duration::from_secs(4);

/// Upstreams that are in the registry, or were removed and may reappear.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    entries: IndexMap<Arc<str>, Entry>,
    /// End of the last outage of the store, as far as it concerns this table.
    store_regained_at: Option<Instant>,
    /// Time for which a removed entry may reappear after an outage of the store.
    return_time: Duration,
    /// Time for which an entry may reappear that was removed together with most others.
    mass_return_time: Duration,
    /// Incarnations that ended or are about to, by upstream identifier, and when each was recorded.
    departures: IndexMap<Arc<str>, (Departure, Instant)>,
}

/// End of an incarnation of an upstream, past or announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    pub(crate) upstream: Arc<str>,
    pub(crate) incarnation: u64,
    /// Sequence number of the last registration before the entry was dropped, if it was. Only a
    /// later registration restores the entry.
    dropped_after: Option<u64>,
    /// Whether it announced that it is leaving. Only a new incarnation reverts that.
    is_leaving: bool,
}

#[derive(Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    removed_at: Option<Instant>,
}

/// Effect of an update on the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Unchanged,
    Added(Arc<Upstream>),
    Leaving(Arc<Upstream>),
    Lapsed(Arc<Upstream>),
    Updated,
}

impl Registry {
    /// Creates an empty registry. An upstream that has left must receive no more requests `drain`
    /// after its removal.
    pub(crate) fn new(return_time: Duration, drain: Duration) -> Self {
        Self {
            return_time,
            mass_return_time: return_time.min(drain.saturating_sub(DRAIN_MARGIN)),
            ..Self::default()
        }
    }

    /// Records that the store answers again after an outage, which ended at this time.
    pub(crate) fn record_store_regained(&mut self, ended_at: Instant) {
        self.store_regained_at = Some(ended_at);
    }

    /// Whether a later registration of the upstream, or its end, is known.
    pub(crate) fn is_outdated(&self, upstream: &Upstream) -> bool {
        let incoming = (upstream.incarnation, upstream.sequence);
        let is_later =
            |entry: &Entry| (entry.upstream.incarnation, entry.upstream.sequence) > incoming;
        let departure = self.departures.get(&upstream.id);
        let is_over = departure.is_some_and(|(departure, _)| {
            let is_dropped = departure
                .dropped_after
                .is_some_and(|last| last >= incoming.1);
            departure.incarnation > incoming.0
                || (departure.incarnation == incoming.0 && is_dropped)
        });
        is_over || self.entries.get(&upstream.id).is_some_and(is_later)
    }

    /// Applies a registration of an upstream. A registration of the same incarnation with a lower
    /// sequence number changes nothing.
    pub(crate) fn upsert(&mut self, mut upstream: Upstream) -> Change {
        if let Some((departure, _)) = self.departures.get(&upstream.id) {
            match departure.incarnation.cmp(&upstream.incarnation) {
                Ordering::Greater => return Change::Unchanged,
                Ordering::Equal => {
                    let is_old = |last| upstream.sequence <= last;
                    if departure.dropped_after.is_some_and(is_old) {
                        return Change::Unchanged;
                    }
                    upstream.leaving |= departure.is_leaving;
                }
                Ordering::Less => {}
            }
        }
        let known = self.entries.get(&upstream.id);
        if let Some(entry) = known {
            let is_same_incarnation = entry.upstream.incarnation == upstream.incarnation;
            if entry.upstream.incarnation > upstream.incarnation
                || (is_same_incarnation && entry.upstream.sequence > upstream.sequence)
            {
                return Change::Unchanged;
            }
            // An upstream that is leaving stays so for the rest of its incarnation.
            upstream.leaving |= is_same_incarnation && entry.upstream.leaving;
            if is_same_incarnation {
                let starts_leaving = upstream.leaving && !entry.upstream.leaving;
                let upstream = Arc::new(upstream);
                let returned = entry.removed_at.is_some();
                let changed = *entry.upstream != *upstream || returned;
                let entry = Entry {
                    upstream: Arc::clone(&upstream),
                    removed_at: None,
                };
                self.entries.insert(Arc::clone(&upstream.id), entry);
                return match (starts_leaving, changed) {
                    (true, _) => Change::Leaving(upstream),
                    (false, true) => Change::Updated,
                    (false, false) => Change::Unchanged,
                };
            }
        }
        // A new process at an address has replaced all earlier ones there.
        self.entries.retain(|id, entry| {
            *id == upstream.id
                || entry.upstream.address != upstream.address
                || entry.upstream.incarnation >= upstream.incarnation
        });
        let upstream = Arc::new(upstream);
        let entry = Entry {
            upstream: Arc::clone(&upstream),
            removed_at: None,
        };
        self.entries.insert(Arc::clone(&upstream.id), entry);
        Change::Added(upstream)
    }

    /// Records that an upstream announced to this router that it is leaving.
    pub(crate) fn record_leaving(&mut self, upstream: &Upstream, now: Instant) -> Change {
        self.record_departure(
            Departure {
                upstream: Arc::clone(&upstream.id),
                incarnation: upstream.incarnation,
                dropped_after: None,
                is_leaving: true,
            },
            now,
        )
    }

    /// Records the end of an incarnation, observed by this router or by another one.
    pub(crate) fn record_departure(&mut self, mut departure: Departure, now: Instant) -> Change {
        if let Some((known, _)) = self.departures.get(&departure.upstream) {
            match known.incarnation.cmp(&departure.incarnation) {
                Ordering::Greater => return Change::Unchanged,
                Ordering::Equal => {
                    departure.dropped_after = departure.dropped_after.max(known.dropped_after);
                    departure.is_leaving |= known.is_leaving;
                    if departure == *known {
                        return Change::Unchanged;
                    }
                }
                Ordering::Less => {}
            }
        }
        let mut change = Change::Unchanged;
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

    /// Returns all incarnations whose end is still remembered.
    pub(crate) fn departures(&self, now: Instant) -> Vec<Departure> {
        self.departures_since(now, DEPARTURE_RETENTION, |_| true)
    }

    /// Returns the incarnations that recently announced that they are leaving.
    pub(crate) fn recently_leaving(&self, now: Instant) -> Vec<Departure> {
        self.departures_since(now, LEAVING_ANNOUNCE_TIME, |departure| departure.is_leaving)
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

    /// Records that an entry was removed from the registry.
    pub(crate) fn remove(&mut self, id: &str, now: Instant) -> Change {
        match self.entries.get_mut(id) {
            Some(entry) if entry.removed_at.is_none() => {
                entry.removed_at = Some(now);
                Change::Lapsed(Arc::clone(&entry.upstream))
            }
            _ => Change::Unchanged,
        }
    }

    /// Records the removal of all entries except `present`.
    pub(crate) fn retain_present(&mut self, present: &[Arc<str>], now: Instant) -> Vec<Change> {
        let absent: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        absent.iter().map(|id| self.remove(id, now)).collect()
    }

    /// Returns the time at which each removed entry is dropped, by upstream identifier.
    fn expiries(&self) -> IndexMap<Arc<str>, Instant> {
        let mut members: HashMap<&str, (usize, usize)> = HashMap::new();
        for entry in self.entries.values() {
            let (all, lapsed) = members.entry(&entry.upstream.service).or_default();
            *all += 1;
            *lapsed += usize::from(entry.removed_at.is_some() && !entry.upstream.leaving);
        }
        let removed = self.entries.iter().filter_map(|(id, entry)| {
            let removed_at = entry.removed_at?;
            let (all, lapsed) = members[&*entry.upstream.service];
            let is_mass_lapse = lapsed > 1 && lapsed as f64 > OUTAGE_LAPSE_SHARE * all as f64;
            let outage_end = self
                .store_regained_at
                .filter(|at| removed_at - *at < self.return_time);
            let expiry = match outage_end {
                _ if entry.upstream.leaving => removed_at,
                Some(outage_end) => outage_end + self.return_time,
                None if is_mass_lapse => removed_at + self.mass_return_time,
                None => removed_at,
            };
            Some((Arc::clone(id), expiry))
        });
        removed.collect()
    }

    /// Returns the time at which the next removed entry is dropped.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.expiries().into_values().min()
    }

    /// Drops removed entries that are not expected to reappear, and returns whether there were any.
    pub(crate) fn drop_expired(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        let expiries = self.expiries();
        let mut dropped = Vec::new();
        self.entries.retain(|id, entry| {
            let stays = expiries.get(id).is_none_or(|expiry| now < *expiry);
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
            self.record_departure(departure, now);
        }
        self.departures
            .retain(|_, (_, at)| now - *at < DEPARTURE_RETENTION);
        self.entries.len() < before
    }

    /// Returns the upstreams of a service, including removed ones that may reappear.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Arc<Upstream>> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        upstreams
            .filter(|upstream| &*upstream.service == service)
            .cloned()
            .collect()
    }

    /// Returns the number of upstreams of a service in a data centre.
    pub(crate) fn count_in(&self, service: &str, data_centre: &str) -> usize {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        let is_match = |upstream: &&Arc<Upstream>| {
            &*upstream.service == service && &*upstream.data_centre == data_centre
        };
        upstreams.filter(is_match).count()
    }

    /// Returns the data centres with upstreams.
    pub(crate) fn data_centres(&self) -> Vec<Arc<str>> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        let all = upstreams.map(|upstream| Arc::clone(&upstream.data_centre));
        let all: IndexSet<Arc<str>> = all.collect();
        all.into_iter().collect()
    }

    /// Returns the number of upstreams in a data centre.
    pub(crate) fn in_data_centre(&self, data_centre: &str) -> usize {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        upstreams
            .filter(|upstream| &*upstream.data_centre == data_centre)
            .count()
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Whether another process is registered under the identifier or at the address of an upstream.
    pub(crate) fn is_replaced(&self, upstream: &Upstream) -> bool {
        self.entries.values().any(|entry| {
            let other = &entry.upstream;
            let is_process = other.id == upstream.id && other.incarnation == upstream.incarnation;
            let is_place = other.id == upstream.id || other.address == upstream.address;
            is_place && !is_process && other.incarnation > upstream.incarnation
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
