//! The leader's record of the grants that it sent.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use crate::leader::Order;
use crate::map::Range;

/// Grant of one range under one fencing token, with its renewals.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) order: Order,
    /// Handover token of the previous holder, which spares the new one the warm-up.
    pub(crate) handover: Option<Arc<str>>,
    pub(crate) is_in_flight: bool,
    pub(crate) due: Instant,
    /// Latest time at which a grant that was sent may be in force, whether or not it was answered.
    pub(crate) until: Instant,
    last_answer: Option<Instant>,
    created: Instant,
    failures: u32,
}

/// Result of a call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order was carried out. A release returns the handover token for the next holder.
    Done {
        /// Handover token, which spares the next holder the warm-up.
        handover: Option<Arc<str>>,
    },
    /// The upstream refused the order because it has seen a higher fencing token.
    Fenced,
    /// Nothing was sent, because no connection to the process that the order is for is left.
    Detached,
    /// Nothing was sent.
    NotSent,
    /// The order may have been carried out, or may be carried out later.
    Unknown,
}

impl Lease {
    pub(crate) fn new(order: Order, handover: Option<Arc<str>>, now: Instant) -> Self {
        Self {
            order,
            handover,
            is_in_flight: false,
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

    /// Records the outcome of a call. `longest` is the longest time for which a grant that arrives
    /// now is in force.
    pub(crate) fn end(&mut self, outcome: &Outcome, longest: Duration, now: Instant) {
        self.is_in_flight = false;
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
            Outcome::Fenced | Outcome::Detached => {}
        }
    }

    /// Resets the failure count because the holder answered another call.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Whether the holder has answered nothing for `limit` and several calls have failed.
    pub(crate) fn is_unresponsive(&self, limit: Duration, now: Instant) -> bool {
        let since = self.last_answer.unwrap_or(self.created);
        self.failures >= MIN_FAILURES && now - since >= limit
    }
}

/// Failed calls in a row before a holder can count as unresponsive.
pub(crate) const MIN_FAILURES: u32 = 3;
