//! What becomes of a request after an attempt.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use rand::RngExt;

use super::Machine;
use super::claims::Settled;
use super::request::{Attempt, Phase};
use crate::action::{Action, Outcome, Reason, Step, Verdict};
use crate::event::{Answer, Id, Stored};

/// What follows an attempt that ended without the whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Retry(Duration),
    Finish(Verdict),
}

impl Machine {
    pub(crate) fn begin(&mut self, id: Id, attempt: u32) {
        match self.running(id, attempt) {
            Some(running) => running.began = true,
            None => self.actions.push(Action::Cancel { request: id }),
        }
    }

    pub(crate) fn respond(&mut self, id: Id, attempt: u32) {
        let Some(running) = self.running(id, attempt) else {
            return;
        };
        running.began = true;
        running.responding = true;
        if !self.requests[&id].told {
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
        match answer {
            Answer::Done(stored) => self.answer_done(now, id, stored),
            Answer::NotOwner => self.redirect(now, id, Reason::NotOwner),
            Answer::Shed { retry_after } => self.answer_shed(now, id, retry_after),
            Answer::NotSent => self.answer_failed(now, id, false, Reason::NotSent),
            Answer::Broken => self.answer_failed(now, id, running.began, Reason::Broken),
            Answer::TimedOut => self.answer_failed(now, id, running.began, Reason::TimedOut),
        }
    }

    fn answer_done(&mut self, now: Instant, id: Id, stored: Stored) {
        let verdict = Verdict {
            outcome: Outcome::Done,
            reason: Reason::Answered(stored.status),
            retry_after: None,
        };
        self.tell(now, id, verdict);
        self.forget(now, id, &Settled::Done(Arc::new(stored)));
    }

    fn answer_shed(&mut self, now: Instant, id: Id, retry_after: Option<Duration>) {
        let verdict = Verdict {
            outcome: Outcome::NotRun,
            reason: Reason::Shed,
            retry_after,
        };
        let next = match retry_after {
            Some(pause) if self.may_retry(now, id, pause) => Next::Retry(pause),
            _ => Next::Finish(verdict),
        };
        self.follow(now, id, next, Reason::Shed);
    }

    fn answer_failed(&mut self, now: Instant, id: Id, began: bool, reason: Reason) {
        let request = &self.requests[&id];
        let responding = request.attempt().is_some_and(|attempt| attempt.responding);
        let repeatable = !began || (!request.runs_once() && !responding);
        let outcome = if began {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let verdict = Verdict {
            outcome,
            reason,
            retry_after: None,
        };
        let pause = self.backoff(id);
        let next = if repeatable && self.may_retry(now, id, pause) {
            Next::Retry(pause)
        } else {
            Next::Finish(verdict)
        };
        self.follow(now, id, next, reason);
    }

    fn follow(&mut self, now: Instant, id: Id, next: Next, reason: Reason) {
        match next {
            Next::Finish(verdict) => self.finish(now, id, verdict),
            Next::Retry(pause) => self.retry(now, id, pause, reason),
        }
    }

    /// Takes a retry out of the budget if time and attempts are left for it.
    fn may_retry(&mut self, now: Instant, id: Id, pause: Duration) -> bool {
        let request = &self.requests[&id];
        let arrival = &request.arrival;
        let latest = arrival.deadline - (now + pause);
        let in_time = latest > self.attempt_time(arrival);
        if request.told || !in_time || request.attempts >= self.settings.attempts {
            return false;
        }
        let station = &mut self.stations[&arrival.upstream];
        let flow = station.queue.flow_mut(&arrival.partner);
        flow.is_some_and(|flow| flow.budget.withdraw())
    }

    fn backoff(&mut self, id: Id) -> Duration {
        let doublings = self.requests[&id].attempts.saturating_sub(1).min(16);
        let factor = f64::from(1u32 << doublings) * (0.5 + self.random.random::<f64>());
        self.settings.retry_backoff.mul_f64(factor)
    }

    pub(crate) fn retry(&mut self, now: Instant, id: Id, pause: Duration, reason: Reason) {
        self.decide(now, id, Step::Retry, reason);
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

    pub(crate) fn leave(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let goes_on = request.must_go_on();
        let sent = request.attempt().is_some();
        let told = std::mem::replace(&mut request.told, true);
        if goes_on {
            return;
        }
        if sent {
            self.actions.push(Action::Cancel { request: id });
        }
        if !told {
            self.decide(now, id, Step::Cancel, Reason::Left);
        }
        self.forget(now, id, &Settled::NotRun);
    }
}
