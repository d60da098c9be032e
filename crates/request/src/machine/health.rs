//! Actions that follow from the health of an upstream.

use std::time::Duration;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::Request;
use crate::action::{Action, Reason};
use crate::event::{Grant, Id};
use crate::health::{Command, Observation};

impl Machine {
    /// Updates the health of an upstream and runs the commands that follow.
    pub(crate) fn observe(&mut self, now: Instant, upstream: &Upstream, observation: Observation) {
        let may_stop = observation != Observation::Succeeded && self.may_stop(upstream);
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if matches!(observation, Observation::Succeeded | Observation::Shed) {
            state.last_progress_at = now;
        }
        for command in state.observe(observation, may_stop) {
            self.run_command(now, upstream, command);
        }
    }

    fn run_command(&mut self, now: Instant, upstream: &Upstream, command: Command) {
        let upstream = upstream.clone();
        match command {
            Command::Probe { pause } => {
                self.schedule_check(&upstream, now + pause);
                self.actions.push(Action::Probe { upstream });
            }
            Command::Suspect => {
                let pause = self.upstreams[&upstream].pause();
                self.refuse_prompt(now, &upstream, Reason::Unwell, pause);
                self.actions.push(Action::Suspect { upstream });
            }
        }
    }

    /// Returns whether an upstream may be stopped. At most half of the upstreams of a
    /// service are stopped at a time, but one always may be.
    fn may_stop(&self, upstream: &Upstream) -> bool {
        let Some(state) = self.upstreams.get(upstream) else {
            return false;
        };
        let service = &state.declared.service;
        let peers = self
            .upstreams
            .values()
            .filter(|peer| peer.grant != Grant::Released && peer.declared.service == *service);
        let (stopped, all) = peers.fold((0, 0), |(stopped, all), peer| {
            (stopped + usize::from(peer.is_unwell()), all + 1)
        });
        stopped < (all / 2).max(1)
    }

    /// Schedules a check of the upstream at `at`, unless an earlier check is scheduled.
    pub(crate) fn schedule_check(&mut self, upstream: &Upstream, at: Instant) {
        let state = &mut self.upstreams[upstream];
        if let Some(old) = state.check_at {
            if old <= at {
                return;
            }
            self.checks.remove(&(old, upstream.clone()));
        }
        state.check_at = Some(at);
        self.checks.insert((at, upstream.clone()));
    }

    pub(crate) fn run_checks(&mut self, now: Instant) {
        while let Some((at, _)) = self.checks.first() {
            if *at > now {
                return;
            }
            let (_, upstream) = self.checks.pop_first().expect("a check is scheduled");
            self.upstreams[&upstream].check_at = None;
            self.check_upstream(now, &upstream);
        }
    }

    fn check_upstream(&mut self, now: Instant, upstream: &Upstream) {
        let state = &self.upstreams[upstream];
        if state.is_unwell() {
            return self.observe(now, upstream, Observation::ProbeDue);
        }
        if state.is_stalled(now) {
            return self.observe(now, upstream, Observation::Stalled);
        }
        if let Some(at) = state.next_check(now) {
            self.schedule_check(upstream, at);
        }
        self.dispatch(now, upstream);
    }

    pub(crate) fn probed(&mut self, now: Instant, upstream: &Upstream, well: bool) {
        self.observe(now, upstream, Observation::Probed { well });
        self.dispatch(now, upstream);
    }

    /// Refuses the requests that wait or run at an unavailable upstream and whose callers
    /// want a prompt answer.
    pub(crate) fn refuse_prompt(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        reason: Reason,
        pause: Duration,
    ) {
        for id in self.requests_at(upstream, Request::wants_prompt_answer) {
            self.cancel_and_refuse(now, id, reason, Some(pause));
        }
    }

    /// Refuses a request that waits, or cancels and refuses one that runs and may be
    /// cancelled.
    fn cancel_and_refuse(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = request.attempt() {
            if request.must_complete() || attempt.is_responding {
                return;
            }
            request.may_have_run |= attempt.has_begun;
            self.actions.push(Action::Cancel { request: id });
        }
        let request = &self.requests[&id];
        if request.is_waiting() || request.attempt().is_some() {
            self.refuse(now, id, reason, retry_after);
        }
    }

    /// Cancels the repeatable attempts at an upstream whose grant has lapsed. The upstream
    /// may have lost the shard, and its answers may be out of date.
    pub(crate) fn cancel_repeatable(&mut self, now: Instant, upstream: &Upstream) {
        for id in self.requests_at(upstream, Request::is_attempt_repeatable) {
            self.cancel_and_retry(now, id);
        }
    }

    fn cancel_and_retry(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        request.may_have_run |= attempt.has_begun;
        self.actions.push(Action::Cancel { request: id });
        if self.may_retry(now, id, Duration::ZERO) {
            return self.retry(now, id, Duration::ZERO, Reason::NotServing);
        }
        let retry_after = Some(self.settings.unavailable_retry_after);
        self.refuse(now, id, Reason::NotServing, retry_after);
    }

    /// Returns the requests at an upstream that meet a condition, ordered by identifier.
    pub(crate) fn requests_at(
        &self,
        upstream: &Upstream,
        condition: impl Fn(&Request) -> bool,
    ) -> Vec<Id> {
        let requests = self.requests.iter();
        let mut found: Vec<Id> = requests
            .filter(|(_, request)| request.arrival.upstream == *upstream)
            .filter(|(_, request)| condition(request))
            .map(|(id, _)| *id)
            .collect();
        found.sort_unstable();
        found
    }
}
