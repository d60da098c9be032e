//! Contents of bundles that are at hand.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrassrock_config::bundle::{Bundle, digest_of};
use eelgrassrock_membership::adoption;
use eelgrassrock_model::{Digest, Version};
use indexmap::IndexMap;
use serde::Serialize;

/// Number of bundles whose contents are kept.
const KEPT_BUNDLES: usize = 4;

/// Bundle that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Refused {
    /// Its version.
    pub(crate) version: Version,
    /// Why.
    pub(crate) reason: Arc<str>,
}

/// Contents of the latest bundles by digest.
#[derive(Debug, Default)]
pub(crate) struct Bundles {
    contents: Mutex<IndexMap<Digest, Arc<[u8]>>>,
    accepted: Mutex<Option<Bundle>>,
    refused: Mutex<Option<Refused>>,
}

impl Bundles {
    /// Keeps contents if they have the digest.
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

    /// Returns contents.
    pub(crate) fn get(&self, digest: Digest) -> Option<Arc<[u8]>> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.get(&digest).cloned()
    }

    /// Notes that a bundle was refused.
    pub(crate) fn note_refused(&self, refused: Refused) {
        *self.refused.lock().unwrap_or_else(PoisonError::into_inner) = Some(refused);
    }

    /// Returns the bundle that was refused last.
    pub(crate) fn last_refused(&self) -> Option<Refused> {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.clone()
    }

    /// Keeps a bundle that was accepted until it comes into force.
    pub(crate) fn accept(&self, bundle: Bundle) {
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        *accepted = Some(bundle);
    }

    /// Takes the bundle that was accepted, if it has this digest.
    pub(crate) fn take_accepted(&self, digest: Digest) -> Option<Bundle> {
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.take_if(|bundle| bundle.digest() == digest)
    }
}
