//! State of one request.

use std::sync::Arc;

use eelgrassrock_model::fleet::Repeat;
use eelgrassrock_model::time::Instant;

use crate::event::Arrival;
use crate::queue::Entry;

/// Request that is waiting or running.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived_at: Instant,
    /// Latest time at which an attempt may start.
    pub(crate) start_by: Instant,
    pub(crate) phase: Phase,
    /// Position in the queue, once the request was queued.
    pub(crate) queue_entry: Option<Entry>,
    pub(crate) timer: Option<Instant>,
    /// Row key of its claim, if it needs one.
    pub(crate) claim: Option<Arc<str>>,
    pub(crate) attempts: u32,
    /// Whether the request is counted among those that wait for their claims.
    pub(crate) is_counted_as_claiming: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether the caller has its final answer or has disconnected.
    pub(crate) is_answered: bool,
}

/// Phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The claim of the request is being written.
    Claiming,
    /// The request waits for the outcome of another request with the same key.
    Following,
    /// The request waits for a slot.
    Queued,
    /// The request waits before its next attempt.
    Backoff,
    /// The request holds a slot.
    Sent(Attempt),
}

/// Attempt that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) since: Instant,
    /// Whether any byte may have been written.
    pub(crate) has_begun: bool,
    /// Whether the head of the answer was passed on.
    pub(crate) is_responding: bool,
}

impl Request {
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Sent(attempt) => Some(attempt),
            Phase::Claiming | Phase::Following | Phase::Queued | Phase::Backoff => None,
        }
    }

    /// Returns whether the request waits for a slot or for its next attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Backoff)
    }

    pub(crate) fn runs_once(&self) -> bool {
        self.arrival.class.repeat == Repeat::Once
    }

    /// Returns whether an attempt is under way that may be cancelled and repeated.
    pub(crate) fn is_attempt_repeatable(&self) -> bool {
        let is_responding = self.attempt().is_some_and(|attempt| attempt.is_responding);
        self.attempt().is_some() && !is_responding && !self.must_complete()
    }

    /// Returns whether the request may have begun and must not be repeated.
    pub(crate) fn must_complete(&self) -> bool {
        self.runs_once() && self.attempt().is_some_and(|attempt| attempt.has_begun)
    }
}
