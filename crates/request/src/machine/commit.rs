//! Group commit of claims and outcomes, and what the table answers.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, MAX_WRITES, Operation, Outcome, Row, Transaction, Write};
use eelgrassrock_model::time::Instant;

use super::Machine;
use crate::action::{Action, Reason};
use crate::claim::{self, Batch, Intent, Life, State, Writership};
use crate::event::Unreadable;

/// Time for which the table is taken to be out of reach after a lost answer.
pub(crate) const DOWN_TIME: Duration = Duration::from_secs(1);

impl Machine {
    /// Sends the next transaction if one is due.
    pub(crate) fn pump(&mut self, now: Instant) {
        while self.writer.is_due(now) {
            let rows = self.next_rows();
            if rows.is_empty() {
                self.writer.trim();
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
            let intent = self.ledger.get(&key).and_then(|record| record.intent);
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
            let record = self.ledger.get_mut(key).expect("the record is known");
            record.submitted(&operation);
            record.deleting |= *intent == Intent::Delete;
            checks.push(Check {
                key: key.clone(),
                version: record.expect,
            });
            writes.push(Write {
                key: key.clone(),
                value,
            });
        }
        self.writer.in_flight = Some(Batch {
            operation: operation.clone(),
            rows,
            reading: false,
        });
        self.actions.push(Action::Write(Transaction {
            operation,
            checks,
            writes,
        }));
    }

    fn row_value(&self, now: Instant, key: &str, intent: Intent) -> Option<Arc<str>> {
        let record = self.ledger.get(key).expect("the record is known");
        let life = match (intent, &record.state) {
            (Intent::Delete, _) => return None,
            (Intent::Claim, _) => Life::Running,
            (Intent::Record, State::Done(stored)) => Life::Done(stored.status),
            (Intent::Record, _) => Life::Unknown,
        };
        let time_of_day = self.sweep.time_of_day(now);
        let row = claim::Row {
            router: self.settings.router.clone(),
            body: record.body,
            life,
            within: record.within,
            expires: time_of_day.map(|time| time + self.settings.retention),
        };
        Some(row.encode())
    }

    /// Takes in how a transaction ended.
    pub(crate) fn written(&mut self, now: Instant, operation: &Operation, outcome: Outcome) {
        let expected = |batch: &Batch| batch.operation == *operation && !batch.reading;
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
        self.writer.set_down(None);
        for (key, intent) in self.take_batch().rows {
            let version = versions.iter().find(|check| check.key == key);
            let version = version.map_or(Version(0), |check| check.version);
            self.row_written(now, &key, intent, version);
        }
    }

    fn row_written(&mut self, now: Instant, key: &Arc<str>, intent: Intent, version: Version) {
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        match intent {
            Intent::Claim => self.claim_written(now, key, version),
            Intent::Record => {
                record.expect = version;
                record.intent = None;
                self.ledger.release(key);
            }
            Intent::Delete => self.row_deleted(key),
        }
    }

    fn claim_written(&mut self, now: Instant, key: &Arc<str>, version: Version) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        record.expect = version;
        record.deleting = false;
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
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        record.expect = Version(0);
        record.deleting = false;
        match record.state {
            State::Free => {
                self.ledger.remove(key);
            }
            _ => record.intent = record.intent.filter(|intent| *intent != Intent::Delete),
        }
    }

    fn conflicted(&mut self, now: Instant, conflicting: &str, row: Option<&Row>) {
        self.writer.set_down(None);
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
        let intent = self.ledger.get(key).and_then(|record| record.intent);
        match intent {
            Some(Intent::Claim) => self.writer.push_claim(key.clone()),
            Some(_) => self.writer.push_update(now, key.clone()),
            None => {}
        }
    }

    /// Takes in the row that a write of `intent` has met or left behind.
    fn row_seen(&mut self, now: Instant, key: &Arc<str>, intent: Intent, row: Option<&Row>) {
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        let Some(row) = row else {
            return self.row_absent(now, key, intent);
        };
        let writership = record.writership(&row.operation);
        let unchanged = row.version == record.expect;
        match (intent, writership) {
            (Intent::Claim, Writership::Present) => self.claim_written(now, key, row.version),
            (_, _) if unchanged => self.write_again(now, key),
            (Intent::Claim, Writership::Earlier) => {
                record.expect = row.version;
                self.write_again(now, key);
            }
            (Intent::Claim, Writership::Foreign) => self.meet_foreign(now, key, row),
            (Intent::Record, _) => {
                record.expect = row.version;
                record.intent = None;
                self.ledger.release(key);
            }
            (Intent::Delete, Writership::Foreign) => self.row_deleted(key),
            (Intent::Delete, _) => {
                record.expect = row.version;
                self.write_again(now, key);
            }
        }
    }

    fn row_absent(&mut self, now: Instant, key: &Arc<str>, intent: Intent) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        match intent {
            Intent::Claim => {
                record.expect = Version(0);
                self.write_again(now, key);
            }
            Intent::Record => {
                record.intent = None;
                self.ledger.release(key);
            }
            Intent::Delete => {
                self.row_deleted(key);
                self.write_again(now, key);
            }
        }
    }

    /// Refuses what waits for claims: nothing was written.
    fn not_written(&mut self, now: Instant, retry_after: Duration) {
        let retry_after = retry_after.max(self.settings.lapse_retry);
        self.writer.set_down(Some(now + retry_after));
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
        if let Some(record) = self.ledger.get_mut(key)
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

    /// Takes the table for out of reach: new claims are refused at once.
    pub(crate) fn store_down(&mut self, now: Instant) {
        let retry_after = DOWN_TIME.max(self.settings.lapse_retry);
        self.writer.set_down(Some(now + retry_after));
        self.refuse_waiting_claims(now, retry_after);
    }

    fn read_back(&mut self) {
        let batch = self.writer.in_flight.as_mut();
        let batch = batch.expect("a batch is in flight");
        batch.reading = true;
        for (key, _) in &batch.rows {
            self.actions.push(Action::Read { key: key.clone() });
        }
    }

    /// Takes in a row that was read back or looked at.
    pub(crate) fn row_read(
        &mut self,
        now: Instant,
        key: &Arc<str>,
        row: Result<Option<Row>, Unreadable>,
    ) {
        if let Some(intent) = self.take_read(key) {
            match &row {
                Ok(row) => self.row_seen(now, key, intent, row.as_ref()),
                Err(Unreadable) => self.row_unreadable(now, key, intent),
            }
        }
        self.elsewhere_read(now, key, row);
    }

    /// Takes a row out of the batch that is being read back.
    fn take_read(&mut self, key: &str) -> Option<Intent> {
        let batch = self.writer.in_flight.as_mut()?;
        if !batch.reading {
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
            let retry_after = DOWN_TIME.max(self.settings.lapse_retry);
            self.refuse_claim(now, key, retry_after);
        } else {
            self.write_again(now, key);
        }
    }
}
