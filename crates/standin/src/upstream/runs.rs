//! How often an upstream really ran each request.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How often an upstream really ran each request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs that began.
    pub started: u64,
    /// Runs that ended.
    pub finished: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Requests refused because the shard wasn't owned.
    pub not_owned: u64,
    /// Requests refused while shedding or draining.
    pub shed: u64,
    /// Runs begun, by `Idempotency-Key`.
    pub by_key: IndexMap<String, u64>,
    /// Runs begun, by `eelgrassrock-request-id`.
    pub by_request: IndexMap<String, u64>,
}

#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<Runs>);

/// Run that is going on. If it is dropped, it was cancelled.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    ledger: &'a Ledger,
    finished: bool,
}

impl Ledger {
    pub(crate) fn get(&self) -> MutexGuard<'_, Runs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a run begins, and returns its number.
    pub(crate) fn begin(&self, key: Option<&str>, request_id: &str) -> (Run<'_>, u64) {
        let mut runs = self.get();
        runs.started += 1;
        if let Some(key) = key {
            *runs.by_key.entry(key.to_owned()).or_default() += 1;
        }
        *runs.by_request.entry(request_id.to_owned()).or_default() += 1;
        let run = Run {
            ledger: self,
            finished: false,
        };
        (run, runs.started)
    }
}

impl Run<'_> {
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut runs = self.ledger.get();
        if self.finished {
            runs.finished += 1;
        } else {
            runs.cancelled += 1;
        }
    }
}
