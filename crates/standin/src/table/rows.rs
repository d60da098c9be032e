//! Rows of the table, and the transactions that change them.

use std::collections::BTreeMap;
use std::ops::Bound;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

const MAX_WRITES: usize = 64;

/// All rows. Versions come from one counter, so a row's version also increases
/// when the row is deleted and created again.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: BTreeMap<String, Row>,
    last_version: u64,
}

/// Row, in the form in which it is returned to clients.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    key: String,
    version: u64,
    operation: String,
    value: String,
}

/// Transaction, in the form in which clients send it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Transaction {
    operation: String,
    checks: Vec<Check>,
    writes: Vec<Write>,
}

#[derive(Clone, Debug, Deserialize)]
struct Check {
    key: String,
    version: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Write {
    key: String,
    #[serde(deserialize_with = "Option::deserialize")]
    value: Option<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum Commit {
    /// The transaction was applied. Holds the new version of each written key.
    Done(IndexMap<String, u64>),
    /// The check of `key` failed. `row` is the present row, if there is one.
    Conflict { key: String, row: Option<Row> },
    /// The transaction is malformed, for this reason.
    Invalid(&'static str),
}

impl Rows {
    pub(crate) fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns up to `limit` rows after the key `after`, and whether more rows follow.
    pub(crate) fn page(&self, prefix: &str, after: &str, limit: usize) -> (Vec<&Row>, bool) {
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let rows = self.rows.range::<str, _>((start, Bound::Unbounded));
        let mut rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        let page = rows.by_ref().take(limit).map(|(_, row)| row).collect();
        (page, rows.next().is_some())
    }

    pub(crate) fn commit(&mut self, transaction: Transaction) -> Commit {
        if transaction.writes.len() > MAX_WRITES {
            return Commit::Invalid("a transaction has at most 64 writes");
        }
        if !transaction.keys().all(is_key) {
            return Commit::Invalid("a key is made of a-z, 0-9, `-` and `/`");
        }
        if let Some(conflict) = self.conflict(&transaction.checks) {
            return conflict;
        }
        Commit::Done(self.apply(transaction))
    }

    fn conflict(&self, checks: &[Check]) -> Option<Commit> {
        let version = |key: &str| self.rows.get(key).map_or(0, |row| row.version);
        let failed = checks
            .iter()
            .find(|check| version(&check.key) != check.version)?;
        Some(Commit::Conflict {
            key: failed.key.clone(),
            row: self.rows.get(&failed.key).cloned(),
        })
    }

    fn apply(&mut self, transaction: Transaction) -> IndexMap<String, u64> {
        self.last_version += 1;
        let version = self.last_version;
        let mut versions = IndexMap::new();
        for write in transaction.writes {
            versions.insert(write.key.clone(), version);
            let Some(value) = write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                key: write.key.clone(),
                version,
                operation: transaction.operation.clone(),
                value,
            };
            self.rows.insert(write.key, row);
        }
        versions
    }
}

impl Transaction {
    fn keys(&self) -> impl Iterator<Item = &str> {
        let checked = self.checks.iter().map(|check| check.key.as_str());
        let written = self.writes.iter().map(|write| write.key.as_str());
        checked.chain(written)
    }
}

fn is_key(text: &str) -> bool {
    let allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'/';
    !text.is_empty() && text.bytes().all(allowed)
}
