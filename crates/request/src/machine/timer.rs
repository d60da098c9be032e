//! Timers of the requests, at most one per request.

use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::Phase;
use crate::action::{Action, Outcome, Reason, Verdict};
use crate::event::Id;
use crate::health::Observation;

impl Machine {
    pub(crate) fn set_timer(&mut self, id: Id, at: Option<Instant>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(old) = request.timer.take() {
            self.timers.remove(&(old, id));
        }
        request.timer = at;
        if let Some(at) = at {
            self.timers.insert((at, id));
        }
    }

    pub(crate) fn run_timers(&mut self, now: Instant) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.set_timer(id, None);
            self.expire(now, id);
        }
    }

    fn expire(&mut self, now: Instant, id: Id) {
        match self.requests[&id].phase {
            Phase::Following => self.refuse_running(now, id),
            Phase::Queued | Phase::Claiming => {
                let retry_after = self.service_time(&self.requests[&id].arrival);
                let retry_after = Some(self.add_jitter(retry_after));
                self.refuse(now, id, Reason::Expired, retry_after);
            }
            Phase::Backoff => self.enqueue(now, id),
            Phase::Sent(attempt) if attempt.is_responding => {}
            Phase::Sent(attempt) if !attempt.has_begun => {
                self.actions.push(Action::Cancel { request: id });
                self.refuse(now, id, Reason::Expired, None);
            }
            Phase::Sent(_) => self.expire_begun(now, id),
        }
    }

    fn expire_begun(&mut self, now: Instant, id: Id) {
        let request = &self.requests[&id];
        let continues = request.must_complete() && !request.is_answered;
        let verdict = Verdict {
            outcome: Outcome::Unknown,
            reason: Reason::TimedOut,
            retry_after: None,
        };
        if continues {
            self.answer_caller(now, id, verdict);
            self.set_timer(id, Some(now + self.settings.completion_grace));
            return;
        }
        let upstream = request.arrival.upstream.clone();
        self.observe(now, &upstream, Observation::Failed);
        if !self.requests.contains_key(&id) {
            return;
        }
        self.actions.push(Action::Cancel { request: id });
        self.finish(now, id, verdict);
    }
}
