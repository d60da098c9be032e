//! The latest version of each piece of news, and digests of all.

use std::sync::Arc;

use eelgrassrock_model::Version;
use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Leaf, News};

/// Number of buckets in which news are compared.
pub(crate) const BUCKETS: usize = 64;

/// News by the hash of their keys.
#[derive(Debug)]
pub(crate) struct Archive {
    news: IndexMap<u64, Item>,
    buckets: Vec<u32>,
}

#[derive(Debug)]
struct Item {
    news: News,
    /// Version that was handed to the children in the tree.
    forwarded: Version,
}

pub(crate) fn hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

pub(crate) fn bucket(hash: u64) -> usize {
    (hash >> 32) as usize % BUCKETS
}

fn mix(hash: u64, version: Version) -> u32 {
    xxh3_64_with_seed(&version.0.to_le_bytes(), hash) as u32
}

impl Archive {
    pub(crate) fn new() -> Self {
        Self {
            news: IndexMap::new(),
            buckets: vec![0; BUCKETS],
        }
    }

    /// Keeps `news` if it is newer than what is kept, and returns whether it
    /// is.
    pub(crate) fn insert(&mut self, news: News) -> bool {
        let hash = hash(&news.key);
        let old = self.version(hash);
        if news.version <= old {
            return false;
        }
        let bucket = &mut self.buckets[bucket(hash)];
        if old > Version(0) {
            *bucket ^= mix(hash, old);
        }
        *bucket ^= mix(hash, news.version);
        let forwarded = self
            .news
            .get(&hash)
            .map_or(Version(0), |item| item.forwarded);
        self.news.insert(hash, Item { news, forwarded });
        true
    }

    /// Notes that the kept version of `key` is forwarded, and returns whether
    /// it hadn't been.
    pub(crate) fn forward(&mut self, key: &str, version: Version) -> bool {
        let item = self.news.get_mut(&hash(key));
        item.is_some_and(|item| {
            let due = item.news.version == version && item.forwarded < version;
            if due {
                item.forwarded = version;
            }
            due
        })
    }

    /// Returns the version of a key, zero if there is none.
    pub(crate) fn version(&self, hash: u64) -> Version {
        self.news
            .get(&hash)
            .map_or(Version(0), |item| item.news.version)
    }

    pub(crate) fn get(&self, hash: u64) -> Option<&News> {
        self.news.get(&hash).map(|item| &item.news)
    }

    pub(crate) fn find(&self, key: &str) -> Option<&News> {
        self.get(hash(key)).filter(|news| news.key.as_ref() == key)
    }

    pub(crate) fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    pub(crate) fn digest(&self) -> u32 {
        let bytes: Vec<u8> = self
            .buckets
            .iter()
            .flat_map(|bucket| bucket.to_le_bytes())
            .collect();
        xxh3_64(&bytes) as u32
    }

    pub(crate) fn leaves(&self, index: usize) -> Vec<Leaf> {
        let items = self.news.iter().filter(|(hash, _)| bucket(**hash) == index);
        items
            .map(|(key, item)| Leaf {
                key: *key,
                version: item.news.version,
            })
            .collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.news.len()
    }
}

/// Returns the place on the ring at which the tree of a piece of news starts.
pub(crate) fn start(key: &Arc<str>, version: Version) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), version.0)
}
