//! Rows and transactions of the platform's transactional table.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Version;

/// Maximum number of writes in one transaction.
pub const MAX_WRITES: usize = 64;

/// Identifier that a writer assigns to a transaction, unique among all writers. The
/// table stores it in each row that the transaction wrote.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Operation(pub Arc<str>);

/// Row of the table, as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row. It contains only `a-z`, `0-9`, `-` and `/`.
    pub key: Arc<str>,
    /// Version of the row, at least 1.
    pub version: Version,
    /// Identifier of the transaction that wrote this version.
    pub operation: Operation,
    /// Contents of the row.
    pub value: Arc<str>,
}

/// Condition of a transaction: the row must have this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Expected version, zero if the row must not exist.
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
    /// Identifier of this transaction.
    pub operation: Operation,
    /// Conditions, all of which must hold for the transaction to commit.
    pub checks: Vec<Check>,
    /// Changes to make, at most [`MAX_WRITES`].
    pub writes: Vec<Write>,
}

/// Outcome of a transaction, as far as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All changes took effect. Holds the new version of each written row.
    Committed(Vec<Check>),
    /// A condition didn't hold, and nothing changed.
    Conflict {
        /// Key of the row that had another version.
        key: Arc<str>,
        /// Current row, `None` if it doesn't exist.
        row: Option<Row>,
    },
    /// The table refused the transaction, and nothing changed.
    NotWritten {
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The answer was lost: the changes may or may not have taken effect.
    Unknown,
}
