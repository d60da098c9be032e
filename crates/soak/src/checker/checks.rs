//! Checks of single guarantees against the recorded observations.

use std::time::Duration;

use tokio::time::Instant;

use super::{DRAIN, Disturbance, Ending, PAUSE_ARRIVALS, Request, State, Subject};
use crate::guarantee::{Guarantee, Violation};

/// Maximum time from the store's acceptance of a configuration until it applies.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time before a request's deadline in which a router may abort its answer, so that the
/// caller learns of it in time.
const RETURN_SLACK: Duration = Duration::from_millis(20);
/// Time after a request's timeout within which it must have ended.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

impl Ending {
    /// Returns whether the status code states that the request has not run.
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

    pub(super) fn wrong_answer(&self, id: &str) -> Option<(Guarantee, String)> {
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
        let details = || {
            format!(
                "{id} got {status} for {answered:?}: {}",
                String::from_utf8_lossy(body)
            )
        };
        is_wrong.then(|| (Guarantee::OwnAnswer, details()))
    }

    pub(super) fn false_refusal(&self, id: &str) -> Option<(Guarantee, String)> {
        let (_, end) = self.end.as_ref()?;
        let is_false = end.is_refusal() && !self.spec.is_idempotent && !self.runs.is_empty();
        let details = || {
            format!(
                "{id} was refused, but upstream {} ran it",
                self.runs[0].upstream
            )
        };
        is_false.then(|| (Guarantee::TrueRefusal, details()))
    }
}

impl State {
    pub(super) fn report(&mut self, at: Duration, guarantee: Guarantee, details: String) {
        self.violations.push(Violation {
            at,
            guarantee,
            details,
        });
    }

    pub(super) fn is_disturbed(&self, subjects: &[Subject], from: Instant, to: Instant) -> bool {
        let overlaps = |other: &Disturbance| other.from <= to && from <= other.until;
        self.disturbances
            .iter()
            .any(|other| subjects.contains(&other.subject) && overlaps(other))
    }

    pub(super) fn router_of(&self, id: Option<&str>) -> Option<usize> {
        Some(self.requests.get(id?)?.spec.router)
    }

    /// Checks whether a request may reach an upstream that has announced to the request's
    /// router that it leaves, or has asked that router for a pause. Only faults of that
    /// router or upstream excuse it.
    pub(super) fn check_announcements(&mut self, at: Duration, id: Option<&str>, upstream: usize) {
        let now = Instant::now();
        let Some(router) = self.router_of(id) else {
            return;
        };
        let pair = (upstream, router);
        let excuses = [Subject::Router(router), Subject::Upstream(upstream)];
        let is_excused = self.is_disturbed(&excuses, now, now);
        let sent = id
            .and_then(|id| self.requests.get(id))
            .map(|request| request.at);
        if let Some(announced) = self.announced_leaving.get(&pair)
            && sent.is_some_and(|sent| sent > *announced + DRAIN)
            && !is_excused
        {
            let late = now - *announced;
            let details = format!(
                "{id:?} reached upstream {upstream} {late:?} after it announced that it leaves"
            );
            self.report(at, Guarantee::Drain, details);
        }
        if let Some(pause) = self.pauses.get_mut(&pair)
            && (pause.from..pause.until).contains(&now)
            && !is_excused
        {
            pause.arrivals += 1;
            if pause.arrivals > PAUSE_ARRIVALS {
                let left = pause.until - now;
                let details = format!(
                    "{id:?} reached upstream {upstream} {left:?} before the end of its pause"
                );
                self.report(at, Guarantee::Pause, details);
            }
        }
    }

    /// Checks whether some configuration routes the path to the service, and whether that
    /// configuration isn't outdated.
    pub(super) fn check_route(
        &mut self,
        at: Duration,
        id: &str,
        path: &str,
        upstream: usize,
        service: &str,
    ) {
        let request = &self.requests[id];
        let (sent, router) = (request.at, request.spec.router);
        let prefix = self
            .services
            .keys()
            .find(|prefix| path.starts_with(&***prefix));
        let Some(history) = prefix.and_then(|prefix| self.services.get(prefix)) else {
            return;
        };
        if !history.iter().any(|(_, allowed)| **allowed == *service) {
            let details = format!("{path} ran at {service}, upstream {upstream}");
            self.report(at, Guarantee::Service, details);
            return;
        }
        let applied = history
            .iter()
            .rposition(|(since, _)| *since + APPLY_LIMIT < sent);
        let allowed = &history[applied.unwrap_or(0)..];
        let is_old = !allowed.iter().any(|(_, allowed)| **allowed == *service);
        let since = allowed[0].0;
        let subjects = [Subject::Router(router), Subject::Store];
        if is_old && !self.is_disturbed(&subjects, sent, sent) {
            let details = format!(
                "{id} ran at {service} {:?} after the configuration changed",
                sent - since
            );
            self.report(at, Guarantee::Configuration, details);
        }
    }

    pub(super) fn late_answer(
        &self,
        id: &str,
        request: &Request,
        now: Instant,
    ) -> Option<(Guarantee, String)> {
        let span = now - request.at;
        let router = Subject::Router(request.spec.router);
        let is_late = span > request.spec.timeout + ANSWER_SLACK
            && !self.is_disturbed(&[router], request.at, now);
        let details = || format!("{id} ended after {span:?}: {:?}", request.end);
        is_late.then(|| (Guarantee::InTime, details()))
    }

    /// Checks that a router that was told to stop loses no request that it accepted. A
    /// request whose deadline has passed is lost for another reason.
    pub(super) fn lost_in_shutdown(
        &self,
        id: &str,
        request: &Request,
        now: Instant,
    ) -> Option<(Guarantee, String)> {
        let router = Subject::Router(request.spec.router);
        let during = |other: &&Disturbance| other.subject == router && other.from <= now;
        let mut stops = self.disturbances.iter().filter(during);
        let is_stopping = stops
            .clone()
            .any(|stop| stop.is_planned && now < stop.until);
        let is_calm = stops.all(|other| other.is_planned || other.until < request.at)
            && !self.is_disturbed(&self.upstream_subjects(request), request.at, now);
        let is_lost = is_stopping
            && is_calm
            && now - request.at < request.spec.timeout.saturating_sub(RETURN_SLACK)
            && matches!(request.end, Some((_, Ending::Broken)))
            && !request.runs.is_empty();
        let details = || format!("{id} was lost {:?} after it was sent", now - request.at);
        is_lost.then(|| (Guarantee::GracefulStop, details()))
    }

    pub(super) fn upstream_subjects(&self, request: &Request) -> Vec<Subject> {
        let runs = request.runs.iter();
        runs.map(|run| Subject::Upstream(run.upstream)).collect()
    }
}
