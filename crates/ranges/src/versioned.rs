//! A map with its version, and the changes between two versions.
//!
//! Maps can have hundreds of ranges, of which a few change many times a second while a run of hot
//! keys is being spread. Every router follows them, so routers exchange deltas rather than whole
//! maps.

use std::collections::HashMap;

use eelgrassrock_model::Revision;
use serde::{Deserialize, Serialize};

use crate::map::{Fault, Map, Range};

/// A map, the version of its row, and the version in which each range last changed.
///
/// ```
/// use eelgrassrock_model::Revision;
/// use eelgrassrock_ranges::versioned::VersionedMap;
/// use eelgrassrock_ranges::map::Map;
///
/// let first = Revision::new(0, 3);
/// let mut relay = VersionedMap::new(Map::unowned(), first);
/// let mut follower = relay.clone();
/// let mut map = relay.map().clone();
/// map.split_before(4_096);
/// relay.advance(map, Revision::new(0, 5));
/// assert_eq!(follower.apply(relay.since(first)), Ok(true));
/// assert_eq!(follower.map(), relay.map());
/// ```
#[derive(Clone, Debug)]
pub struct VersionedMap {
    map: Map,
    version: Revision,
    /// For each range, the first known version in which it had its present value.
    changed: Vec<Revision>,
}

/// Changes to a map since a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the delta applies to; later versions work as well. `Revision::default()` if the
    /// delta holds the whole map.
    since: Revision,
    version: Revision,
    next_fence: u64,
    ranges: Vec<Range>,
}

impl VersionedMap {
    /// Creates the first known version of a map.
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

    /// Replaces the map by a later one. In a new era of the store every range counts as changed,
    /// because followers may have versions that the store lost when it was restored.
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

    /// Returns the changes since `version`, which must be an earlier version of this map.
    /// `Revision::default()` returns the whole map.
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

    /// Applies a delta. Returns `false` and changes nothing if the present version isn't older than
    /// the delta's, or if it is older than the version that the delta applies to.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the result would not be a valid map; then nothing changes.
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
    /// Returns the version of the map after the delta is applied.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Converts a delta that holds the whole map into that map.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the ranges don't cover every key once, as in a delta of single changes.
    pub fn into_whole(self) -> Result<VersionedMap, Fault> {
        let map = Map {
            next_fence: self.next_fence,
            ranges: self.ranges,
        };
        map.check()?;
        Ok(VersionedMap::new(map, self.version))
    }
}
