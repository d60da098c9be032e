//! Recovery after the store was restored from an older backup.
//!
//! Such a store has lost what was written after the backup, assigns versions again that it assigned
//! before, and increments its era. All tables are therefore read again in full, and whatever this
//! router knows to be newer than the backup stays in force. A row that is written under a condition
//! has the era in its key, so that a condition from one era never holds by accident in another.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::place;
use eelgrassrock_store::Fault;
use serde::Serialize;
use tokio::time::sleep;

use crate::clock;
use crate::node::Node;
use crate::platform::{Commit, Name, Platform, Row, Rows, Table, Transaction};
use crate::registration;
use crate::relay::TABLES;
use crate::watch::{self, ROUTER_PREFIX};

/// Interval between the routers' writes of their own rows, so that the load of a whole fleet stays
/// within what the store can handle.
const REJOIN_INTERVAL: Duration = Duration::from_millis(8);
/// Additional time after those intervals by which all routers have written their rows.
const REJOIN_TIME: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct EraLine {
    before: u64,
    after: u64,
    /// Services that this router leads.
    #[serde(rename = "duties")]
    services: Vec<Arc<str>>,
}

#[derive(Serialize)]
struct OutdatedRowLine<'a> {
    table: String,
    key: &'a str,
}

impl<P: Platform> Node<P> {
    /// Reads a row of the store, and observes its era.
    pub(crate) async fn read_row(self: &Rc<Self>, name: &Name) -> Result<Option<Row>, Fault> {
        let row = self.platform.row(name).await;
        self.observe_era(self.platform.era());
        row
    }

    /// Writes rows of the store, and observes its era.
    pub(crate) async fn write_rows(self: &Rc<Self>, transaction: &Transaction) -> Commit {
        let commit = self.platform.commit(transaction).await;
        self.observe_era(self.platform.era());
        commit
    }

    /// Starts recovery if the era of the store is higher than the known one. The first era seen is
    /// that in which this process started and needs no recovery.
    pub(crate) fn observe_era(self: &Rc<Self>, era: u64) {
        let before = self.era.get();
        if era <= before {
            return;
        }
        self.era.set(era);
        let is_start = TABLES
            .iter()
            .all(|table| self.relay.synced_version(*table).is_none());
        self.leaderships.enter_era(era);
        if is_start {
            self.first_era.set(era);
            return;
        }
        let line = EraLine {
            before,
            after: era,
            services: self.leaderships.led_services(),
        };
        self.log.warn("store restored", &line);
        self.metrics.store_restored();
        TABLES
            .iter()
            .for_each(|table| self.relay.invalidate(*table));
        let now = clock::now();
        self.restored_at.set(Some(now));
        self.renew_suspects();
        self.state.borrow_mut().registry.record_store_regained(now);
        self.relay.restart_feeds();
        self.relay.source_changed.notify_waiters();
        tokio::task::spawn_local(Rc::clone(self).rejoin());
    }

    /// Writes the row of this router again, or removes it again if the router is stopping. A delay
    /// derived from the router's name spreads the writes of the fleet.
    async fn rejoin(self: Rc<Self>) {
        let routers = self.state.borrow().routers.len() as u32;
        let turn_share = place::order(&self.settings.router) as f64 / u64::MAX as f64;
        let total = REJOIN_INTERVAL * routers;
        sleep(total.mul_f64(turn_share)).await;
        if self.is_stopping() {
            registration::unregister(&self).await;
        } else {
            registration::register(Rc::clone(&self)).await;
        }
        sleep(total.mul_f64(1.0 - turn_share) + REJOIN_TIME).await;
        self.forget_absent_routers();
    }

    /// Whether some routers may not have written their rows again yet.
    pub(crate) fn is_rejoining(&self) -> bool {
        let routers = self.state.borrow().routers.len() as u32;
        let limit = REJOIN_INTERVAL * routers + REJOIN_TIME;
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| clock::now() - at < limit)
    }

    fn forget_absent_routers(&self) {
        let mut state = self.state.borrow_mut();
        let is_absent = |name: &&Arc<str>| {
            let key = format!("{ROUTER_PREFIX}{name}");
            self.relay.known_row(Table::Routers, &key).is_none()
        };
        let absent: Vec<Arc<str>> = state.routers.keys().filter(is_absent).cloned().collect();
        for name in absent.iter().filter(|name| **name != self.settings.router) {
            state.forget_router(name);
        }
    }

    /// Removes the row of a stopped router, which a backup of the store has restored.
    pub(crate) fn remove_outdated_router(self: &Rc<Self>, row: &Row) {
        let line = OutdatedRowLine {
            table: Table::Routers.to_string(),
            key: &row.key,
        };
        self.log.info("row outdated", &line);
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
            // If this fails, routers that start later count one router too many.
            let _ = node.write_rows(&transaction).await;
        });
    }

    /// Returns the rows of a table, with outdated rows replaced by what this router knows. Rows are
    /// only outdated if the store was restored from a backup, so a store without eras needs no
    /// correction.
    pub(crate) fn correct(&self, table: Table, rows: &Rows) -> Rows {
        if rows.version.era == 0 {
            return rows.clone();
        }
        let corrected = rows.rows.iter().filter_map(|row| {
            if !self.is_outdated(table, row) {
                return Some(row.clone());
            }
            let line = OutdatedRowLine {
                table: table.to_string(),
                key: &row.key,
            };
            self.log.info("row outdated", &line);
            let known = self.relay.known_row(table, &row.key)?;
            let version = row.version;
            Some(Row { version, ..known })
        });
        Rows {
            rows: corrected.collect(),
            version: rows.version,
        }
    }

    /// Whether a row has the contents that this router knows. Decoding a large one takes long.
    pub(crate) fn has_contents(&self, table: Table, row: &Row) -> bool {
        let known = self.relay.known_row(table, &row.key);
        row.value.is_some() && known.is_some_and(|known| known.value == row.value)
    }

    /// Whether a row is older than what this router knows.
    fn is_outdated(&self, table: Table, row: &Row) -> bool {
        let state = self.state.borrow();
        match table {
            Table::Configuration if self.has_contents(table, row) => false,
            Table::Configuration if self.platform.evacuation(row).is_some() => false,
            Table::Configuration => {
                let known = state.directory.as_ref().map_or(0, |known| known.version);
                let directory = self.platform.directory(row);
                directory.is_ok_and(|read| read.is_some_and(|read| read.version < known))
            }
            Table::Registry => {
                let upstream = self.platform.upstream(row);
                upstream.is_ok_and(|upstream| state.registry.is_outdated(&upstream))
            }
            Table::Routers | Table::Maps => false,
        }
    }

    /// Applies what another router knows, before any table is read from the store.
    pub(crate) fn merge_remote(self: &Rc<Self>, table: Table, rows: &[Row]) {
        for row in rows {
            match table {
                Table::Configuration => {
                    self.learn_evacuations_early(table, std::slice::from_ref(row));
                    watch::apply_configuration(self, row);
                    self.relay.amend(table, row);
                }
                Table::Registry => {
                    if let Ok(upstream) = self.platform.upstream(row)
                        && upstream.leaving
                    {
                        let now = clock::now();
                        self.state
                            .borrow_mut()
                            .registry
                            .record_leaving(&upstream, now);
                    }
                }
                Table::Routers | Table::Maps => {}
            }
        }
    }
}
