//! What follows when the store comes back from an older copy.
//!
//! Such a store has lost what was written since the copy was made, gives out versions
//! again, and counts its era up. So everything is read anew; what this router knows
//! better than the copy stays in force; and a row that is written under a condition has
//! the era in its name, so that a condition of one era never holds by chance in another.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::place;
use eelgrassrock_store::Fault;
use serde::Serialize;
use tokio::time::sleep;

use crate::clock;
use crate::node::Node;
use crate::process;
use crate::relay::TABLES;
use crate::seam::{Commit, Name, Platform, Row, Rows, Table, Transaction};
use crate::watch::{self, ROUTER};

/// Time between two routers that write their rows again, so that the writes of a fleet
/// stay within a part of what a store bears.
const REJOIN_INTERVAL: Duration = Duration::from_millis(8);
/// Time in which all have done so, beyond those intervals.
const REJOIN_TIME: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct EraLine {
    before: u64,
    after: u64,
    /// Services whose keys this router grants.
    duties: Vec<Arc<str>>,
}

#[derive(Serialize)]
struct StaleLine<'a> {
    table: String,
    key: &'a str,
}

impl<P: Platform> Node<P> {
    /// Reads a row of the store.
    pub(crate) async fn read_row(self: &Rc<Self>, name: &Name) -> Result<Option<Row>, Fault> {
        let row = self.platform.row(name).await;
        self.observe_era(self.platform.era());
        row
    }

    /// Writes rows of the store.
    pub(crate) async fn write_rows(self: &Rc<Self>, transaction: &Transaction) -> Commit {
        let commit = self.platform.commit(transaction).await;
        self.observe_era(self.platform.era());
        commit
    }

    /// Goes on in an era of the store, unless it is known already. The first one that is
    /// seen is that in which this process started.
    pub(crate) fn observe_era(self: &Rc<Self>, era: u64) {
        let before = self.era.get();
        if era <= before {
            return;
        }
        self.era.set(era);
        let is_start = TABLES
            .iter()
            .all(|table| self.relay.after(*table).is_none());
        self.duties.enter_era(era);
        if is_start {
            return;
        }
        let line = EraLine {
            before,
            after: era,
            duties: self.duties.own(),
        };
        self.log.warn("store restored", &line);
        self.metrics.store_restored();
        TABLES.iter().for_each(|table| self.relay.forget(*table));
        let now = clock::now();
        self.era_began.set(Some(now));
        self.state.borrow_mut().book.regain(now);
        self.relay.feeds_lost.notify_waiters();
        self.relay.role.notify_waiters();
        tokio::task::spawn_local(Rc::clone(self).rejoin());
    }

    /// Writes the row of this router again, in its turn, or removes it again.
    async fn rejoin(self: Rc<Self>) {
        let routers = self.state.borrow().routers.len() as u32;
        let turn = place::order(&self.settings.router) as f64 / u64::MAX as f64;
        let all = REJOIN_INTERVAL * routers;
        sleep(all.mul_f64(turn)).await;
        if self.is_stopping() {
            process::unregister(&self).await;
        } else {
            process::register(Rc::clone(&self)).await;
        }
        sleep(all.mul_f64(1.0 - turn) + REJOIN_TIME).await;
        self.forget_absent_routers();
    }

    /// Whether routers may not have written their rows again yet.
    pub(crate) fn is_rejoining(&self) -> bool {
        let routers = self.state.borrow().routers.len() as u32;
        let limit = REJOIN_INTERVAL * routers + REJOIN_TIME;
        let began = self.era_began.get();
        began.is_some_and(|at| clock::now() - at < limit)
    }

    fn forget_absent_routers(&self) {
        let mut state = self.state.borrow_mut();
        let is_absent = |name: &&Arc<str>| {
            let key = format!("{ROUTER}{name}");
            self.relay.known(Table::Routers, &key).is_none()
        };
        let absent: Vec<Arc<str>> = state.routers.keys().filter(is_absent).cloned().collect();
        for name in absent.iter().filter(|name| **name != self.settings.router) {
            state.forget_router(name);
        }
    }

    /// Removes the row of a router that has stopped, which a copy of the store shows again.
    pub(crate) fn remove_stale_router(self: &Rc<Self>, row: &Row) {
        let line = StaleLine {
            table: Table::Routers.to_string(),
            key: &row.key,
        };
        self.log.note("row outdated", &line);
        if self.relay_to_follow().is_some() {
            return;
        }
        let name = Name::new(Table::Routers, Arc::clone(&row.key));
        let transaction = Transaction {
            era: row.version.era,
            expected: vec![(name.clone(), row.version)],
            put: Vec::new(),
            remove: vec![name],
        };
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // If this fails, routers that start count one too many.
            let _ = node.write_rows(&transaction).await;
        });
    }

    /// Returns the rows of a whole table with what this router knows better than a copy
    /// from which the store came back. A store that counts no eras never did.
    pub(crate) fn correct(&self, table: Table, rows: &Rows) -> Rows {
        if rows.version.era == 0 {
            return rows.clone();
        }
        let corrected = rows.rows.iter().filter_map(|row| {
            if !self.is_outdated(table, row) {
                return Some(row.clone());
            }
            let line = StaleLine {
                table: table.to_string(),
                key: &row.key,
            };
            self.log.note("row outdated", &line);
            let known = self.relay.known(table, &row.key)?;
            let version = row.version;
            Some(Row { version, ..known })
        });
        Rows {
            rows: corrected.collect(),
            version: rows.version,
        }
    }

    /// Whether a row says less than is known.
    fn is_outdated(&self, table: Table, row: &Row) -> bool {
        let state = self.state.borrow();
        match table {
            Table::Configuration => {
                let known = state.directory.as_ref().map_or(0, |known| known.version);
                let directory = self.platform.directory(row);
                directory.is_ok_and(|read| read.is_some_and(|read| read.version < known))
            }
            Table::Registry => {
                let upstream = self.platform.upstream(row);
                upstream.is_ok_and(|upstream| state.book.is_outdated(&upstream))
            }
            Table::Routers | Table::Maps => false,
        }
    }

    /// Takes what another router knows, before the store is believed.
    pub(crate) fn merge_remote(self: &Rc<Self>, table: Table, rows: &[Row]) {
        for row in rows {
            match table {
                Table::Configuration => {
                    watch::take_configuration(self, row);
                    self.relay.amend(table, row);
                }
                Table::Registry => {
                    if let Ok(upstream) = self.platform.upstream(row)
                        && upstream.leaving
                    {
                        let now = clock::now();
                        self.state.borrow_mut().book.leave(&upstream, now);
                    }
                }
                Table::Routers | Table::Maps => {}
            }
        }
    }
}
