//! Shared state of the tasks of the daemon, and calls to the platform's table.

use std::sync::{Arc, PoisonError, RwLock};

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::settings::Settings;
use eelgrassrock_model::table::{Outcome, Row, Transaction};
use eelgrassrock_store::{Fault, objects, table, vms};
use eelgrassrock_telemetry::log::Logger;
use eelgrassrock_wire::Token;
use tokio::sync::watch;

use crate::admin::recorder::Recorder;
use crate::bundles::Bundles;
use crate::clock::Clock;
use crate::control::membership::Membership;
use crate::control::ownership::Ownership;
use crate::control::scheduler::Scheduler;
use crate::peer::sender::Sender;
use crate::upstream::links::Links;
use crate::upstream::load::Meter;

/// State that all tasks of the daemon share.
pub(crate) struct Node {
    /// Settings from the INI file.
    pub(crate) settings: Settings,
    /// Clock whose instants are passed to all state machines.
    pub(crate) clock: Clock,
    /// Structured log.
    pub(crate) logger: Logger,
    /// Metrics of the daemon.
    pub(crate) recorder: Arc<Recorder>,
    /// Maximum size of a request body, in bytes.
    pub(crate) body_limit: usize,
    /// Token that authenticates requests between routers.
    pub(crate) hop_token: Token,
    /// Adapter of the ownership machine.
    pub(crate) ownership: Arc<Ownership>,
    /// Adapter of the request machine.
    pub(crate) scheduler: Arc<Scheduler>,
    /// Adapter of the machines for members, news and bundles.
    pub(crate) membership: Membership,
    /// Connection pools to upstreams and other routers.
    pub(crate) links: Links,
    /// Sender of messages to other routers.
    pub(crate) sender: Sender,
    /// Contents of the latest bundles.
    pub(crate) bundles: Bundles,
    /// Busy time of the upstreams per shard.
    pub(crate) meter: Arc<Meter>,
    /// Client of the platform's table.
    pub(crate) table: table::Client,
    /// Client of the platform's object store.
    pub(crate) objects: objects::Client,
    /// Client of the platform's VM list.
    pub(crate) vms: vms::Client,
    /// Whether the daemon is draining before it stops.
    pub(crate) draining: watch::Sender<bool>,
    /// Whether every home has been handed over to another router.
    pub(crate) handed_over: watch::Sender<bool>,
    /// Bundle in force, `None` until the first one is adopted.
    pub(crate) in_force: RwLock<Option<Arc<Bundle>>>,
}

impl Node {
    /// Returns whether `credential` is the secret of the deployment, which operators use.
    /// The comparison takes constant time.
    pub(crate) fn is_operator(&self, credential: &str) -> bool {
        use subtle::ConstantTimeEq;
        let secret = self.settings.secret.expose().as_bytes();
        secret.ct_eq(credential.as_bytes()).into()
    }

    /// Reads a row of the table and records the duration and result.
    pub(crate) async fn read_row(&self, key: &str) -> Result<Option<Row>, Fault> {
        let started = self.clock.now();
        let read = self.table.read(key).await;
        let now = self.clock.now();
        self.recorder.record_read(read.is_ok(), now - started, now);
        read
    }

    /// Reads all rows whose key begins with `prefix` and records the duration and result.
    pub(crate) async fn scan_rows(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        let started = self.clock.now();
        let scanned = self.table.scan(prefix).await;
        let now = self.clock.now();
        self.recorder
            .record_read(scanned.is_ok(), now - started, now);
        scanned
    }

    /// Reads at most `limit` rows whose key begins with `prefix` and follows `after`.
    /// Returns also whether more rows follow.
    pub(crate) async fn read_page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<(Vec<Row>, bool), Fault> {
        let started = self.clock.now();
        let page = self.table.page(prefix, after, limit).await;
        let now = self.clock.now();
        self.recorder.record_read(page.is_ok(), now - started, now);
        page
    }

    /// Writes a transaction to the table without retries.
    pub(crate) async fn write_rows(&self, transaction: &Transaction) -> Outcome {
        let started = self.clock.now();
        let outcome = self.table.write(transaction).await;
        let now = self.clock.now();
        self.recorder.record_write(&outcome, now - started, now);
        outcome
    }

    /// Returns the bundle in force, `None` if there is none yet.
    pub(crate) fn bundle(&self) -> Option<Arc<Bundle>> {
        self.in_force
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a bundle in force if it is newer than the current one. Returns whether it did.
    pub(crate) fn set_bundle(&self, bundle: Arc<Bundle>) -> bool {
        let mut in_force = self
            .in_force
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if in_force
            .as_ref()
            .is_some_and(|old| old.version() >= bundle.version())
        {
            return false;
        }
        *in_force = Some(bundle);
        true
    }
}
