//! What callers and upstreams saw, and the promises checked against it.

mod check;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrassrock_platform_standin::framing::Keys;
use http::StatusCode;
use tokio::time::Instant;

use crate::promise::{Promise, Violation};

/// Time from the end of a fault until its subject must keep all promises again.
pub const STABLE: Duration = Duration::from_secs(3);
/// Time after the end of a pause or cut in which an old order may arrive.
const THAW_SLACK: Duration = Duration::from_millis(300);
/// Time from the store's acceptance of an upstream's leaving until no request
/// may reach it.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from a refusal until the pause holds that it asked for, and requests that may
/// still arrive then.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
const PAUSE_ARRIVALS: usize = 2;
/// Requests that may go to one upstream more than allowed.
const ATTEMPTS_SLACK: usize = 3;

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A router, or its links to callers and the store.
    Router(usize),
    /// A life of an upstream, or the links to it.
    Upstream(usize),
    /// The store.
    Store,
}

/// A request, as its caller sends it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Router that it is sent to.
    pub router: usize,
    /// Its path.
    pub path: Arc<str>,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// Upstreams that may run it.
    pub max_attempts: usize,
    /// Time within which it must have an answer.
    pub timeout: Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Answered {
        /// Its status.
        status: StatusCode,
        /// Whether an upstream made it.
        is_signed: bool,
        /// Identifier that the answer bears.
        id: Option<String>,
        /// Its body.
        body: Vec<u8>,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// The caller left.
    Left,
}

#[derive(Debug)]
struct Request {
    asked: Asked,
    at: Instant,
    runs: Vec<Run>,
    end: Option<(Instant, Ending)>,
}

#[derive(Debug)]
struct Run {
    upstream: usize,
    /// What the upstream answered, if it did.
    body: Option<Vec<u8>>,
}

/// Time in which a subject need not keep the promises with a time bound.
#[derive(Debug)]
struct Disturbance {
    subject: Subject,
    from: Instant,
    until: Instant,
    /// A planned stop, during which taken requests must not be lost.
    is_planned: bool,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    token: u64,
    until: Instant,
    /// Granted by an order that was held up by a fault.
    is_excused: bool,
}

/// Time in which a router may send an upstream next to nothing.
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
    /// Holds of live upstreams by key.
    holds: HashMap<usize, BTreeMap<u16, Hold>>,
    /// Highest token of each key, and the upstream that had it.
    tokens: HashMap<u16, (u64, usize)>,
    /// Which services may run a path's requests, oldest first, and since when
    /// only that one and later ones may.
    services: HashMap<Arc<str>, Vec<(Instant, Arc<str>)>>,
    left: HashMap<usize, Instant>,
    /// When an upstream first said to a router that it leaves.
    said_leaving: HashMap<(usize, usize), Instant>,
    /// Pauses that upstreams asked routers for.
    pauses: HashMap<(usize, usize), Pause>,
    /// Pauses and cuts that ended, after which old orders may arrive.
    thaws: Vec<Instant>,
    violations: Vec<Violation>,
}

/// The ledger of a run.
#[derive(Debug)]
pub struct Ledger {
    started: Instant,
    state: Mutex<State>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}

impl Ledger {
    /// Creates an empty ledger; times count from now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a promise was broken.
    pub fn violate(&self, promise: Promise, what: String) {
        let at = self.started.elapsed();
        self.state().violate(at, promise, what);
    }

    /// Returns the promises that were broken so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Notes that a fault affects a subject for a time from now on.
    pub fn disturb(&self, subject: Subject, span: Duration) {
        self.note(subject, span, false);
    }

    /// Notes that a router was told to stop.
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

    /// Notes that something went on that may have held orders up.
    pub fn thaw(&self) {
        self.state().thaws.push(Instant::now());
    }

    /// Notes which service runs the requests of a path from now on.
    pub fn route(&self, prefix: &str, service: &str) {
        let entry = (Instant::now(), service.into());
        let mut state = self.state();
        state.services.entry(prefix.into()).or_default().push(entry);
    }

    /// Notes that the store has accepted that an upstream leaves or is gone.
    pub fn leave(&self, upstream: usize) {
        self.state()
            .left
            .entry(upstream)
            .or_insert_with(Instant::now);
    }

    /// Notes that an upstream has ended, and holds nothing.
    pub fn end(&self, upstream: usize) {
        self.state().holds.remove(&upstream);
    }

    /// Notes that keys were granted. `until` is by the upstream's clock.
    pub fn grant(&self, upstream: usize, keys: Keys, until: Instant, is_late: bool) {
        let Keys { from, to, token } = keys;
        let at = self.started.elapsed();
        let now = Instant::now();
        let mut state = self.state();
        let is_thaw = state.thaws.iter().any(|thaw| now - *thaw < THAW_SLACK);
        let is_excused = is_late || is_thaw;
        let mut wrong = None;
        for key in from..=to {
            match state.tokens.get(&key) {
                Some((highest, other)) if *other != upstream && *highest >= token => {
                    wrong.get_or_insert((key, *highest, *other));
                }
                Some((highest, _)) if *highest > token => {}
                _ => {
                    state.tokens.insert(key, (token, upstream));
                }
            }
            let hold = Hold {
                token,
                until,
                is_excused,
            };
            state.holds.entry(upstream).or_default().insert(key, hold);
        }
        if let Some((key, highest, other)) = wrong.filter(|_| !is_excused) {
            let what = format!(
                "upstream {upstream} got key {key} with token {token}, upstream {other} had {highest}"
            );
            state.violate(at, Promise::Token, what);
        }
    }

    /// Notes that an upstream gave keys back.
    pub fn release(&self, upstream: usize, keys: Keys) {
        let Keys { from, to, token } = keys;
        if let Some(holds) = self.state().holds.get_mut(&upstream) {
            holds.retain(|key, hold| !(from..=to).contains(key) || hold.token > token);
        }
    }

    /// Notes that an upstream begins to run a request, and checks whether it may.
    pub fn run(
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
            state.check_holder(at, now, key, upstream);
        }
        let Some(id) = id.filter(|id| state.requests.contains_key(*id)) else {
            let what = format!("upstream {upstream} ran {id:?}, which no caller sent");
            state.violate(at, Promise::Asked, what);
            return;
        };
        state.check_route(at, id, path, upstream, service);
        let request = state.requests.get_mut(id).expect("it was just found");
        request.runs.push(Run {
            upstream,
            body: None,
        });
        let (asked, runs) = (request.asked.clone(), request.runs.len());
        let is_changed = *asked.path != *path;
        let refused = matches!(&request.end, Some((_, end)) if end.is_refusal());
        if is_changed {
            let what = format!("{id} ran as {path}, was sent as {}", asked.path);
            state.violate(at, Promise::Asked, what);
        }
        if !asked.may_repeat && runs > 1 {
            let what = format!("{id} ran {runs} times, last at upstream {upstream}");
            state.violate(at, Promise::Once, what);
        }
        if !asked.may_repeat && refused {
            let what = format!("{id} was refused, then upstream {upstream} ran it");
            state.violate(at, Promise::Refusal, what);
        }
    }

    /// Notes what an upstream answered.
    pub fn ran(&self, id: Option<&str>, upstream: usize, body: &[u8]) {
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

    /// Notes that an upstream answers a request, and says that it leaves.
    pub fn say_leaving(&self, id: Option<&str>, upstream: usize) {
        let mut state = self.state();
        if let Some(router) = state.router_of(id) {
            let said = state.said_leaving.entry((upstream, router));
            said.or_insert_with(Instant::now);
        }
    }

    /// Notes that an upstream turns a request away, and wants nothing for `pause`.
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

    /// Notes that a request reached an upstream, whether it ran or not.
    pub fn arrive(&self, id: Option<&str>, upstream: usize) {
        let at = self.started.elapsed();
        let now = Instant::now();
        let mut state = self.state();
        state.check_notices(at, id, upstream);
        let Some(left) = state.left.get(&upstream).copied() else {
            return;
        };
        let request = id.and_then(|id| state.requests.get(id));
        let Some(request) = request.filter(|_| now > left + DRAIN) else {
            return;
        };
        let subjects = [
            Subject::Router(request.asked.router),
            Subject::Upstream(upstream),
            Subject::Store,
        ];
        if !state.is_disturbed(&subjects, now, now) {
            let late = now - left;
            let what = format!("{id:?} reached upstream {upstream} {late:?} after it left");
            state.violate(at, Promise::Drain, what);
        }
    }

    /// Notes that a caller sends a request.
    pub fn ask(&self, id: &Arc<str>, asked: Asked) {
        let request = Request {
            asked,
            at: Instant::now(),
            runs: Vec::new(),
            end: None,
        };
        self.state().requests.insert(Arc::clone(id), request);
    }

    /// Notes how a request ended, and checks whether it may end so.
    pub fn answer(&self, id: &str, ending: Ending) {
        let at = self.started.elapsed();
        let now = Instant::now();
        let mut guard = self.state();
        let state = &mut *guard;
        let request = state.requests.get_mut(id).expect("it was asked");
        request.end = Some((now, ending));
        let request = &state.requests[id];
        let found: Vec<(Promise, String)> = [
            request.wrong_answer(id),
            request.false_refusal(id),
            state.late_answer(id, request, now),
            state.lost_in_stop(id, request, now),
        ]
        .into_iter()
        .flatten()
        .collect();
        for (promise, what) in found {
            state.violate(at, promise, what);
        }
    }

    /// Checks what can only be told at the end of a run.
    pub fn close(&self) {
        let at = self.started.elapsed();
        let mut state = self.state();
        let too_many: Vec<String> = state
            .requests
            .iter()
            .filter(|(_, request)| request.upstreams() > request.asked.max_attempts)
            .map(|(id, request)| format!("{id} at {} upstreams", request.upstreams()))
            .collect();
        if too_many.len() > ATTEMPTS_SLACK {
            state.violate(at, Promise::Attempts, too_many.join(", "));
        }
    }

    /// Counts requests by their ends.
    pub fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self.state().requests.values() {
            let name = match &request.end {
                Some((_, Ending::Answered { status, .. })) => status.as_u16().to_string(),
                Some((_, Ending::Broken)) => "broken".to_owned(),
                Some((_, Ending::Left)) => "left".to_owned(),
                None => "open".to_owned(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}
