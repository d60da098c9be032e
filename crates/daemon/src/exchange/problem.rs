//! Answers that the router gives by itself: `application/problem+json`.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::exchange::body::Body;
use crate::exchange::header;

/// What is known of a request that isn't answered by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    /// It did not run, which is proved.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// It ran.
    Done,
}

impl Outcome {
    /// Returns the text that stands in answers.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

/// Answer to a request that could not be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// What became of the request.
    pub(crate) outcome: Outcome,
    /// What went wrong and what the caller can do.
    pub(crate) detail: String,
    /// Time after which a retry is sensible, `None` if no retry is safe.
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
    /// Creates a problem without a time for a retry.
    pub(crate) fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Adds the time after which a retry is sensible.
    pub(crate) fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Builds the HTTP answer.
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
        let mut response = Response::new(Body::whole(Bytes::from(json)));
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

/// Rounds up to whole seconds, at least one, as `Retry-After` demands.
fn whole_seconds(span: Duration) -> u64 {
    let seconds = span.as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX).max(1)
}
