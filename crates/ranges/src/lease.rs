//! What a keeper knows of the grants that it sent.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use crate::keeper::Order;
use crate::map::Range;

/// Grant of one range under one fencing token, and its renewals.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) order: Order,
    /// Token of the holder before, which saves the new one the warm-up.
    pub(crate) handover: Option<Arc<str>>,
    pub(crate) in_flight: bool,
    pub(crate) due: Instant,
    /// Until when calls may be in force, answered or not.
    pub(crate) until: Instant,
    last_answer: Option<Instant>,
    created: Instant,
    failures: u32,
}

/// How a call to an upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out. A release brings the token for the next holder.
    Done {
        /// Token that saves the next holder the warm-up.
        handover: Option<Arc<str>>,
    },
    /// It was refused, since a higher fencing token was seen.
    Fenced,
    /// Nothing was sent.
    NotSent,
    /// It may have been carried out, or may be carried out later.
    Unknown,
}

impl Lease {
    pub(crate) fn new(order: Order, handover: Option<Arc<str>>, now: Instant) -> Self {
        Self {
            order,
            handover,
            in_flight: false,
            due: now,
            until: now,
            last_answer: None,
            created: now,
            failures: 0,
        }
    }

    pub(crate) fn overlaps(&self, range: &Range) -> bool {
        self.order.from <= range.to && range.from <= self.order.to
    }

    pub(crate) fn is_answered(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Notes the end of a call. `longest` is the longest time for which a call
    /// that arrives now is in force.
    pub(crate) fn end(&mut self, outcome: &Outcome, longest: Duration, now: Instant) {
        self.in_flight = false;
        match outcome {
            Outcome::Done { .. } => {
                self.until = now + longest;
                self.last_answer = Some(now);
                self.failures = 0;
            }
            Outcome::Unknown => {
                self.until = now + longest;
                self.failures += 1;
            }
            Outcome::NotSent => self.failures += 1,
            Outcome::Fenced => {}
        }
    }

    /// Notes that the holder answered another call.
    pub(crate) fn forget_failures(&mut self) {
        self.failures = 0;
    }

    /// Whether the holder has answered nothing for `limit` and several calls.
    pub(crate) fn is_silent(&self, limit: Duration, now: Instant) -> bool {
        let since = self.last_answer.unwrap_or(self.created);
        self.failures >= MIN_FAILURES && now - since >= limit
    }
}

/// Failed calls in a row before a holder counts as silent.
const MIN_FAILURES: u32 = 3;
