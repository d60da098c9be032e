//! Changes that a router keeps for its followers, and what they are sent of them.

use std::collections::VecDeque;
use std::sync::Arc;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Relay, TABLES};
use crate::clock;
use crate::seam::{Row, Rows, Table};

/// Changes of one table that are kept for followers.
const MAX_JOURNAL: usize = 1_024;

/// Rows of one table and their recent changes.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Rows that are in the table, for followers that don't have it.
    whole: IndexMap<Arc<str>, Row>,
    rows: VecDeque<Row>,
    /// Changes after this version are in `rows`.
    since: Revision,
    /// Version up to which everything is known, none if the table must be read.
    version: Revision,
    /// Highest version of a row.
    newest_row: Revision,
    /// When the table was read or a change of it came.
    changed: Option<Instant>,
}

/// Changes of one table, or all of it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Part {
    pub(super) table: u8,
    pub(super) rows: Vec<WireRow>,
    pub(super) version: Revision,
    /// The rows are all that are in the table: the follower has none of it, or
    /// its changes reach back too far.
    pub(super) is_whole: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireRow {
    key: Arc<str>,
    value: Option<Vec<u8>>,
    version: Revision,
}

impl From<&Row> for WireRow {
    fn from(row: &Row) -> Self {
        Self {
            key: Arc::clone(&row.key),
            value: row.value.as_ref().map(|value| value.to_vec()),
            version: row.version,
        }
    }
}

impl From<WireRow> for Row {
    fn from(row: WireRow) -> Self {
        Self {
            key: row.key,
            value: row.value.map(Into::into),
            version: row.version,
        }
    }
}

fn index(table: Table) -> usize {
    TABLES.iter().position(|other| *other == table).unwrap_or(0)
}

impl Relay {
    /// Keeps changes of a table. `whole` says that they are all of its rows.
    pub(crate) fn keep(&self, table: Table, rows: &Rows, whole: bool) {
        let mut journals = self.journals.borrow_mut();
        let journal = &mut journals[index(table)];
        if whole {
            journal.rows.clear();
            journal.whole.clear();
            journal.since = rows.version;
        } else {
            journal.rows.extend(rows.rows.iter().cloned());
        }
        for row in &rows.rows {
            if row.value.is_none() {
                journal.whole.swap_remove(&row.key);
            } else {
                journal.whole.insert(Arc::clone(&row.key), row.clone());
            }
        }
        let newest = rows
            .rows
            .iter()
            .map(|row| row.version)
            .max()
            .unwrap_or_default();
        journal.newest_row = journal.newest_row.max(newest);
        journal.version = journal.version.max(rows.version);
        while journal.rows.len() > MAX_JOURNAL {
            if let Some(row) = journal.rows.pop_front() {
                journal.since = journal.since.max(row.version);
            }
        }
        if whole || !rows.rows.is_empty() {
            journal.changed = Some(clock::now());
            self.news.notify_waiters();
        }
    }

    /// Lets a table be read anew. Until then its rows stay as they are.
    pub(crate) fn forget(&self, table: Table) {
        let mut journals = self.journals.borrow_mut();
        let journal = &mut journals[index(table)];
        journal.version = Revision::default();
        journal.rows.clear();
    }

    /// Returns a row as it was known before a table was read anew.
    pub(crate) fn known(&self, table: Table, key: &str) -> Option<Row> {
        self.journals.borrow()[index(table)].whole.get(key).cloned()
    }

    /// Keeps what another router knows better than the store, for those who have
    /// nothing of a table yet.
    pub(crate) fn amend(&self, table: Table, row: &Row) {
        let mut journals = self.journals.borrow_mut();
        let whole = &mut journals[index(table)].whole;
        whole.insert(Arc::clone(&row.key), row.clone());
    }

    /// Version from which the changes of a table go on, `None` if it must be
    /// read whole.
    pub(crate) fn after(&self, table: Table) -> Option<Revision> {
        let version = self.journals.borrow()[index(table)].version;
        (!version.is_none()).then_some(version)
    }

    /// Highest versions of rows of the tables that others write.
    pub(crate) fn newest(&self) -> [Revision; 2] {
        let journals = self.journals.borrow();
        [Table::Configuration, Table::Registry].map(|table| journals[index(table)].newest_row)
    }

    /// When the last news of a table came.
    pub(crate) fn changed(&self, table: Table) -> Option<Instant> {
        self.journals.borrow()[index(table)].changed
    }

    /// When the store gave its last sign, directly or through a relay.
    pub(crate) fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Notes a sign of the store.
    pub(crate) fn hear_store(&self) {
        self.heard.set(Some(clock::now()));
    }

    /// Tells followers that there is a new map.
    pub(crate) fn tell(&self) {
        self.news.notify_waiters();
    }

    pub(super) fn changes(&self, after: [Revision; 3]) -> Vec<Part> {
        let journals = self.journals.borrow();
        let mut parts = Vec::new();
        for (table, journal) in journals.iter().enumerate() {
            if journal.version.is_none() {
                continue;
            }
            let is_whole = after[table] < journal.since;
            let rows: Vec<WireRow> = if is_whole {
                journal.whole.values().map(WireRow::from).collect()
            } else {
                let later = |row: &&Row| row.version > after[table];
                let rows = journal.rows.iter().filter(later);
                rows.map(WireRow::from).collect()
            };
            if is_whole || !rows.is_empty() {
                parts.push(Part {
                    table: table as u8,
                    rows,
                    version: journal.version,
                    is_whole,
                });
            }
        }
        parts
    }

    /// Says for tables without changes up to which version that holds, so that a
    /// follower needn't read them anew at a relay that has read them later.
    pub(super) fn unchanged(&self, after: [Revision; 3]) -> Vec<Part> {
        let journals = self.journals.borrow();
        let tables = journals.iter().zip(after).enumerate();
        tables
            .filter(|(_, (journal, after))| !after.is_none() && journal.version > *after)
            .map(|(table, (journal, _))| Part {
                table: table as u8,
                rows: Vec::new(),
                version: journal.version,
                is_whole: false,
            })
            .collect()
    }
}
