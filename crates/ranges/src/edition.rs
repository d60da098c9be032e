//! A map with its version, and what changed between two versions.
//!
//! Load answered: maps of hundreds of ranges of which a few change many times a
//! second, while a run of hot keys is spread, and which every router follows.

use std::collections::HashMap;

use eelgrassrock_model::Revision;
use serde::{Deserialize, Serialize};

use crate::map::{Fault, Map, Range};

/// A map and the version of its row.
///
/// ```
/// use eelgrassrock_model::Revision;
/// use eelgrassrock_ranges::edition::Edition;
/// use eelgrassrock_ranges::map::Map;
///
/// let first = Revision::new(0, 3);
/// let mut relay = Edition::new(Map::unowned(), first);
/// let mut follower = relay.clone();
/// let mut map = relay.map().clone();
/// map.cut_before(4_096);
/// relay.advance(map, Revision::new(0, 5));
/// assert_eq!(follower.apply(relay.since(first)), Ok(true));
/// assert_eq!(follower.map(), relay.map());
/// ```
#[derive(Clone, Debug)]
pub struct Edition {
    map: Map,
    version: Revision,
    /// For each range, the first known version in which it was as it is.
    changed: Vec<Revision>,
}

/// What changed in a map after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that it is applied to, or a later one; none if it is the whole map.
    since: Revision,
    version: Revision,
    next_fence: u64,
    ranges: Vec<Range>,
}

impl Edition {
    /// Creates the first edition that is known.
    pub fn new(map: Map, version: Revision) -> Self {
        Self {
            changed: vec![version; map.ranges.len()],
            map,
            version,
        }
    }

    /// Returns the map.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Returns the version of the map.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Replaces the map by a later one. In a new era of the store all of it counts as
    /// changed: others may have versions that the store has lost.
    pub fn advance(&mut self, map: Map, version: Revision) {
        if version.era > self.version.era {
            *self = Self::new(map, version);
            return;
        }
        let known: HashMap<u16, (&Range, Revision)> = self
            .map
            .ranges
            .iter()
            .zip(&self.changed)
            .map(|(range, changed)| (range.from, (range, *changed)))
            .collect();
        let changed = |range: &Range| match known.get(&range.from) {
            Some((same, changed)) if *same == range => *changed,
            _ => version,
        };
        self.changed = map.ranges.iter().map(changed).collect();
        self.map = map;
        self.version = version;
    }

    /// Returns what changed after `version`, which was this map's version once; none
    /// for the whole map.
    pub fn since(&self, version: Revision) -> Delta {
        let ranges = self.map.ranges.iter().zip(&self.changed);
        Delta {
            since: version,
            version: self.version,
            next_fence: self.map.next_fence,
            ranges: ranges
                .filter(|(_, changed)| **changed > version)
                .map(|(range, _)| range.clone())
                .collect(),
        }
    }

    /// Takes changes. Returns whether they are news: not if a later version is
    /// known, or one before that to which they apply.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the result would not be a map; then nothing changes.
    pub fn apply(&mut self, delta: Delta) -> Result<bool, Fault> {
        if delta.version <= self.version || delta.since > self.version {
            return Ok(false);
        }
        let version = delta.version;
        let mut map = if delta.since.is_none() {
            Map {
                next_fence: delta.next_fence,
                ranges: Vec::new(),
            }
        } else {
            self.map.clone()
        };
        map.next_fence = delta.next_fence;
        let replaced = |range: &Range| {
            let later = delta.ranges.partition_point(|new| new.to < range.from);
            let overlap = delta.ranges.get(later);
            overlap.is_some_and(|new| new.from <= range.to)
        };
        map.ranges.retain(|range| !replaced(range));
        map.ranges.extend(delta.ranges);
        map.ranges.sort_by_key(|range| range.from);
        map.check()?;
        self.advance(map, version);
        Ok(true)
    }
}

impl Delta {
    /// Returns the version of the map that it leads to.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Returns the map if it is a whole one.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if it doesn't cover every key once: then it isn't whole.
    pub fn into_whole(self) -> Result<Edition, Fault> {
        let map = Map {
            next_fence: self.next_fence,
            ranges: self.ranges,
        };
        map.check()?;
        Ok(Edition::new(map, self.version))
    }
}
