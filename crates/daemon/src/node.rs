//! State that all tasks of the daemon share.

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
    /// Settings of the daemon.
    pub(crate) settings: Settings,
    /// Clock of all decisions.
    pub(crate) clock: Clock,
    /// Log.
    pub(crate) logger: Logger,
    /// Metrics.
    pub(crate) recorder: Arc<Recorder>,
    /// Longest body of a request, in bytes.
    pub(crate) body_limit: usize,
    /// Credential for hops.
    pub(crate) hop_token: Token,
    /// Ownership.
    pub(crate) ownership: Arc<Ownership>,
    /// Requests.
    pub(crate) scheduler: Arc<Scheduler>,
    /// Members, news and bundles.
    pub(crate) membership: Membership,
    /// Connections.
    pub(crate) links: Links,
    /// Messages to other routers.
    pub(crate) sender: Sender,
    /// Contents of bundles.
    pub(crate) bundles: Bundles,
    /// Busy time per shard.
    pub(crate) meter: Arc<Meter>,
    /// The platform's table.
    pub(crate) table: table::Client,
    /// The platform's object store.
    pub(crate) objects: objects::Client,
    /// The platform's list of VMs.
    pub(crate) vms: vms::Client,
    /// Whether the daemon stops.
    pub(crate) draining: watch::Sender<bool>,
    /// Whether every home was handed over.
    pub(crate) handed_over: watch::Sender<bool>,
    /// Bundle in force.
    pub(crate) in_force: RwLock<Option<Arc<Bundle>>>,
}

impl Node {
    /// Tells whether `credential` is that of an operator: the secret of the
    /// deployment.
    pub(crate) fn is_operator(&self, credential: &str) -> bool {
        use subtle::ConstantTimeEq;
        let secret = self.settings.secret.expose().as_bytes();
        secret.ct_eq(credential.as_bytes()).into()
    }

    /// Reads a row of the table.
    pub(crate) async fn read_row(&self, key: &str) -> Result<Option<Row>, Fault> {
        let started = self.clock.now();
        let read = self.table.read(key).await;
        let now = self.clock.now();
        self.recorder.read(read.is_ok(), now - started, now);
        read
    }

    /// Reads all rows of the table with a prefix.
    pub(crate) async fn scan_rows(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        let started = self.clock.now();
        let scanned = self.table.scan(prefix).await;
        let now = self.clock.now();
        self.recorder.read(scanned.is_ok(), now - started, now);
        scanned
    }

    /// Reads a page of rows of the table with a prefix.
    pub(crate) async fn read_page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<(Vec<Row>, bool), Fault> {
        let started = self.clock.now();
        let page = self.table.page(prefix, after, limit).await;
        let now = self.clock.now();
        self.recorder.read(page.is_ok(), now - started, now);
        page
    }

    /// Writes to the table once.
    pub(crate) async fn write_rows(&self, transaction: &Transaction) -> Outcome {
        let started = self.clock.now();
        let outcome = self.table.write(transaction).await;
        let now = self.clock.now();
        self.recorder.wrote(&outcome, now - started, now);
        outcome
    }

    /// Returns the bundle in force, `None` if there is none yet.
    pub(crate) fn bundle(&self) -> Option<Arc<Bundle>> {
        self.in_force
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a bundle in force. Returns whether it is newer than the one before.
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
