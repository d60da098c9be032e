//! Journal of recent changes, from which followers are supplied.

use std::collections::VecDeque;
use std::sync::Arc;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Relay, TABLES};
use crate::clock;
use crate::platform::{Row, Rows, Table};

/// Maximum number of changes of one table that are kept for followers.
const MAX_JOURNAL: usize = 1_024;

/// Rows of one table and their recent changes.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Current rows of the table, for followers that need it in full.
    whole: IndexMap<Arc<str>, Row>,
    rows: VecDeque<Row>,
    /// Version after which all changes are in `rows`.
    since: Revision,
    /// Version up to which the table is known; none if it must be read again in full.
    version: Revision,
    /// Highest version of any row.
    newest_row: Revision,
    /// When the table was last read in full or changed.
    changed: Option<Instant>,
}

/// Changes of one table, or its full contents.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Part {
    pub(super) table: u8,
    pub(super) rows: Vec<WireRow>,
    pub(super) version: Revision,
    /// Whether the rows are the full contents of the table. They are if the follower has none of
    /// it, or the changes that it needs are no longer in the journal.
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
    /// Records changes of a table, or its full contents if `whole` is set.
    pub(crate) fn record(&self, table: Table, rows: &Rows, whole: bool) {
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
            self.updates.notify_waiters();
        }
    }

    /// Marks a table to be read again in full. Until then its rows stay available.
    pub(crate) fn invalidate(&self, table: Table) {
        let mut journals = self.journals.borrow_mut();
        let journal = &mut journals[index(table)];
        journal.version = Revision::default();
        journal.rows.clear();
    }

    /// Returns a row as known before the table was read again.
    pub(crate) fn known_row(&self, table: Table, key: &str) -> Option<Row> {
        self.journals.borrow()[index(table)].whole.get(key).cloned()
    }

    /// Replaces a row by a newer one that another router knows, for followers that need the table
    /// in full.
    pub(crate) fn amend(&self, table: Table, row: &Row) {
        let mut journals = self.journals.borrow_mut();
        let whole = &mut journals[index(table)].whole;
        whole.insert(Arc::clone(&row.key), row.clone());
    }

    /// Returns the version after which changes are to be read, or `None` if the table must be read
    /// in full.
    pub(crate) fn synced_version(&self, table: Table) -> Option<Revision> {
        let version = self.journals.borrow()[index(table)].version;
        (!version.is_none()).then_some(version)
    }

    /// Returns the highest row versions of configuration and registry, which routers don't write.
    pub(crate) fn newest_versions(&self) -> [Revision; 2] {
        let journals = self.journals.borrow();
        [Table::Configuration, Table::Registry].map(|table| journals[index(table)].newest_row)
    }

    /// Returns when a table was last read in full or changed.
    pub(crate) fn changed_at(&self, table: Table) -> Option<Instant> {
        self.journals.borrow()[index(table)].changed
    }

    /// Returns the time of the last contact to the store, directly or through a relay.
    pub(crate) fn last_store_contact(&self) -> Option<Instant> {
        self.last_contact.get()
    }

    /// Records contact to the store.
    pub(crate) fn record_store_contact(&self) {
        self.last_contact.set(Some(clock::now()));
    }

    /// Wakes followers because a map has changed.
    pub(crate) fn notify_followers(&self) {
        self.updates.notify_waiters();
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

    /// Returns empty parts with the current versions of tables without changes, so that a follower
    /// needn't read them again from a relay that has read them later.
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
