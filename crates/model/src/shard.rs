//! Shards: the units in which the keys of a service are assigned to upstreams.
//!
//! The hash of a key selects its shard. No state is kept per key, so memory and writes
//! don't grow with the number of keys.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of shards of one service.
pub const MAX_SHARDS: u32 = 1 << 20;

/// Index of a shard within its service, starting at 0.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Shard(pub u32);

/// Number of shards of a service: a power of two, at most [`MAX_SHARDS`].
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u32", into = "u32")]
pub struct Count(u32);

/// Error for an invalid number of shards.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{count} is not a power of two between 1 and {MAX_SHARDS}")]
pub struct CountError {
    count: u32,
}

impl Count {
    /// Returns the count as an integer.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns all shards in the order of their indices.
    pub fn shards(self) -> impl Iterator<Item = Shard> {
        (0..self.0).map(Shard)
    }

    /// Returns the shard that `key` belongs to.
    ///
    /// ```
    /// use eelgrassrock_model::shard::Count;
    ///
    /// let count = Count::try_from(256)?;
    /// let shard = count.shard_of(b"sheet-4711");
    /// assert_eq!(shard, count.shard_of(b"sheet-4711"));
    /// assert!(shard.0 < 256);
    /// # Ok::<(), eelgrassrock_model::shard::CountError>(())
    /// ```
    pub fn shard_of(self, key: &[u8]) -> Shard {
        let mask = u64::from(self.0 - 1);
        let index = xxh3_64(key) & mask;
        Shard(u32::try_from(index).expect("the mask keeps the index below 2^20"))
    }
}

impl TryFrom<u32> for Count {
    type Error = CountError;

    fn try_from(count: u32) -> Result<Self, CountError> {
        if count.is_power_of_two() && count <= MAX_SHARDS {
            Ok(Self(count))
        } else {
            Err(CountError { count })
        }
    }
}

impl From<Count> for u32 {
    fn from(count: Count) -> u32 {
        count.0
    }
}
