//! Rows of the table and the transactions that change them.

use std::collections::BTreeMap;
use std::ops::Bound;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

const MAX_WRITES: usize = 64;

/// All rows. One counter gives the versions, so that those of a row also grow
/// across its deletion and creation.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: BTreeMap<String, Row>,
    last_version: u64,
}

/// Row as it is answered.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    key: String,
    version: u64,
    operation: String,
    value: String,
}

/// Transaction as it is sent.
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

/// What became of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum Commit {
    Done(IndexMap<String, u64>),
    Conflict { key: String, row: Option<Row> },
    Invalid(&'static str),
}

impl Rows {
    pub(crate) fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns a page, and whether more rows follow it.
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
