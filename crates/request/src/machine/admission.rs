//! Admission: decides on arrival whether a request is queued, refused or redirected.

use std::time::Duration;

use eelgrassrock_model::fleet::{Patience, Repeat};
use eelgrassrock_model::time::Instant;
use rand::RngExt;

use super::Machine;
use super::request::{Phase, Request};
use super::upstream::UpstreamState;
use crate::action::Reason;
use crate::event::{Arrival, Grant};
use crate::settings::Settings;

const RETRY_AFTER_JITTER: f64 = 0.25;
/// Share of the time until the latest start that the expected wait may take. The rest
/// allows for waits that turn out longer than expected.
const ADMITTED_WAIT_SHARE: f64 = 0.9;

/// Decision on whether a request may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    Admit,
    Refuse(Reason, Option<Duration>),
    Redirect,
}

impl Machine {
    pub(crate) fn arrive(&mut self, now: Instant, arrival: Arrival) {
        let id = arrival.request;
        if self.requests.contains_key(&id) {
            return;
        }
        let request = Request {
            arrived_at: now,
            start_by: start_by(now, &arrival, self.attempt_time(&arrival)),
            phase: Phase::Claiming,
            claim: self.claim_row(&arrival),
            queue_entry: None,
            timer: None,
            attempts: arrival.attempts,
            may_have_run: arrival.attempts > 0 && arrival.class.repeat == Repeat::Idempotent,
            is_counted_as_claiming: false,
            is_answered: false,
            arrival,
        };
        self.requests.insert(id, request);
        if self.answer_from_record(now, id) {
            return;
        }
        match self.admit(now, &self.requests[&id].arrival) {
            Admission::Admit => self.claim(now, id),
            Admission::Refuse(reason, retry_after) => {
                let retry_after = retry_after.map(|span| self.add_jitter(span));
                self.refuse(now, id, reason, retry_after);
            }
            Admission::Redirect => self.redirect(now, id, Reason::NotHome),
        }
    }

    fn admit(&self, now: Instant, arrival: &Arrival) -> Admission {
        if self.draining {
            return Admission::Refuse(
                Reason::Draining,
                Some(self.settings.unavailable_retry_after),
            );
        }
        if arrival.class.needs_idempotency_key && arrival.idempotency.is_none() {
            return Admission::Refuse(Reason::KeyMissing, None);
        }
        let Some(state) = self.upstreams.get(&arrival.upstream) else {
            return Admission::Redirect;
        };
        match state.grant {
            Grant::Released => Admission::Redirect,
            Grant::Leaving => Admission::Refuse(
                Reason::Draining,
                Some(self.settings.unavailable_retry_after),
            ),
            Grant::Lapsed if wants_prompt_answer(arrival) => Admission::Refuse(
                Reason::NotServing,
                Some(self.settings.unavailable_retry_after),
            ),
            _ if state.is_unwell() && wants_prompt_answer(arrival) => {
                Admission::Refuse(Reason::Unwell, Some(state.pause()))
            }
            Grant::Lapsed | Grant::Held => admit_to_queue(&self.settings, state, now, arrival),
        }
    }

    /// Returns the mean service time at the upstream of the request.
    pub(crate) fn service_time(&self, arrival: &Arrival) -> Duration {
        let state = self.upstreams.get(&arrival.upstream);
        state.map_or(self.settings.initial_service_time, |state| {
            state.service.mean()
        })
    }

    /// Returns the time to reserve for an attempt, so that it seldom ends late.
    pub(crate) fn attempt_time(&self, arrival: &Arrival) -> Duration {
        let state = self.upstreams.get(&arrival.upstream);
        state.map_or(self.settings.initial_service_time, |state| {
            state.service.tail()
        })
    }

    /// Adds jitter to a retry time, so that callers that were refused together don't return
    /// together.
    pub(crate) fn add_jitter(&mut self, span: Duration) -> Duration {
        let factor = 1.0 + RETRY_AFTER_JITTER * self.random.random::<f64>();
        span.mul_f64(factor)
    }
}

impl Request {
    pub(crate) fn wants_prompt_answer(&self) -> bool {
        wants_prompt_answer(&self.arrival)
    }
}

fn wants_prompt_answer(arrival: &Arrival) -> bool {
    matches!(arrival.class.patience, Patience::Prompt(_))
}

/// Returns the latest time at which an attempt may start.
fn start_by(now: Instant, arrival: &Arrival, needed: Duration) -> Instant {
    let left = (arrival.deadline - now).saturating_sub(needed);
    let allowed = match arrival.class.patience {
        Patience::Wait => left,
        Patience::Prompt(limit) => left.min(limit),
    };
    now + allowed
}

fn admit_to_queue(
    settings: &Settings,
    state: &UpstreamState,
    now: Instant,
    arrival: &Arrival,
) -> Admission {
    let service_time = state.service.mean();
    let wait = state.expected_wait(state.queue.requests_ahead(now, arrival));
    let flow = state.queue.flow(&arrival.partner);
    let queued = flow.map_or(0, |flow| flow.entries.len() + flow.claiming);
    let bytes = flow.map_or(0, |flow| flow.bytes) + u64::from(arrival.bytes);
    if queued >= settings.queue_requests || bytes > settings.queue_bytes {
        return Admission::Refuse(Reason::Bound, Some(wait.max(service_time)));
    }
    let latest = start_by(now, arrival, state.service.tail());
    let allowed = (latest - now).mul_f64(ADMITTED_WAIT_SHARE);
    if arrival.deadline <= now || wait > allowed {
        let retry_after = wait.saturating_sub(allowed).max(service_time);
        return Admission::Refuse(Reason::Overload, Some(retry_after));
    }
    Admission::Admit
}
