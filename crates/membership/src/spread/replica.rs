//! Latest version of each key's news, and digests for comparing them with a peer.

use std::sync::Arc;

use eelgrassrock_model::Version;
use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{KeyVersion, News};

/// Number of buckets into which news are divided for a comparison.
pub(crate) const BUCKETS: usize = 64;

/// News by the hash of their keys, with one digest per bucket.
#[derive(Debug)]
pub(crate) struct Replica {
    news: IndexMap<u64, Item>,
    buckets: Vec<u32>,
}

#[derive(Debug)]
struct Item {
    news: News,
    /// Latest version that was forwarded to the children in the tree.
    forwarded: Version,
}

pub(crate) fn hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

pub(crate) fn bucket(hash: u64) -> usize {
    (hash >> 32) as usize % BUCKETS
}

fn version_digest(hash: u64, version: Version) -> u32 {
    xxh3_64_with_seed(&version.0.to_le_bytes(), hash) as u32
}

impl Replica {
    pub(crate) fn new() -> Self {
        Self {
            news: IndexMap::new(),
            buckets: vec![0; BUCKETS],
        }
    }

    /// Stores `news` if it is newer than the stored version of its key, and returns
    /// whether it is.
    pub(crate) fn insert(&mut self, news: News) -> bool {
        let hash = hash(&news.key);
        let old = self.version(hash);
        if news.version <= old {
            return false;
        }
        let bucket = &mut self.buckets[bucket(hash)];
        if old > Version(0) {
            *bucket ^= version_digest(hash, old);
        }
        *bucket ^= version_digest(hash, news.version);
        let forwarded = self
            .news
            .get(&hash)
            .map_or(Version(0), |item| item.forwarded);
        self.news.insert(hash, Item { news, forwarded });
        true
    }

    /// Marks the stored version of `key` as forwarded. Returns false if it was forwarded
    /// before, or isn't `version`.
    pub(crate) fn mark_forwarded(&mut self, key: &str, version: Version) -> bool {
        let item = self.news.get_mut(&hash(key));
        item.is_some_and(|item| {
            let is_due = item.news.version == version && item.forwarded < version;
            if is_due {
                item.forwarded = version;
            }
            is_due
        })
    }

    /// Returns the stored version of a key, zero if there is none.
    pub(crate) fn version(&self, hash: u64) -> Version {
        self.news
            .get(&hash)
            .map_or(Version(0), |item| item.news.version)
    }

    pub(crate) fn get(&self, hash: u64) -> Option<&News> {
        self.news.get(&hash).map(|item| &item.news)
    }

    pub(crate) fn get_by_key(&self, key: &str) -> Option<&News> {
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

    pub(crate) fn versions_in(&self, index: usize) -> Vec<KeyVersion> {
        let items = self.news.iter().filter(|(hash, _)| bucket(**hash) == index);
        items
            .map(|(key, item)| KeyVersion {
                key: *key,
                version: item.news.version,
            })
            .collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.news.len()
    }
}

/// Returns the position on the hash ring at which the tree for a version of `key`
/// starts.
pub(crate) fn ring_start(key: &Arc<str>, version: Version) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), version.0)
}
