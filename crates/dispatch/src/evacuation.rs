//! Decides which data centres are evacuated, from rows that the operator writes.
//!
//! An evacuation lasts while its row exists. Rows, removals and whole tables reach a router from the
//! store and from other routers, in any order. So their versions decide which is the last word, and a
//! message that was overtaken has no effect.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

/// Share of the bound for which a holder of keys there still gets requests. Its keys move within a
/// fraction of that. The rest covers the way of the row, and of a request that was sent last.
const HOLDER_SHARE: f64 = 0.4;
/// Largest number of writes of one row that are remembered, to recognize them in a restored store.
const MAX_WRITES: usize = 16;

/// Row of the operator about one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Data centre that the row names.
    pub data_centre: Arc<str>,
    /// Version at which the row was written or removed.
    pub version: Revision,
    /// Whether the row exists.
    pub is_present: bool,
}

/// Evacuation of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Data centre whose upstreams get no more requests.
    pub data_centre: Arc<str>,
    /// When this router learnt of it.
    pub since: Instant,
    /// Time until which holders of keys there still get requests for them.
    pub holders_until: Instant,
}

/// Effect of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An evacuation has begun.
    Began(Evacuation),
    /// An evacuation has ended.
    Ended(Evacuation),
}

/// What is known of the row of one data centre.
#[derive(Debug, Default)]
struct Entry {
    /// Version of the last write or removal.
    version: Revision,
    /// Numbers of the versions at which the row was written, in any era.
    writes: VecDeque<u64>,
    evacuation: Option<Evacuation>,
}

/// Evacuations in force, and what is known of earlier ones.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::evacuation::{Evacuations, Mark};
/// use eelgrassrock_model::Revision;
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let mark = |number, is_present| Mark {
///     data_centre: "dc-a".into(),
///     version: Revision::new(0, number),
///     is_present,
/// };
/// let mut evacuations = Evacuations::new(Duration::from_secs(5));
/// assert!(evacuations.record(&mark(7, true), now).is_some());
/// assert!(evacuations.is_evacuated("dc-a"));
/// evacuations.record(&mark(9, false), now);
/// // A router that lags behind passes the first row on.
/// evacuations.record(&mark(7, true), now);
/// assert!(!evacuations.is_evacuated("dc-a"));
/// ```
#[derive(Debug)]
pub struct Evacuations {
    bound: Duration,
    entries: IndexMap<Arc<str>, Entry>,
    /// Version up to which all rows are known. A row up to it without an entry was removed.
    complete_to: Revision,
}

impl Entry {
    /// Whether a row is older than what is known.
    ///
    /// A restored store assigns numbers again, so the number alone doesn't tell a copy of a removed
    /// row from one that was written since. But a copy has the number of a write that is known.
    fn is_newer_than(&self, mark: &Mark) -> bool {
        if mark.version.era > self.version.era {
            let is_removed = self.evacuation.is_none();
            return is_removed && mark.is_present && self.writes.contains(&mark.version.number);
        }
        mark.version < self.version
    }
}

impl Evacuations {
    /// Creates a record without evacuations. After `bound`, upstreams of an evacuated data centre may
    /// get no requests.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            entries: IndexMap::new(),
            complete_to: Revision::default(),
        }
    }

    /// Records a row that was written or removed. Returns `None` if it changes nothing.
    pub fn record(&mut self, mark: &Mark, now: Instant) -> Option<Change> {
        let holders_until = now + self.bound.mul_f64(HOLDER_SHARE);
        self.apply(mark, holders_until, now)
    }

    /// Records all rows of a table that is complete to a version. A row that it lacks was removed.
    ///
    /// A row that is found in a whole table may have been written long ago, so holders in its data
    /// centre get no more requests from now on.
    pub fn replace(&mut self, marks: &[Mark], version: Revision, now: Instant) -> Vec<Change> {
        let mut changes: Vec<Change> = marks
            .iter()
            .filter_map(|mark| self.apply(mark, now, now))
            .collect();
        let is_lacking =
            |data_centre: &Arc<str>| !marks.iter().any(|mark| mark.data_centre == *data_centre);
        // A restored store lacks the rows that were written after the copy. The operator has their
        // acknowledgement, so they stay in force until they are removed.
        let removed = self.entries.iter().filter(|(data_centre, entry)| {
            let is_older = entry.version.era == version.era && entry.version <= version;
            entry.evacuation.is_some() && is_older && is_lacking(data_centre)
        });
        let removed: Vec<Arc<str>> = removed.map(|(name, _)| Arc::clone(name)).collect();
        for data_centre in removed {
            let mark = Mark {
                data_centre,
                version,
                is_present: false,
            };
            changes.extend(self.apply(&mark, now, now));
        }
        self.complete(version);
        changes
    }

    /// Records that all rows up to a version are known.
    pub fn complete(&mut self, version: Revision) {
        self.complete_to = self.complete_to.max(version);
    }

    fn apply(&mut self, mark: &Mark, holders_until: Instant, now: Instant) -> Option<Change> {
        let is_over = match self.entries.get(&mark.data_centre) {
            Some(entry) => entry.is_newer_than(mark),
            None => mark.version <= self.complete_to,
        };
        if is_over {
            return None;
        }
        let entry = self
            .entries
            .entry(Arc::clone(&mark.data_centre))
            .or_default();
        entry.version = mark.version;
        if !mark.is_present {
            return entry.evacuation.take().map(Change::Ended);
        }
        if !entry.writes.contains(&mark.version.number) {
            entry.writes.truncate(MAX_WRITES - 1);
            entry.writes.push_front(mark.version.number);
        }
        if entry.evacuation.is_some() {
            return None;
        }
        let evacuation = Evacuation {
            data_centre: Arc::clone(&mark.data_centre),
            since: now,
            holders_until,
        };
        entry.evacuation = Some(evacuation.clone());
        Some(Change::Began(evacuation))
    }

    /// Returns the evacuations in force.
    pub fn all(&self) -> impl Iterator<Item = &Evacuation> {
        self.entries
            .values()
            .filter_map(|entry| entry.evacuation.as_ref())
    }

    /// Returns the evacuation of a data centre, if one is in force.
    pub fn get(&self, data_centre: &str) -> Option<&Evacuation> {
        self.entries.get(data_centre)?.evacuation.as_ref()
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.get(data_centre).is_some()
    }
}
