//! Cache of bundle contents, and the bundles accepted and refused last.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrassrock_config::bundle::{Bundle, digest_of};
use eelgrassrock_membership::adoption;
use eelgrassrock_model::{Digest, Version};
use indexmap::IndexMap;
use serde::Serialize;

/// Number of bundles whose contents are cached.
const KEPT_BUNDLES: usize = 4;

/// Refusal of a bundle, as shown in the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Refusal {
    /// Version of the refused bundle.
    pub(crate) version: Version,
    /// Reasons for the refusal.
    pub(crate) reason: Arc<str>,
}

/// Contents of the latest bundles by digest, and the results of their checks.
#[derive(Debug, Default)]
pub(crate) struct Bundles {
    contents: Mutex<IndexMap<Digest, Arc<[u8]>>>,
    accepted: Mutex<Option<Bundle>>,
    refused: Mutex<Option<Refusal>>,
}

impl Bundles {
    /// Stores `bytes` if their digest is `digest`. Removes the oldest entry if more than
    /// [`KEPT_BUNDLES`] are stored.
    pub(crate) fn put(&self, digest: Digest, bytes: &[u8]) -> adoption::FetchOutcome {
        if digest_of(bytes) != digest {
            return adoption::FetchOutcome::Corrupt;
        }
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.insert(digest, Arc::from(bytes));
        if contents.len() > KEPT_BUNDLES {
            contents.shift_remove_index(0);
        }
        adoption::FetchOutcome::Verified
    }

    /// Returns the contents with this digest, `None` if they aren't cached.
    pub(crate) fn get(&self, digest: Digest) -> Option<Arc<[u8]>> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.get(&digest).cloned()
    }

    /// Records the refusal of a bundle, in place of the previous refusal.
    pub(crate) fn record_refusal(&self, refused: Refusal) {
        *self.refused.lock().unwrap_or_else(PoisonError::into_inner) = Some(refused);
    }

    /// Returns the latest refusal.
    pub(crate) fn last_refusal(&self) -> Option<Refusal> {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.clone()
    }

    /// Stores an accepted bundle until it comes into force, in place of the previous one.
    pub(crate) fn accept(&self, bundle: Bundle) {
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        *accepted = Some(bundle);
    }

    /// Removes and returns the accepted bundle if it has this digest.
    pub(crate) fn take_accepted(&self, digest: Digest) -> Option<Bundle> {
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.take_if(|bundle| bundle.digest() == digest)
    }
}
