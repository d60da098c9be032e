//! Records what callers and upstreams observe, and checks the guarantees against it.

mod checks;
mod deadly;
mod evacuation;
mod holds;
mod limit;
mod reach;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrassrock_platform_standin::framing::Keys;
use http::StatusCode;
use tokio::time::Instant;

use self::deadly::Deadly;
pub(crate) use self::evacuation::EVACUATION_LIMIT;
use self::evacuation::Evacuations;
use self::holds::Holds;
use self::limit::Limit;
use self::reach::CutOff;
use crate::guarantee::{Guarantee, Violation};

/// Time from the end of a fault until its subject must keep all guarantees again.
pub const STABLE: Duration = Duration::from_secs(3);
/// Time after the end of a pause or cut in which a delayed order may still arrive.
const RESUME_SLACK: Duration = Duration::from_millis(300);
/// Time from the registration that an upstream leaves, or its announcement, until no
/// request may reach it.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from an upstream's request for a pause until the router must observe it.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests that may arrive during a pause, because they crossed the request for it.
const PAUSE_ARRIVALS: usize = 2;
/// Number of requests in a run that may exceed their maximum number of attempts.
const ATTEMPTS_SLACK: usize = 3;

/// Part of a run that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// Router, or its links to callers and the store.
    Router(usize),
    /// Process of a router. Its links may be impaired.
    Process(usize),
    /// Incarnation of an upstream, or the links to it.
    Upstream(usize),
    /// Open connections of all routers.
    Connections,
    /// The store.
    Store,
}

/// Request, as its caller sends it.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Router that the request is sent to.
    pub router: usize,
    /// Path of the request.
    pub path: Arc<str>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of upstreams that may run the request.
    pub max_attempts: usize,
    /// Time within which the request must be answered.
    pub timeout: Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The caller received a complete answer.
    Answered {
        /// Status code of the answer.
        status: StatusCode,
        /// Whether an upstream signed the answer.
        is_signed: bool,
        /// Request identifier in the answer.
        id: Option<String>,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The connection ended without a complete answer.
    Broken,
    /// The caller cancelled the request.
    Cancelled,
}

#[derive(Debug)]
struct Request {
    spec: RequestSpec,
    at: Instant,
    runs: Vec<Run>,
    end: Option<(Instant, Ending)>,
}

#[derive(Debug)]
struct Run {
    upstream: usize,
    /// Body of the upstream's answer, if it answered.
    body: Option<Vec<u8>>,
}

/// Period in which a subject is exempt from the guarantees with a time bound.
#[derive(Debug)]
struct Disturbance {
    subject: Subject,
    from: Instant,
    until: Instant,
    /// Whether this is a graceful stop, during which accepted requests must not be lost.
    is_planned: bool,
}

/// Pause that an upstream asked a router for.
#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Instant,
    until: Instant,
    arrivals: usize,
}

#[derive(Debug, Default)]
struct State {
    requests: HashMap<Arc<str>, Request>,
    disturbances: Vec<Disturbance>,
    holds: Holds,
    /// Services of each path prefix, oldest first, with the time at which each was
    /// configured.
    services: HashMap<Arc<str>, Vec<(Instant, Arc<str>)>>,
    /// When the store accepted that an upstream leaves or is gone.
    left: HashMap<usize, Instant>,
    /// When an upstream first announced to a router that it leaves.
    announced_leaving: HashMap<(usize, usize), Instant>,
    /// Evacuated data centres.
    evacuations: Evacuations,
    /// Pauses by upstream and router.
    pauses: HashMap<(usize, usize), Pause>,
    /// Requests that end the upstreams that run them, by path.
    deadly: HashMap<Arc<str>, Deadly>,
    /// Limits that upstreams name.
    limits: HashMap<usize, Limit>,
    /// Times in which routers are cut off from all upstreams.
    cut_offs: Vec<CutOff>,
    /// Ends of pauses and cuts, after which delayed orders may arrive.
    resumes: Vec<(Subject, Instant)>,
    violations: Vec<Violation>,
}

/// Records the observations of a run and checks the guarantees.
#[derive(Debug)]
pub struct Checker {
    started: Instant,
    state: Mutex<State>,
}

impl Default for Checker {
    fn default() -> Self {
        Self::new()
    }
}

impl Checker {
    /// Creates a checker without observations. Times of violations count from now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation of a guarantee.
    pub fn report(&self, guarantee: Guarantee, details: String) {
        let at = self.started.elapsed();
        self.state().report(at, guarantee, details);
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Records that a fault affects a subject for `span` from now on.
    pub fn disturb(&self, subject: Subject, span: Duration) {
        self.note(subject, span, false);
    }

    /// Records that a router was told to stop gracefully within `span`.
    pub fn plan_stop(&self, router: usize, span: Duration) {
        self.note(Subject::Router(router), span, true);
    }

    fn note(&self, subject: Subject, span: Duration, is_planned: bool) {
        let from = Instant::now();
        self.state().disturbances.push(Disturbance {
            subject,
            from,
            until: from + span + STABLE,
            is_planned,
        });
    }

    /// Records that a router's process continues after a pause, or that the links to an
    /// upstream work again. Orders that this may have delayed are excused.
    pub fn resume(&self, subject: Subject) {
        self.state().resumes.push((subject, Instant::now()));
    }

    /// Records which service runs the requests of a path prefix from now on.
    pub fn route(&self, prefix: &str, service: &str) {
        let entry = (Instant::now(), service.into());
        let mut state = self.state();
        state.services.entry(prefix.into()).or_default().push(entry);
    }

    /// Records that a router is cut off from all upstreams for `span` from now on.
    pub fn cut_off(&self, router: usize, span: Duration) {
        self.state().cut_offs.push(CutOff::new(router, span));
    }

    /// Records that the store has accepted that an upstream leaves or is gone.
    pub fn leave(&self, upstream: usize) {
        self.state()
            .left
            .entry(upstream)
            .or_insert_with(Instant::now);
    }

    /// Records that an upstream has ended and holds no keys.
    pub fn end(&self, upstream: usize) {
        let at = self.started.elapsed();
        self.state().end_holds(at, upstream);
    }

    /// Records that keys were granted until `until`, by the upstream's clock. `is_late` says
    /// whether the upstream carried the order out late.
    pub fn grant(&self, upstream: usize, keys: Keys, until: Instant, is_late: bool) {
        let at = self.started.elapsed();
        let mut state = self.state();
        state.grant(at, upstream, keys, until, is_late);
    }

    /// Records that an upstream was told to release keys, and starts no more work on them.
    pub fn release(&self, upstream: usize, keys: Keys) {
        let at = self.started.elapsed();
        self.state().release(at, upstream, keys);
    }

    /// Records that an upstream no longer works on a request for a key.
    pub fn end_work(&self, upstream: usize, key: u16) {
        self.state().holds.end_work(upstream, key);
    }

    /// Records that an upstream starts to run a request, and checks whether it may.
    pub fn start_run(
        &self,
        id: Option<&str>,
        path: &str,
        upstream: usize,
        service: &str,
        key: Option<u16>,
    ) {
        let at = self.started.elapsed();
        let now = Instant::now();
        let mut guard = self.state();
        let state = &mut *guard;
        if let Some(key) = key {
            state.begin_work(at, now, key, upstream);
        }
        let Some(id) = id.filter(|id| state.requests.contains_key(*id)) else {
            let details = format!("upstream {upstream} ran {id:?}, which no caller sent");
            state.report(at, Guarantee::OnlySent, details);
            return;
        };
        state.check_route(at, id, path, upstream, service);
        state.check_evacuation(at, id, upstream);
        let request = state
            .requests
            .get_mut(id)
            .expect("the request was found above");
        request.runs.push(Run {
            upstream,
            body: None,
        });
        let (spec, runs) = (request.spec.clone(), request.runs.len());
        let is_changed = *spec.path != *path;
        let refused = matches!(&request.end, Some((_, end)) if end.is_refusal());
        if is_changed {
            let details = format!("{id} ran as {path}, was sent as {}", spec.path);
            state.report(at, Guarantee::OnlySent, details);
        }
        if !spec.is_idempotent && runs > 1 {
            let details = format!("{id} ran {runs} times, last at upstream {upstream}");
            state.report(at, Guarantee::AtMostOnce, details);
        }
        if !spec.is_idempotent && refused {
            let details = format!("{id} was refused, then upstream {upstream} ran it");
            state.report(at, Guarantee::TrueRefusal, details);
        }
    }

    /// Records the body with which an upstream answered a request.
    pub fn end_run(&self, id: Option<&str>, upstream: usize, body: &[u8]) {
        let mut state = self.state();
        let request = id.and_then(|id| state.requests.get_mut(id));
        let run = request.and_then(|request| {
            let mut runs = request.runs.iter_mut();
            runs.find(|run| run.upstream == upstream && run.body.is_none())
        });
        if let Some(run) = run {
            run.body = Some(body.to_vec());
        }
    }

    /// Records that an upstream announced in an answer that it leaves.
    pub fn announce_leaving(&self, id: Option<&str>, upstream: usize) {
        let mut state = self.state();
        if let Some(router) = state.router_of(id) {
            let announced = state.announced_leaving.entry((upstream, router));
            announced.or_insert_with(Instant::now);
        }
    }

    /// Records that an upstream refused a request and asked for no requests for `pause`.
    pub fn defer(&self, id: Option<&str>, upstream: usize, pause: Duration) {
        let now = Instant::now();
        let mut state = self.state();
        if let Some(router) = state.router_of(id) {
            let pause = Pause {
                from: now + PAUSE_SLACK,
                until: now + pause,
                arrivals: 0,
            };
            state.pauses.insert((upstream, router), pause);
        }
    }

    /// Records that an upstream named a limit in an answer.
    pub fn limit(&self, id: Option<&str>, upstream: usize, per_s: f64) {
        let mut state = self.state();
        if let Some(router) = state.router_of(id) {
            let limit = state.limits.entry(upstream);
            limit.or_insert_with(|| Limit::new(per_s)).tell(router);
        }
    }

    /// Records that a request has ended an upstream that began to run it.
    pub fn crash(&self, path: &str, upstream: usize) {
        self.disturb(Subject::Upstream(upstream), Duration::ZERO);
        let mut state = self.state();
        state.deadly.entry(path.into()).or_default().crash(upstream);
    }

    /// Records that an upstream no longer names a limit.
    pub fn lift_limit(&self, upstream: usize) {
        self.state().limits.remove(&upstream);
    }

    /// Records that a request reached an upstream, whether it ran or not.
    pub fn arrive(&self, id: Option<&str>, upstream: usize) {
        let at = self.started.elapsed();
        let now = Instant::now();
        let mut state = self.state();
        state.check_announcements(at, id, upstream);
        state.check_limit(at, id, upstream);
        state.check_deadly(at, id, upstream);
        let Some(left) = state.left.get(&upstream).copied() else {
            return;
        };
        let request = id.and_then(|id| state.requests.get(id));
        let Some(request) = request.filter(|_| now > left + DRAIN) else {
            return;
        };
        let subjects = [
            Subject::Router(request.spec.router),
            Subject::Upstream(upstream),
            Subject::Store,
        ];
        if !state.is_disturbed(&subjects, now, now) {
            let late = now - left;
            let details = format!("{id:?} reached upstream {upstream} {late:?} after it left");
            state.report(at, Guarantee::Drain, details);
        }
    }

    /// Records that a caller sends a request.
    pub fn send(&self, id: &Arc<str>, spec: RequestSpec) {
        let request = Request {
            spec,
            at: Instant::now(),
            runs: Vec::new(),
            end: None,
        };
        self.state().requests.insert(Arc::clone(id), request);
    }

    /// Records how a request ended for its caller, and checks whether that is allowed.
    pub fn answer(&self, id: &str, ending: Ending) {
        let at = self.started.elapsed();
        let now = Instant::now();
        let mut guard = self.state();
        let state = &mut *guard;
        let request = state
            .requests
            .get_mut(id)
            .expect("the request was sent before");
        request.end = Some((now, ending));
        let request = &state.requests[id];
        let found: Vec<(Guarantee, String)> = [
            request.wrong_answer(id),
            request.false_refusal(id),
            request.wrong_quarantine(id),
            state.late_answer(id, request, now),
            state.lost_in_shutdown(id, request, now),
        ]
        .into_iter()
        .flatten()
        .collect();
        for (guarantee, details) in found {
            state.report(at, guarantee, details);
        }
    }

    /// Checks the guarantees that can be judged only at the end of a run with so many routers.
    pub fn close(&self, routers: usize) {
        let at = self.started.elapsed();
        let mut state = self.state();
        state.close_holds(at);
        state.check_reach(at, routers);
        let too_many: Vec<String> = state
            .requests
            .iter()
            .filter(|(_, request)| request.upstreams() > request.spec.max_attempts)
            .map(|(id, request)| format!("{id} at {} upstreams", request.upstreams()))
            .collect();
        if too_many.len() > ATTEMPTS_SLACK {
            state.report(at, Guarantee::Attempts, too_many.join(", "));
        }
    }

    /// Counts requests by how they ended.
    pub fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self.state().requests.values() {
            let name = match &request.end {
                Some((_, Ending::Answered { status, .. })) => status.as_u16().to_string(),
                Some((_, Ending::Broken)) => "broken".to_owned(),
                Some((_, Ending::Cancelled)) => "left".to_owned(),
                None => "open".to_owned(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}
