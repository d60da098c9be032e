//! Row of this router in the table of the routers, by which the others recognize it.
//!
//! Every write of the row is made under the condition that the row is as this process knows it. A
//! call without an answer may be performed seconds later, when another process of the same router
//! has written the row. A process whose row is removed or replaced nevertheless, such as by an
//! earlier version of the router, writes it again:
//!
//! | row | table | step |
//! | --- | --- | --- |
//! | not written yet | | the write is under way |
//! | written | older than the row | none |
//! | written | has the row | none |
//! | written | lacks the row, or has one of another process | write it again |
//! | written | any, and the router is stopping | remove it |

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_model::Revision;
use serde::Serialize;
use tokio::time::sleep;

use crate::node::{Node, Router};
use crate::platform::{Commit, Name, Platform, Row, Table, Transaction};
use crate::watch::ROUTER_PREFIX;

/// Pause after a failure to write this router's row.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// What this process knows of its row.
#[derive(Debug)]
pub(crate) struct Registration {
    /// Incarnation in the row. A row that is written again gets another one than that which the
    /// other routers have seen removed, because they take that one for ended.
    incarnation: Cell<u64>,
    /// Version of the row, once it is written.
    version: Cell<Option<Revision>>,
    is_writing: Cell<bool>,
}

impl Registration {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation: Cell::new(incarnation),
            version: Cell::new(None),
            is_writing: Cell::new(false),
        }
    }
}

/// Version of the row that a write expects, and why it is needed.
struct Loss {
    expected: Revision,
    reason: &'static str,
}

#[derive(Serialize)]
struct LossLine {
    reason: &'static str,
    /// Versions of the row as written, and of the table without it.
    row: u64,
    table: u64,
}

/// Writes this router's row until that succeeds or the router stops.
pub(crate) async fn register<P: Platform>(node: Rc<Node<P>>) {
    // A row of an earlier process is left only if that one was killed.
    node.write_registration(Revision::default()).await;
}

/// Removes this router's row, unless it belongs to another process.
pub(crate) async fn unregister<P: Platform>(node: &Rc<Node<P>>) {
    let name = node.registration_row();
    let mut version = node.registration.version.get();
    loop {
        let Some(expected) = version else {
            match node.read_row(&name).await {
                Ok(Some(row)) if node.is_own_row(&row) => version = Some(row.version),
                Ok(_) => return,
                Err(_) => sleep(WRITE_PAUSE).await,
            }
            continue;
        };
        let transaction = Transaction {
            era: node.era.get(),
            expected: vec![(name.clone(), expected)],
            put: Vec::new(),
            remove: vec![name.clone()],
        };
        match node.write_rows(&transaction).await {
            Commit::Done(_) => return,
            Commit::Conflict => version = None,
            // The write may have been performed, which the next one finds out.
            Commit::NotDone(_) | Commit::Unknown(_) => sleep(WRITE_PAUSE).await,
        }
    }
}

/// Writes this router's row again if the table shows that it was lost.
pub(crate) fn check<P: Platform>(node: &Rc<Node<P>>) {
    let Some(loss) = node.registration_loss() else {
        return;
    };
    let registration = &node.registration;
    registration
        .incarnation
        .update(|incarnation| incarnation + 1);
    let number = |version: Option<Revision>| version.map_or(0, |version| version.number);
    let line = LossLine {
        reason: loss.reason,
        row: number(registration.version.get()),
        table: number(node.relay.synced_version(Table::Routers)),
    };
    node.log.warn("registration lost", &line);
    node.metrics.registration_lost();
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move { node.write_registration(loss.expected).await });
}

impl<P: Platform> Node<P> {
    fn registration_row(&self) -> Name {
        let key = format!("{ROUTER_PREFIX}{}", self.settings.router);
        Name::new(Table::Routers, key)
    }

    fn registration_value(&self) -> Option<Bytes> {
        let router = Router {
            address: self.settings.peer,
            data_centre: Arc::clone(&self.settings.data_centre),
            incarnation: self.registration.incarnation.get(),
            size: self.settings.size,
            renews: true,
        };
        router.encode()
    }

    /// Whether a row is the one that this process writes.
    fn is_own_row(&self, row: &Row) -> bool {
        row.value.is_some() && row.value == self.registration_value()
    }

    /// Returns how this router's row was lost, by a table that is later than the row.
    fn registration_loss(&self) -> Option<Loss> {
        let registration = &self.registration;
        if self.is_stopping() || self.is_rejoining() || registration.is_writing.get() {
            return None;
        }
        let written = registration.version.get()?;
        let table = self.relay.synced_version(Table::Routers)?;
        if table < written {
            return None;
        }
        match self
            .relay
            .known_row(Table::Routers, &self.registration_row().key)
        {
            Some(row) if self.is_own_row(&row) => None,
            Some(row) => (row.version > written).then_some(Loss {
                expected: row.version,
                reason: "replaced",
            }),
            None => Some(Loss {
                expected: Revision::default(),
                reason: "removed",
            }),
        }
    }

    /// Writes this router's row in place of the one with the expected version, or of the one that
    /// is found instead.
    async fn write_registration(self: &Rc<Self>, mut expected: Revision) {
        if self.registration.is_writing.replace(true) {
            return;
        }
        let name = self.registration_row();
        while !self.is_stopping() {
            let Some(value) = self.registration_value() else {
                break;
            };
            let transaction = Transaction {
                era: self.era.get(),
                expected: vec![(name.clone(), expected)],
                put: vec![(name.clone(), value)],
                remove: Vec::new(),
            };
            match self.write_rows(&transaction).await {
                Commit::Done(version) => {
                    self.registration.version.set(Some(version));
                    break;
                }
                Commit::Conflict => match self.read_row(&name).await {
                    Ok(Some(row)) if self.is_own_row(&row) => {
                        self.registration.version.set(Some(row.version));
                        break;
                    }
                    Ok(row) => expected = row.map(|row| row.version).unwrap_or_default(),
                    Err(_) => sleep(WRITE_PAUSE).await,
                },
                Commit::NotDone(_) | Commit::Unknown(_) => sleep(WRITE_PAUSE).await,
            }
        }
        self.registration.is_writing.set(false);
    }
}
