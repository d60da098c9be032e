//! Exchanges with the table: scans, reads and transactions.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::{Operation, Outcome, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Service, Upstream, Version};
use rand::RngExt;

use super::Machine;
use crate::action::Action;
use crate::row::Key;
use crate::write::Phase;

/// Time after which the answer to an exchange counts as lost.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest backoff before an exchange is tried again.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest backoff before an exchange is tried again.
pub(super) const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Most doublings of the backoff.
pub(super) const MAX_DOUBLINGS: u32 = 10;

/// Number of times that a home proves its term again within the duration of its
/// authority.
const PROOFS_PER_AUTHORITY: u32 = 16;

/// Purpose of a scan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ScanPurpose {
    /// Read all homes.
    Homes,
    /// Read all shards of a service for routing.
    Blocks(Service),
    /// Read all shards of a service for a home that was taken over.
    Takeover(Upstream, Service),
}

/// Scan without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Scan {
    purpose: ScanPurpose,
    sent_at: Instant,
}

/// Read without an answer yet.
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
        if !self.has_all_rows() && self.request_peer_rows() {
            return;
        }
        if !self.has_all_homes {
            self.scan(ScanPurpose::Homes);
        }
        let services: Vec<Service> = self
            .view
            .services
            .keys()
            .filter(|it| !self.loaded_services.contains(*it))
            .cloned()
            .collect();
        for service in services {
            self.scan(ScanPurpose::Blocks(service));
        }
    }

    /// Returns whether all rows of the table are known, read here or by another router.
    pub(super) fn has_all_rows(&self) -> bool {
        let mut services = self.view.services.keys();
        self.has_all_homes && services.all(|it| self.loaded_services.contains(it))
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
                Some(service) => self.scan(ScanPurpose::Takeover(upstream, service)),
                None => self.finish_loading(&upstream),
            }
        }
    }

    fn scan(&mut self, purpose: ScanPurpose) {
        if self.scans.values().any(|scan| scan.purpose == purpose) {
            return;
        }
        let prefix = match &purpose {
            ScanPurpose::Homes => Key::homes_prefix(),
            ScanPurpose::Blocks(service) | ScanPurpose::Takeover(_, service) => {
                Key::blocks_prefix(service)
            }
        };
        let scan = self.allocate_id();
        let sent_at = self.now;
        self.scans.insert(scan, Scan { purpose, sent_at });
        self.actions.push(Action::Scan { scan, prefix });
    }

    pub(super) fn on_scanned(&mut self, scan: u64, rows: Vec<Row>) {
        let Some(scan) = self.scans.swap_remove(&scan) else {
            return;
        };
        self.table_failures = 0;
        self.apply_rows(rows);
        match scan.purpose {
            ScanPurpose::Homes => {
                self.has_all_homes = true;
                self.check_all();
            }
            ScanPurpose::Blocks(service) => {
                self.loaded_services.insert(service.clone());
                self.check_unowned(&service);
            }
            ScanPurpose::Takeover(upstream, service) => {
                self.loaded_services.insert(service);
                self.finish_loading(&upstream);
            }
        }
    }

    pub(super) fn on_scan_failed(&mut self, scan: u64) {
        if self.scans.swap_remove(&scan).is_some() {
            self.back_off(MIN_BACKOFF);
        }
    }

    /// Delays new exchanges with the table by at least `span`, and longer after each
    /// further failure.
    pub(super) fn back_off(&mut self, span: Duration) {
        let factor = 2_u32.pow(self.table_failures.min(MAX_DOUBLINGS));
        self.table_failures = self.table_failures.saturating_add(1);
        let span = self.jitter((MIN_BACKOFF * factor).min(MAX_BACKOFF).max(span));
        self.table_retry_at = self.table_retry_at.max(self.now + span);
    }

    pub(super) fn jitter(&mut self, span: Duration) -> Duration {
        span + span.mul_f64(self.rng.random_range(0.0..0.5))
    }

    /// Starts reading a row, unless a read of it is in progress.
    pub(super) fn read_row(&mut self, key: Arc<str>) {
        if !self.reads.values().any(|read| read.key == key) {
            self.start_read(key);
        }
    }

    pub(super) fn start_read(&mut self, key: Arc<str>) {
        let id = self.allocate_id();
        let sent_at = self.now;
        let read = Read {
            key: key.clone(),
            sent_at,
        };
        self.reads.insert(id, read);
        self.actions.push(Action::Read { id, key });
    }

    pub(super) fn on_read(&mut self, id: u64, row: Option<Row>) {
        let Some(read) = self.reads.swap_remove(&id) else {
            return;
        };
        self.table_failures = 0;
        let version = row.as_ref().map_or(Version(0), |row| row.version);
        self.apply_rows(row.into_iter().collect());
        if let Some(Key::Home(upstream)) = Key::parse(&read.key)
            && let Some(held) = self.held.get_mut(&upstream)
            && held.version == version
        {
            held.prove(read.sent_at, &self.settings);
        }
        self.finish_reading(id, &read.key);
    }

    /// Records that a row was read, and finishes the transactions that waited for it.
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

    /// Reads the home rows of upstreams whose term wasn't proven recently, or not for the
    /// present incarnation.
    fn start_proofs(&mut self) {
        let interval = self.settings.authority / PROOFS_PER_AUTHORITY;
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
        due.into_iter().for_each(|key| self.read_row(key));
    }
}
