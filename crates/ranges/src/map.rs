//! Which upstream may hold which keys.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Last key.
pub const LAST_KEY: u16 = u16::MAX;
/// Bits of a fencing token below its era. Readers that keep numbers as floating point
/// have 53 bits: 2 million eras, and a thousand tokens a second for 50 days in each.
const FENCES_PER_ERA_BITS: u32 = 32;

/// Division of all keys of a service, as it lies in the store.
///
/// ```
/// use eelgrassrock_ranges::map::Map;
///
/// let map = Map::unowned();
/// assert!(map.check().is_ok());
/// assert!(map.range(4711).holder.is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Lowest fencing token that was never used.
    pub next_fence: u64,
    /// Ranges in ascending order; together they cover every key once.
    pub ranges: Vec<Range>,
}

/// Neighbouring keys that have one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token of the grants to the holder.
    pub fence: u64,
    /// Upstream that is to hold the keys.
    pub holder: Option<Life>,
    /// Earlier holders of which one may still hold them: several if an upstream
    /// was lost before the keys reached it. While there is one, the new holder
    /// gets no grant and no requests.
    pub sources: Vec<Life>,
}

/// One life of an upstream: a restart ends all that it held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Start of its process.
    pub incarnation: u64,
}

/// Why a map can't be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// Some key has no range or two.
    #[display("the ranges don't cover every key once, near key {key}")]
    Uncovered {
        /// First key that is wrong.
        key: u32,
    },
    /// A range carries a fencing token that counts as unused.
    #[display("the range from key {from} has fencing token {fence}, which isn't below next_fence")]
    Fence {
        /// First key of the range.
        from: u16,
        /// Its fencing token.
        fence: u64,
    },
}

impl Map {
    /// Returns the map of a service that was never granted.
    pub fn unowned() -> Self {
        let range = Range {
            from: 0,
            to: LAST_KEY,
            fence: 0,
            holder: None,
            sources: Vec::new(),
        };
        Self {
            next_fence: 1,
            ranges: vec![range],
        }
    }

    /// Checks that every key has one range.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`].
    pub fn check(&self) -> Result<(), Fault> {
        let mut next = 0_u32;
        for range in &self.ranges {
            if u32::from(range.from) != next || range.to < range.from {
                return Err(Fault::Uncovered { key: next });
            }
            if range.fence >= self.next_fence {
                let (from, fence) = (range.from, range.fence);
                return Err(Fault::Fence { from, fence });
            }
            next = u32::from(range.to) + 1;
        }
        if next != u32::from(LAST_KEY) + 1 {
            return Err(Fault::Uncovered { key: next });
        }
        Ok(())
    }

    /// Returns the range of a key.
    ///
    /// # Panics
    ///
    /// Panics if the map doesn't cover the key, see [`Map::check`].
    pub fn range(&self, key: u16) -> &Range {
        let index = self.ranges.partition_point(|range| range.to < key);
        &self.ranges[index]
    }

    /// Makes all tokens that are taken from now on higher than any of an earlier era of
    /// the store: what it has lost may name tokens that this map doesn't.
    ///
    /// ```
    /// use eelgrassrock_ranges::map::Map;
    ///
    /// let mut lost = Map::unowned();
    /// lost.enter_era(1);
    /// let last = (0..1_000).map(|_| lost.take_fence()).last().unwrap();
    /// let mut copy = Map::unowned();
    /// copy.enter_era(2);
    /// assert!(copy.take_fence() > last);
    /// ```
    pub fn enter_era(&mut self, era: u64) {
        self.next_fence = self.next_fence.max(era << FENCES_PER_ERA_BITS);
    }

    /// Takes a new fencing token.
    pub fn take_fence(&mut self) -> u64 {
        let fence = self.next_fence;
        self.next_fence += 1;
        fence
    }

    /// Cuts a range in two before `key`, unless a range begins there.
    pub fn cut_before(&mut self, key: u16) {
        let index = self.ranges.partition_point(|range| range.to < key);
        if self.ranges[index].from == key {
            return;
        }
        let mut upper = self.ranges[index].clone();
        upper.from = key;
        self.ranges[index].to = key - 1;
        self.ranges.insert(index + 1, upper);
    }

    /// Gives a range to another holder under a new fencing token.
    pub fn reassign(&mut self, index: usize, holder: Life) {
        let fence = self.take_fence();
        let range = &mut self.ranges[index];
        let lost = range.holder.replace(holder);
        if let Some(life) = lost.filter(|life| !range.sources.contains(life)) {
            range.sources.push(life);
        }
        range.fence = fence;
    }
}
