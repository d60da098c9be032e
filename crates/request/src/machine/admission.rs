//! Admission: what is queued and what is refused on arrival.

use std::time::Duration;

use eelgrassrock_model::fleet::{Patience, Repeat};
use eelgrassrock_model::time::Instant;
use rand::RngExt;

use super::Machine;
use super::request::{Phase, Request};
use super::station::Station;
use crate::action::Reason;
use crate::event::{Arrival, Grant, Id};
use crate::queue::Entry;
use crate::settings::Settings;

const RETRY_AFTER_SPREAD: f64 = 0.25;

/// Whether a request may wait for a slot.
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
            arrived: now,
            start_by: start_by(now, &arrival, self.attempt_time(&arrival)),
            phase: Phase::Claiming,
            claim: self.claim_row(&arrival),
            timer: None,
            attempts: arrival.attempts,
            may_have_run: arrival.attempts > 0 && arrival.class.repeat == Repeat::Idempotent,
            claiming: false,
            told: false,
            arrival,
        };
        self.requests.insert(id, request);
        if self.answer_from_record(now, id) {
            return;
        }
        match self.admit(now, &self.requests[&id].arrival) {
            Admission::Admit => self.claim(now, id),
            Admission::Refuse(reason, retry_after) => {
                let retry_after = retry_after.map(|span| self.spread(span));
                self.refuse(now, id, reason, retry_after);
            }
            Admission::Redirect => self.redirect(now, id, Reason::NotHome),
        }
    }

    fn admit(&self, now: Instant, arrival: &Arrival) -> Admission {
        if self.draining {
            return Admission::Refuse(Reason::Draining, Some(self.settings.lapse_retry));
        }
        if arrival.class.needs_idempotency_key && arrival.idempotency.is_none() {
            return Admission::Refuse(Reason::KeyMissing, None);
        }
        let Some(station) = self.stations.get(&arrival.upstream) else {
            return Admission::Redirect;
        };
        match station.grant {
            Grant::Released => Admission::Redirect,
            Grant::Leaving => Admission::Refuse(Reason::Draining, Some(self.settings.lapse_retry)),
            Grant::Lapsed if wants_prompt_answer(arrival) => {
                Admission::Refuse(Reason::NotServing, Some(self.settings.lapse_retry))
            }
            _ if station.is_unwell() && wants_prompt_answer(arrival) => {
                Admission::Refuse(Reason::Unwell, Some(station.pause()))
            }
            Grant::Lapsed | Grant::Held => admit_to_queue(&self.settings, station, now, arrival),
        }
    }

    /// Returns the mean time that a request takes at its upstream.
    pub(crate) fn service_time(&self, arrival: &Arrival) -> Duration {
        let station = self.stations.get(&arrival.upstream);
        station.map_or(self.settings.service_time, |station| station.service.mean())
    }

    /// Returns the time to leave for an attempt, so that it seldom ends late.
    pub(crate) fn attempt_time(&self, arrival: &Arrival) -> Duration {
        let station = self.stations.get(&arrival.upstream);
        station.map_or(self.settings.service_time, |station| station.service.tail())
    }

    /// Lengthens a time to retry by a random part, so that callers that were
    /// refused together don't return together.
    pub(crate) fn spread(&mut self, span: Duration) -> Duration {
        let factor = 1.0 + RETRY_AFTER_SPREAD * self.random.random::<f64>();
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
    station: &Station,
    now: Instant,
    arrival: &Arrival,
) -> Admission {
    let entry = Entry {
        deadline: arrival.deadline,
        request: Id(u64::MAX),
    };
    let service_time = station.service.mean();
    let wait = station.wait(station.queue.ahead(&arrival.partner, entry));
    let flow = station.queue.flow(&arrival.partner);
    let queued = flow.map_or(0, |flow| flow.entries.len() + flow.claiming);
    let bytes = flow.map_or(0, |flow| flow.bytes) + u64::from(arrival.bytes);
    if queued >= settings.queue_requests || bytes > settings.queue_bytes {
        return Admission::Refuse(Reason::Bound, Some(wait.max(service_time)));
    }
    let allowed = start_by(now, arrival, station.service.tail()) - now;
    if arrival.deadline <= now || wait > allowed {
        let retry_after = wait.saturating_sub(allowed).max(service_time);
        return Admission::Refuse(Reason::Overload, Some(retry_after));
    }
    Admission::Admit
}
