//! Assignment of key ranges to the upstreams that may hold them.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The highest key.
pub const LAST_KEY: u16 = u16::MAX;
/// Bits of a fencing token below its era. Readers that parse numbers as floating point have 53
/// bits, which leaves 2 million eras, and a thousand tokens a second for 50 days in each era.
const FENCES_PER_ERA_BITS: u32 = 32;

/// Assignment of all keys of a service, as the store holds it.
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

/// Contiguous keys that have the same holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token of the grants to the holder.
    pub fence: u64,
    /// Upstream instance that the keys are assigned to.
    pub holder: Option<Instance>,
    /// Previous holders that may still hold the keys. There are several if a new holder was lost
    /// before the keys reached it. While the list isn't empty, the new holder gets no requests, and
    /// it gets no grant until none of them can hold the keys any more.
    pub sources: Vec<Instance>,
}

/// One process of an upstream. A restart creates a new instance, which holds none of the keys of
/// the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier of the upstream, which survives restarts.
    pub upstream: Arc<str>,
    /// Start of the process; it differs between two instances of an upstream.
    pub incarnation: u64,
}

/// Reason why a map is invalid.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// A key is in no range or in two.
    #[display("the ranges don't cover every key once, near key {key}")]
    Uncovered {
        /// First key that is wrong.
        key: u32,
    },
    /// A range has a fencing token that counts as unused.
    #[display("the range from key {from} has fencing token {fence}, which isn't below next_fence")]
    Fence {
        /// First key of the range.
        from: u16,
        /// Its fencing token.
        fence: u64,
    },
}

impl Map {
    /// Returns the map of a service without any holder.
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

    /// Checks that every key is in exactly one range, and that all fencing tokens were taken.
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

    /// Raises the next fencing token above all tokens of earlier eras of the store. A restored
    /// store may have lost maps whose tokens are higher than those of this map.
    ///
    /// ```
    /// use eelgrassrock_ranges::map::Map;
    ///
    /// let mut lost = Map::unowned();
    /// lost.enter_era(1);
    /// let last = (0..1_000).map(|_| lost.take_fence()).last().unwrap();
    /// let mut restored = Map::unowned();
    /// restored.enter_era(2);
    /// assert!(restored.take_fence() > last);
    /// ```
    pub fn enter_era(&mut self, era: u64) {
        self.next_fence = self.next_fence.max(era << FENCES_PER_ERA_BITS);
    }

    /// Takes the next unused fencing token.
    pub fn take_fence(&mut self) -> u64 {
        let fence = self.next_fence;
        self.next_fence += 1;
        fence
    }

    /// Splits a range in two before `key`, unless a range begins there.
    pub fn split_before(&mut self, key: u16) {
        let index = self.ranges.partition_point(|range| range.to < key);
        if self.ranges[index].from == key {
            return;
        }
        let mut upper = self.ranges[index].clone();
        upper.from = key;
        self.ranges[index].to = key - 1;
        self.ranges.insert(index + 1, upper);
    }

    /// Assigns a range to another holder under a new fencing token. The present holder becomes a
    /// source of the transfer.
    pub fn reassign(&mut self, index: usize, holder: Instance) {
        let fence = self.take_fence();
        let range = &mut self.ranges[index];
        let lost = range.holder.replace(holder);
        if let Some(instance) = lost.filter(|instance| !range.sources.contains(instance)) {
            range.sources.push(instance);
        }
        range.fence = fence;
    }
}
