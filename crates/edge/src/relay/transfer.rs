//! Transfer of large rows, apart from the messages that announce them. Those stay small, so news of
//! other rows isn't kept back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use eelgrassrock_dispatch::transfer::Retry;
use eelgrassrock_model::Revision;
use eelgrassrock_store::content::{self, Digest};
use serde::{Deserialize, Serialize};

use super::journal::{MAX_INLINE_BYTES, Part, WireRow, WireValue, index};
use super::{Relay, TABLES};
use crate::clock;
use crate::node::Node;
use crate::platform::{Platform, Row, Rows, Table};
use crate::watch;

/// Share of the time until a configuration must be in force after which a router that lacks it
/// refuses requests. The rest is for the way of the announcement.
const OUTDATED_SHARE: f64 = 0.8;
/// Number of compressed rows that are kept, because all followers ask for the same ones.
const MAX_COMPRESSED: usize = 4;

/// Part of a table with rows that the source has announced.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) part: Part,
    source: SocketAddr,
}

/// Large row that a follower has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LargeRow {
    table: u8,
    key: Arc<str>,
    digest: Digest,
}

/// Request for the present contents of a row.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RowRequest {
    table: u8,
    key: Arc<str>,
    /// Digest of the contents that the sender has.
    base: Option<Digest>,
}

/// Contents of a row, compressed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RowResponse {
    version: Revision,
    digest: Digest,
    /// Digest of the contents to which the response is the difference, if not complete.
    base: Option<Digest>,
    compressed: Vec<u8>,
}

/// Row in compressed form.
#[derive(Debug)]
pub(super) struct Compressed {
    digest: Digest,
    base: Option<Digest>,
    bytes: Bytes,
}

#[derive(Serialize)]
struct TransferLine<'a> {
    table: String,
    key: &'a str,
    source: SocketAddr,
    /// Size of the contents, none if the transfer failed.
    bytes: Option<usize>,
    /// Size in compressed form.
    compressed: Option<usize>,
    elapsed_ms: u64,
}

impl Relay {
    /// Returns the version from which on a source must send a table. Announced rows needn't be
    /// announced again.
    pub(super) fn followed_version(&self, table: Table) -> Revision {
        let transfers = self.transfers.borrow();
        let last = transfers[index(table)].last();
        let announced = last.map(|incoming| incoming.part.version);
        announced
            .or_else(|| self.synced_version(table))
            .unwrap_or_default()
    }

    /// Returns the highest row versions of configuration and registry that are known, including
    /// announced ones.
    pub(super) fn announced_versions(&self) -> [Revision; 2] {
        let transfers = self.transfers.borrow();
        let mut versions = self.newest_versions();
        for (version, table) in versions
            .iter_mut()
            .zip([Table::Configuration, Table::Registry])
        {
            let announced = transfers[index(table)].newest();
            *version = (*version).max(announced.unwrap_or_default());
        }
        versions
    }

    /// Returns the large rows that this router has.
    pub(super) fn all_large_rows(&self) -> Vec<LargeRow> {
        let rows = TABLES.into_iter().flat_map(|table| {
            let rows = self.large_rows(table).into_iter();
            rows.map(move |(key, digest)| LargeRow {
                table: index(table) as u8,
                key,
                digest,
            })
        });
        rows.collect()
    }

    /// Puts small differences in place of announcements, if the follower has earlier contents.
    pub(super) fn insert_differences(&self, parts: &mut [Part], known: &[LargeRow]) {
        for part in parts {
            let Some(table) = TABLES.get(usize::from(part.table)).copied() else {
                continue;
            };
            for row in &mut part.rows {
                let WireValue::Announced(digest) = row.value else {
                    continue;
                };
                let same = |known: &&LargeRow| known.table == part.table && known.key == row.key;
                let difference = known.iter().find(same).and_then(|known| {
                    let contents = self.earlier_contents(table, &row.key, digest)?;
                    let base = self.earlier_contents(table, &row.key, known.digest)?;
                    let compressed = self.compress(digest, &contents, Some(&base))?;
                    (compressed.len() <= MAX_INLINE_BYTES).then(|| WireValue::Difference {
                        base: known.digest,
                        digest,
                        compressed: compressed.into(),
                    })
                });
                if let Some(difference) = difference {
                    row.value = difference;
                }
            }
        }
    }

    /// Returns a row in compressed form.
    fn compress(&self, digest: Digest, contents: &[u8], base: Option<&Bytes>) -> Option<Bytes> {
        let base_digest = base.map(|base| Digest::of(base));
        let mut kept = self.compressed.borrow_mut();
        let found = kept
            .iter()
            .find(|other| other.digest == digest && other.base == base_digest);
        if let Some(found) = found {
            return Some(found.bytes.clone());
        }
        let compressed = content::compress(contents, base.map_or(&[], |base| base));
        let bytes = Bytes::from(compressed.ok()?);
        kept.truncate(MAX_COMPRESSED - 1);
        kept.push_front(Compressed {
            digest,
            base: base_digest,
            bytes: bytes.clone(),
        });
        Some(bytes)
    }
}

impl<P: Platform> Node<P> {
    /// Whether this router has lacked a configuration for so long that it may handle requests by
    /// rules that are no longer in force.
    pub(crate) fn is_configuration_outdated(&self) -> bool {
        let limit = self.settings.apply.mul_f64(OUTDATED_SHARE);
        let now = clock::now();
        let is_announced_only = {
            let transfers = self.relay.transfers.borrow();
            transfers[index(Table::Configuration)].is_outdated(limit, now)
        };
        is_announced_only || self.relay.is_behind(limit, now)
    }

    /// Answers a request for a row. Returns `None` if the row doesn't exist.
    pub(crate) fn serve_row(&self, request: &RowRequest) -> Option<RowResponse> {
        let table = *TABLES.get(usize::from(request.table))?;
        let row = self.relay.known_row(table, &request.key)?;
        let contents = row.value?;
        let digest = Digest::of(&contents);
        let base = request
            .base
            .and_then(|base| self.relay.earlier_contents(table, &request.key, base));
        let compressed = self.relay.compress(digest, &contents, base.as_ref())?;
        Some(RowResponse {
            version: row.version,
            digest,
            base: request.base.filter(|_| base.is_some()),
            compressed: compressed.into(),
        })
    }

    /// Applies a part of a table, once its announced rows have arrived.
    pub(super) fn receive_part(self: &Rc<Self>, mut part: Part, source: SocketAddr) {
        let Some(table) = TABLES.get(usize::from(part.table)).copied() else {
            return;
        };
        watch::record_rows(self, table, "router", &part.rows_here());
        self.observe_era(part.version.era);
        if part.version.era >= self.era.get() {
            self.learn_evacuations_early(table, &part.rows_here().rows);
        }
        self.fill_known_rows(table, &mut part);
        let is_idle = self.relay.transfers.borrow()[index(table)]
            .current()
            .is_none();
        if is_idle && part.missing_rows().next().is_none() {
            self.apply_part(table, part);
            return;
        }
        let versions = part.rows.iter().map(|row| row.version);
        let version = versions.max().unwrap_or(part.version);
        let incoming = Incoming { part, source };
        let is_first = self.relay.transfers.borrow_mut()[index(table)].announce(
            version,
            incoming,
            clock::now(),
        );
        if is_first {
            tokio::task::spawn_local(Rc::clone(self).transfer_rows(table));
        }
    }

    /// Fills announced rows whose contents this router has, under whatever version, or can restore.
    fn fill_known_rows(&self, table: Table, part: &mut Part) {
        for row in &mut part.rows {
            let known = || {
                let known = self.relay.known_row(table, &row.key);
                known.and_then(|known| known.value)
            };
            row.value = match &row.value {
                WireValue::Announced(digest) => match known() {
                    Some(known) if digest.is_of(&known) => WireValue::Present(known.into()),
                    _ => continue,
                },
                WireValue::Difference {
                    base,
                    digest,
                    compressed,
                } => {
                    let known = known().filter(|known| base.is_of(known));
                    let restored =
                        known.map(|known| content::decompress(compressed, &known, *digest));
                    match restored {
                        Some(Ok(contents)) => WireValue::Present(contents),
                        _ => WireValue::Announced(*digest),
                    }
                }
                WireValue::Present(_) | WireValue::Removed => continue,
            };
        }
    }

    /// Fetches announced rows, and applies the parts in which they were announced.
    async fn transfer_rows(self: Rc<Self>, table: Table) {
        loop {
            let Some((source, key)) = self.next_missing_row(table) else {
                let incoming = self.relay.transfers.borrow_mut()[index(table)].finish();
                if let Some(incoming) = incoming {
                    self.apply_part(table, incoming.part);
                }
                if self.relay.transfers.borrow()[index(table)]
                    .current()
                    .is_none()
                {
                    return;
                }
                continue;
            };
            let row = self.fetch_row(source, table, &key).await;
            let mut all = self.relay.transfers.borrow_mut();
            let transfers = &mut all[index(table)];
            let (Some(row), Some(incoming)) = (row, transfers.current_mut()) else {
                let retry = transfers.fail();
                drop(all);
                if retry == Retry::Store {
                    self.bypass_relay("transfers failed");
                }
                return;
            };
            incoming.part.fill(row);
        }
    }

    /// Returns the next row that the current part lacks, and its source. Rows that a later part
    /// announces again are left to that part.
    fn next_missing_row(&self, table: Table) -> Option<(SocketAddr, Arc<str>)> {
        let mut all = self.relay.transfers.borrow_mut();
        let transfers = &mut all[index(table)];
        let later: Vec<Arc<str>> = transfers
            .queued()
            .flat_map(|incoming| incoming.part.rows.iter())
            .map(|row| Arc::clone(&row.key))
            .collect();
        let incoming = transfers.current_mut()?;
        self.fill_known_rows(table, &mut incoming.part);
        incoming.part.rows.retain(|row| {
            let known = self.relay.known_row(table, &row.key);
            let is_known = known.is_some_and(|known| known.version >= row.version);
            !row.is_missing() || !(is_known || later.contains(&row.key))
        });
        let key = incoming.part.missing_rows().next()?;
        Some((incoming.source, Arc::clone(&key.key)))
    }

    /// Fetches a row from another router. Returns `None` if that fails.
    pub(super) async fn fetch_row(
        &self,
        source: SocketAddr,
        table: Table,
        key: &Arc<str>,
    ) -> Option<Row> {
        let asked_at = clock::now();
        let known = self.relay.known_row(table, key).and_then(|row| row.value);
        let request = RowRequest {
            table: index(table) as u8,
            key: Arc::clone(key),
            base: known.as_ref().map(|known| Digest::of(known)),
        };
        let response = self
            .peers
            .fetch_row(source, &request, self.link_wait())
            .await
            .ok();
        let compressed = response.as_ref().map(|response| response.compressed.len());
        let row = response.and_then(|response| restore(key, response, known.as_ref()));
        let value = row.as_ref().and_then(|row| row.value.as_ref());
        let line = TransferLine {
            table: table.to_string(),
            key,
            source,
            bytes: value.map(Bytes::len),
            compressed,
            elapsed_ms: (clock::now() - asked_at).as_millis() as u64,
        };
        self.log.info("row transferred", &line);
        self.metrics
            .table_received(table.to_string(), "router", compressed.unwrap_or(0));
        row
    }

    fn apply_part(self: &Rc<Self>, table: Table, part: Part) {
        let is_whole = part.is_whole;
        let rows = Rows::from(part);
        if rows.version.era < self.era.get() {
            // The source hasn't noticed yet that the store has lost this version.
            return;
        }
        if !is_whole {
            watch::apply_changes(self, table, &rows);
        } else if self
            .relay
            .synced_version(table)
            .is_none_or(|own| own <= rows.version)
        {
            // An older table would revert changes that this router has seen since.
            watch::apply_table(self, table, &rows);
        }
    }

    /// Returns the rows of a part, with those that were announced.
    pub(super) async fn complete_part(&self, mut part: Part, source: SocketAddr) -> Vec<Row> {
        if let Some(table) = TABLES.get(usize::from(part.table)).copied() {
            self.fill_known_rows(table, &mut part);
            let missing: Vec<Arc<str>> = part
                .missing_rows()
                .map(|row| Arc::clone(&row.key))
                .collect();
            for key in &missing {
                if let Some(row) = self.fetch_row(source, table, key).await {
                    part.fill(row);
                }
            }
        }
        Rows::from(part).rows
    }
}

/// Restores a row from a response, which may be the difference to the contents in `known`.
fn restore(key: &Arc<str>, response: RowResponse, known: Option<&Bytes>) -> Option<Row> {
    let base: &[u8] = match response.base {
        None => &[],
        Some(base) => known.filter(|known| base.is_of(known))?,
    };
    let contents = content::decompress(&response.compressed, base, response.digest).ok()?;
    Some(Row {
        key: Arc::clone(key),
        value: Some(contents.into()),
        version: response.version,
    })
}

impl Part {
    /// Returns the rows that came with the part.
    fn rows_here(&self) -> Rows {
        let here = self.rows.iter().filter(|row| !row.is_missing());
        Rows {
            rows: here.cloned().map(Row::from).collect(),
            version: self.version,
        }
    }

    /// Returns the announced rows that haven't arrived.
    fn missing_rows(&self) -> impl Iterator<Item = &WireRow> {
        self.rows.iter().filter(|row| row.is_missing())
    }

    /// Adds an announced row that has arrived, maybe in a later version.
    fn fill(&mut self, row: Row) {
        let same = self.rows.iter_mut().find(|other| other.key == row.key);
        if let Some(same) = same {
            same.version = row.version;
            same.value = match row.value {
                Some(value) => WireValue::Present(value.into()),
                None => WireValue::Removed,
            };
        }
    }
}
