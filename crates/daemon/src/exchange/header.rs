//! Names of headers, and the rules for forwarding headers.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Identifier of a request, the same on its whole path.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("eelgrassrock-request-id");
/// Shard of the key of a request.
pub(crate) const SHARD: HeaderName = HeaderName::from_static("eelgrassrock-shard");
/// Epoch of the assignment under which a request was routed.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("eelgrassrock-epoch");
/// Time left until the deadline of a request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("eelgrassrock-deadline-ms");
/// Outcome of a request: `not-run`, `unknown` or `done`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("eelgrassrock-outcome");
/// Token that authenticates an entry router to the home router.
pub(crate) const HOP_TOKEN: HeaderName = HeaderName::from_static("eelgrassrock-hop");
/// Progress of a request that is routed again: number of attempts and its claim.
pub(crate) const PROGRESS: HeaderName = HeaderName::from_static("eelgrassrock-carried");
/// Name of the partner that the entry router has authenticated.
pub(crate) const PARTNER: HeaderName = HeaderName::from_static("eelgrassrock-partner");
/// Idempotency key that a caller adds to a request that must not run twice.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Prefix of the headers that routers add. Callers can set only the request identifier.
const ROUTER_PREFIX: &str = "eelgrassrock-";

/// Headers that apply to one connection only and are never forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that apply to one connection only: the standard ones and those
/// that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the request headers that aren't forwarded: those of the connection and of the
/// routers, and `Host` and `Content-Length`, which are set again for the next connection.
pub(crate) fn sanitize_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(HOST);
    strip_router_headers(headers);
}

fn strip_router_headers(headers: &mut HeaderMap) {
    let router_headers: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(ROUTER_PREFIX))
        .cloned()
        .collect();
    for name in router_headers {
        headers.remove(name);
    }
}

/// Removes the headers of an upstream's response that aren't forwarded: those of the
/// connection and of the routers.
pub(crate) fn sanitize_response(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_router_headers(headers);
}
