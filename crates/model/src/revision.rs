//! Versions of a store that may come back from an older copy.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Version of a row or of a whole store: its number, and the era in which the store
/// gave it out.
///
/// A store that comes back from a copy gives out numbers again and counts its era up, so
/// whatever it says in a later era is newer. The default is the revision of a row that
/// doesn't exist.
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
    /// Times that the store has come back from a copy; 0 for a store that doesn't count.
    pub era: u64,
    /// Version within the era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether it says that there is no row.
    pub fn is_none(&self) -> bool {
        self.number == 0
    }
}
