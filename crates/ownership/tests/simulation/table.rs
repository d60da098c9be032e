//! Model of the transactional table.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, Outcome, Row, Transaction};

/// Table whose row versions only grow.
#[derive(Default)]
pub(crate) struct Table {
    pub(crate) is_up: bool,
    pub(crate) rows: BTreeMap<Arc<str>, Row>,
    pub(crate) last: u64,
}

impl Table {
    pub(crate) fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn version(&self, key: &str) -> Version {
        self.rows.get(key).map_or(Version(0), |row| row.version)
    }

    pub(crate) fn write(&mut self, transaction: &Transaction) -> Outcome {
        for Check { key, version } in &transaction.checks {
            if self.version(key) != *version {
                return Outcome::Conflict {
                    key: key.clone(),
                    row: self.rows.get(key).cloned(),
                };
            }
        }
        let mut versions = Vec::new();
        for write in &transaction.writes {
            self.last += 1;
            let version = Version(self.last);
            versions.push(Check {
                key: write.key.clone(),
                version,
            });
            let row = Row {
                key: write.key.clone(),
                version,
                operation: transaction.operation.clone(),
                value: write.value.clone().expect("no row is deleted"),
            };
            self.rows.insert(write.key.clone(), row);
        }
        Outcome::Committed(versions)
    }
}
