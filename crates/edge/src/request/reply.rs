//! Answers that the router makes itself, and removal of hop-by-hop headers.

use std::time::Duration;

use http::header::{
    CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

use crate::payload::Payload;

pub(super) fn refusal(
    status: StatusCode,
    reason: &'static str,
    retry_after: Duration,
) -> Response<Payload> {
    let mut response = plain(status, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

pub(super) fn plain(status: StatusCode, reason: &'static str) -> Response<Payload> {
    let mut response = Response::new(Payload::whole(reason));
    *response.status_mut() = status;
    response.extensions_mut().insert(Outcome(reason));
    response
}

/// How a request ended, attached to its answer.
#[derive(Clone, Copy)]
pub(super) struct Outcome(pub(super) &'static str);

pub(super) fn too_long(headers: &HeaderMap, limit: u64) -> bool {
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok());
    length
        .and_then(|length| length.parse::<u64>().ok())
        .is_some_and(|length| length > limit)
}

pub(super) fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

/// Removes the hop-by-hop headers, which concern only one connection.
pub(super) fn strip(headers: &mut HeaderMap) {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let single = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in single {
        headers.remove(name);
    }
}
