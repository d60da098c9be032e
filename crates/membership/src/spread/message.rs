//! Messages that carry news, and messages that find out which news are missing.

use std::sync::Arc;

use eelgrassrock_model::Version;
use serde::{Deserialize, Serialize};

/// Piece of news: the value of a key at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Key, for example that of a row of the table.
    pub key: Arc<str>,
    /// Version of the value. A higher version replaces a lower one of the same key.
    pub version: Version,
    /// Encoded value, not interpreted by this crate.
    pub payload: Arc<[u8]>,
}

impl News {
    /// Returns an upper bound of the encoded size, in bytes.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        OVERHEAD_BYTES + self.key.len() + self.payload.len()
    }
}

/// Routers to which the receiver of a push forwards the news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forward {
    /// The root of the tree in the receiver's data centre.
    ToRoot,
    /// The receiver's children in the tree.
    ToChildren,
}

/// Hash of a key, and the version of its news that the sender holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// Hash of the key.
    pub key: u64,
    /// Version that the sender holds.
    pub version: Version,
}

/// Message about news between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Carries a piece of news along the tree.
    Push {
        /// Where the receiver forwards it.
        forward: Forward,
        /// The news.
        news: News,
    },
    /// Requests the versions in all buckets whose digests differ.
    Compare {
        /// Digest of each bucket of the sender's news, by index.
        buckets: Vec<u32>,
    },
    /// Answers [`Message::Compare`] for one bucket.
    Versions {
        /// Index of the bucket.
        bucket: u32,
        /// Versions of all keys that the sender holds in the bucket.
        versions: Vec<KeyVersion>,
    },
    /// Requests news by the hashes of their keys.
    Fetch {
        /// Hashes of the keys.
        keys: Vec<u64>,
    },
    /// Carries news that the receiver requested, or that it lacks.
    Batch {
        /// The news.
        news: Vec<News>,
    },
}
