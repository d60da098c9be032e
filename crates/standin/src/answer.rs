//! Answers of the stand-ins, including bodies that are streamed or cut short.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use serde::Serialize;

use derive_more::{Display, Error};
use tokio::time::{Instant, Sleep, sleep};

const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// Error that makes hyper close the connection at once.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the stand-in closes the connection")]
pub(crate) struct Disconnect;

pub(crate) type Body = BoxBody<Bytes, Disconnect>;

/// Result of handling a request: a response, or a closed connection.
pub(crate) enum Answer {
    Reply(Response<Body>),
    Disconnect,
}

/// Body that sends its contents and then padding in chunks, and may end early.
pub(crate) struct StreamedBody<G> {
    contents: Bytes,
    padding: Padding,
    end: End,
    /// Delay before an early end, so that the bytes sent so far leave the process.
    pause: Pin<Box<Sleep>>,
    /// Resource that is held until the body is dropped, such as a request slot.
    _guard: G,
}

/// Padding made of a repeated pattern.
#[derive(Clone, Debug, Default)]
pub(crate) struct Padding {
    pub(crate) pattern: Bytes,
    /// Number of bytes still to send.
    pub(crate) left: u64,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The body is complete.
    Whole,
    /// The connection is closed in the middle of the body.
    Broken,
    /// The body ends before the length in `Content-Length` is reached.
    Short,
}

impl Answer {
    pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let text = serde_json::to_vec(value).expect("answers serialize to JSON");
        let mut response = Response::new(full(text));
        *response.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        Self::Reply(response)
    }

    pub(crate) fn status(status: StatusCode) -> Self {
        let mut response = Response::new(full(Vec::new()));
        *response.status_mut() = status;
        Self::Reply(response)
    }

    /// Refuses a request and asks the caller to retry later (`Retry-After`).
    pub(crate) fn busy(status: StatusCode, retry_after_seconds: u64) -> Self {
        Self::status(status).with_header(RETRY_AFTER.as_str(), &retry_after_seconds.to_string())
    }

    pub(crate) fn bytes(status: StatusCode, contents: Bytes) -> Self {
        let mut response = Response::new(full(contents));
        *response.status_mut() = status;
        Self::Reply(response)
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Reply(response) = &mut self {
            let value = HeaderValue::from_str(value).expect("header values are visible ASCII");
            response.headers_mut().insert(name, value);
        }
        self
    }

    /// Closes the connection after half of the body.
    pub(crate) async fn cut(self) -> Self {
        let Self::Reply(response) = self else {
            return self;
        };
        let (parts, body) = response.into_parts();
        let Ok(collected) = body.collect().await else {
            return Self::Disconnect;
        };
        let contents = collected.to_bytes();
        let half = contents.slice(..contents.len() / 2);
        let pieces = StreamedBody::new(half, Padding::default(), End::Broken, ());
        Self::Reply(Response::from_parts(parts, pieces.boxed()))
    }
}

pub(crate) fn full(contents: impl Into<Bytes>) -> Body {
    let body = Full::new(contents.into());
    body.map_err(|never: Infallible| match never {}).boxed()
}

impl<G> StreamedBody<G> {
    pub(crate) fn new(contents: Bytes, padding: Padding, end: End, guard: G) -> Self {
        Self {
            contents,
            padding,
            end,
            pause: Box::pin(sleep(FLUSH_PAUSE)),
            _guard: guard,
        }
    }

    fn left(&self) -> u64 {
        self.contents.len() as u64 + self.padding.left
    }

    fn next_chunk(&mut self) -> Bytes {
        if !self.contents.is_empty() {
            return std::mem::take(&mut self.contents);
        }
        let pattern = &self.padding.pattern;
        let left = usize::try_from(self.padding.left).unwrap_or(usize::MAX);
        let chunk = pattern.slice(..pattern.len().min(left));
        self.padding.left -= chunk.len() as u64;
        chunk
    }
}

impl<G: Send + Sync + Unpin> hyper::body::Body for StreamedBody<G> {
    type Data = Bytes;
    type Error = Disconnect;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Disconnect>>> {
        if self.left() > 0 {
            let chunk = self.next_chunk();
            self.pause.as_mut().reset(Instant::now() + FLUSH_PAUSE);
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.end != End::Whole {
            ready!(self.pause.as_mut().poll(context));
        }
        match self.end {
            End::Whole | End::Short => Poll::Ready(None),
            End::Broken => Poll::Ready(Some(Err(Disconnect))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self.end {
            End::Whole => SizeHint::with_exact(self.left()),
            End::Broken | End::Short => SizeHint::default(),
        }
    }
}
