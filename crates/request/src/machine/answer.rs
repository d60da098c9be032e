//! Handles the progress and the result of attempts, and decides on retries.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use rand::RngExt;

use super::Machine;
use super::claims::RunResult;
use super::request::{Attempt, Phase};
use crate::action::{Action, Outcome, Reason, Step, Verdict};
use crate::event::{Answer, Id, Stored};
use crate::health::Observation;

impl Machine {
    pub(crate) fn begin(&mut self, id: Id, attempt: u32) {
        match self.running(id, attempt) {
            Some(running) => running.has_begun = true,
            None => self.actions.push(Action::Cancel { request: id }),
        }
    }

    pub(crate) fn respond(&mut self, now: Instant, id: Id, attempt: u32) {
        let Some(running) = self.running(id, attempt) else {
            return;
        };
        running.has_begun = true;
        let first = !std::mem::replace(&mut running.is_responding, true);
        let upstream = self.requests[&id].arrival.upstream.clone();
        let state = &mut self.upstreams[&upstream];
        state.responding_count += u32::from(first);
        state.last_progress_at = now;
        if !self.requests[&id].is_answered {
            self.set_timer(id, None);
        }
    }

    fn running(&mut self, id: Id, attempt: u32) -> Option<&mut Attempt> {
        let request = self.requests.get_mut(&id)?;
        if request.attempts != attempt {
            return None;
        }
        match &mut request.phase {
            Phase::Sent(running) => Some(running),
            _ => None,
        }
    }

    pub(crate) fn answer(&mut self, now: Instant, id: Id, attempt: u32, answer: Answer) {
        let Some(running) = self.running(id, attempt) else {
            return;
        };
        let running = *running;
        self.observe_answer(now, id, &answer);
        if self.running(id, attempt).is_none() {
            return;
        }
        match answer {
            Answer::Done(stored) => self.answer_done(now, id, stored),
            Answer::NotOwner => self.redirect(now, id, Reason::NotOwner),
            Answer::Shed { retry_after } => self.answer_shed(now, id, retry_after),
            Answer::NotSent => self.answer_failed(now, id, false, Reason::NotSent),
            Answer::Broken => self.answer_failed(now, id, running.has_begun, Reason::Broken),
            Answer::TimedOut => self.answer_failed(now, id, running.has_begun, Reason::TimedOut),
        }
    }

    fn observe_answer(&mut self, now: Instant, id: Id, answer: &Answer) {
        let upstream = self.requests[&id].arrival.upstream.clone();
        let observation = match answer {
            Answer::Done(_) | Answer::NotOwner => Observation::Succeeded,
            Answer::Shed { .. } => Observation::Shed,
            Answer::NotSent | Answer::Broken | Answer::TimedOut => Observation::Failed,
        };
        if let Answer::Shed {
            retry_after: Some(pause),
        } = answer
        {
            self.upstreams[&upstream].paused_until = now + *pause;
            self.schedule_check(&upstream, now + *pause);
        }
        self.observe(now, &upstream, observation);
    }

    fn answer_done(&mut self, now: Instant, id: Id, stored: Stored) {
        let verdict = Verdict {
            outcome: Outcome::Done,
            reason: Reason::Answered(stored.status),
            retry_after: None,
        };
        self.answer_caller(now, id, verdict);
        self.forget(now, id, &RunResult::Done(Arc::new(stored)));
    }

    fn answer_shed(&mut self, now: Instant, id: Id, retry_after: Option<Duration>) {
        match retry_after {
            Some(pause) if self.may_retry(now, id, pause) => {
                self.retry(now, id, pause, Reason::Shed);
            }
            _ => self.refuse(now, id, Reason::Shed, retry_after),
        }
    }

    fn answer_failed(&mut self, now: Instant, id: Id, has_begun: bool, reason: Reason) {
        let request = &self.requests[&id];
        let is_responding = request
            .attempt()
            .is_some_and(|attempt| attempt.is_responding);
        let repeatable = !has_begun || (!request.runs_once() && !is_responding);
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.may_have_run |= has_begun;
        let pause = self.backoff(id);
        if repeatable && self.may_retry(now, id, pause) {
            self.retry(now, id, pause, reason);
        } else {
            self.refuse(now, id, reason, None);
        }
    }

    /// Takes a retry out of the budget if enough time and attempts are left. Returns
    /// whether the request may be retried.
    pub(crate) fn may_retry(&mut self, now: Instant, id: Id, pause: Duration) -> bool {
        let request = &self.requests[&id];
        let arrival = &request.arrival;
        let latest = arrival.deadline - (now + pause);
        let in_time = latest > self.attempt_time(arrival);
        if request.is_answered || !in_time || request.attempts >= self.settings.max_attempts {
            return false;
        }
        let state = &mut self.upstreams[&arrival.upstream];
        let flow = state.queue.flow_mut(&arrival.partner);
        flow.is_some_and(|flow| flow.budget.withdraw())
    }

    fn backoff(&mut self, id: Id) -> Duration {
        let doublings = self.requests[&id].attempts.saturating_sub(1).min(16);
        let factor = f64::from(1u32 << doublings) * (0.5 + self.random.random::<f64>());
        self.settings.retry_backoff.mul_f64(factor)
    }

    pub(crate) fn retry(&mut self, now: Instant, id: Id, pause: Duration, reason: Reason) {
        self.log_decision(now, id, Step::Retry, reason);
        let Some(mut request) = self.detach(now, id) else {
            return;
        };
        request.phase = Phase::Backoff;
        let needed = self.attempt_time(&request.arrival);
        let left = (request.arrival.deadline - now).saturating_sub(needed);
        request.start_by = now + left;
        let upstream = request.arrival.upstream.clone();
        self.requests.insert(id, request);
        self.set_timer(id, Some(now + pause));
        self.dispatch(now, &upstream);
    }

    pub(crate) fn disconnected(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let must_complete = request.must_complete();
        let sent = request.attempt().is_some();
        let is_answered = std::mem::replace(&mut request.is_answered, true);
        if must_complete {
            return;
        }
        if sent {
            self.actions.push(Action::Cancel { request: id });
        }
        if !is_answered {
            self.log_decision(now, id, Step::Cancel, Reason::Disconnected);
        }
        self.forget(now, id, &RunResult::NotRun);
    }
}
