//! What follows from the health of an upstream.

use std::time::Duration;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::Request;
use crate::action::{Action, Reason};
use crate::event::{Grant, Id};
use crate::health::{Evidence, Order};

impl Machine {
    /// Takes in what an upstream did or failed to do.
    pub(crate) fn observe(&mut self, now: Instant, upstream: &Upstream, evidence: Evidence) {
        let may_stop = evidence != Evidence::Succeeded && self.may_stop(upstream);
        let Some(station) = self.stations.get_mut(upstream) else {
            return;
        };
        if matches!(evidence, Evidence::Succeeded | Evidence::Shed) {
            station.progress_at = now;
        }
        for order in station.observe(evidence, may_stop) {
            self.obey(now, upstream, order);
        }
    }

    fn obey(&mut self, now: Instant, upstream: &Upstream, order: Order) {
        let upstream = upstream.clone();
        match order {
            Order::Probe { pause } => {
                self.set_alarm(&upstream, now + pause);
                self.actions.push(Action::Probe { upstream });
            }
            Order::Suspect => {
                let pause = self.stations[&upstream].pause();
                self.stop_prompt(now, &upstream, Reason::Unwell, pause);
                self.actions.push(Action::Suspect { upstream });
            }
        }
    }

    /// Whether an upstream may be stopped: at most half of those of a service
    /// are stopped at a time, but one always may be.
    fn may_stop(&self, upstream: &Upstream) -> bool {
        let Some(station) = self.stations.get(upstream) else {
            return false;
        };
        let service = &station.declared.service;
        let peers = self
            .stations
            .values()
            .filter(|peer| peer.grant != Grant::Released && peer.declared.service == *service);
        let (stopped, all) = peers.fold((0, 0), |(stopped, all), peer| {
            (stopped + usize::from(peer.is_unwell()), all + 1)
        });
        stopped < (all / 2).max(1)
    }

    /// Has the station looked at again at `at` or earlier.
    pub(crate) fn set_alarm(&mut self, upstream: &Upstream, at: Instant) {
        let station = &mut self.stations[upstream];
        if let Some(old) = station.alarm {
            if old <= at {
                return;
            }
            self.alarms.remove(&(old, upstream.clone()));
        }
        station.alarm = Some(at);
        self.alarms.insert((at, upstream.clone()));
    }

    pub(crate) fn run_alarms(&mut self, now: Instant) {
        while let Some((at, _)) = self.alarms.first() {
            if *at > now {
                return;
            }
            let (_, upstream) = self.alarms.pop_first().expect("an alarm is set");
            self.stations[&upstream].alarm = None;
            self.look_at(now, &upstream);
        }
    }

    fn look_at(&mut self, now: Instant, upstream: &Upstream) {
        let station = &self.stations[upstream];
        if station.is_unwell() {
            return self.observe(now, upstream, Evidence::Due);
        }
        if station.is_stalled(now) {
            return self.observe(now, upstream, Evidence::Stalled);
        }
        if let Some(at) = station.next_look(now) {
            self.set_alarm(upstream, at);
        }
        self.dispatch(now, upstream);
    }

    pub(crate) fn probed(&mut self, now: Instant, upstream: &Upstream, well: bool) {
        self.observe(now, upstream, Evidence::Probed { well });
        self.dispatch(now, upstream);
    }

    /// Ends what waits or runs at an upstream in trouble for callers that want
    /// a prompt answer.
    pub(crate) fn stop_prompt(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        reason: Reason,
        pause: Duration,
    ) {
        for id in self.requests_at(upstream, Request::wants_prompt_answer) {
            self.stop(now, id, reason, Some(pause));
        }
    }

    /// Ends a request that waits, or that runs and may be cancelled.
    fn stop(&mut self, now: Instant, id: Id, reason: Reason, retry_after: Option<Duration>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = request.attempt() {
            if request.must_go_on() || attempt.responding {
                return;
            }
            request.may_have_run |= attempt.began;
            self.actions.push(Action::Cancel { request: id });
        }
        let request = &self.requests[&id];
        if request.is_waiting() || request.attempt().is_some() {
            self.refuse(now, id, reason, retry_after);
        }
    }

    /// Takes back what runs at an upstream whose grant has lapsed: it may have
    /// lost the shard, and its answers may be out of date.
    pub(crate) fn take_back(&mut self, now: Instant, upstream: &Upstream) {
        for id in self.requests_at(upstream, Request::may_be_taken_back) {
            self.take_back_one(now, id);
        }
    }

    fn take_back_one(&mut self, now: Instant, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        request.may_have_run |= attempt.began;
        self.actions.push(Action::Cancel { request: id });
        if self.may_retry(now, id, Duration::ZERO) {
            return self.retry(now, id, Duration::ZERO, Reason::NotServing);
        }
        let retry_after = Some(self.settings.lapse_retry);
        self.refuse(now, id, Reason::NotServing, retry_after);
    }

    /// Returns the requests at an upstream that meet a condition, in order.
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
