//! Bodies of requests and answers: complete, or a first part with a stream of the rest.

mod memory;

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use eelgrassrock_model::time::Instant;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::clock;
use crate::link::Link;
pub(crate) use memory::Memory;

/// Largest body that is buffered completely before it is passed on. Complete requests can be sent
/// again, and complete answers can be checked.
const MAX_WHOLE_BYTES: usize = 256 << 10;
/// Limit instead of [`MAX_WHOLE_BYTES`] while the memory for bodies is scarce.
const MAX_WHOLE_BYTES_WHEN_SCARCE: usize = 16 << 10;
/// Largest remainder of an answer that is still passed on after its deadline, so that a slow caller
/// gets what the upstream had ready.
const MAX_LATE_BYTES: u64 = 16 << 20;
/// Total time for which the router waits for the upstream after that deadline.
const LATE_WAIT: Duration = Duration::from_millis(300);

/// Body of a request or answer.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Complete body.
    Whole(Option<Bytes>),
    /// First part of the body, and the stream of the rest.
    Partial {
        first: Option<Bytes>,
        rest: Incoming,
        /// Source of an answer; none for the body of a request.
        source: Option<Source>,
    },
}

/// Connection that supplies the rest of an answer, and its deadline.
#[derive(Debug)]
pub(crate) struct Source {
    /// Connection of the answer, closed when the body is dropped.
    _link: Link,
    /// Deadline of the answer. Once that has passed, end of the current wait for the upstream.
    end: Pin<Box<Sleep>>,
    is_late: bool,
    /// Unused part of [`LATE_WAIT`], and the beginning of the current wait.
    late_wait: Duration,
    waits_since: Option<Instant>,
    origin: Origin,
}

/// Request to which an answer belongs, for the log line if the answer is truncated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) service: Arc<str>,
    pub(crate) upstream: Arc<str>,
    pub(crate) request: Option<Arc<str>>,
}

/// Error that ended a body before it was complete.
#[derive(Debug, Display, Error)]
pub(crate) enum BodyError {
    /// The sender failed or closed the connection.
    #[display("{source}")]
    Broken {
        source: hyper::Error,
        #[error(not(source))]
        origin: Option<Origin>,
    },
    /// The body was not complete at its deadline.
    #[display("the answer did not end in time")]
    Endless {
        #[error(not(source))]
        origin: Origin,
    },
}

impl BodyError {
    pub(crate) fn is_endless(&self) -> bool {
        matches!(self, Self::Endless { .. })
    }

    /// Returns the origin of the truncated answer, if this isn't the body of a request.
    pub(crate) fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Broken { origin, .. } => origin.as_ref(),
            Self::Endless { origin } => Some(origin),
        }
    }
}

/// Result of buffering a body.
pub(crate) enum Taken {
    Whole(Bytes),
    Partial(Bytes, Incoming),
    Broken,
}

impl Source {
    /// Creates the source of an answer that arrives over `link` and must end at `until`.
    pub(crate) fn new(link: Link, until: Instant, origin: Origin) -> Self {
        Self {
            _link: link,
            end: Box::pin(tokio::time::sleep(until - clock::now())),
            is_late: false,
            late_wait: LATE_WAIT,
            waits_since: None,
            origin,
        }
    }

    /// Whether the deadline of the answer has passed.
    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        self.is_late = self.is_late || self.end.as_mut().poll(context).is_ready();
        self.is_late
    }

    /// Ends the current wait, because the upstream has sent something.
    fn end_wait(&mut self) {
        if let Some(since) = self.waits_since.take() {
            self.late_wait = self.late_wait.saturating_sub(clock::now() - since);
        }
    }

    /// Whether the total wait for a late answer has been used up.
    fn waited_too_long(&mut self, context: &mut Context<'_>) -> bool {
        if self.waits_since.is_none() {
            self.waits_since = Some(clock::now());
            let end = tokio::time::Instant::now() + self.late_wait;
            self.end.as_mut().reset(end);
        }
        self.end.as_mut().poll(context).is_ready()
    }

    fn endless(&self) -> BodyError {
        let origin = self.origin.clone();
        BodyError::Endless { origin }
    }
}

impl Payload {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Returns its size in bytes, as far as it is known.
    pub(crate) fn known_bytes(&self) -> usize {
        let hint = self.size_hint();
        hint.upper().unwrap_or(hint.lower()) as usize
    }

    pub(crate) fn partial(first: Bytes, rest: Incoming, source: Option<Source>) -> Self {
        Self::Partial {
            first: Some(first),
            rest,
            source,
        }
    }
}

/// Buffers a body, completely if it is small enough for the available memory.
pub(crate) async fn take(mut body: Incoming, memory: &Memory) -> Taken {
    if body.is_end_stream() {
        return Taken::Whole(Bytes::new());
    }
    // Growing the buffer step by step would allocate up to twice the size.
    let declared = body.size_hint().exact().unwrap_or(0);
    let mut buffer = BytesMut::with_capacity(declared.min(MAX_WHOLE_BYTES as u64) as usize);
    let mut held = memory.hold();
    loop {
        match body.frame().await {
            None => return Taken::Whole(held.keep(buffer.freeze())),
            Some(Err(_)) => return Taken::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    held.grow(data.len());
                    buffer.extend_from_slice(&data);
                }
            }
        }
        let most = if memory.is_scarce() {
            MAX_WHOLE_BYTES_WHEN_SCARCE
        } else {
            MAX_WHOLE_BYTES
        };
        if buffer.len() > most {
            return Taken::Partial(held.keep(buffer.freeze()), body);
        }
    }
}

/// Polls the rest of a body. After its deadline an answer continues only while its upstream is
/// ahead of the caller, and only if its length is known.
fn poll_rest(
    rest: &mut Incoming,
    source: Option<&mut Source>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let Some(source) = source else {
        let broken = |source| BodyError::Broken {
            source,
            origin: None,
        };
        return Pin::new(rest).poll_frame(context).map_err(broken);
    };
    let is_late = source.is_late(context);
    let may_go_on = rest
        .size_hint()
        .exact()
        .is_some_and(|left| left <= MAX_LATE_BYTES);
    if is_late && !may_go_on {
        return Poll::Ready(Some(Err(source.endless())));
    }
    match Pin::new(rest).poll_frame(context) {
        Poll::Pending if is_late && source.waited_too_long(context) => {
            Poll::Ready(Some(Err(source.endless())))
        }
        Poll::Pending => Poll::Pending,
        polled => {
            source.end_wait();
            polled.map_err(|error| BodyError::Broken {
                source: error,
                origin: Some(source.origin.clone()),
            })
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Partial {
                first,
                rest,
                source,
            } => match first.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => poll_rest(rest, source.as_mut(), context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Partial { first, rest, .. } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Partial { first, rest, .. } => {
                let first = first.as_ref().map_or(0, Bytes::len) as u64;
                let rest = rest.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(first + rest.lower());
                if let Some(upper) = rest.upper() {
                    hint.set_upper(first + upper);
                }
                hint
            }
        }
    }
}
