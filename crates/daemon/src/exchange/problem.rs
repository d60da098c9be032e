//! Error responses of the router itself, as `application/problem+json`.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::exchange::body::Body;
use crate::exchange::header;

/// Outcome of a request without a response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    /// The request is proven not to have run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran.
    Done,
}

impl Outcome {
    /// Returns the value for the outcome header.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

/// Error response to a request that could not be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// HTTP status of the response.
    pub(crate) status: StatusCode,
    /// Outcome of the request.
    pub(crate) outcome: Outcome,
    /// Cause of the error and what the caller can do.
    pub(crate) detail: String,
    /// Delay for `Retry-After`, `None` if a retry isn't known to be safe or useful.
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Content<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    title: &'a str,
    status: u16,
    outcome: Outcome,
    detail: &'a str,
    request_id: &'a str,
}

impl Problem {
    /// Creates a problem without `Retry-After`.
    pub(crate) fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the delay for `Retry-After`.
    pub(crate) fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Builds the HTTP response.
    pub(crate) fn into_response(self, request_id: &str) -> Response<Body> {
        let content = Content {
            kind: "about:blank",
            title: self.status.canonical_reason().unwrap_or("error"),
            status: self.status.as_u16(),
            outcome: self.outcome,
            detail: &self.detail,
            request_id,
        };
        let json = serde_json::to_vec(&content).expect("a problem is always valid JSON");
        let mut response = Response::new(Body::buffered(Bytes::from(json)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(
            header::OUTCOME,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Ok(id) = HeaderValue::from_str(request_id) {
            headers.insert(header::REQUEST_ID, id);
        }
        if let Some(span) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(span)));
        }
        response
    }
}

/// Rounds up to whole seconds, which `Retry-After` requires, and to at least one.
fn whole_seconds(span: Duration) -> u64 {
    let seconds = span.as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX).max(1)
}
