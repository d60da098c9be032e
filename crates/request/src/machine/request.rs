//! One request and the phase that it is in.

use std::sync::Arc;

use eelgrassrock_model::fleet::Repeat;
use eelgrassrock_model::time::Instant;

use crate::event::Arrival;
use crate::queue::Entry;

/// Request that is waiting or running.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived: Instant,
    /// Latest time at which an attempt may start.
    pub(crate) start_by: Instant,
    pub(crate) phase: Phase,
    pub(crate) timer: Option<Instant>,
    /// Row of its claim, if it needs one.
    pub(crate) claim: Option<Arc<str>>,
    pub(crate) attempts: u32,
    /// Whether it is counted among those that wait for their claims.
    pub(crate) claiming: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether the caller has its final answer or has left.
    pub(crate) told: bool,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its claim is being written.
    Claiming,
    /// It waits for the outcome of another request with the same key.
    Following,
    /// It waits for a slot.
    Queued,
    /// It waits before the next attempt.
    Backoff,
    /// It holds a slot.
    Sent(Attempt),
}

/// Attempt that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) since: Instant,
    /// Whether a byte may have been written.
    pub(crate) began: bool,
    /// Whether the head of the answer was passed on.
    pub(crate) responding: bool,
}

impl Request {
    pub(crate) fn entry(&self) -> Entry {
        Entry {
            deadline: self.arrival.deadline,
            request: self.arrival.request,
        }
    }

    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Sent(attempt) => Some(attempt),
            Phase::Claiming | Phase::Following | Phase::Queued | Phase::Backoff => None,
        }
    }

    /// Returns whether it waits for a slot or for the next attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Backoff)
    }

    pub(crate) fn runs_once(&self) -> bool {
        self.arrival.class.repeat == Repeat::Once
    }

    /// Returns whether it runs and may be cancelled and sent again.
    pub(crate) fn may_be_taken_back(&self) -> bool {
        let responding = self.attempt().is_some_and(|attempt| attempt.responding);
        self.attempt().is_some() && !responding && !self.must_go_on()
    }

    /// Returns whether the request may have begun and must not be repeated.
    pub(crate) fn must_go_on(&self) -> bool {
        self.runs_once() && self.attempt().is_some_and(|attempt| attempt.began)
    }
}
