//! Transactions: sent until their outcome is known.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::{Check, Operation, Outcome, Row, Transaction, Write};

use super::Machine;
use super::table::{MAX_BACKOFF, MAX_DOUBLINGS, MIN_BACKOFF};
use crate::action::Action;
use crate::row::Key;
use crate::write::{Pending, Phase, Purpose};

impl Machine {
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

    pub(super) fn retry_later(&mut self, operation: &Operation, span: Duration) {
        let at = self.now + self.jitter(span);
        if let Some(pending) = self.pending.get_mut(operation) {
            pending.phase = Phase::Retry(at);
        }
    }

    /// Sends transactions in doubt again, and reads rows that tell of them.
    pub(super) fn retry_writes(&mut self) {
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
        self.learn(rows.clone());
        self.out.push(Action::Spread(rows.clone()));
        self.finish_write(operation);
        self.notify_owners(&rows);
    }

    /// A committed transaction that checked a home row proves the term.
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

    /// A conflict ends a transaction: it can't take effect from now on, since
    /// versions only grow. If an earlier answer was lost, the rows tell
    /// whether it took effect before.
    pub(super) fn on_conflict(&mut self, operation: &Operation, row: Option<Row>) {
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
    pub(super) fn finish_write(&mut self, operation: &Operation) {
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
