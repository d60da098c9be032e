//! Forwards requests from the entry router to the home router of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_model::table::Check;
use eelgrassrock_model::{Name, Version};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::exchange::body::Body;
use crate::exchange::header;
use crate::exchange::inbound::Inbound;
use crate::exchange::problem::{Outcome, Problem};
use crate::exchange::relay::{FromHome, Relay};
use crate::upstream::link::{Connection, Failure, Link};

/// Purpose from which the token for hops is derived.
pub(crate) const TOKEN_PURPOSE: &str = "hop";

/// Time that the entry router waits beyond the deadline, so that the home router, which
/// knows the outcome of the request, can respond first.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// Result of forwarding a request.
pub(crate) enum HopResult {
    /// Response of the home router.
    Answered(Response<Body>),
    /// The router isn't the home any more or couldn't be reached. The request is proven
    /// not to have run and can be routed again.
    Redirected(Option<Progress>),
    /// The connection failed or the hop timed out. The request may have run.
    Lost,
}

/// State that a request keeps when it is routed again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Claim of the idempotency key that the request holds.
    pub(crate) claim: Option<Check>,
}

/// Returns the address at which a router accepts forwarded requests. It is the port after
/// the one for messages.
pub(crate) fn address(peer: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer.ip(), peer.port().wrapping_add(1))
}

/// Forwards a request to its home router.
pub(crate) async fn forward(
    link: &Link,
    token: &str,
    inbound: &Inbound,
    progress: Option<&Progress>,
    left: Duration,
) -> HopResult {
    let request = build(token, inbound, progress, left);
    match tokio::time::timeout(left + RESPONSE_GRACE, link.send(request)).await {
        Ok(Ok((response, connection))) => receive(response, connection).await,
        Ok(Err(Failure::NotSent(_))) => HopResult::Redirected(progress.cloned()),
        Ok(Err(Failure::Lost(_))) | Err(_) => HopResult::Lost,
    }
}

fn build(
    token: &str,
    inbound: &Inbound,
    progress: Option<&Progress>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.target.clone();
    let headers = request.headers_mut();
    *headers = inbound.headers.clone();
    let mut set = |name, value: &str| {
        let value = HeaderValue::from_str(value);
        headers.insert(
            name,
            value.expect("names and identifiers are valid header values"),
        );
    };
    set(http::header::HOST, "router");
    set(header::HOP_TOKEN, token);
    set(header::PARTNER, inbound.partner.as_str());
    set(header::REQUEST_ID, &inbound.request_id);
    set(header::DEADLINE, &left.as_millis().to_string());
    if let Some(progress) = progress {
        set(header::PROGRESS, &progress.to_string());
    }
    request
}

async fn receive(response: Response<Incoming>, connection: Connection) -> HopResult {
    if response.status() == StatusCode::MISDIRECTED_REQUEST
        && let Some(progress) = response.headers().get(header::PROGRESS)
    {
        let progress = progress.to_str().ok().and_then(|text| text.parse().ok());
        connection.drain_and_release(response).await;
        return HopResult::Redirected(progress);
    }
    let mut response = response;
    header::strip_hop_by_hop(response.headers_mut());
    HopResult::Answered(response.map(|body| Body::Home(Relay::new(body, FromHome { connection }))))
}

/// Builds the response of a router that isn't the home of the owner. It tells the entry
/// router to route the request again.
pub(crate) fn not_home_response(progress: &Progress, request_id: &str) -> Response<Body> {
    let detail = "this router is not the home of the owner of the key";
    let problem = Problem::new(StatusCode::MISDIRECTED_REQUEST, Outcome::NotRun, detail);
    let mut response = problem.into_response(request_id);
    let value = HeaderValue::from_str(&progress.to_string());
    let value = value.expect("keys of rows are valid header values");
    response.headers_mut().insert(header::PROGRESS, value);
    response
}

/// Reads the progress header of a request. Returns `None` if it is missing or malformed.
pub(crate) fn read_progress(headers: &HeaderMap) -> Option<Progress> {
    headers.get(header::PROGRESS)?.to_str().ok()?.parse().ok()
}

impl std::fmt::Display for Progress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.attempts)?;
        match &self.claim {
            Some(claim) => write!(f, ";{};{}", claim.version, claim.key),
            None => Ok(()),
        }
    }
}

/// Error for a malformed progress header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidProgress;

impl std::str::FromStr for Progress {
    type Err = InvalidProgress;

    fn from_str(text: &str) -> Result<Self, InvalidProgress> {
        let mut parts = text.splitn(3, ';');
        let attempts = parts
            .next()
            .ok_or(InvalidProgress)?
            .parse()
            .map_err(|_| InvalidProgress)?;
        let claim = match (parts.next(), parts.next()) {
            (Some(version), Some(key)) => {
                let version = Version(version.parse().map_err(|_| InvalidProgress)?);
                Some(Check {
                    key: key.into(),
                    version,
                })
            }
            (None, _) => None,
            (Some(_), None) => return Err(InvalidProgress),
        };
        Ok(Self { attempts, claim })
    }
}
