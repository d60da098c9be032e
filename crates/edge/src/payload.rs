//! Bodies on their way: whole, or a beginning and what still comes.

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

/// Largest body that is taken whole before it is passed on. Whole bodies can
/// be sent again, and whole answers can be checked.
const MAX_WHOLE_BYTES: usize = 256 << 10;
/// The same while little memory is left for bodies.
const MAX_WHOLE_BYTES_IN_NEED: usize = 16 << 10;
/// Largest rest of an answer that is passed on after its time: a slow caller gets what
/// its upstream had ready.
const MAX_LATE_BYTES: u64 = 16 << 20;
/// Time for which an upstream may be waited for after that, all in all.
const LATE_WAIT: Duration = Duration::from_millis(300);

/// Body on its way.
#[derive(Debug)]
pub(crate) enum Payload {
    /// All of it.
    Whole(Option<Bytes>),
    /// Its beginning, and the source of the rest.
    Partial {
        first: Option<Bytes>,
        rest: Incoming,
        /// Where an answer comes from; none for the body of a request.
        source: Option<Source>,
    },
}

/// Where the rest of an answer comes from, and until when.
#[derive(Debug)]
pub(crate) struct Source {
    /// Connection that it comes over, closed with the body.
    _link: Link,
    /// End of its time, then of the present wait for the upstream.
    end: Pin<Box<Sleep>>,
    is_late: bool,
    /// Time that is left of [`LATE_WAIT`], and the beginning of the present wait.
    late_wait: Duration,
    waits_since: Option<Instant>,
    origin: Origin,
}

/// Request that an answer belongs to, for whoever has to tell why it was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) service: Arc<str>,
    pub(crate) upstream: Arc<str>,
    pub(crate) request: Option<Arc<str>>,
}

/// Why a body ended before it was whole.
#[derive(Debug, Display, Error)]
pub(crate) enum Fault {
    /// Its sender broke off.
    #[display("{source}")]
    Broken {
        source: hyper::Error,
        #[error(not(source))]
        origin: Option<Origin>,
    },
    /// It had not ended when its time was over.
    #[display("the answer did not end in time")]
    Endless {
        #[error(not(source))]
        origin: Origin,
    },
}

impl Fault {
    pub(crate) fn is_endless(&self) -> bool {
        matches!(self, Self::Endless { .. })
    }

    /// Answer that was cut, if it is one.
    pub(crate) fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Broken { origin, .. } => origin.as_ref(),
            Self::Endless { origin } => Some(origin),
        }
    }
}

/// How taking a body ended.
pub(crate) enum Taken {
    Whole(Bytes),
    Partial(Bytes, Incoming),
    Broken,
}

impl Source {
    /// Lets an answer come over `link` until an instant.
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

    /// Whether the time of the answer is over.
    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        self.is_late = self.is_late || self.end.as_mut().poll(context).is_ready();
        self.is_late
    }

    /// Notes that the upstream has sent something.
    fn end_wait(&mut self) {
        if let Some(since) = self.waits_since.take() {
            self.late_wait = self.late_wait.saturating_sub(clock::now() - since);
        }
    }

    /// Whether a late answer was waited for too long.
    fn waited_too_long(&mut self, context: &mut Context<'_>) -> bool {
        if self.waits_since.is_none() {
            self.waits_since = Some(clock::now());
            let end = tokio::time::Instant::now() + self.late_wait;
            self.end.as_mut().reset(end);
        }
        self.end.as_mut().poll(context).is_ready()
    }

    fn endless(&self) -> Fault {
        let origin = self.origin.clone();
        Fault::Endless { origin }
    }
}

impl Payload {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Bytes of it, as far as they are known.
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

/// Takes a body, whole if it is short enough for the memory that is left.
pub(crate) async fn take(mut body: Incoming, memory: &Memory) -> Taken {
    if body.is_end_stream() {
        return Taken::Whole(Bytes::new());
    }
    // Growing step by step leaves a buffer of up to twice the size.
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
            MAX_WHOLE_BYTES_IN_NEED
        } else {
            MAX_WHOLE_BYTES
        };
        if buffer.len() > most {
            return Taken::Partial(held.keep(buffer.freeze()), body);
        }
    }
}

/// Takes the next part of an answer's rest. After its time it goes on only as long as
/// its upstream is ahead of the caller, and an end is declared.
fn poll_rest(
    rest: &mut Incoming,
    source: Option<&mut Source>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
    let Some(source) = source else {
        let broken = |source| Fault::Broken {
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
            polled.map_err(|error| Fault::Broken {
                source: error,
                origin: Some(source.origin.clone()),
            })
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
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
