//! What the store says: configuration, registry, and rows of the routers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::Directory;
use eelgrassrock_ranges::election::Leadership;
use eelgrassrock_store::Fault;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::book::Change;
use crate::clock;
use crate::duty;
use crate::gossip;
use crate::node::{Node, Router};
use crate::seam::{Changes, Platform, Row, Rows, Table};

/// Bounds of the pause after a call that failed: short, since the bounds on
/// drains and configurations run on, and longer while the store stays away.
const MIN_PAUSE: Duration = Duration::from_millis(60);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Longest time without an answer from the store. A feed may die without a
/// sign, so one of them proves within half of the bounds that the store is
/// heard; when it fails, all begin anew.
const PROVING_WAIT: Duration = Duration::from_millis(900);
const QUIET_WAIT: Duration = Duration::from_secs(20);
/// Pause between two answers, so that rows written one after the other come
/// in one. It is a small part of the bounds on drains and configurations.
const GATHER: Duration = Duration::from_millis(100);
const FIRST_GATHER: Duration = Duration::from_millis(700);
/// Pause before a follower that has no relay looks again.
const ROLE_POLL: Duration = Duration::from_secs(5);

/// Prefix of the rows by which routers make themselves known.
pub(crate) const ROUTER: &str = "router/";

#[derive(Serialize)]
struct Store<'a> {
    table: String,
    reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Configuration {
    version: u64,
    routes: usize,
    services: usize,
}

#[derive(Serialize)]
struct Bad<'a> {
    table: String,
    key: &'a str,
    version: u64,
    reason: &'a str,
}

#[derive(Serialize)]
struct Registry<'a> {
    upstream: &'a str,
    service: &'a str,
    incarnation: u64,
    sequence: u64,
}

/// Follows one table until the process ends, at the store unless a relay
/// brings its news.
pub(crate) async fn follow<P: Platform>(node: Rc<Node<P>>, table: Table) {
    let mut pause = MIN_PAUSE;
    let mut is_first = true;
    loop {
        // Who brings the news of the other tables is known from that of the routers.
        let must_wait = table != Table::Routers && node.relay.after(Table::Routers).is_none();
        if must_wait || node.relay_to_follow().is_some() {
            let _ = timeout(ROLE_POLL, node.relay.role.notified()).await;
            continue;
        }
        let end = tokio::select! {
            end = step(&node, table) => Some(end),
            () = follows_relay(&node) => None,
            () = node.relay.feeds_lost.notified() => None,
        };
        match end {
            None => {}
            Some(Ok(())) => {
                note_contact(&node, table, None);
                pause = MIN_PAUSE;
                // Routers and upstreams that start together register within
                // about this time.
                sleep(if is_first { FIRST_GATHER } else { GATHER }).await;
                is_first = false;
                node.relay.role.notify_waiters();
            }
            Some(Err(fault)) => {
                note_contact(&node, table, Some(&fault));
                if table == Table::Configuration {
                    // The other feeds may be as dead without showing it.
                    node.relay.feeds_lost.notify_waiters();
                }
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Waits until a relay brings the news.
async fn follows_relay<P: Platform>(node: &Node<P>) {
    loop {
        node.relay.role.notified().await;
        if node.relay_to_follow().is_some() {
            return;
        }
    }
}

/// Makes one call and takes what it brings.
async fn step<P: Platform>(node: &Rc<Node<P>>, table: Table) -> Result<(), Fault> {
    let Some(after) = node.relay.after(table) else {
        let rows = node.platform.rows(table).await;
        node.observe_era(node.platform.era());
        let rows = rows?;
        note_contact(node, table, None);
        take_whole(node, table, &rows);
        return Ok(());
    };
    let wait = if table == Table::Configuration {
        PROVING_WAIT
    } else {
        QUIET_WAIT
    };
    let changes = node.platform.changes(table, after, wait).await;
    node.observe_era(node.platform.era());
    match changes? {
        Changes::Forgotten => node.relay.forget(table),
        Changes::Rows(rows) => {
            note_contact(node, table, None);
            take_changes(node, table, &rows);
            if table != Table::Routers && !rows.rows.is_empty() {
                gossip::tell_versions(node);
            }
        }
    }
    Ok(())
}

/// Takes all of a table, wherever it comes from.
pub(crate) fn take_whole<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &Rows) {
    let rows = &node.correct(table, rows);
    take_all(node, table, rows);
    node.relay.keep(table, rows, true);
    if table == Table::Routers {
        node.relay.role.notify_waiters();
    }
}

/// Takes changes of a table, wherever they come from.
pub(crate) fn take_changes<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &Rows) {
    take(node, table, &rows.rows);
    node.relay.keep(table, rows, false);
}

fn note_contact<P: Platform>(node: &Rc<Node<P>>, table: Table, fault: Option<&Fault>) {
    let mut state = node.state.borrow_mut();
    let has = fault.is_none();
    if has && table == Table::Configuration {
        node.relay.hear_store();
    }
    let had = state.contact.insert(table, has);
    if had == Some(has) {
        return;
    }
    let name = table.to_string();
    match fault {
        None => {
            if table == Table::Registry && had == Some(false) {
                state.book.regain(clock::now());
            }
            node.log.note(
                "store reached",
                &Store {
                    table: name,
                    reason: None,
                },
            );
        }
        Some(fault) => {
            let reason = fault.to_string();
            let reason = Some(&*reason);
            node.log.warn(
                "store lost",
                &Store {
                    table: name,
                    reason,
                },
            );
        }
    }
}

fn take_all<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &Rows) {
    match table {
        Table::Registry => {
            let present: Vec<Arc<str>> = rows.rows.iter().map(|row| Arc::clone(&row.key)).collect();
            let lapsed = node.state.borrow_mut().book.retain(&present, clock::now());
            lapsed.iter().for_each(|change| note_change(node, change));
        }
        Table::Routers => {
            // Right after the store came back from a copy, those that started since may
            // be absent.
            let keeps_absent = node.is_rejoining();
            let mut state = node.state.borrow_mut();
            let present = |name: &str| {
                rows.rows
                    .iter()
                    .any(|row| row.key.strip_prefix(ROUTER) == Some(name))
            };
            let gone: Vec<Arc<str>> = state
                .routers
                .keys()
                .filter(|name| !keeps_absent && !present(name))
                .cloned()
                .collect();
            gone.iter().for_each(|name| state.forget_router(name));
        }
        Table::Configuration | Table::Maps => {}
    }
    take(node, table, &rows.rows);
}

fn take<P: Platform>(node: &Rc<Node<P>>, table: Table, rows: &[Row]) {
    if rows.is_empty() {
        return;
    }
    for row in rows {
        match table {
            Table::Configuration => take_configuration(node, row),
            Table::Registry => take_upstream(node, row),
            Table::Routers => take_own(node, row),
            Table::Maps => {}
        }
    }
    if table == Table::Registry {
        settle(node);
    }
    node.refresh();
}

/// Drops upstreams that are gone for good, now or as soon as that is known.
pub(crate) fn settle<P: Platform>(node: &Rc<Node<P>>) {
    let unsettled = {
        let mut state = node.state.borrow_mut();
        state.book.settle(clock::now());
        state.book.is_unsettled()
    };
    if unsettled {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            sleep(node.settings.return_time / 8).await;
            let changed = node.state.borrow_mut().book.settle(clock::now());
            if changed {
                node.refresh();
            }
            if node.state.borrow().book.is_unsettled() {
                settle(&node);
            }
        });
    }
}

pub(crate) fn take_configuration<P: Platform>(node: &Rc<Node<P>>, row: &Row) {
    match node.platform.directory(row) {
        Ok(Some(directory)) => {
            let mut state = node.state.borrow_mut();
            let known = state.directory.as_ref().map_or(0, |known| known.version);
            if state.directory.is_none() || directory.version > known {
                note_directory(node, &directory);
                state.directory = Some(Arc::new(directory));
            }
        }
        Ok(None) => {}
        Err(unreadable) => note_bad(node, Table::Configuration, row, &unreadable.to_string()),
    }
}

fn note_directory<P: Platform>(node: &Node<P>, directory: &Directory) {
    let line = Configuration {
        version: directory.version,
        routes: directory.routes().count(),
        services: directory.services.len(),
    };
    node.log.note("configuration in force", &line);
}

fn note_bad<P: Platform>(node: &Node<P>, table: Table, row: &Row, reason: &str) {
    let line = Bad {
        table: table.to_string(),
        key: &row.key,
        version: row.version.number,
        reason,
    };
    node.log.warn("row unreadable", &line);
}

fn take_upstream<P: Platform>(node: &Rc<Node<P>>, row: &Row) {
    let change = if row.value.is_none() {
        node.state.borrow_mut().book.remove(&row.key, clock::now())
    } else {
        match node.platform.upstream(row) {
            Ok(upstream) => node.state.borrow_mut().book.put(upstream),
            Err(unreadable) => {
                note_bad(node, Table::Registry, row, &unreadable.to_string());
                node.state.borrow_mut().book.remove(&row.key, clock::now())
            }
        }
    };
    note_change(node, &change);
}

pub(crate) fn note_change<P: Platform>(node: &Node<P>, change: &Change) {
    let (event, upstream) = match change {
        Change::Learnt(upstream) => ("upstream learnt", upstream),
        Change::Leaving(upstream) => ("upstream leaving", upstream),
        Change::Lapsed(upstream) => ("upstream lapsed", upstream),
        Change::Nothing | Change::Updated => return,
    };
    let line = Registry {
        upstream: &upstream.id,
        service: &upstream.service,
        incarnation: upstream.incarnation,
        sequence: upstream.sequence,
    };
    node.log.note(event, &line);
}

fn take_own<P: Platform>(node: &Rc<Node<P>>, row: &Row) {
    if let Some(name) = row.key.strip_prefix(ROUTER) {
        take_router(node, name, row);
    } else if let Some((era, service)) = duty::of_row(&row.key) {
        if era != node.era.get() {
            node.note_history(&service.into(), era);
            return;
        }
        match row
            .value
            .as_ref()
            .map(|value| postcard::from_bytes::<Leadership>(value))
        {
            Some(Ok(duty)) => node.learn_duty(&service.into(), Some((duty, row.version))),
            Some(Err(error)) => note_bad(node, Table::Routers, row, &error.to_string()),
            None => {}
        }
    }
}

fn take_router<P: Platform>(node: &Rc<Node<P>>, name: &str, row: &Row) {
    let mut state = node.state.borrow_mut();
    match row
        .value
        .as_ref()
        .map(|value| postcard::from_bytes::<Router>(value))
    {
        Some(Ok(router)) => {
            if state.stopped_routers.get(name) == Some(&router.incarnation) {
                drop(state);
                node.remove_stale_router(row);
                return;
            }
            state.routers.insert(name.into(), router);
        }
        Some(Err(error)) => note_bad(node, Table::Routers, row, &error.to_string()),
        None => {
            if let Some(router) = state.routers.get(name) {
                let incarnation = router.incarnation;
                state.stopped_routers.insert(name.into(), incarnation);
            }
            state.forget_router(name);
        }
    }
}
