//! Transactions, which are sent until their outcome is known.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::{Check, Operation, Outcome, Row, Transaction, Write};

use super::Machine;
use super::table::{MAX_BACKOFF, MAX_DOUBLINGS, MIN_BACKOFF};
use crate::action::Action;
use crate::row::Key;
use crate::write::{Pending, Phase, Purpose};

impl Machine {
    /// Returns whether a pending transaction of this router writes the row with this key.
    pub(super) fn is_writing(&self, key: &str) -> bool {
        self.pending.values().any(|pending| pending.writes_key(key))
    }

    /// Returns whether new transactions may be started.
    pub(super) fn may_write(&self) -> bool {
        self.now >= self.table_retry_at
    }

    /// Starts a transaction. It checks the version of each row that it writes, so that it
    /// takes effect at most once.
    pub(super) fn write(&mut self, purpose: Purpose, checks: Vec<Check>, writes: Vec<Write>) {
        let id = self.allocate_id();
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
            held.reassignments_in_flight += 1;
        }
        let pending = Pending::new(transaction.clone(), purpose, self.now);
        self.pending.insert(operation, pending);
        self.actions.push(Action::Write(transaction));
    }

    pub(super) fn on_written(&mut self, operation: &Operation, outcome: Outcome) {
        let Some(pending) = self.pending.get_mut(operation) else {
            return;
        };
        if pending.phase != Phase::Sent {
            return;
        }
        let attempts = pending.attempts;
        if matches!(outcome, Outcome::Committed(_) | Outcome::Conflict { .. }) {
            self.table_failures = 0;
        }
        match outcome {
            Outcome::Committed(versions) => self.on_committed(operation, &versions),
            Outcome::Conflict { row, .. } => self.on_conflict(operation, row),
            Outcome::NotWritten { retry_after } => {
                let is_in_doubt = pending.is_in_doubt;
                self.back_off(retry_after);
                if is_in_doubt {
                    self.retry_later(operation, retry_after);
                } else {
                    self.finish_write(operation);
                }
            }
            Outcome::Unknown => {
                pending.is_in_doubt = true;
                let backoff = MIN_BACKOFF * 2_u32.pow(attempts.min(MAX_DOUBLINGS));
                self.back_off(MIN_BACKOFF);
                self.retry_later(operation, backoff.min(MAX_BACKOFF));
            }
        }
    }

    pub(super) fn retry_later(&mut self, operation: &Operation, span: Duration) {
        let at = self.now + self.jitter(span);
        if let Some(pending) = self.pending.get_mut(operation) {
            pending.phase = Phase::Retry(at);
        }
    }

    /// Sends the transactions again that are due for a retry, and reads the rows that
    /// tell whether a transaction took effect.
    pub(super) fn retry_writes(&mut self) {
        let mut keys = Vec::new();
        for pending in self.pending.values_mut() {
            match &pending.phase {
                Phase::Retry(at) if self.now >= *at => {
                    pending.phase = Phase::Sent;
                    pending.sent_at = self.now;
                    pending.attempts += 1;
                    let transaction = pending.transaction.clone();
                    self.actions.push(Action::Write(transaction));
                }
                Phase::Reading { keys: missing, .. } if self.now >= self.table_retry_at => {
                    keys.extend(missing.iter().cloned());
                }
                _ => {}
            }
        }
        for key in keys {
            self.read_row(key);
        }
    }

    pub(super) fn on_committed(&mut self, operation: &Operation, versions: &[Check]) {
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
        self.apply_rows(rows.clone());
        self.actions.push(Action::Broadcast(rows.clone()));
        self.finish_write(operation);
        self.notify_owner_homes(&rows);
    }

    /// Records that a committed transaction proved the terms of the home rows that it
    /// checked.
    pub(super) fn prove_by_write(&mut self, pending: &Pending) {
        for check in &pending.transaction.checks {
            if let Some(Key::Home(upstream)) = Key::parse(&check.key)
                && let Some(held) = self.held.get_mut(&upstream)
                && held.version == check.version
            {
                held.prove(pending.first_sent_at, &self.settings);
            }
        }
    }

    /// Ends a transaction after a conflict. Versions only grow, so that the transaction
    /// can no longer take effect. If an earlier answer was lost, the rows tell whether it
    /// took effect before.
    pub(super) fn on_conflict(&mut self, operation: &Operation, row: Option<Row>) {
        let conflict = row.as_ref().map(|row| row.key.clone());
        self.apply_rows(row.into_iter().collect());
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
            self.start_read(key);
        }
    }

    /// Removes a transaction whose effect is known from the rows.
    pub(super) fn finish_write(&mut self, operation: &Operation) {
        let Some(pending) = self.pending.swap_remove(operation) else {
            return;
        };
        match &pending.purpose {
            Purpose::Reassign(upstream) => {
                if let Some(held) = self.held.get_mut(upstream) {
                    held.reassignments_in_flight = held.reassignments_in_flight.saturating_sub(1);
                    held.has_stale_grants = true;
                }
            }
            Purpose::Claim(upstream) => self.on_claim_ended(upstream),
            Purpose::Place | Purpose::Move(_) | Purpose::Clear | Purpose::Settle => {}
        }
    }
}
