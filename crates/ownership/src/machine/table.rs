//! Exchanges with the table: scans, reads and transactions.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::{Check, Operation, Outcome, Row, Transaction, Write};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Service, Upstream, Version};
use rand::RngExt;

use super::Machine;
use crate::action::Action;
use crate::row::Key;
use crate::write::{Pending, Phase, Purpose};

/// Time after which an exchange counts as lost.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// First wait before an exchange is tried again.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest wait before an exchange is tried again.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Most doublings of the wait.
const MAX_DOUBLINGS: u32 = 10;

/// Share of the authority after which a home proves its term again.
const PROOF_SHARE: u32 = 16;

/// What a scan is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// All homes.
    Homes,
    /// All shards of a service, for routing.
    Blocks(Service),
    /// All shards of a service, for a home that was taken over.
    Takeover(Upstream, Service),
}

/// Scan whose answer is due.
#[derive(Clone, Debug)]
pub(super) struct Scan {
    subject: Subject,
    sent_at: Instant,
}

/// Read whose answer is due.
#[derive(Clone, Debug)]
pub(super) struct Read {
    key: Arc<str>,
    sent_at: Instant,
}

impl Machine {
    pub(super) fn poll_table(&mut self) {
        self.expire_exchanges();
        self.retry_writes();
        if self.now >= self.table_retry_at {
            self.start_scans();
            self.start_proofs();
        }
    }

    fn expire_exchanges(&mut self) {
        let expired = |sent_at: Instant| self.now >= sent_at + TABLE_TIMEOUT;
        let scans: Vec<u64> = self
            .scans
            .iter()
            .filter(|(_, scan)| expired(scan.sent_at))
            .map(|(id, _)| *id)
            .collect();
        let reads: Vec<u64> = self
            .reads
            .iter()
            .filter(|(_, read)| expired(read.sent_at))
            .map(|(id, _)| *id)
            .collect();
        let writes: Vec<Operation> = self
            .pending
            .iter()
            .filter(|(_, it)| it.phase == Phase::Sent && expired(it.sent_at))
            .map(|(operation, _)| operation.clone())
            .collect();
        scans.into_iter().for_each(|id| self.on_scan_failed(id));
        reads.into_iter().for_each(|id| self.on_read_failed(id));
        for operation in writes {
            self.on_written(&operation, Outcome::Unknown);
        }
    }

    /// Starts the scans that this router or one of its homes needs.
    fn start_scans(&mut self) {
        if self.members.is_empty() || self.view.fleet.services.is_empty() {
            return;
        }
        self.start_takeover_scans();
        if !self.knows_all() && self.ask_peer() {
            return;
        }
        if !self.homes_known {
            self.scan(Subject::Homes);
        }
        let services: Vec<Service> = self
            .view
            .services
            .keys()
            .filter(|it| !self.blocks_known.contains(*it))
            .cloned()
            .collect();
        for service in services {
            self.scan(Subject::Blocks(service));
        }
    }

    /// Returns whether all rows of the table were read, here or by a peer.
    pub(super) fn knows_all(&self) -> bool {
        let mut services = self.view.services.keys();
        self.homes_known && services.all(|it| self.blocks_known.contains(it))
    }

    fn start_takeover_scans(&mut self) {
        let loading: Vec<Upstream> = self
            .held
            .iter()
            .filter(|(_, held)| held.is_loading())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in loading {
            match self.view.service_of(&upstream).cloned() {
                Some(service) => self.scan(Subject::Takeover(upstream, service)),
                None => self.finish_loading(&upstream),
            }
        }
    }

    fn scan(&mut self, subject: Subject) {
        if self.scans.values().any(|scan| scan.subject == subject) {
            return;
        }
        let prefix = match &subject {
            Subject::Homes => Key::homes(),
            Subject::Blocks(service) | Subject::Takeover(_, service) => Key::blocks(service),
        };
        let scan = self.take_id();
        let sent_at = self.now;
        self.scans.insert(scan, Scan { subject, sent_at });
        self.out.push(Action::Scan { scan, prefix });
    }

    pub(super) fn on_scanned(&mut self, scan: u64, rows: Vec<Row>) {
        let Some(scan) = self.scans.swap_remove(&scan) else {
            return;
        };
        self.table_failures = 0;
        self.learn(rows);
        match scan.subject {
            Subject::Homes => {
                self.homes_known = true;
                self.watch_all();
            }
            Subject::Blocks(service) => {
                self.blocks_known.insert(service.clone());
                self.watch_service(&service);
            }
            Subject::Takeover(upstream, service) => {
                self.blocks_known.insert(service);
                self.finish_loading(&upstream);
            }
        }
    }

    pub(super) fn on_scan_failed(&mut self, scan: u64) {
        if self.scans.swap_remove(&scan).is_some() {
            self.back_off(MIN_BACKOFF);
        }
    }

    /// Leaves the table alone for at least `span`, longer with each failure.
    fn back_off(&mut self, span: Duration) {
        let factor = 2_u32.pow(self.table_failures.min(MAX_DOUBLINGS));
        self.table_failures = self.table_failures.saturating_add(1);
        let span = self.jitter((MIN_BACKOFF * factor).min(MAX_BACKOFF).max(span));
        self.table_retry_at = self.table_retry_at.max(self.now + span);
    }

    fn jitter(&mut self, span: Duration) -> Duration {
        span + span.mul_f64(self.rng.random_range(0.0..0.5))
    }

    /// Starts reading a row, unless a read of it is under way.
    pub(super) fn read(&mut self, key: Arc<str>) {
        if !self.reads.values().any(|read| read.key == key) {
            self.read_anew(key);
        }
    }

    fn read_anew(&mut self, key: Arc<str>) {
        let id = self.take_id();
        let sent_at = self.now;
        let read = Read {
            key: key.clone(),
            sent_at,
        };
        self.reads.insert(id, read);
        self.out.push(Action::Read { id, key });
    }

    pub(super) fn on_read(&mut self, id: u64, row: Option<Row>) {
        let Some(read) = self.reads.swap_remove(&id) else {
            return;
        };
        self.table_failures = 0;
        let version = row.as_ref().map_or(Version(0), |row| row.version);
        self.learn(row.into_iter().collect());
        if let Some(Key::Home(upstream)) = Key::parse(&read.key)
            && let Some(held) = self.held.get_mut(&upstream)
            && held.version == version
        {
            held.prove(read.sent_at, &self.settings);
        }
        self.finish_reading(id, &read.key);
    }

    /// Notes that a row was read for transactions that wait for it.
    fn finish_reading(&mut self, id: u64, key: &str) {
        let mut finished = Vec::new();
        for (operation, pending) in &mut self.pending {
            if let Phase::Reading { first_read, keys } = &mut pending.phase
                && *first_read <= id
            {
                keys.retain(|it| it.as_ref() != key);
                if keys.is_empty() {
                    finished.push(operation.clone());
                }
            }
        }
        for operation in finished {
            self.finish_write(&operation);
        }
    }

    pub(super) fn on_read_failed(&mut self, id: u64) {
        if self.reads.swap_remove(&id).is_some() {
            self.back_off(MIN_BACKOFF);
        }
    }

    /// Reads the home rows of upstreams whose proof is old or lacks the
    /// present incarnation.
    fn start_proofs(&mut self) {
        let interval = self.settings.authority / PROOF_SHARE;
        let due: Vec<Arc<str>> = self
            .held
            .iter()
            .filter(|(upstream, held)| {
                let old = self.now >= held.proven_at + interval;
                old || (held.reading.is_some()
                    && !held.is_incarnation_proven()
                    && self.checks_orders(upstream))
            })
            .map(|(upstream, _)| Key::Home(upstream.clone()).text())
            .collect();
        due.into_iter().for_each(|key| self.read(key));
    }

    /// Returns whether a transaction of this router that writes a row is under
    /// way.
    pub(super) fn is_writing(&self, key: &str) -> bool {
        self.pending.values().any(|pending| pending.writes(key))
    }

    /// Returns whether new transactions may be started.
    pub(super) fn may_write(&self) -> bool {
        self.now >= self.table_retry_at
    }

    /// Starts a transaction. It takes effect at most once, since it writes
    /// each row that it checks, or checks each row that it writes.
    pub(super) fn write(&mut self, purpose: Purpose, checks: Vec<Check>, writes: Vec<Write>) {
        let id = self.take_id();
        let operation = format!("{}-{}-{id}", self.settings.router, self.settings.nonce);
        let operation = Operation(operation.into());
        let transaction = Transaction {
            operation: operation.clone(),
            checks,
            writes,
        };
        if let Purpose::Reassign(upstream) = &purpose
            && let Some(held) = self.held.get_mut(upstream)
        {
            held.reassigning += 1;
        }
        let pending = Pending::new(transaction.clone(), purpose, self.now);
        self.pending.insert(operation, pending);
        self.out.push(Action::Write(transaction));
    }

    pub(super) fn on_written(&mut self, operation: &Operation, outcome: Outcome) {
        let Some(pending) = self.pending.get_mut(operation) else {
            return;
        };
        if pending.phase != Phase::Sent {
            return;
        }
        let tries = pending.tries;
        if matches!(outcome, Outcome::Committed(_) | Outcome::Conflict { .. }) {
            self.table_failures = 0;
        }
        match outcome {
            Outcome::Committed(versions) => self.on_committed(operation, &versions),
            Outcome::Conflict { row, .. } => self.on_conflict(operation, row),
            Outcome::NotWritten { retry_after } => {
                let in_doubt = pending.in_doubt;
                self.back_off(retry_after);
                if in_doubt {
                    self.retry_later(operation, retry_after);
                } else {
                    self.finish_write(operation);
                }
            }
            Outcome::Unknown => {
                pending.in_doubt = true;
                let backoff = MIN_BACKOFF * 2_u32.pow(tries.min(MAX_DOUBLINGS));
                self.back_off(MIN_BACKOFF);
                self.retry_later(operation, backoff.min(MAX_BACKOFF));
            }
        }
    }

    fn retry_later(&mut self, operation: &Operation, span: Duration) {
        let at = self.now + self.jitter(span);
        if let Some(pending) = self.pending.get_mut(operation) {
            pending.phase = Phase::Retry(at);
        }
    }

    /// Sends transactions in doubt again, and reads rows that tell of them.
    fn retry_writes(&mut self) {
        let mut keys = Vec::new();
        for pending in self.pending.values_mut() {
            match &pending.phase {
                Phase::Retry(at) if self.now >= *at => {
                    pending.phase = Phase::Sent;
                    pending.sent_at = self.now;
                    pending.tries += 1;
                    let transaction = pending.transaction.clone();
                    self.out.push(Action::Write(transaction));
                }
                Phase::Reading { keys: missing, .. } if self.now >= self.table_retry_at => {
                    keys.extend(missing.iter().cloned());
                }
                _ => {}
            }
        }
        for key in keys {
            self.read(key);
        }
    }

    fn on_committed(&mut self, operation: &Operation, versions: &[Check]) {
        let Some(pending) = self.pending.get(operation).cloned() else {
            return;
        };
        let rows = pending.transaction.writes.iter().filter_map(|write| {
            let version = versions.iter().find(|it| it.key == write.key)?.version;
            Some(Row {
                key: write.key.clone(),
                version,
                operation: operation.clone(),
                value: write.value.clone()?,
            })
        });
        let rows: Vec<Row> = rows.collect();
        self.prove_by_write(&pending);
        self.learn(rows.clone());
        self.out.push(Action::Spread(rows.clone()));
        self.finish_write(operation);
        self.notify_owners(&rows);
    }

    /// A committed transaction that checked a home row proves the term.
    fn prove_by_write(&mut self, pending: &Pending) {
        for check in &pending.transaction.checks {
            if let Some(Key::Home(upstream)) = Key::parse(&check.key)
                && let Some(held) = self.held.get_mut(&upstream)
                && held.version == check.version
            {
                held.prove(pending.first_sent_at, &self.settings);
            }
        }
    }

    /// A conflict ends a transaction: it can't take effect from now on, since
    /// versions only grow. If an earlier answer was lost, the rows tell
    /// whether it took effect before.
    fn on_conflict(&mut self, operation: &Operation, row: Option<Row>) {
        let conflict = row.as_ref().map(|row| row.key.clone());
        self.learn(row.into_iter().collect());
        let first_read = self.next_id;
        let Some(pending) = self.pending.get_mut(operation) else {
            return;
        };
        let checks = pending.transaction.checks.iter();
        let keys: Vec<Arc<str>> = checks
            .map(|check| check.key.clone())
            .filter(|key| Some(key) != conflict.as_ref())
            .collect();
        if keys.is_empty() {
            self.finish_write(operation);
            return;
        }
        pending.phase = Phase::Reading {
            first_read,
            keys: keys.clone(),
        };
        for key in keys {
            self.read_anew(key);
        }
    }

    /// Forgets a transaction whose effect is known from the rows.
    fn finish_write(&mut self, operation: &Operation) {
        let Some(pending) = self.pending.swap_remove(operation) else {
            return;
        };
        match &pending.purpose {
            Purpose::Reassign(upstream) => {
                if let Some(held) = self.held.get_mut(upstream) {
                    held.reassigning = held.reassigning.saturating_sub(1);
                    held.grants_stale = true;
                }
            }
            Purpose::Claim(upstream) => self.on_claim_ended(upstream),
            Purpose::Place | Purpose::Move(_) | Purpose::Clear | Purpose::Settle => {}
        }
    }
}
