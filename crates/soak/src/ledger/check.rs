//! Checks of single promises against what is written down.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{DRAIN, Disturbance, Ending, Hold, PAUSE_ARRIVALS, Request, State, Subject};
use crate::promise::{Promise, Violation};

/// Time from the store's acceptance of a configuration until it applies.
const APPLY: Duration = Duration::from_secs(2);
/// Time before the end of a request's time in which a router may end an answer, so that
/// its caller hears of it.
const RETURN_SLACK: Duration = Duration::from_millis(20);
/// Time from a request's timeout until it must have an answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

impl Ending {
    /// Whether it promises that the request has not run.
    pub(super) fn is_refusal(&self) -> bool {
        let Self::Answered { status, .. } = self else {
            return false;
        };
        [408, 421, 429, 503].contains(&status.as_u16())
    }
}

impl Request {
    pub(super) fn upstreams(&self) -> usize {
        let mut upstreams: Vec<usize> = self.runs.iter().map(|run| run.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    }

    pub(super) fn wrong_answer(&self, id: &str) -> Option<(Promise, String)> {
        let (_, end) = self.end.as_ref()?;
        let Ending::Answered {
            status,
            is_signed,
            id: answered,
            body,
        } = end
        else {
            return None;
        };
        let is_other = answered.as_ref().is_some_and(|answered| answered != id);
        let is_own = self.runs.iter().any(|run| run.body.as_ref() == Some(body));
        let is_wrong = is_other || (status.is_success() && !(*is_signed && is_own));
        let what = || {
            format!(
                "{id} got {status} for {answered:?}: {}",
                String::from_utf8_lossy(body)
            )
        };
        is_wrong.then(|| (Promise::OwnAnswer, what()))
    }

    pub(super) fn false_refusal(&self, id: &str) -> Option<(Promise, String)> {
        let (_, end) = self.end.as_ref()?;
        let is_false = end.is_refusal() && !self.asked.may_repeat && !self.runs.is_empty();
        let what = || {
            format!(
                "{id} was refused, but upstream {} ran it",
                self.runs[0].upstream
            )
        };
        is_false.then(|| (Promise::Refusal, what()))
    }
}

impl State {
    pub(super) fn violate(&mut self, at: Duration, promise: Promise, what: String) {
        self.violations.push(Violation { at, promise, what });
    }

    pub(super) fn is_disturbed(&self, subjects: &[Subject], from: Instant, to: Instant) -> bool {
        let overlaps = |other: &Disturbance| other.from <= to && from <= other.until;
        self.disturbances
            .iter()
            .any(|other| subjects.contains(&other.subject) && overlaps(other))
    }

    pub(super) fn router_of(&self, id: Option<&str>) -> Option<usize> {
        Some(self.requests.get(id?)?.asked.router)
    }

    /// Checks what an upstream said to the router of a request that reaches it. Only a
    /// fault of that router excuses it.
    pub(super) fn check_notices(&mut self, at: Duration, id: Option<&str>, upstream: usize) {
        let now = Instant::now();
        let Some(router) = self.router_of(id) else {
            return;
        };
        let place = (upstream, router);
        let excuses = [Subject::Router(router), Subject::Upstream(upstream)];
        let is_excused = self.is_disturbed(&excuses, now, now);
        let sent = id
            .and_then(|id| self.requests.get(id))
            .map(|request| request.at);
        if let Some(said) = self.said_leaving.get(&place)
            && sent.is_some_and(|sent| sent > *said + DRAIN)
            && !is_excused
        {
            let late = now - *said;
            let what = format!("{id:?} reached upstream {upstream} {late:?} after it said so");
            self.violate(at, Promise::Drain, what);
        }
        if let Some(pause) = self.pauses.get_mut(&place)
            && (pause.from..pause.until).contains(&now)
            && !is_excused
        {
            pause.arrivals += 1;
            if pause.arrivals > PAUSE_ARRIVALS {
                let left = pause.until - now;
                let what = format!("{id:?} reached upstream {upstream} {left:?} too early");
                self.violate(at, Promise::Pause, what);
            }
        }
    }

    pub(super) fn check_holder(&mut self, at: Duration, now: Instant, key: u16, upstream: usize) {
        let own = self.holds.get(&upstream).and_then(|holds| holds.get(&key));
        let is_excused = own.is_none_or(|own| own.is_excused);
        let others = self.holds.iter().filter(|(other, _)| **other != upstream);
        let valid = |(other, holds): (&usize, &BTreeMap<u16, Hold>)| {
            let hold = holds.get(&key)?;
            (hold.until > now && !hold.is_excused).then_some((*other, *hold))
        };
        let found = others.filter_map(valid).next().filter(|_| !is_excused);
        if let Some((other, hold)) = found {
            let what = format!(
                "upstream {upstream} begins a request for key {key}, which upstream {other} holds \
                 with token {} for {:?}",
                hold.token,
                hold.until - now
            );
            self.violate(at, Promise::OneHolder, what);
        }
    }

    /// Checks whether the service is one that some configuration names, and
    /// the newest one if that has applied long enough.
    pub(super) fn check_route(
        &mut self,
        at: Duration,
        id: &str,
        path: &str,
        upstream: usize,
        service: &str,
    ) {
        let request = &self.requests[id];
        let (sent, router) = (request.at, request.asked.router);
        let prefix = self
            .services
            .keys()
            .find(|prefix| path.starts_with(&***prefix));
        let Some(history) = prefix.and_then(|prefix| self.services.get(prefix)) else {
            return;
        };
        if !history.iter().any(|(_, allowed)| **allowed == *service) {
            let what = format!("{path} ran at {service}, upstream {upstream}");
            self.violate(at, Promise::Service, what);
            return;
        }
        let applied = history.iter().rposition(|(since, _)| *since + APPLY < sent);
        let allowed = &history[applied.unwrap_or(0)..];
        let is_old = !allowed.iter().any(|(_, allowed)| **allowed == *service);
        let since = allowed[0].0;
        let subjects = [Subject::Router(router), Subject::Store];
        if is_old && !self.is_disturbed(&subjects, sent, sent) {
            let what = format!(
                "{id} ran at {service} {:?} after that changed",
                sent - since
            );
            self.violate(at, Promise::Configuration, what);
        }
    }

    pub(super) fn late_answer(
        &self,
        id: &str,
        request: &Request,
        now: Instant,
    ) -> Option<(Promise, String)> {
        let span = now - request.at;
        let router = Subject::Router(request.asked.router);
        let is_late = span > request.asked.timeout + ANSWER_SLACK
            && !self.is_disturbed(&[router], request.at, now);
        let what = || format!("{id} ended after {span:?}: {:?}", request.end);
        is_late.then(|| (Promise::InTime, what()))
    }

    /// A request that a router took must not be lost because it was told to
    /// stop. One whose time is over is lost for another reason.
    pub(super) fn lost_in_stop(
        &self,
        id: &str,
        request: &Request,
        now: Instant,
    ) -> Option<(Promise, String)> {
        let router = Subject::Router(request.asked.router);
        let during = |other: &&Disturbance| other.subject == router && other.from <= now;
        let mut stops = self.disturbances.iter().filter(during);
        let is_stopping = stops
            .clone()
            .any(|stop| stop.is_planned && now < stop.until);
        let is_calm = stops.all(|other| other.is_planned || other.until < request.at)
            && !self.is_disturbed(&self.upstream_subjects(request), request.at, now);
        let is_lost = is_stopping
            && is_calm
            && now - request.at < request.asked.timeout.saturating_sub(RETURN_SLACK)
            && matches!(request.end, Some((_, Ending::Broken)))
            && !request.runs.is_empty();
        let what = || format!("{id} was lost {:?} after it was sent", now - request.at);
        is_lost.then(|| (Promise::GracefulStop, what()))
    }

    pub(super) fn upstream_subjects(&self, request: &Request) -> Vec<Subject> {
        let runs = request.runs.iter();
        runs.map(|run| Subject::Upstream(run.upstream)).collect()
    }
}
