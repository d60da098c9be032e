//! Journal of recent changes, from which followers are supplied.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_store::content::Digest;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Relay, TABLES};
use crate::clock;
use crate::platform::{Row, Rows, Table};

/// Maximum number of changes of one table that are kept for followers.
const MAX_JOURNAL: usize = 1_024;
/// Size of contents above which a row is announced, and transferred by itself.
pub(super) const MAX_INLINE_BYTES: usize = 8 << 10;
/// Number of earlier contents of a large row that are kept, for followers that have them.
const MAX_EARLIER: usize = 2;

/// Rows of one table and their recent changes.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Current rows of the table, for followers that need it in full.
    whole: IndexMap<Arc<str>, Row>,
    rows: VecDeque<Row>,
    /// Earlier contents of large rows, newest first.
    earlier: HashMap<Arc<str>, VecDeque<Bytes>>,
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

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WireRow {
    pub(super) key: Arc<str>,
    pub(super) value: WireValue,
    pub(super) version: Revision,
}

/// Contents of a row in a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum WireValue {
    Removed,
    Present(Vec<u8>),
    /// Contents to be fetched.
    Announced(Digest),
    /// Contents as the difference to those that the follower has.
    Difference {
        base: Digest,
        digest: Digest,
        compressed: Vec<u8>,
    },
}

impl WireRow {
    /// Whether the contents of the row have yet to arrive.
    pub(super) fn is_missing(&self) -> bool {
        matches!(
            self.value,
            WireValue::Announced(_) | WireValue::Difference { .. }
        )
    }
}

impl From<&Row> for WireRow {
    fn from(row: &Row) -> Self {
        let value = match &row.value {
            None => WireValue::Removed,
            Some(value) if value.len() > MAX_INLINE_BYTES => {
                WireValue::Announced(Digest::of(value))
            }
            Some(value) => WireValue::Present(value.to_vec()),
        };
        Self {
            key: Arc::clone(&row.key),
            value,
            version: row.version,
        }
    }
}

impl From<WireRow> for Row {
    fn from(row: WireRow) -> Self {
        Self {
            key: row.key,
            value: match row.value {
                WireValue::Present(value) => Some(value.into()),
                WireValue::Removed | WireValue::Announced(_) | WireValue::Difference { .. } => None,
            },
            version: row.version,
        }
    }
}

impl From<Part> for Rows {
    /// Returns the rows of a part. Rows that never arrived are left out.
    fn from(part: Part) -> Self {
        let arrived = part.rows.into_iter().filter(|row| !row.is_missing());
        Self {
            rows: arrived.map(Row::from).collect(),
            version: part.version,
        }
    }
}

pub(super) fn index(table: Table) -> usize {
    TABLES.iter().position(|other| *other == table).unwrap_or(0)
}

impl Journal {
    /// Keeps the contents of a large row that a new one replaces.
    fn keep_earlier(&mut self, row: &Row) {
        let known = self.whole.get(&row.key).and_then(|row| row.value.as_ref());
        let is_large = |contents: &&Bytes| contents.len() > MAX_INLINE_BYTES;
        if let Some(known) = known.filter(is_large)
            && row.value.as_ref() != Some(known)
        {
            let earlier = self.earlier.entry(Arc::clone(&row.key)).or_default();
            earlier.truncate(MAX_EARLIER - 1);
            earlier.push_front(known.clone());
        }
    }
}

impl Relay {
    /// Records changes of a table, or its full contents if `whole` is set.
    pub(crate) fn record(&self, table: Table, rows: &Rows, whole: bool) {
        let mut journals = self.journals.borrow_mut();
        let journal = &mut journals[index(table)];
        for row in &rows.rows {
            journal.keep_earlier(row);
        }
        if whole {
            journal.rows.clear();
            journal.whole.clear();
            journal.since = rows.version;
        }
        for row in &rows.rows {
            // A row that was removed is only among the changes.
            let changed = || journal.rows.iter().find(|other| other.key == row.key);
            let known = journal.whole.get(&row.key).or_else(changed);
            if known.is_some_and(|known| known.version > row.version) {
                continue;
            }
            if row.value.is_none() {
                journal.whole.swap_remove(&row.key);
            } else {
                journal.whole.insert(Arc::clone(&row.key), row.clone());
            }
            if !whole {
                // Followers need only the last change of a row.
                journal.rows.retain(|other| other.key != row.key);
                journal.rows.push_back(row.clone());
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
        self.transfers.borrow_mut()[index(table)].arrive(journal.newest_row);
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

    /// Returns all rows of a table as known before it was read again.
    pub(crate) fn known_rows(&self, table: Table) -> Vec<Row> {
        let journals = self.journals.borrow();
        journals[index(table)].whole.values().cloned().collect()
    }

    /// Returns the digests of the large rows of a table.
    pub(super) fn large_rows(&self, table: Table) -> Vec<(Arc<str>, Digest)> {
        let journals = self.journals.borrow();
        let rows = journals[index(table)].whole.iter();
        let large = rows.filter_map(|(key, row)| {
            let value = row.value.as_ref()?;
            (value.len() > MAX_INLINE_BYTES).then(|| (Arc::clone(key), Digest::of(value)))
        });
        large.collect()
    }

    /// Returns earlier or present contents of a large row by their digest.
    pub(super) fn earlier_contents(
        &self,
        table: Table,
        key: &str,
        digest: Digest,
    ) -> Option<Bytes> {
        let journals = self.journals.borrow();
        let journal = &journals[index(table)];
        let present = journal.whole.get(key).and_then(|row| row.value.as_ref());
        let earlier = journal.earlier.get(key).into_iter().flatten();
        let mut all = present.into_iter().chain(earlier);
        all.find(|contents| digest.is_of(contents)).cloned()
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

    /// Whether a part that a router other than the relay sent may hold news. Without a table of its own
    /// to compare with, this router takes a full one only if it isn't older than any row it has known.
    pub(super) fn may_be_news(&self, part: &Part) -> bool {
        let journals = self.journals.borrow();
        let journal = journals.get(usize::from(part.table));
        journal.is_some_and(|journal| {
            !part.is_whole || !journal.version.is_none() || part.version >= journal.newest_row
        })
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
