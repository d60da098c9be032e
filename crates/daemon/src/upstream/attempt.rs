//! One attempt to have a request served by an upstream.

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
use crate::upstream::link::{Failure, Lease, Link, Reuse};
use crate::upstream::load::Charge;

/// Longest answer that is recorded for repeats of a request, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    /// Request as it came in.
    pub(crate) inbound: Arc<Inbound>,
    /// Epoch of the assignment.
    pub(crate) epoch: Epoch,
}

impl Outgoing {
    fn runs_once(&self) -> bool {
        self.inbound.matched.class.repeat == Repeat::Once
    }
}

/// How an attempt ended, as far as the task that holds the request sees it.
pub(crate) enum Ended {
    /// The head of the answer arrived, and the body streams.
    Responding(Response<Body>),
    /// The whole answer arrived and is recorded.
    Recorded(Response<Body>, Stored),
    /// There is no answer to pass on.
    Failed(Answer),
    /// The attempt was cancelled before a byte was written.
    Cancelled,
}

/// Attempt of one request.
pub(crate) struct Attempt {
    /// Request machine.
    pub(crate) scheduler: Arc<Scheduler>,
    /// Connections to the upstream.
    pub(crate) link: Link,
    /// Request concerned.
    pub(crate) request: Id,
    /// Number of the attempt.
    pub(crate) number: u32,
    /// Time left until the deadline.
    pub(crate) left: Duration,
    /// Measurement of the slot that it keeps busy.
    pub(crate) charge: Charge,
}

impl Attempt {
    /// Sends the request and waits for the head of the answer.
    pub(crate) async fn run(self, outgoing: Outgoing) -> Ended {
        match tokio::time::timeout(self.left, self.exchange(outgoing)).await {
            Ok(ended) => ended,
            Err(_) => Ended::Failed(Answer::TimedOut),
        }
    }

    async fn exchange(self, outgoing: Outgoing) -> Ended {
        // A request that runs at most once never goes over a connection that
        // waited: the upstream might close it at that moment, and the outcome
        // would be unknown without need.
        let mut reuse = if outgoing.runs_once() {
            Reuse::Never
        } else {
            Reuse::Allowed
        };
        loop {
            let Ok(lease) = self.link.open(reuse).await else {
                return Ended::Failed(Answer::NotSent);
            };
            let began = Event::Began {
                request: self.request,
                attempt: self.number,
            };
            if self.scheduler.step(began, Some(self.request)) {
                return Ended::Cancelled;
            }
            let waited = lease.waited();
            match lease.send(self.build(&outgoing)).await {
                Ok((response, lease)) => return self.receive(&outgoing, response, lease).await,
                Err(Failure::NotSent(_)) if waited => reuse = Reuse::Never,
                Err(Failure::NotSent(_)) => return Ended::Failed(Answer::NotSent),
                Err(Failure::Lost(_)) => return Ended::Failed(Answer::Broken),
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
        headers.insert(http::header::HOST, text(&self.link.address().to_string()));
        headers.insert(header::REQUEST_ID, text(&outgoing.inbound.request_id));
        headers.insert(header::SHARD, HeaderValue::from(inbound.shard.0));
        headers.insert(header::EPOCH, HeaderValue::from(outgoing.epoch.0));
        headers.insert(header::DEADLINE, HeaderValue::from(left_ms));
        request
    }

    async fn receive(
        self,
        outgoing: &Outgoing,
        mut response: Response<Incoming>,
        lease: Lease,
    ) -> Ended {
        if let Some(answer) = refusal(&response) {
            lease.release_after(response).await;
            return Ended::Failed(answer);
        }
        if !answers(&response, &outgoing.inbound.request_id)
            || !is_framed(&outgoing.inbound.method, &response)
        {
            return Ended::Failed(Answer::Broken);
        }
        header::strip_foreign_answer(response.headers_mut());
        response
            .headers_mut()
            .insert(header::REQUEST_ID, text(&outgoing.inbound.request_id));
        if outgoing.runs_once() && is_short(&response) {
            return record(response, lease).await;
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
            lease,
            charge: self.charge,
        };
        Ended::Responding(response.map(|body| Body::Upstream(Relay::new(body, source))))
    }
}

/// Reads a short answer to its end.
async fn record(response: Response<Incoming>, lease: Lease) -> Ended {
    let (parts, body) = response.into_parts();
    let Ok(collected) = Limited::new(body, MAX_RECORDED_BYTES).collect().await else {
        return Ended::Failed(Answer::Broken);
    };
    lease.release();
    let bytes = collected.to_bytes();
    let stored = Stored {
        status: parts.status.as_u16(),
        content: Some(recorded::encode(&parts, &bytes)),
    };
    Ended::Recorded(Response::from_parts(parts, Body::whole(bytes)), stored)
}

/// Reads a refusal that proves that the request didn't begin.
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

/// Reads `Retry-After` in seconds.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Tells whether an answer repeats the identifier of its request. An answer
/// without it may belong to another request on the same connection.
fn answers(response: &Response<Incoming>, request_id: &str) -> bool {
    response
        .headers()
        .get(header::REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request_id.as_bytes())
}

/// Tells whether the end of the body can be told from a connection that
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

fn is_short(response: &Response<Incoming>) -> bool {
    let length = response.headers().get(http::header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    length.is_some_and(|length| length <= MAX_RECORDED_BYTES)
}

fn text(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names and identifiers are valid header values")
}
