//! Versions of a store that may be restored from an older copy.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Version of a row or of a whole store: its number, and the era in which the store
/// assigned the number.
///
/// A store that is restored from an older copy assigns the same numbers again. It
/// increments its era, so every revision of a later era is newer. The default is the
/// revision of a row that doesn't exist.
///
/// ```
/// use eelgrassrock_model::Revision;
///
/// let before = Revision::new(1, 900);
/// let after = Revision::new(2, 850);
/// assert!(before < after);
/// assert!(Revision::default().is_none());
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{era}.{number}")]
pub struct Revision {
    /// Number of times that the store was restored from a copy, 0 for a store that
    /// doesn't count them.
    pub era: u64,
    /// Version within the era, 0 if there is no row.
    pub number: u64,
}

impl Revision {
    /// Creates the revision `number` of the era `era`.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether this is the revision of a row that doesn't exist.
    pub fn is_none(&self) -> bool {
        self.number == 0
    }
}
