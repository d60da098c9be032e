//! The hop from an entry router to the home router of an upstream.

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
use crate::upstream::link::{Failure, Lease, Link};

/// Purpose of the token that routers show each other.
pub(crate) const TOKEN_PURPOSE: &str = "hop";

/// Added to the time left, so that the home router, which knows more, gives
/// the final answer first.
const GRACE: Duration = Duration::from_millis(100);

/// Result of a hop.
pub(crate) enum Passed {
    /// The answer of the home router.
    Answered(Response<Body>),
    /// The home router isn't home any more, or couldn't be reached. The
    /// request is proven not to have run.
    Elsewhere(Option<Carried>),
    /// The home router was lost with the request.
    Lost,
}

/// What a request keeps when it is routed again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Carried {
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// Claim of the idempotency key that the request holds.
    pub(crate) claim: Option<Check>,
}

/// Returns the address at which a router takes hops, from the one at which it
/// takes messages: the next port.
pub(crate) fn address(peer: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer.ip(), peer.port().wrapping_add(1))
}

/// Passes a request to its home router.
pub(crate) async fn pass(
    link: &Link,
    token: &str,
    inbound: &Inbound,
    carried: Option<&Carried>,
    left: Duration,
) -> Passed {
    let request = build(token, inbound, carried, left);
    match tokio::time::timeout(left + GRACE, link.send(request)).await {
        Ok(Ok((response, lease))) => receive(response, lease).await,
        Ok(Err(Failure::NotSent(_))) => Passed::Elsewhere(carried.cloned()),
        Ok(Err(Failure::Lost(_))) | Err(_) => Passed::Lost,
    }
}

fn build(
    token: &str,
    inbound: &Inbound,
    carried: Option<&Carried>,
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
    set(header::HOP, token);
    set(header::PARTNER, inbound.partner.as_str());
    set(header::REQUEST_ID, &inbound.request_id);
    set(header::DEADLINE, &left.as_millis().to_string());
    if let Some(carried) = carried {
        set(header::CARRIED, &carried.to_string());
    }
    request
}

async fn receive(response: Response<Incoming>, lease: Lease) -> Passed {
    if response.status() == StatusCode::MISDIRECTED_REQUEST
        && let Some(carried) = response.headers().get(header::CARRIED)
    {
        let carried = carried.to_str().ok().and_then(|text| text.parse().ok());
        lease.release_after(response).await;
        return Passed::Elsewhere(carried);
    }
    let mut response = response;
    header::strip_hop_by_hop(response.headers_mut());
    Passed::Answered(response.map(|body| Body::Home(Relay::new(body, FromHome { lease }))))
}

/// Answer of a home router to a request that it has to pass back.
pub(crate) fn pass_back(carried: &Carried, request_id: &str) -> Response<Body> {
    let detail = "this router is not the home of the owner of the key";
    let problem = Problem::new(StatusCode::MISDIRECTED_REQUEST, Outcome::NotRun, detail);
    let mut response = problem.into_response(request_id);
    let value = HeaderValue::from_str(&carried.to_string());
    let value = value.expect("keys of rows are valid header values");
    response.headers_mut().insert(header::CARRIED, value);
    response
}

/// Reads what a request keeps from its earlier routing.
pub(crate) fn carried(headers: &HeaderMap) -> Option<Carried> {
    headers.get(header::CARRIED)?.to_str().ok()?.parse().ok()
}

impl std::fmt::Display for Carried {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.attempts)?;
        match &self.claim {
            Some(claim) => write!(f, ";{};{}", claim.version, claim.key),
            None => Ok(()),
        }
    }
}

/// Error for a header that doesn't say what a request keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unreadable;

impl std::str::FromStr for Carried {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        let mut parts = text.splitn(3, ';');
        let attempts = parts
            .next()
            .ok_or(Unreadable)?
            .parse()
            .map_err(|_| Unreadable)?;
        let claim = match (parts.next(), parts.next()) {
            (Some(version), Some(key)) => {
                let version = Version(version.parse().map_err(|_| Unreadable)?);
                Some(Check {
                    key: key.into(),
                    version,
                })
            }
            (None, _) => None,
            (Some(_), None) => return Err(Unreadable),
        };
        Ok(Self { attempts, claim })
    }
}
