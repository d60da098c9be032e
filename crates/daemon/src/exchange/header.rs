//! Names of headers and the rules for passing them on.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Identifier of a request, end to end.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("eelgrassrock-request-id");
/// Shard of the key of a request.
pub(crate) const SHARD: HeaderName = HeaderName::from_static("eelgrassrock-shard");
/// Epoch of the assignment under which a request was routed.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("eelgrassrock-epoch");
/// Time that is left for a request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("eelgrassrock-deadline-ms");
/// What became of a request: `not-run`, `unknown` or `done`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("eelgrassrock-outcome");
/// Credential of a router towards a home router.
pub(crate) const HOP: HeaderName = HeaderName::from_static("eelgrassrock-hop");
/// What a request keeps when it is routed again: attempts, and its claim.
pub(crate) const CARRIED: HeaderName = HeaderName::from_static("eelgrassrock-carried");
/// Partner that the entry router has authenticated.
pub(crate) const PARTNER: HeaderName = HeaderName::from_static("eelgrassrock-partner");
/// Key that a caller gives a request which must not repeat.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Prefix of the headers that routers add. Callers can't set them, except the
/// request identifier.
const OWN_PREFIX: &str = "eelgrassrock-";

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

/// Removes the headers that belong to one connection only: the standard ones
/// and those that `Connection` names.
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

/// Removes what a caller must not set: headers of the routers, and framing
/// that the next connection sets anew.
pub(crate) fn strip_foreign(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(HOST);
    strip_own(headers);
}

fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes what an answer of an upstream must not pass on: headers of the
/// connection and those of the routers.
pub(crate) fn strip_foreign_answer(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_own(headers);
}
