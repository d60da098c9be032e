//! Group commit of claims and outcomes, and handling of the answers of the table.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, MAX_WRITES, Operation, Outcome, Row, Transaction, Write};
use eelgrassrock_model::time::Instant;

use super::Machine;
use crate::action::{Action, Reason};
use crate::claim::{self, Batch, Intent, RowOrigin, RunState, State};
use crate::event::Unreadable;

/// Time for which the table is assumed to be unreachable after a failed read or a report
/// that it is down.
pub(crate) const TABLE_DOWN_TIME: Duration = Duration::from_secs(1);

impl Machine {
    /// Sends the next transaction if one is due.
    pub(crate) fn submit_due(&mut self, now: Instant) {
        while self.writer.is_due(now) {
            let rows = self.next_rows();
            if rows.is_empty() {
                self.writer.clear_updates_since();
                continue;
            }
            self.submit(now, rows);
        }
    }

    fn next_rows(&mut self) -> Vec<(Arc<str>, Intent)> {
        let mut rows: Vec<(Arc<str>, Intent)> = Vec::new();
        while rows.len() < MAX_WRITES {
            let Some(key) = self.writer.pop() else {
                break;
            };
            let intent = self.records.get(&key).and_then(|record| record.intent);
            let listed = rows.iter().any(|(other, _)| *other == key);
            if let Some(intent) = intent
                && !listed
            {
                rows.push((key, intent));
            }
        }
        rows
    }

    fn submit(&mut self, now: Instant, rows: Vec<(Arc<str>, Intent)>) {
        let serial = self.writer.start(now);
        let name = format!("{}/claims/{serial}", self.settings.router);
        let operation = Operation(Arc::from(name));
        let mut checks = Vec::with_capacity(rows.len());
        let mut writes = Vec::with_capacity(rows.len());
        for (key, intent) in &rows {
            let value = self.row_value(now, key, *intent);
            let record = self.records.get_mut(key).expect("the record is known");
            record.submitted(&operation);
            record.is_deleting |= *intent == Intent::Delete;
            checks.push(Check {
                key: key.clone(),
                version: record.expected_version,
            });
            writes.push(Write {
                key: key.clone(),
                value,
            });
        }
        self.writer.in_flight = Some(Batch {
            operation: operation.clone(),
            rows,
            is_reading_back: false,
        });
        self.actions.push(Action::Write(Transaction {
            operation,
            checks,
            writes,
        }));
    }

    fn row_value(&self, now: Instant, key: &str, intent: Intent) -> Option<Arc<str>> {
        let record = self.records.get(key).expect("the record is known");
        let run_state = match (intent, &record.state) {
            (Intent::Delete, _) => return None,
            (Intent::Claim, _) => RunState::Running,
            (Intent::Record, State::Done(stored)) => RunState::Done(stored.status),
            (Intent::Record, _) => RunState::Unknown,
        };
        let time_of_day = self.sweep.time_of_day(now);
        let row = claim::Row {
            router: self.settings.router.clone(),
            body: record.body,
            run_state,
            within: record.within,
            expires: time_of_day.map(|time| time + self.settings.retention),
        };
        Some(row.encode())
    }

    /// Handles the outcome of a transaction.
    pub(crate) fn written(&mut self, now: Instant, operation: &Operation, outcome: Outcome) {
        let expected = |batch: &Batch| batch.operation == *operation && !batch.is_reading_back;
        if !self.writer.in_flight.as_ref().is_some_and(expected) {
            return;
        }
        match outcome {
            Outcome::Committed(versions) => self.committed(now, &versions),
            Outcome::Conflict { key, row } => self.conflicted(now, &key, row.as_ref()),
            Outcome::NotWritten { retry_after } => self.not_written(now, retry_after),
            Outcome::Unknown => self.read_back(),
        }
    }

    fn take_batch(&mut self) -> Batch {
        self.writer.in_flight.take().expect("a batch is in flight")
    }

    fn committed(&mut self, now: Instant, versions: &[Check]) {
        self.writer.set_outage_until(None);
        for (key, intent) in self.take_batch().rows {
            let version = versions.iter().find(|check| check.key == key);
            let version = version.map_or(Version(0), |check| check.version);
            self.row_written(now, &key, intent, version);
        }
    }

    fn row_written(&mut self, now: Instant, key: &Arc<str>, intent: Intent, version: Version) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        match intent {
            Intent::Claim => self.claim_written(now, key, version),
            Intent::Record => {
                record.expected_version = version;
                record.intent = None;
                self.records.mark_idle(key);
            }
            Intent::Delete => self.row_deleted(key),
        }
    }

    fn claim_written(&mut self, now: Instant, key: &Arc<str>, version: Version) {
        let record = self.records.get_mut(key).expect("the record is known");
        record.expected_version = version;
        record.is_deleting = false;
        match record.state {
            State::Claiming(id) => {
                record.state = State::Running(id);
                record.intent = None;
                self.claimed(now, id);
            }
            State::Free => self.free_claim(now, key),
            _ => {}
        }
    }

    fn row_deleted(&mut self, key: &Arc<str>) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.expected_version = Version(0);
        record.is_deleting = false;
        match record.state {
            State::Free => {
                self.records.remove(key);
            }
            _ => record.intent = record.intent.filter(|intent| *intent != Intent::Delete),
        }
    }

    fn conflicted(&mut self, now: Instant, conflicting: &str, row: Option<&Row>) {
        self.writer.set_outage_until(None);
        for (key, intent) in self.take_batch().rows {
            if *key == *conflicting {
                self.row_seen(now, &key, intent, row);
            } else {
                self.write_again(now, &key);
            }
        }
    }

    /// Queues the write that a row still needs.
    fn write_again(&mut self, now: Instant, key: &Arc<str>) {
        let intent = self.records.get(key).and_then(|record| record.intent);
        match intent {
            Some(Intent::Claim) => self.writer.push_claim(key.clone()),
            Some(_) => self.writer.push_update(now, key.clone()),
            None => {}
        }
    }

    /// Handles the row that was found after a write of `intent` conflicted or its answer
    /// was lost.
    fn row_seen(&mut self, now: Instant, key: &Arc<str>, intent: Intent, row: Option<&Row>) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let Some(row) = row else {
            return self.row_absent(now, key, intent);
        };
        let origin = record.origin(&row.operation);
        let unchanged = row.version == record.expected_version;
        match (intent, origin) {
            (Intent::Claim, RowOrigin::CurrentClaim) => self.claim_written(now, key, row.version),
            (_, _) if unchanged => self.write_again(now, key),
            (Intent::Claim, RowOrigin::PreviousClaim) => {
                record.expected_version = row.version;
                self.write_again(now, key);
            }
            (Intent::Claim, RowOrigin::Foreign) => self.handle_foreign_claim(now, key, row),
            (Intent::Record, _) => {
                record.expected_version = row.version;
                record.intent = None;
                self.records.mark_idle(key);
            }
            (Intent::Delete, RowOrigin::Foreign) => self.row_deleted(key),
            (Intent::Delete, _) => {
                record.expected_version = row.version;
                self.write_again(now, key);
            }
        }
    }

    fn row_absent(&mut self, now: Instant, key: &Arc<str>, intent: Intent) {
        let record = self.records.get_mut(key).expect("the record is known");
        match intent {
            Intent::Claim => {
                record.expected_version = Version(0);
                self.write_again(now, key);
            }
            Intent::Record => {
                record.intent = None;
                self.records.mark_idle(key);
            }
            Intent::Delete => {
                self.row_deleted(key);
                self.write_again(now, key);
            }
        }
    }

    /// Refuses the requests that wait for claims, because nothing was written.
    fn not_written(&mut self, now: Instant, retry_after: Duration) {
        let retry_after = retry_after.max(self.settings.unavailable_retry_after);
        self.writer.set_outage_until(Some(now + retry_after));
        let batch = self.take_batch();
        for (key, intent) in batch.rows {
            if intent == Intent::Claim {
                self.refuse_claim(now, &key, retry_after);
            } else {
                self.write_again(now, &key);
            }
        }
        self.refuse_waiting_claims(now, retry_after);
    }

    /// Refuses all requests that wait for a claim of `key`.
    fn refuse_claim(&mut self, now: Instant, key: &Arc<str>, retry_after: Duration) {
        let mut ids = Vec::new();
        if let Some(record) = self.records.get_mut(key)
            && let State::Claiming(id) = record.state
        {
            ids.append(&mut record.followers);
            ids.push(id);
        }
        for id in ids {
            self.refuse(now, id, Reason::StoreDown, Some(retry_after));
        }
    }

    pub(crate) fn refuse_waiting_claims(&mut self, now: Instant, retry_after: Duration) {
        for key in self.writer.take_claims() {
            self.refuse_claim(now, &key, retry_after);
        }
    }

    /// Treats the table as unreachable for a while. Requests that wait for claims and new ones
    /// that need a claim are refused at once.
    pub(crate) fn store_down(&mut self, now: Instant) {
        let retry_after = TABLE_DOWN_TIME.max(self.settings.unavailable_retry_after);
        self.writer.set_outage_until(Some(now + retry_after));
        self.refuse_waiting_claims(now, retry_after);
    }

    fn read_back(&mut self) {
        let batch = self.writer.in_flight.as_mut();
        let batch = batch.expect("a batch is in flight");
        batch.is_reading_back = true;
        for (key, _) in &batch.rows {
            self.actions.push(Action::Read { key: key.clone() });
        }
    }

    /// Handles a row that was read back after a lost answer, or read to look up a claim of
    /// another router.
    pub(crate) fn row_read(
        &mut self,
        now: Instant,
        key: &Arc<str>,
        row: Result<Option<Row>, Unreadable>,
    ) {
        if let Some(intent) = self.take_read_back(key) {
            match &row {
                Ok(row) => self.row_seen(now, key, intent, row.as_ref()),
                Err(Unreadable) => self.row_unreadable(now, key, intent),
            }
        }
        self.foreign_claim_read(now, key, row);
    }

    /// Removes a row from the batch that is being read back.
    fn take_read_back(&mut self, key: &str) -> Option<Intent> {
        let batch = self.writer.in_flight.as_mut()?;
        if !batch.is_reading_back {
            return None;
        }
        let index = batch.rows.iter().position(|(other, _)| **other == *key)?;
        let (_, intent) = batch.rows.swap_remove(index);
        if batch.rows.is_empty() {
            self.writer.in_flight = None;
        }
        Some(intent)
    }

    fn row_unreadable(&mut self, now: Instant, key: &Arc<str>, intent: Intent) {
        self.store_down(now);
        if intent == Intent::Claim {
            let retry_after = TABLE_DOWN_TIME.max(self.settings.unavailable_retry_after);
            self.refuse_claim(now, key, retry_after);
        } else {
            self.write_again(now, key);
        }
    }
}
