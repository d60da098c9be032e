//! Rows and transactions of the platform's transactional table.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Version;

/// Most writes that one transaction may hold.
pub const MAX_WRITES: usize = 64;

/// Identifier that a writer gives a transaction, unique among all writers. It
/// is kept in each row that the transaction wrote.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Operation(pub Arc<str>);

/// Row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, made of `a-z 0-9 - /`.
    pub key: Arc<str>,
    /// Version, at least 1.
    pub version: Version,
    /// Transaction that wrote this version.
    pub operation: Operation,
    /// Contents.
    pub value: Arc<str>,
}

/// Condition of a transaction: a row must have this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Expected version, zero if the row must be absent.
    pub version: Version,
}

/// Change of one row by a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New contents, `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// Conditions and changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifier of the transaction.
    pub operation: Operation,
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Changes, at most [`MAX_WRITES`].
    pub writes: Vec<Write>,
}

/// What is known of a transaction after it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All changes took effect. Holds the new version of each written row.
    Committed(Vec<Check>),
    /// A condition didn't hold, and nothing changed.
    Conflict {
        /// Key of the row that had another version.
        key: Arc<str>,
        /// Row as it is, `None` if it is absent.
        row: Option<Row>,
    },
    /// The table refused the transaction, and nothing changed.
    NotWritten {
        /// Time after which a new try is sensible.
        retry_after: Duration,
    },
    /// The answer was lost: the changes may or may not have taken effect.
    Unknown,
}
