//! Reads the tables of the store, follows their changes, and applies them to the state.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::directory::Directory;
use eelgrassrock_ranges::election::Leadership;
use eelgrassrock_store::{Fault, Kind};
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::gossip;
use crate::leadership;
use crate::node::{Node, Router};
use crate::platform::{Changes, Platform, Row, Rows, Table};
use crate::quarantine;
use crate::registry::Change;
use crate::relay::TABLES;

/// Bounds of the backoff after a failed call. The first pause is short, because deadlines for
/// drains and configurations keep running. It grows while the store is unavailable.
const MIN_PAUSE: Duration = Duration::from_millis(60);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Maximum time without a response from the store. A feed may fail without an error, so the feed of
/// the configuration polls often enough to detect a dead store within half of the deadlines for
/// drains and configurations. When it fails, all feeds are restarted.
const PROBE_WAIT: Duration = Duration::from_millis(900);
/// Maximum time without a response about the registry. A call may be lost although the store answers
/// all others. The next one must show an upstream that leaves within the time for drains, even if
/// the upstream does so as soon as the store counts as stable again, 3 s after the loss.
const REGISTRY_WAIT: Duration = Duration::from_secs(4);
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);
/// Maximum delay with which the end of an outage is noticed by calls that wait for no change. The
/// store counts as stable 3 s after the end, and entries may return for 2 s.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(1);
/// Pause between two polls, so that rows written shortly after each other arrive in one response.
/// It is a small part of the deadlines for drains and configurations.
const BATCH_PAUSE: Duration = Duration::from_millis(100);
/// Pause after the first read of a table that routers and upstreams write when they start. Those that
/// start together register within about this time.
const FIRST_BATCH_PAUSE: Duration = Duration::from_millis(700);
/// Maximum time until a table's source is checked again while a relay supplies the table.
const SOURCE_POLL: Duration = Duration::from_secs(5);

/// Size of received rows from which a line is logged, in bytes.
const LARGE_TABLE_BYTES: usize = 16 << 10;

/// Prefix of the keys of router rows.
pub(crate) const ROUTER_PREFIX: &str = "router/";

#[derive(Serialize)]
struct StoreLine<'a> {
    table: String,
    reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ConfigurationLine {
    version: u64,
    routes: usize,
    services: usize,
    bytes: usize,
    /// Time that decoding took.
    decode_ms: u64,
}

#[derive(Serialize)]
struct ReceivedLine {
    table: String,
    source: &'static str,
    rows: usize,
    bytes: usize,
}

#[derive(Serialize)]
struct InvalidRowLine<'a> {
    table: String,
    key: &'a str,
    version: u64,
    reason: &'a str,
}

#[derive(Serialize)]
struct UpstreamLine<'a> {
    upstream: &'a str,
    service: &'a str,
    incarnation: u64,
    sequence: u64,
}

/// Follows one table until the process ends. Reads it from the store unless a relay supplies it.
pub(crate) async fn follow<P: Platform>(node: Rc<Node<P>>, table: Table) {
    let mut pause = MIN_PAUSE;
    let mut is_first = true;
    loop {
        // Whether a relay supplies the other tables is only known from the table of the routers.
        let must_wait =
            table != Table::Routers && node.relay.synced_version(Table::Routers).is_none();
        if must_wait || node.relay_to_follow().is_some() {
            let _ = timeout(SOURCE_POLL, node.relay.source_changed.notified()).await;
            continue;
        }
        node.relay.begin_reading(table);
        let end = tokio::select! {
            end = poll_table(&node, table) => Some(end),
            () = follows_relay(&node) => None,
            () = node.relay.feed_lost(table).notified() => None,
        };
        if let Some(Err(fault)) = &end
            && node.shows_outage(table, fault)
        {
            node.relay.record_failure(table);
        }
        node.relay.end_reading(table);
        match end {
            None => {}
            Some(Ok(())) => {
                record_contact(&node, table, None);
                pause = MIN_PAUSE;
                sleep(if is_first && table != Table::Configuration {
                    FIRST_BATCH_PAUSE
                } else {
                    BATCH_PAUSE
                })
                .await;
                is_first = false;
                node.relay.source_changed.notify_waiters();
            }
            Some(Err(fault)) => {
                record_contact(&node, table, Some(&fault));
                if table == Table::Configuration {
                    // The other feeds may have failed too, without an error.
                    node.suspect_feeds();
                    node.relay.restart_feeds();
                }
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Waits until there is a relay to follow.
async fn follows_relay<P: Platform>(node: &Node<P>) {
    loop {
        node.relay.source_changed.notified().await;
        if node.relay_to_follow().is_some() {
            return;
        }
    }
}

/// Makes one call to the store and applies its result.
async fn poll_table<P: Platform>(node: &Rc<Node<P>>, table: Table) -> Result<(), Fault> {
    let queried_at = clock::now();
    let Some(after) = node.relay.synced_version(table) else {
        let rows = node.platform.rows(table).await;
        node.observe_era(node.platform.era());
        let rows = rows?;
        record_contact(node, table, None);
        record_rows(node, table, "store", &rows);
        let known = node.relay.newest_versions();
        apply_table(node, table, &rows);
        node.relay.confirm_versions(table, queried_at);
        if node.relay.newest_versions() != known {
            // The history may have been lost with changes that no other router has seen.
            gossip::send_versions(node);
        }
        return Ok(());
    };
    let wait = match table {
        // Changes may be a long time off, and the end of an outage must be known when it happens.
        _ if node.is_store_lost(table) => Duration::ZERO,
        Table::Configuration => PROBE_WAIT,
        Table::Registry => REGISTRY_WAIT,
        _ => LONG_POLL_WAIT,
    };
    let changes = node.platform.changes(table, after, wait).await;
    node.observe_era(node.platform.era());
    match changes? {
        Changes::Reset => node.relay.invalidate(table),
        Changes::Rows(rows) => {
            record_contact(node, table, None);
            record_rows(node, table, "store", &rows);
            apply_changes(node, table, &rows);
            node.relay.confirm_versions(table, queried_at);
            if table != Table::Routers && !rows.rows.is_empty() {
                gossip::send_versions(node);
            }
        }
    }
    Ok(())
}

/// Applies the full contents of a table, from the store or a relay.
pub(crate) fn apply_table<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &Rows) {
    let rows = &node.correct(table, rows);
    let rows = &node.learn_evacuations(table, rows, true);
    apply_all_rows(node, table, rows);
    node.relay.record(table, rows, true);
    if table == Table::Routers {
        node.relay.source_changed.notify_waiters();
    }
}

/// Applies changes of a table, from the store or a relay.
pub(crate) fn apply_changes<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &Rows) {
    let rows = &node.learn_evacuations(table, rows, false);
    apply_rows(node, table, &rows.rows);
    node.relay.record(table, rows, false);
}

/// Counts received rows, and logs a line if they are large.
pub(crate) fn record_rows<P: Platform>(
    node: &Node<P>,
    table: Table,
    source: &'static str,
    rows: &Rows,
) {
    let values = rows.rows.iter().filter_map(|row| row.value.as_ref());
    let bytes = values.map(Bytes::len).sum();
    node.metrics
        .table_received(table.to_string(), source, bytes);
    if bytes >= LARGE_TABLE_BYTES {
        let line = ReceivedLine {
            table: table.to_string(),
            source,
            rows: rows.rows.len(),
            bytes,
        };
        node.log.info("table received", &line);
    }
}

fn record_contact<P: Platform>(node: &Rc<Node<P>>, table: Table, fault: Option<&Fault>) {
    let is_reachable = fault.is_none();
    if is_reachable && table == Table::Configuration {
        node.relay.record_store_contact();
    }
    let was_reachable = node.state.borrow_mut().contact.insert(table, is_reachable);
    if was_reachable == Some(is_reachable) {
        return;
    }
    match fault {
        None => {
            if was_reachable == Some(false) {
                node.record_outage_end(table);
            }
            node.log_contact(table, None);
        }
        Some(fault) => node.log_contact(table, Some(&fault.to_string())),
    }
}

impl<P: Platform> Node<P> {
    /// Whether the last call to the store for a table failed, or may have.
    fn is_store_lost(&self, table: Table) -> bool {
        self.state.borrow().contact.get(&table) == Some(&false)
    }

    /// Whether the failure of the call under way shows that the store fails calls at present. A long
    /// poll that got no answer may have been lost alone, some time ago.
    fn shows_outage(&self, table: Table, fault: &Fault) -> bool {
        let sent_at = self.relay.reading_since(table);
        let is_recent = sent_at.is_none_or(|at| clock::now() - at < MAX_NOTICE_DELAY);
        is_recent || !matches!(fault.kind, Kind::Timeout(_))
    }

    /// Records that the calls under way for tables other than the configuration may have failed.
    fn suspect_feeds(&self) {
        for table in [Table::Registry, Table::Routers] {
            if !self.is_store_lost(table) {
                self.state.borrow_mut().contact.insert(table, false);
                self.log_contact(table, Some("the feed of the configuration failed"));
            }
        }
    }

    /// Records that a relay has contact to the store. What this router has seen of an outage is over.
    pub(crate) fn record_outage_end_at_relay(&self) {
        for table in TABLES {
            if self.is_store_lost(table) {
                self.state.borrow_mut().contact.remove(&table);
                self.record_outage_end(table);
            }
        }
    }

    /// Records the end of an outage, if the store has failed calls for the table. It counts from the
    /// last failure if this router hasn't asked the store for some time.
    fn record_outage_end(&self, table: Table) {
        let Some(failed_at) = self.relay.take_failure(table) else {
            return;
        };
        if table == Table::Registry {
            let now = clock::now();
            let is_recent = now - failed_at < MAX_NOTICE_DELAY;
            let ended_at = if is_recent { now } else { failed_at };
            let mut state = self.state.borrow_mut();
            state.registry.record_store_regained(ended_at);
        }
    }

    /// Logs that the store answers about a table again, or why it doesn't.
    fn log_contact(&self, table: Table, reason: Option<&str>) {
        let line = StoreLine {
            table: table.to_string(),
            reason,
        };
        if reason.is_none() {
            self.log.info("store reached", &line);
        } else {
            self.log.warn("store lost", &line);
        }
    }
}

fn apply_all_rows<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &Rows) {
    match table {
        Table::Registry => {
            let present: Vec<Arc<str>> = rows.rows.iter().map(|row| Arc::clone(&row.key)).collect();
            let lapsed = node
                .state
                .borrow_mut()
                .registry
                .retain_present(&present, clock::now());
            lapsed.iter().for_each(|change| log_change(node, change));
        }
        Table::Routers => {
            // Right after the store was restored from a backup, rows of routers that started after
            // the backup may be missing.
            let is_rejoining = node.is_rejoining();
            let mut state = node.state.borrow_mut();
            let present = |name: &str| {
                rows.rows
                    .iter()
                    .any(|row| row.key.strip_prefix(ROUTER_PREFIX) == Some(name))
            };
            let absent: Vec<Arc<str>> = state
                .routers
                .keys()
                .filter(|name| !is_rejoining && !present(name))
                .cloned()
                .collect();
            absent.iter().for_each(|name| state.forget_router(name));
            drop(state);
            node.retain_suspects(&rows.rows);
        }
        Table::Configuration | Table::Maps => {}
    }
    apply_rows(node, table, &rows.rows);
}

fn apply_rows<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &[Row]) {
    if rows.is_empty() {
        return;
    }
    for row in rows {
        match table {
            Table::Configuration => apply_configuration(node, row),
            Table::Registry => apply_upstream(node, row),
            Table::Routers => apply_routers_row(node, row),
            Table::Maps => {}
        }
    }
    if table == Table::Registry {
        expire_entries(node);
    }
    node.refresh();
}

/// Drops removed upstreams that are not expected to reappear, and those that remain when they expire.
pub(crate) fn expire_entries<P: Platform>(node: &Rc<Node<P>>) {
    let next_expiry = {
        let mut state = node.state.borrow_mut();
        state.registry.drop_expired(clock::now());
        state.registry.next_expiry()
    };
    if let Some(next_expiry) = next_expiry {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            sleep(next_expiry - clock::now()).await;
            let changed = node.state.borrow_mut().registry.drop_expired(clock::now());
            if changed {
                node.refresh();
            }
            expire_entries(&node);
        });
    }
}

pub(crate) fn apply_configuration<P: Platform>(node: &Rc<Node<P>>, row: &Row) {
    if node.platform.evacuation(row).is_some() || node.has_contents(Table::Configuration, row) {
        return;
    }
    let received_at = clock::now();
    match node.platform.directory(row) {
        Ok(Some(directory)) => {
            let mut state = node.state.borrow_mut();
            let known = state.directory.as_ref().map_or(0, |known| known.version);
            if state.directory.is_none() || directory.version > known {
                log_configuration(node, &directory, row, clock::now() - received_at);
                state.directory = Some(Arc::new(directory));
            }
        }
        Ok(None) => {}
        Err(unreadable) => {
            log_invalid_row(node, Table::Configuration, row, &unreadable.to_string())
        }
    }
}

fn log_configuration<P: Platform>(
    node: &Node<P>,
    directory: &Directory,
    row: &Row,
    decoding: Duration,
) {
    let line = ConfigurationLine {
        version: directory.version,
        routes: directory.routes().count(),
        services: directory.services.len(),
        bytes: row.value.as_ref().map_or(0, Bytes::len),
        decode_ms: decoding.as_millis() as u64,
    };
    node.log.info("configuration in force", &line);
}

fn log_invalid_row<P: Platform>(node: &Node<P>, table: Table, row: &Row, reason: &str) {
    let line = InvalidRowLine {
        table: table.to_string(),
        key: &row.key,
        version: row.version.number,
        reason,
    };
    node.log.warn("row unreadable", &line);
}

fn apply_upstream<P: Platform>(node: &Rc<Node<P>>, row: &Row) {
    let change = if row.value.is_none() {
        node.state
            .borrow_mut()
            .registry
            .remove(&row.key, clock::now())
    } else {
        match node.platform.upstream(row) {
            Ok(upstream) => node.state.borrow_mut().registry.upsert(upstream),
            Err(unreadable) => {
                log_invalid_row(node, Table::Registry, row, &unreadable.to_string());
                node.state
                    .borrow_mut()
                    .registry
                    .remove(&row.key, clock::now())
            }
        }
    };
    log_change(node, &change);
}

pub(crate) fn log_change<P: Platform>(node: &Node<P>, change: &Change) {
    let (event, upstream) = match change {
        Change::Added(upstream) => ("upstream learnt", upstream),
        Change::Leaving(upstream) => ("upstream leaving", upstream),
        Change::Lapsed(upstream) => ("upstream lapsed", upstream),
        Change::Unchanged | Change::Updated => return,
    };
    let line = UpstreamLine {
        upstream: &upstream.id,
        service: &upstream.service,
        incarnation: upstream.incarnation,
        sequence: upstream.sequence,
    };
    node.log.info(event, &line);
}

fn apply_routers_row<P: Platform>(node: &Rc<Node<P>>, row: &Row) {
    if let Some(name) = row.key.strip_prefix(ROUTER_PREFIX) {
        apply_router(node, name, row);
    } else if let Some((era, fingerprint)) = quarantine::parse_row_key(&row.key) {
        node.apply_suspect(era, fingerprint, row);
    } else if let Some((era, service)) = leadership::parse_row_key(&row.key) {
        if era != node.era.get() {
            node.record_history(&service.into(), era);
            return;
        }
        match row
            .value
            .as_ref()
            .map(|value| postcard::from_bytes::<Leadership>(value))
        {
            Some(Ok(leadership)) => {
                node.learn_leadership(&service.into(), Some((leadership, row.version)))
            }
            Some(Err(error)) => log_invalid_row(node, Table::Routers, row, &error.to_string()),
            None => {}
        }
    }
}

fn apply_router<P: Platform>(node: &Rc<Node<P>>, name: &str, row: &Row) {
    let mut state = node.state.borrow_mut();
    match row.value.as_ref().map(|value| Router::decode(value)) {
        Some(Ok(router)) => {
            if state.stopped_routers.get(name) == Some(&router.incarnation) {
                drop(state);
                node.remove_outdated_router(row);
                return;
            }
            state.routers.insert(name.into(), router);
        }
        Some(Err(error)) => log_invalid_row(node, Table::Routers, row, &error.to_string()),
        None => {
            if let Some(router) = state.routers.get(name) {
                let incarnation = router.incarnation;
                state.stopped_routers.insert(name.into(), incarnation);
            }
            state.forget_router(name);
        }
    }
}
