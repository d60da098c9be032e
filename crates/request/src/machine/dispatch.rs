//! Moves requests from the queue to the slots and gives final answers.

use std::time::Duration;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::claims::RunResult;
use super::request::{Attempt, Phase, Request};
use crate::action::{Action, Decision, Outcome, Reason, Step, Verdict};
use crate::event::Id;

impl Machine {
    /// Adds a request to the queue of its upstream.
    pub(crate) fn enqueue(&mut self, now: Instant, id: Id) {
        let mut request = self.requests.remove(&id).expect("the request is known");
        self.uncount_claim(&mut request);
        request.phase = Phase::Queued;
        let upstream = request.arrival.upstream.clone();
        let start_by = request.start_by;
        let state = &mut self.upstreams[&upstream];
        state.flow_or_insert(&request.arrival, &self.settings);
        request.queue_entry = Some(state.queue.push(now, &request.arrival));
        self.requests.insert(id, request);
        self.set_timer(id, Some(start_by));
        self.dispatch(now, &upstream);
    }

    pub(crate) fn dispatch_all(&mut self, now: Instant) {
        for index in 0..self.upstreams.len() {
            let (name, _) = self.upstreams.get_index(index).expect("the index is valid");
            let name = name.clone();
            self.dispatch(now, &name);
        }
    }

    /// Sends queued requests while slots are free.
    pub(crate) fn dispatch(&mut self, now: Instant, upstream: &Upstream) {
        while let Some(id) = self.take_next(now, upstream) {
            self.send(now, id);
        }
    }

    fn take_next(&mut self, now: Instant, upstream: &Upstream) -> Option<Id> {
        let state = self.upstreams.get_mut(upstream)?;
        if !state.may_send(now) {
            return None;
        }
        let (partner, entry) = state.queue.pop()?;
        if state.awaiting_response() == 0 {
            state.last_progress_at = now;
        }
        state.busy += 1;
        let request = self.requests.get_mut(&entry.request);
        let request = request.expect("a queued request is known");
        let flow = state.queue.flow_mut(&partner);
        let flow = flow.expect("the partner is known");
        flow.bytes -= u64::from(request.arrival.bytes);
        flow.busy += 1;
        if request.attempts == request.arrival.attempts {
            flow.budget.deposit();
        }
        Some(entry.request)
    }

    fn send(&mut self, now: Instant, id: Id) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.attempts += 1;
        request.phase = Phase::Sent(Attempt {
            since: now,
            has_begun: false,
            is_responding: false,
        });
        let deadline = request.arrival.deadline;
        let action = Action::Send {
            request: id,
            upstream: request.arrival.upstream.clone(),
            attempt: request.attempts,
            left: deadline - now,
        };
        self.set_timer(id, Some(deadline));
        self.schedule_stall_check(now, id);
        self.actions.push(action);
        self.log_decision(now, id, Step::Send, Reason::Slot);
    }

    /// Schedules a check of the upstream that detects whether it stalls.
    fn schedule_stall_check(&mut self, now: Instant, id: Id) {
        let upstream = self.requests[&id].arrival.upstream.clone();
        let state = &self.upstreams[&upstream];
        if state.check_at.is_none()
            && let Some(at) = state.next_check(now)
        {
            self.schedule_check(&upstream, at);
        }
    }

    /// Releases the slot of an attempt. The time of a cancelled attempt is recorded as
    /// well, because the estimate would otherwise miss the longest attempts.
    fn free_slot(&mut self, now: Instant, request: &Request, attempt: Attempt) {
        let arrival = &request.arrival;
        let state = &mut self.upstreams[&arrival.upstream];
        state.busy -= 1;
        state.responding_count -= u32::from(attempt.is_responding);
        let held = attempt.has_begun.then(|| now - attempt.since);
        if let Some(held) = held {
            state.service.record(held);
        }
        let Some(flow) = state.queue.flow_mut(&arrival.partner) else {
            return;
        };
        flow.busy -= 1;
        if let Some(held) = held {
            flow.service.record(held);
        }
    }

    /// Removes a request, and releases its queue entry or its slot.
    pub(crate) fn detach(&mut self, now: Instant, id: Id) -> Option<Request> {
        self.set_timer(id, None);
        let mut request = self.requests.remove(&id)?;
        self.uncount_claim(&mut request);
        match request.phase {
            Phase::Queued => self.dequeue(&request),
            Phase::Sent(attempt) => self.free_slot(now, &request, attempt),
            Phase::Claiming | Phase::Following | Phase::Backoff => {}
        }
        Some(request)
    }

    fn dequeue(&mut self, request: &Request) {
        let Some(queue_entry) = request.queue_entry else {
            return;
        };
        let arrival = &request.arrival;
        let state = &mut self.upstreams[&arrival.upstream];
        if !state.queue.remove(&arrival.partner, queue_entry) {
            return;
        }
        if let Some(flow) = state.queue.flow_mut(&arrival.partner) {
            flow.bytes -= u64::from(arrival.bytes);
        }
    }

    /// Ends a request without another attempt. It is proven not to have run, unless an
    /// attempt may have run.
    pub(crate) fn refuse(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let may_have_run = self.requests[&id].may_have_run;
        let outcome = if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let verdict = Verdict {
            outcome,
            reason,
            retry_after,
        };
        self.finish(now, id, verdict);
    }

    /// Ends a request with its final answer and gives its slot to the next request.
    pub(crate) fn finish(&mut self, now: Instant, id: Id, verdict: Verdict) {
        let result = match verdict.outcome {
            Outcome::NotRun => RunResult::NotRun,
            Outcome::Unknown | Outcome::Done => RunResult::Unknown,
        };
        self.answer_caller(now, id, verdict);
        self.forget(now, id, &result);
    }

    /// Gives the caller its final answer, at most once.
    pub(crate) fn answer_caller(&mut self, now: Instant, id: Id, verdict: Verdict) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        if request.is_answered {
            return;
        }
        request.is_answered = true;
        self.actions.push(Action::Finish {
            request: id,
            verdict,
        });
        self.log_decision(now, id, Step::Finish, verdict.reason);
    }

    /// Removes a request whose result is final.
    pub(crate) fn forget(&mut self, now: Instant, id: Id, result: &RunResult) {
        if let Some(request) = self.detach(now, id) {
            self.settle_claim(now, &request, result);
            self.dispatch(now, &request.arrival.upstream);
        }
    }

    /// Returns a request that is proven not to have run to routing.
    pub(crate) fn redirect(&mut self, now: Instant, id: Id, reason: Reason) {
        let request = &self.requests[&id];
        if request.is_answered {
            return self.forget(now, id, &RunResult::NotRun);
        }
        if request.attempts >= self.settings.max_attempts {
            let retry_after = Some(self.settings.unavailable_retry_after);
            return self.refuse(now, id, reason, retry_after);
        }
        let attempts = request.attempts.max(request.arrival.attempts + 1);
        let claim = self.held_claim(request);
        let result = match &claim {
            Some(_) => RunResult::Moved,
            None => RunResult::NotRun,
        };
        self.actions.push(Action::Redirect {
            request: id,
            attempts,
            claim,
        });
        self.log_decision(now, id, Step::Redirect, reason);
        self.forget(now, id, &result);
    }

    pub(crate) fn log_decision(&mut self, now: Instant, id: Id, step: Step, reason: Reason) {
        let request = &self.requests[&id];
        let waited = now - request.arrived_at;
        let decision = Decision {
            request: id,
            upstream: request.arrival.upstream.clone(),
            shard: request.arrival.shard,
            partner: request.arrival.partner.clone(),
            step,
            reason,
            waited_us: u64::try_from(waited.as_micros()).unwrap_or(u64::MAX),
        };
        self.actions.push(Action::Decide(decision));
    }
}
