//! From the queue to the slots, and the final answers.

use std::time::Duration;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::claims::Settled;
use super::request::{Attempt, Phase, Request};
use crate::action::{Action, Decision, Outcome, Reason, Step, Verdict};
use crate::event::Id;

impl Machine {
    /// Puts a request into the queue of its upstream.
    pub(crate) fn enqueue(&mut self, now: Instant, id: Id) {
        let mut request = self.requests.remove(&id).expect("the request is known");
        self.uncount_claim(&mut request);
        request.phase = Phase::Queued;
        let upstream = request.arrival.upstream.clone();
        let partner = request.arrival.partner.clone();
        let (entry, bytes) = (request.entry(), request.arrival.bytes);
        let start_by = request.start_by;
        self.stations[&upstream].flow_for(&request.arrival, &self.settings);
        self.requests.insert(id, request);
        let station = &mut self.stations[&upstream];
        station.queue.push(&partner, entry, bytes);
        self.set_timer(id, Some(start_by));
        self.dispatch(now, &upstream);
    }

    pub(crate) fn dispatch_all(&mut self, now: Instant) {
        for index in 0..self.stations.len() {
            let (name, _) = self.stations.get_index(index).expect("the index is valid");
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
        let station = self.stations.get_mut(upstream)?;
        if !station.may_send(now) {
            return None;
        }
        let (partner, entry) = station.queue.pop()?;
        if station.awaited() == 0 {
            station.progress_at = now;
        }
        station.busy += 1;
        let request = self.requests.get_mut(&entry.request);
        let request = request.expect("a queued request is known");
        let flow = station.queue.flow_mut(&partner);
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
            began: false,
            responding: false,
        });
        let deadline = request.arrival.deadline;
        let action = Action::Send {
            request: id,
            upstream: request.arrival.upstream.clone(),
            attempt: request.attempts,
            left: deadline - now,
        };
        self.set_timer(id, Some(deadline));
        self.watch(now, id);
        self.actions.push(action);
        self.decide(now, id, Step::Send, Reason::Slot);
    }

    /// Has the upstream looked at if it answers nothing.
    fn watch(&mut self, now: Instant, id: Id) {
        let upstream = self.requests[&id].arrival.upstream.clone();
        let station = &self.stations[&upstream];
        if station.alarm.is_none()
            && let Some(at) = station.next_look(now)
        {
            self.set_alarm(&upstream, at);
        }
    }

    /// Gives the slot of an attempt back and starts the next request.
    /// The time of an attempt that was cut short counts as well: without it the
    /// estimate would miss the longest ones.
    fn free_slot(&mut self, now: Instant, request: &Request, attempt: Attempt) {
        let arrival = &request.arrival;
        let station = &mut self.stations[&arrival.upstream];
        station.busy -= 1;
        station.responding -= u32::from(attempt.responding);
        let held = attempt.began.then(|| now - attempt.since);
        if let Some(held) = held {
            station.service.record(held);
        }
        let Some(flow) = station.queue.flow_mut(&arrival.partner) else {
            return;
        };
        flow.busy -= 1;
        if let Some(held) = held {
            flow.service.record(held);
        }
    }

    /// Takes a request out of its phase: out of the queue or off its slot.
    pub(crate) fn detach(&mut self, now: Instant, id: Id) -> Option<Request> {
        self.set_timer(id, None);
        let mut request = self.requests.remove(&id)?;
        self.uncount_claim(&mut request);
        match request.phase {
            Phase::Queued => self.unqueue(&request),
            Phase::Sent(attempt) => self.free_slot(now, &request, attempt),
            Phase::Claiming | Phase::Following | Phase::Backoff => {}
        }
        Some(request)
    }

    fn unqueue(&mut self, request: &Request) {
        let arrival = &request.arrival;
        let station = &mut self.stations[&arrival.upstream];
        if !station.queue.remove(&arrival.partner, request.entry()) {
            return;
        }
        if let Some(flow) = station.queue.flow_mut(&arrival.partner) {
            flow.bytes -= u64::from(arrival.bytes);
        }
    }

    /// Ends a request of which no attempt is under way. It is proven not to have
    /// run, unless an earlier attempt may have.
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

    /// Ends a request with its final answer and gives its slot to the next.
    pub(crate) fn finish(&mut self, now: Instant, id: Id, verdict: Verdict) {
        let settled = match verdict.outcome {
            Outcome::NotRun => Settled::NotRun,
            Outcome::Unknown | Outcome::Done => Settled::Unknown,
        };
        self.tell(now, id, verdict);
        self.forget(now, id, &settled);
    }

    /// Gives the caller its final answer, once.
    pub(crate) fn tell(&mut self, now: Instant, id: Id, verdict: Verdict) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        if request.told {
            return;
        }
        request.told = true;
        self.actions.push(Action::Finish {
            request: id,
            verdict,
        });
        self.decide(now, id, Step::Finish, verdict.reason);
    }

    /// Drops a request whose outcome is settled.
    pub(crate) fn forget(&mut self, now: Instant, id: Id, settled: &Settled) {
        if let Some(request) = self.detach(now, id) {
            self.settle(now, &request, settled);
            self.dispatch(now, &request.arrival.upstream);
        }
    }

    /// Hands a request that is proven not to have run back to routing.
    pub(crate) fn redirect(&mut self, now: Instant, id: Id, reason: Reason) {
        let request = &self.requests[&id];
        if request.told {
            return self.forget(now, id, &Settled::NotRun);
        }
        if request.attempts >= self.settings.attempts {
            let retry_after = Some(self.settings.lapse_retry);
            return self.refuse(now, id, reason, retry_after);
        }
        let attempts = request.attempts.max(request.arrival.attempts + 1);
        let claim = self.claim_of(request);
        let settled = match &claim {
            Some(_) => Settled::Moved,
            None => Settled::NotRun,
        };
        self.actions.push(Action::Redirect {
            request: id,
            attempts,
            claim,
        });
        self.decide(now, id, Step::Redirect, reason);
        self.forget(now, id, &settled);
    }

    pub(crate) fn decide(&mut self, now: Instant, id: Id, step: Step, reason: Reason) {
        let request = &self.requests[&id];
        let waited = now - request.arrived;
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
