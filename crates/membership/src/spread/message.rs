//! Messages that carry news and compare what routers have.

use std::sync::Arc;

use eelgrassrock_model::Version;
use serde::{Deserialize, Serialize};

/// Piece of news: the contents of a key at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Key, for example the key of a row of the table.
    pub key: Arc<str>,
    /// Version. A higher one replaces a lower one of the same key.
    pub version: Version,
    /// Contents, opaque here.
    pub payload: Arc<[u8]>,
}

impl News {
    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        OVERHEAD_BYTES + self.key.len() + self.payload.len()
    }
}

/// How a push goes on from its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Route {
    /// The receiver hands the news to the root of its data centre's tree.
    Enter,
    /// The receiver hands the news to its children in the tree.
    Down,
}

/// Version of one key, the key given by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaf {
    /// Hash of the key.
    pub key: u64,
    /// Version that the sender has.
    pub version: Version,
}

/// Message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Brings a piece of news.
    Push {
        /// How it goes on.
        route: Route,
        /// The news.
        news: News,
    },
    /// Asks for the versions in the buckets whose digests differ.
    Compare {
        /// Digest of each bucket of the sender's news.
        buckets: Vec<u32>,
    },
    /// Answers [`Message::Compare`] for one bucket.
    Versions {
        /// Index of the bucket.
        bucket: u32,
        /// All keys that the sender has in it.
        leaves: Vec<Leaf>,
    },
    /// Asks for news by the hashes of their keys.
    Fetch {
        /// Hashes of the keys.
        keys: Vec<u64>,
    },
    /// Brings news that were asked for or that the receiver lacks.
    Batch {
        /// The news.
        news: Vec<News>,
    },
}
