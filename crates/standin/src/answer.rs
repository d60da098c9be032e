//! Answers of the stand-ins, and the bodies that they stream.

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

/// The connection is closed at once.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the stand-in closes the connection")]
pub(crate) struct Hangup;

pub(crate) type Body = BoxBody<Bytes, Hangup>;

/// What a handler does with a request.
pub(crate) enum Answer {
    Reply(Response<Body>),
    Hangup,
}

/// Contents and a filling sent in pieces, perhaps cut off before their end.
pub(crate) struct Pieces<G> {
    contents: Bytes,
    filling: Filling,
    end: End,
    /// Lets what was sent leave before the end.
    pause: Pin<Box<Sleep>>,
    /// Held until the body is gone.
    _guard: G,
}

/// A pattern that is repeated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filling {
    pub(crate) pattern: Bytes,
    /// Bytes that are left to be sent.
    pub(crate) left: u64,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Whole,
    /// The connection breaks after the contents.
    Broken,
    /// The body ends as if it were whole. Its length was stated otherwise.
    Short,
}

impl Answer {
    pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let text = serde_json::to_vec(value).expect("the stand-ins send valid JSON");
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

    /// Refuses for now.
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
            let value = HeaderValue::from_str(value).expect("the stand-ins send plain headers");
            response.headers_mut().insert(name, value);
        }
        self
    }

    /// Breaks the connection after about half of the body.
    pub(crate) async fn cut(self) -> Self {
        let Self::Reply(response) = self else {
            return self;
        };
        let (parts, body) = response.into_parts();
        let Ok(collected) = body.collect().await else {
            return Self::Hangup;
        };
        let contents = collected.to_bytes();
        let half = contents.slice(..contents.len() / 2);
        let pieces = Pieces::new(half, Filling::default(), End::Broken, ());
        Self::Reply(Response::from_parts(parts, pieces.boxed()))
    }
}

pub(crate) fn full(contents: impl Into<Bytes>) -> Body {
    let body = Full::new(contents.into());
    body.map_err(|never: Infallible| match never {}).boxed()
}

impl<G> Pieces<G> {
    pub(crate) fn new(contents: Bytes, filling: Filling, end: End, guard: G) -> Self {
        Self {
            contents,
            filling,
            end,
            pause: Box::pin(sleep(FLUSH_PAUSE)),
            _guard: guard,
        }
    }

    fn left(&self) -> u64 {
        self.contents.len() as u64 + self.filling.left
    }

    fn next_piece(&mut self) -> Bytes {
        if !self.contents.is_empty() {
            return std::mem::take(&mut self.contents);
        }
        let pattern = &self.filling.pattern;
        let left = usize::try_from(self.filling.left).unwrap_or(usize::MAX);
        let piece = pattern.slice(..pattern.len().min(left));
        self.filling.left -= piece.len() as u64;
        piece
    }
}

impl<G: Send + Sync + Unpin> hyper::body::Body for Pieces<G> {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        if self.left() > 0 {
            let piece = self.next_piece();
            self.pause.as_mut().reset(Instant::now() + FLUSH_PAUSE);
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if self.end != End::Whole {
            ready!(self.pause.as_mut().poll(context));
        }
        match self.end {
            End::Whole | End::Short => Poll::Ready(None),
            End::Broken => Poll::Ready(Some(Err(Hangup))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self.end {
            End::Whole => SizeHint::with_exact(self.left()),
            End::Broken | End::Short => SizeHint::default(),
        }
    }
}
