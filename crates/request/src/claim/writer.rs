//! Group commit of claims. One transaction holds many claims, one transaction is in flight
//! at a time, and the rate of transactions is limited.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::Operation;
use eelgrassrock_model::time::Instant;

use super::Intent;

const BURST_TRANSACTIONS: u32 = 4;
/// Longest time that an outcome waits to share a transaction with other outcomes.
const RECORD_DELAY: Duration = Duration::from_millis(200);

/// Transaction that is in flight or whose rows are being read back.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) operation: Operation,
    pub(crate) rows: Vec<(Arc<str>, Intent)>,
    /// Whether the rows are being read back because the answer of the table was lost.
    pub(crate) is_reading_back: bool,
}

/// Queue of rows to write.
#[derive(Debug)]
pub(crate) struct Writer {
    claims: VecDeque<Arc<str>>,
    updates: VecDeque<Arc<str>>,
    updates_since: Option<Instant>,
    pub(crate) in_flight: Option<Batch>,
    interval: Duration,
    next_at: Instant,
    outage_until: Option<Instant>,
    serial: u64,
}

impl Writer {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            claims: VecDeque::new(),
            updates: VecDeque::new(),
            updates_since: None,
            in_flight: None,
            interval: Duration::from_secs(1) / per_second.max(1),
            next_at: Instant::default(),
            outage_until: None,
            serial: 0,
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no transaction is in flight and no row waits to be written.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.claims.is_empty() && self.updates.is_empty()
    }

    pub(crate) fn push_claim(&mut self, key: Arc<str>) {
        self.claims.push_back(key);
    }

    pub(crate) fn push_update(&mut self, now: Instant, key: Arc<str>) {
        self.updates.push_back(key);
        self.updates_since.get_or_insert(now);
    }

    pub(crate) fn take_claims(&mut self) -> Vec<Arc<str>> {
        self.claims.drain(..).collect()
    }

    /// Returns how much longer the table is assumed to be unreachable.
    pub(crate) fn remaining_outage(&self, now: Instant) -> Option<Duration> {
        let until = self.outage_until?;
        (until > now).then(|| until - now)
    }

    pub(crate) fn set_outage_until(&mut self, until: Option<Instant>) {
        self.outage_until = until;
    }

    /// Returns the next row to write, claims first.
    pub(crate) fn pop(&mut self) -> Option<Arc<str>> {
        let claim = self.claims.pop_front();
        claim.or_else(|| self.updates.pop_front())
    }

    /// Returns whether a transaction may be sent now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.wake().is_some_and(|at| at <= now)
    }

    /// Returns when the next transaction may be sent, if any row waits.
    pub(crate) fn wake(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        let wanted = if self.claims.is_empty() {
            self.updates_since? + RECORD_DELAY
        } else {
            Instant::default()
        };
        let allowed = self.next_at.max(self.outage_until.unwrap_or_default());
        Some(wanted.max(allowed))
    }

    /// Records that a transaction is sent and returns its sequence number. Idle time is
    /// credited for at most `BURST_TRANSACTIONS` intervals.
    pub(crate) fn start(&mut self, now: Instant) -> u64 {
        let burst = self.interval * BURST_TRANSACTIONS;
        let earliest = Instant::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(burst.as_micros()).unwrap_or(u64::MAX)),
        );
        self.next_at = self.next_at.max(earliest) + self.interval;
        if self.updates.is_empty() {
            self.updates_since = None;
        }
        self.serial += 1;
        self.serial
    }

    /// Clears the start of the record delay if no update waits.
    pub(crate) fn clear_updates_since(&mut self) {
        if self.updates.is_empty() {
            self.updates_since = None;
        }
    }
}
