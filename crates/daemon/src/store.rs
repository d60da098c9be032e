//! Contents of bundles that are at hand.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrassrock_config::bundle::{Bundle, digest_of};
use eelgrassrock_config::roll::{self, Record, Refusal, Verdict};
use eelgrassrock_membership::adoption;
use eelgrassrock_model::Digest;
use indexmap::IndexMap;

/// Number of bundles whose contents are kept.
const KEPT_BUNDLES: usize = 4;

/// Contents of the latest bundles by digest.
#[derive(Debug, Default)]
pub(crate) struct Store {
    contents: Mutex<IndexMap<Digest, Arc<[u8]>>>,
}

impl Store {
    /// Keeps contents if they have the digest.
    pub(crate) fn put(&self, digest: Digest, bytes: &[u8]) -> adoption::Contents {
        if digest_of(bytes) != digest {
            return adoption::Contents::Corrupt;
        }
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.insert(digest, Arc::from(bytes));
        if contents.len() > KEPT_BUNDLES {
            contents.shift_remove_index(0);
        }
        adoption::Contents::Verified
    }

    /// Returns contents.
    pub(crate) fn get(&self, digest: Digest) -> Option<Arc<[u8]>> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.get(&digest).cloned()
    }

    /// Reads the bundle of a record and checks whether it may come into force.
    pub(crate) fn check(
        &self,
        in_force: Option<&Bundle>,
        record: &adoption::Record,
    ) -> Result<Bundle, String> {
        let bytes = self
            .get(record.digest)
            .ok_or("its contents are not at hand")?;
        let text = std::str::from_utf8(&bytes).map_err(|error| error.to_string())?;
        let name = format!("bundle {}", record.version);
        let bundle = Bundle::parse(&name, text).map_err(|report| report.to_string())?;
        let roll = Record::from_json(&record.approvals).map_err(|error| error.to_string())?;
        if roll.version != bundle.version() || roll.digest != record.digest {
            return Err("its record is of another bundle".to_owned());
        }
        approve(in_force, &bundle, &roll)?;
        Ok(bundle)
    }
}

/// Applies the rule of rolls. A router that missed versions in between, or has
/// none yet, judges a bundle by the approvers that it names itself: the table
/// accepted the versions in between one by one.
fn approve(in_force: Option<&Bundle>, next: &Bundle, record: &Record) -> Result<(), String> {
    let follows = in_force.is_some_and(|bundle| bundle.version().next() == next.version());
    let judge = if follows { in_force } else { None };
    let Verdict::Refused(refusals) = roll::check(judge, next, &record.approvals) else {
        return Ok(());
    };
    let gap = |refusal: &&Refusal| !follows && matches!(refusal, Refusal::Version { .. });
    let reasons: Vec<String> = refusals
        .iter()
        .filter(|refusal| !gap(refusal))
        .map(ToString::to_string)
        .collect();
    if reasons.is_empty() {
        Ok(())
    } else {
        Err(reasons.join("; "))
    }
}
