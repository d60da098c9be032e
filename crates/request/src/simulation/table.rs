//! In-memory model of the transactional table.

use std::sync::Arc;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, Outcome, Row, Transaction};
use indexmap::IndexMap;

/// Table that is always reachable.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: IndexMap<Arc<str>, Row>,
    version: Version,
    /// Transactions that took effect.
    pub writes: u64,
}

impl Table {
    /// Applies a transaction, unless the version of a checked row differs.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use eelgrassrock_model::Version;
    /// use eelgrassrock_model::table::{Check, Operation, Outcome, Transaction, Write};
    /// use eelgrassrock_request::simulation::Table;
    ///
    /// let key: Arc<str> = Arc::from("claim/issue/0");
    /// let create = Transaction {
    ///     operation: Operation(Arc::from("a")),
    ///     checks: vec![Check { key: key.clone(), version: Version(0) }],
    ///     writes: vec![Write { key: key.clone(), value: Some(Arc::from("run")) }],
    /// };
    /// let mut table = Table::default();
    /// assert!(matches!(table.apply(&create), Outcome::Committed(_)));
    /// assert!(matches!(table.apply(&create), Outcome::Conflict { .. }));
    /// assert_eq!(&*table.read(&key).unwrap().value, "run");
    /// ```
    pub fn apply(&mut self, transaction: &Transaction) -> Outcome {
        for check in &transaction.checks {
            let row = self.rows.get(&check.key);
            if row.map_or(Version(0), |row| row.version) != check.version {
                let key = check.key.clone();
                let row = row.cloned();
                return Outcome::Conflict { key, row };
            }
        }
        self.writes += 1;
        self.version = self.version.next();
        let mut versions = Vec::new();
        for write in &transaction.writes {
            self.write(transaction, &write.key, write.value.as_ref());
            versions.push(Check {
                key: write.key.clone(),
                version: self.version,
            });
        }
        Outcome::Committed(versions)
    }

    /// Returns the row with this key, if it exists.
    pub fn read(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn write(&mut self, transaction: &Transaction, key: &Arc<str>, value: Option<&Arc<str>>) {
        let Some(value) = value else {
            self.rows.swap_remove(key);
            return;
        };
        let row = Row {
            key: key.clone(),
            version: self.version,
            operation: transaction.operation.clone(),
            value: value.clone(),
        };
        self.rows.insert(key.clone(), row);
    }
}
