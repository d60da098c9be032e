//! Handling of one request, from its arrival to its answer.

mod passage;
mod race;
mod reply;
mod sending;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::{Repeat, Route};
use eelgrassrock_dispatch::resend::{self, Attempt, Ending};
use eelgrassrock_dispatch::service::{
    self, Detour, Reason, Refusal, Report, Request as Work, Service, Step,
};
use eelgrassrock_dispatch::suspect::Fingerprint;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use http::header::{CONNECTION, EXPECT, HOST};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::timeout;

use self::passage::pass_on;
use self::race::{Race, race, report_of};
use self::reply::{Outcome, origin_form, plain, refusal, strip, too_long};
pub(crate) use self::sending::Decision;
use self::sending::Sending;
use crate::clock;
use crate::detour;
use crate::exchange::{Content, Exchange, Message, is_failure};
use crate::node::Node;
use crate::payload::{self, Payload, Taken};
use crate::platform::{Head, Platform};
use crate::quarantine::Admission;

/// Timeout if neither the caller nor the route specifies one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Value of `retry-after` while the router has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Value of `retry-after` for a request that might outlast a stopping process. Another router can
/// accept it at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Value of `retry-after` while this router lacks a configuration that others have. Another router
/// can accept the request at once.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Pause before the only holder of a key is tried again.
const HOLDER_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time reserved for the answer's way to the caller, at the end of the caller's timeout.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Accepted request.
struct Job {
    head: Head,
    route: Arc<Route>,
    service: Arc<str>,
    message: Message,
    work: Work,
    sends: Vec<SendLine>,
    has_caller_left: Rc<Cell<bool>>,
}

/// Caller of a request that goes on without it. Marks it as gone when dropped.
struct Caller(Rc<Cell<bool>>);

impl Drop for Caller {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// Final answer, with its outcome for logs and metrics.
struct FinalAnswer {
    response: Response<Payload>,
    outcome: &'static str,
    upstream: Option<Arc<str>>,
}

#[derive(Serialize)]
struct RequestLine<'a> {
    id: Option<&'a str>,
    route: &'a str,
    service: &'a str,
    key: Option<u16>,
    outcome: &'a str,
    status: u16,
    upstream: Option<&'a str>,
    /// Number of sends that may have run at an upstream.
    runs: u32,
    sends: &'a [SendLine],
    elapsed_ms: u64,
    allowed_ms: u64,
    configuration: u64,
    /// Fingerprint of a request that is suspected or quarantined.
    fingerprint: Option<String>,
}

/// One send of a request, in the request's log line.
#[derive(Serialize)]
struct SendLine {
    upstream: Arc<str>,
    /// Time of the send, counted from the arrival of the request.
    at_ms: u64,
    elapsed_ms: u64,
    end: &'static str,
    /// Version of the map that named the holder of the key.
    map: u64,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    Caller,
    /// Another router, which allows this number of upstreams to run the request.
    Router {
        attempts: u32,
    },
}

/// Limits of a request that is passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) until: Instant,
    /// Number of upstreams that may run it.
    pub(crate) attempts: u32,
}

/// Serves one request of a caller.
pub(crate) async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    mut request: Request<Incoming>,
) -> Response<Payload> {
    request.headers_mut().remove(detour::PASSED_ON);
    serve_from(node, request, Sender::Caller).await
}

/// Serves one request that another router has passed on, and says how it ended.
pub(crate) async fn serve_passed_on<P: Platform>(
    node: Rc<Node<P>>,
    mut request: Request<Incoming>,
) -> Response<Payload> {
    let attempts = detour::attempts_left(request.headers()).unwrap_or(1);
    request.headers_mut().remove(detour::PASSED_ON);
    let mut response = serve_from(node, request, Sender::Router { attempts }).await;
    let outcome = response.extensions().get::<Outcome>().copied();
    if let Some(Outcome(outcome)) = outcome {
        let outcome = HeaderValue::from_static(outcome);
        response.headers_mut().insert(detour::OUTCOME, outcome);
    }
    response
}

/// Serves one request, and removes the hop-by-hop headers from its answer.
async fn serve_from<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
    sender: Sender,
) -> Response<Payload> {
    node.open_requests.set(node.open_requests.get() + 1);
    let open = Open(Rc::clone(&node));
    let mut response = answer(&node, request, sender).await;
    strip(response.headers_mut());
    if node.is_stopping() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    drop(open);
    response
}

/// Counts a request as open until it is dropped.
struct Open<P: Platform>(Rc<Node<P>>);

impl<P: Platform> Drop for Open<P> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

async fn answer<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<Incoming>,
    sender: Sender,
) -> Response<Payload> {
    let arrived = clock::now();
    let Some(directory) = node.state.borrow().directory.clone() else {
        return refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-configuration",
            NO_CONFIGURATION_RETRY_AFTER,
        );
    };
    if node.is_configuration_outdated() {
        node.metrics.outdated();
        return refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "outdated",
            OUTDATED_RETRY_AFTER,
        );
    }
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let found = directory.route(host, request.uri().path()).or_else(|| {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        directory.route(name, request.uri().path())
    });
    let Some(route) = found.cloned() else {
        return plain(StatusCode::NOT_FOUND, "no-route");
    };
    if too_long(request.headers(), directory.limits.max_body_bytes) {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "body-too-long");
    }
    let head = node.platform.head(request.headers());
    let (mut parts, body) = request.into_parts();
    let content = match payload::take(body, &node.memory).await {
        Taken::Whole(bytes) => Content::Whole(bytes),
        Taken::Partial(first, rest) => Content::Stream(Payload::partial(first, rest, None)),
        Taken::Broken => return plain(StatusCode::BAD_REQUEST, "body-incomplete"),
    };
    strip(&mut parts.headers);
    parts.headers.remove(EXPECT);
    parts.uri = origin_form(&parts.uri);
    let message = Message::new(parts, content, route.repeat);
    let job = job(node, route, head, message, arrived, sender);
    if node.ends_at().is_some_and(|end| job.work.give_up > end) {
        return refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            STOPPING_RETRY_AFTER,
        );
    }
    let version = directory.version;
    if job.route.repeat == Repeat::Idempotent {
        return run(node, job, version).await;
    }
    // A request that must not be repeated continues if its caller disconnects, so that it isn't
    // interrupted halfway.
    let _caller = Caller(Rc::clone(&job.has_caller_left));
    let task = {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move { run(&node, job, version).await })
    };
    match task.await {
        Ok(response) => response,
        Err(_) => plain(StatusCode::BAD_GATEWAY, "aborted"),
    }
}

fn job<P: Platform>(
    node: &Node<P>,
    route: Arc<Route>,
    head: Head,
    message: Message,
    arrived: Instant,
    sender: Sender,
) -> Job {
    let caller_timeout = head
        .timeout
        .map(|timeout| timeout.saturating_sub(RETURN_MARGIN));
    let allowed = match (caller_timeout, route.timeout) {
        (Some(caller_timeout), Some(timeout)) => caller_timeout.min(timeout),
        (Some(limit), None) | (None, Some(limit)) => limit,
        (None, None) => DEFAULT_TIMEOUT,
    };
    let service = node.choose_service(&route);
    let is_keyed = node.is_keyed(&service);
    let work = Work {
        ticket: node.ticket(),
        key: head.key.filter(|_| is_keyed),
        priority: route.priority,
        repeat: route.repeat,
        arrived,
        target: service::target(arrived, route.target, allowed),
        give_up: arrived + allowed,
        max_attempts: match sender {
            Sender::Caller => route.max_attempts.max(1),
            Sender::Router { attempts } => route.max_attempts.min(attempts).max(1),
        },
        runs: 0,
        tried: Vec::new(),
        retry_at: arrived,
        is_repeat: false,
        detour: match sender {
            Sender::Caller => Detour::Open,
            Sender::Router { .. } => Detour::Forbidden,
        },
    };
    Job {
        head,
        service,
        route,
        message,
        work,
        sends: Vec::new(),
        has_caller_left: Rc::default(),
    }
}

async fn run<P: Platform>(node: &Rc<Node<P>>, mut job: Job, version: u64) -> Response<Payload> {
    let mut done = attempt(node, &mut job).await;
    let outcome = Outcome(done.outcome);
    done.response.extensions_mut().insert(outcome);
    let bytes = done.response.body().known_bytes();
    node.record_answer(&job.route.name, bytes, done.outcome != "answered");
    let elapsed = clock::now() - job.work.arrived;
    node.metrics
        .request(&job.route.name, &job.service, done.outcome, elapsed);
    if done.outcome == Reason::Pressure.as_str() {
        node.metrics
            .refused_under_pressure(&job.service, job.work.priority);
    }
    let is_plain = done.outcome == "answered" && job.sends.len() <= 1;
    if !is_plain || node.log.should_sample() {
        node.log.request(
            "request",
            &RequestLine {
                id: job.head.id.as_deref(),
                route: &job.route.name,
                service: &job.service,
                key: job.head.key,
                outcome: done.outcome,
                status: done.response.status().as_u16(),
                upstream: done.upstream.as_deref(),
                runs: job.work.runs,
                sends: &job.sends,
                elapsed_ms: elapsed.as_millis() as u64,
                allowed_ms: (job.work.give_up - job.work.arrived).as_millis() as u64,
                configuration: version,
                fingerprint: job.suspect(node).map(|suspect| suspect.to_string()),
            },
        );
    }
    done.response
}

/// Sends a request until it has an answer, or no further attempt is possible.
async fn attempt<P: Platform>(node: &Rc<Node<P>>, job: &mut Job) -> FinalAnswer {
    if let Admission::Refuse {
        outcome,
        retry_after,
    } = node.admit(job.suspect(node))
    {
        return refused(job, outcome, retry_after);
    }
    if let Some(key) = job.work.key {
        node.leaderships.record_key(&job.service, key);
    }
    let left = job.work.target - job.work.arrived;
    if let Some(wait) = node.link_shed_delay(&job.route.name, left) {
        return FinalAnswer {
            response: refusal(StatusCode::SERVICE_UNAVAILABLE, "link-full", wait),
            outcome: "link-full",
            upstream: None,
        };
    }
    let mut decision = decide(node, job, Service::admit);
    let mut failed: Option<FinalAnswer> = None;
    loop {
        if job.is_abandoned() {
            return refused(job, "abandoned", Duration::ZERO);
        }
        decision = match decision {
            Decision::Wait => wait_in_queue(node, job).await,
            Decision::Refuse(refusal) => {
                return failed
                    .unwrap_or_else(|| refused(job, refusal.reason.as_str(), refusal.retry_after));
            }
            Decision::Detour => match pass_on(node, job).await {
                Next::Done(done) => return done,
                Next::Again(_) => {
                    job.work.detour = Detour::Exhausted;
                    decide(node, job, Service::resume)
                }
            },
            Decision::Send(sending) => {
                if let Admission::Refuse {
                    outcome,
                    retry_after,
                } = node.admit_send(job.suspect(node)).await
                {
                    return failed.unwrap_or_else(|| refused(job, outcome, retry_after));
                }
                if !sending.is_permitted().await {
                    drop(sending);
                    decision = decide(node, job, Service::resume);
                    continue;
                }
                if job.is_abandoned() {
                    return refused(job, "abandoned", Duration::ZERO);
                }
                match send(node, job, sending).await {
                    Next::Done(done) => return done,
                    Next::Again(fallback) => failed = fallback.or(failed),
                }
                decide(node, job, Service::retry)
            }
        };
    }
}

/// Lets the service of a request decide on it.
fn decide<P: Platform>(
    node: &Rc<Node<P>>,
    job: &Job,
    decide: impl FnOnce(&mut Service, Work, Instant) -> Step,
) -> Decision<P> {
    let work = job.work.clone();
    let step = node.with_service(&job.service, |service, now| decide(service, work, now));
    let step = step.unwrap_or(Step::Refuse(Refusal {
        reason: Reason::NoUpstream,
        retry_after: NO_CONFIGURATION_RETRY_AFTER,
    }));
    Decision::new(node, &job.service, job.work.key, step)
}

enum Next {
    Done(FinalAnswer),
    /// The request may be sent again. Holds the answer to give if that isn't possible.
    Again(Option<FinalAnswer>),
}

async fn send<P: Platform>(node: &Rc<Node<P>>, job: &mut Job, mut first: Sending<P>) -> Next {
    node.metrics
        .sent(&job.service, job.work.arrived, first.started);
    node.expect_answer(&job.route.name);
    first.begin();
    let Race {
        end,
        mut sending,
        other,
    } = race(node, job, first).await;
    if let Some(other) = other {
        job.note_send(node, &other, other.report);
        job.work.tried.push(Arc::clone(&other.upstream.id));
        job.work.runs += u32::from(!other.report.proves_not_run());
    }
    let upstream = &Arc::clone(&sending.upstream);
    let report = report_of(&end);
    job.note_send(node, &sending, report);
    let elapsed = clock::now() - sending.started;
    if job.work.key.is_some() && report == (Report::Answered { failed: false }) {
        node.leaderships
            .record_service_time(&job.service, &upstream.id, elapsed);
    }
    let is_safe = job.route.repeat == Repeat::Idempotent;
    let id = Some(Arc::clone(&upstream.id));
    match end {
        Exchange::Answer(response) => {
            let is_bad = is_failure(response.status());
            sending.report = Report::Answered { failed: is_bad };
            job.work.runs += 1;
            job.work.is_repeat = true;
            let outcome = if is_bad {
                "upstream-failed"
            } else {
                "answered"
            };
            let done = FinalAnswer {
                response,
                outcome,
                upstream: id,
            };
            if !is_bad || !is_safe || !job.message.is_sendable() {
                return Next::Done(done);
            }
            exclude(job, upstream, Report::Answered { failed: true });
            Next::Again(Some(done))
        }
        Exchange::None(report) => {
            sending.report = report;
            job.work.is_repeat |= !matches!(report, Report::Unreachable | Report::NotSent);
            if !report.proves_not_run() {
                job.work.runs += 1;
            }
            match job.after(report) {
                resend::Next::Again => {
                    exclude(job, upstream, report);
                    Next::Again(None)
                }
                resend::Next::End(ending) => Next::Done(unanswered(ending, id)),
            }
        }
    }
}

impl Job {
    /// Returns the fingerprint of the request if a process has ended under it.
    fn suspect<P: Platform>(&self, node: &Node<P>) -> Option<Fingerprint> {
        node.suspect(&self.message, self.head.key)
    }

    /// Whether the caller has left before the request ran anywhere.
    fn is_abandoned(&self) -> bool {
        self.has_caller_left.get() && self.work.runs == 0
    }

    /// Decides what follows from a send that gave no answer to pass on.
    fn after(&self, report: Report) -> resend::Next {
        let attempt = Attempt {
            report,
            repeat: self.route.repeat,
            runs: self.work.runs,
            has_body: self.message.is_sendable(),
            has_time: clock::now() < self.work.give_up,
        };
        attempt.next()
    }

    fn note_send<P: Platform>(&mut self, node: &Node<P>, sending: &Sending<P>, report: Report) {
        let elapsed = clock::now() - sending.started;
        node.metrics
            .send_ended(&self.service, report.as_str(), elapsed);
        self.sends.push(SendLine {
            upstream: Arc::clone(&sending.upstream.id),
            at_ms: (sending.started - self.work.arrived).as_millis() as u64,
            elapsed_ms: elapsed.as_millis() as u64,
            end: report.as_str(),
            map: self
                .work
                .key
                .map_or(0, |_| node.map_version(&self.service).number),
        });
    }
}

/// Records that a request must not be sent to this upstream again, or not at once.
fn exclude(job: &mut Job, upstream: &Upstream, report: Report) {
    let now = clock::now();
    if job.work.key.is_none() {
        job.work.tried.push(Arc::clone(&upstream.id));
    } else {
        let pause = match report {
            // The service decides when the range may be requested again.
            Report::Misdirected | Report::Replaced => Duration::ZERO,
            _ => HOLDER_RETRY_PAUSE,
        };
        job.work.retry_at = now + pause;
    }
}

/// Removes a request from the queue if its future is dropped.
struct Queued<'a, P: Platform> {
    node: &'a Rc<Node<P>>,
    service: &'a Arc<str>,
    ticket: u64,
}

impl<P: Platform> Drop for Queued<'_, P> {
    fn drop(&mut self) {
        self.node.cancel_wait(self.ticket);
        self.node
            .with_service(self.service, |service, _| service.cancel(self.ticket));
    }
}

async fn wait_in_queue<P: Platform>(node: &Rc<Node<P>>, job: &Job) -> Decision<P> {
    let receiver = node.wait_for(job.work.ticket, job.work.key);
    let queue_entry = Queued {
        node,
        service: &job.service,
        ticket: job.work.ticket,
    };
    let left = job.work.give_up - clock::now();
    let decision = timeout(left, receiver).await;
    drop(queue_entry);
    match decision {
        Ok(Ok(decision)) => decision,
        _ => Decision::Refuse(Refusal {
            reason: Reason::Busy,
            retry_after: NO_CONFIGURATION_RETRY_AFTER,
        }),
    }
}

/// Builds the answer to a refused request. Only a request that has not run may get a status that
/// says so.
fn refused(job: &Job, outcome: &'static str, retry_after: Duration) -> FinalAnswer {
    let response = if job.work.runs == 0 {
        refusal(StatusCode::SERVICE_UNAVAILABLE, outcome, retry_after)
    } else {
        plain(StatusCode::BAD_GATEWAY, outcome)
    };
    FinalAnswer {
        response,
        outcome,
        upstream: None,
    }
}

fn unanswered(ending: Ending, upstream: Option<Arc<str>>) -> FinalAnswer {
    let (response, outcome) = match ending {
        Ending::TimedOut => (plain(StatusCode::GATEWAY_TIMEOUT, "timeout"), "timeout"),
        Ending::NotRun => {
            let pause = NO_CONFIGURATION_RETRY_AFTER;
            (
                refusal(StatusCode::SERVICE_UNAVAILABLE, "not-run", pause),
                "not-run",
            )
        }
        Ending::Unknown => (plain(StatusCode::BAD_GATEWAY, "unknown"), "unknown"),
    };
    FinalAnswer {
        response,
        outcome,
        upstream,
    }
}
