//! One attempt to send a request to an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_model::Epoch;
use eelgrassrock_model::fleet::Repeat;
use eelgrassrock_request::{Answer, Event, Id, Stored};
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::control::scheduler::Scheduler;
use crate::exchange::body::Body;
use crate::exchange::inbound::Inbound;
use crate::exchange::relay::{FromUpstream, Relay};
use crate::exchange::{header, recorded};
use crate::upstream::link::{Connection, Failure, Link, Reuse};
use crate::upstream::load::BusyGuard;

/// Maximum body of an answer that is recorded for repeats of a request, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Request to be sent to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    /// Request as it arrived at this router.
    pub(crate) inbound: Arc<Inbound>,
    /// Epoch of the assignment of its shard.
    pub(crate) epoch: Epoch,
}

impl Outgoing {
    fn runs_once(&self) -> bool {
        self.inbound.matched.class.repeat == Repeat::Once
    }
}

/// Result of an attempt for the task that owns the request.
pub(crate) enum AttemptResult {
    /// The head of the response arrived, and the body is relayed.
    Responding(Response<Body>),
    /// The whole response arrived and is to be recorded.
    Recorded(Response<Body>, Stored),
    /// There is no response to relay.
    Failed(Answer),
    /// The attempt was cancelled before any byte was written.
    Cancelled,
}

/// Attempt to send one request.
pub(crate) struct Attempt {
    /// Adapter of the request machine.
    pub(crate) scheduler: Arc<Scheduler>,
    /// Connection pool of the upstream.
    pub(crate) link: Link,
    /// Identifier of the request in the request machine.
    pub(crate) request: Id,
    /// Number of the attempt.
    pub(crate) number: u32,
    /// Time left until the deadline.
    pub(crate) left: Duration,
    /// Measures how long the attempt keeps a slot busy.
    pub(crate) busy_guard: BusyGuard,
}

impl Attempt {
    /// Sends the request and waits for the head of the response until the deadline.
    pub(crate) async fn run(self, outgoing: Outgoing) -> AttemptResult {
        match tokio::time::timeout(self.left, self.exchange(outgoing)).await {
            Ok(ended) => ended,
            Err(_) => AttemptResult::Failed(Answer::TimedOut),
        }
    }

    async fn exchange(self, outgoing: Outgoing) -> AttemptResult {
        // A request that must run at most once is never sent over an idle connection,
        // because the upstream may close it at the same moment, which would make the
        // outcome unknown.
        let mut reuse = if outgoing.runs_once() {
            Reuse::Never
        } else {
            Reuse::Allowed
        };
        loop {
            let Ok(connection) = self.link.open(reuse).await else {
                return AttemptResult::Failed(Answer::NotSent);
            };
            let began = Event::Began {
                request: self.request,
                attempt: self.number,
            };
            if self.scheduler.step(began, Some(self.request)) {
                return AttemptResult::Cancelled;
            }
            let is_reused = connection.is_reused();
            match connection.send(self.build(&outgoing)).await {
                Ok((response, connection)) => {
                    return self.receive(&outgoing, response, connection).await;
                }
                Err(Failure::NotSent(_)) if is_reused => reuse = Reuse::Never,
                Err(Failure::NotSent(_)) => return AttemptResult::Failed(Answer::NotSent),
                Err(Failure::Lost(_)) => return AttemptResult::Failed(Answer::Broken),
            }
        }
    }

    fn build(&self, outgoing: &Outgoing) -> Request<Full<Bytes>> {
        let inbound = &outgoing.inbound;
        let mut request = Request::new(Full::new(inbound.body.clone()));
        *request.method_mut() = inbound.method.clone();
        *request.uri_mut() = inbound.target.clone();
        let headers = request.headers_mut();
        *headers = inbound.headers.clone();
        let left_ms = u64::try_from(self.left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(
            http::header::HOST,
            header_value(&self.link.address().to_string()),
        );
        headers.insert(
            header::REQUEST_ID,
            header_value(&outgoing.inbound.request_id),
        );
        headers.insert(header::SHARD, HeaderValue::from(inbound.shard.0));
        headers.insert(header::EPOCH, HeaderValue::from(outgoing.epoch.0));
        headers.insert(header::DEADLINE, HeaderValue::from(left_ms));
        request
    }

    async fn receive(
        self,
        outgoing: &Outgoing,
        mut response: Response<Incoming>,
        connection: Connection,
    ) -> AttemptResult {
        if let Some(answer) = refusal(&response) {
            connection.drain_and_release(response).await;
            return AttemptResult::Failed(answer);
        }
        if !has_request_id(&response, &outgoing.inbound.request_id)
            || !is_framed(&outgoing.inbound.method, &response)
        {
            return AttemptResult::Failed(Answer::Broken);
        }
        header::sanitize_response(response.headers_mut());
        response.headers_mut().insert(
            header::REQUEST_ID,
            header_value(&outgoing.inbound.request_id),
        );
        if outgoing.runs_once() && is_recordable(&response) {
            return record(response, connection).await;
        }
        let responding = Event::Responding {
            request: self.request,
            attempt: self.number,
        };
        self.scheduler.step(responding, None);
        let status = response.status().as_u16();
        let source = FromUpstream {
            scheduler: Arc::clone(&self.scheduler),
            request: self.request,
            attempt: self.number,
            status,
            connection,
            busy_guard: self.busy_guard,
        };
        AttemptResult::Responding(response.map(|body| Body::Upstream(Relay::new(body, source))))
    }
}

/// Reads the whole response and encodes it for repeats of the request.
async fn record(response: Response<Incoming>, connection: Connection) -> AttemptResult {
    let (parts, body) = response.into_parts();
    let Ok(collected) = Limited::new(body, MAX_RECORDED_BYTES).collect().await else {
        return AttemptResult::Failed(Answer::Broken);
    };
    connection.release();
    let bytes = collected.to_bytes();
    let stored = Stored {
        status: parts.status.as_u16(),
        content: Some(recorded::encode(&parts, &bytes)),
    };
    AttemptResult::Recorded(Response::from_parts(parts, Body::buffered(bytes)), stored)
}

/// Returns the answer if the response is a refusal that proves that the request didn't run.
fn refusal(response: &Response<Incoming>) -> Option<Answer> {
    let outcome = response.headers().get(header::OUTCOME)?;
    if outcome != "not-run" {
        return None;
    }
    match response.status() {
        StatusCode::MISDIRECTED_REQUEST => Some(Answer::NotOwner),
        StatusCode::SERVICE_UNAVAILABLE => Some(Answer::Shed {
            retry_after: retry_after(response.headers()),
        }),
        _ => None,
    }
}

/// Parses `Retry-After` in seconds. Dates aren't supported.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Returns whether the response has the identifier of the request. A response without it
/// may belong to another request on the same connection.
fn has_request_id(response: &Response<Incoming>, request_id: &str) -> bool {
    response
        .headers()
        .get(header::REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request_id.as_bytes())
}

/// Returns whether the end of the body can be distinguished from a connection that was
/// closed early.
fn is_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
        || headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

fn is_recordable(response: &Response<Incoming>) -> bool {
    let length = response.headers().get(http::header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length <= MAX_RECORDED_BYTES)
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names and identifiers are valid header values")
}
