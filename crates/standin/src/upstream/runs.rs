//! Counts how often an upstream ran each request.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of runs of an upstream, in total and per request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs that started.
    pub started: u64,
    /// Runs that finished.
    pub finished: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Requests refused because the upstream didn't own the shard at that epoch.
    pub not_owned: u64,
    /// Requests refused because of load shedding or draining.
    pub shed: u64,
    /// Number of started runs by `Idempotency-Key`.
    pub by_key: IndexMap<String, u64>,
    /// Number of started runs by `eelgrassrock-request-id`.
    pub by_request: IndexMap<String, u64>,
}

#[derive(Debug, Default)]
pub(crate) struct Counters(Mutex<Runs>);

/// Run in progress. Dropping it before `finish` counts it as cancelled.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    counters: &'a Counters,
    finished: bool,
}

impl Counters {
    pub(crate) fn get(&self) -> MutexGuard<'_, Runs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a run that starts, and returns it with its number.
    pub(crate) fn begin(&self, key: Option<&str>, request_id: &str) -> (Run<'_>, u64) {
        let mut runs = self.get();
        runs.started += 1;
        if let Some(key) = key {
            *runs.by_key.entry(key.to_owned()).or_default() += 1;
        }
        *runs.by_request.entry(request_id.to_owned()).or_default() += 1;
        let run = Run {
            counters: self,
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
        let mut runs = self.counters.get();
        if self.finished {
            runs.finished += 1;
        } else {
            runs.cancelled += 1;
        }
    }
}
