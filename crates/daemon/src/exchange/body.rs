//! Bodies of responses: buffered or relayed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::exchange::relay::{FromHome, FromUpstream, Relay};

/// Body of a response to a caller, an entry router or an operator.
pub(crate) enum Body {
    /// Bytes in memory, `None` once they are sent or if there are none.
    Buffered(Option<Bytes>),
    /// Streams from an upstream whose home is this router.
    Upstream(Relay<FromUpstream>),
    /// Streams from a home router.
    Home(Relay<FromHome>),
}

impl Body {
    /// Creates a body from bytes in memory.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(if bytes.is_empty() { None } else { Some(bytes) })
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Upstream(relay) => Pin::new(relay).poll_frame(cx),
            Self::Home(relay) => Pin::new(relay).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Upstream(relay) => relay.is_end_stream(),
            Self::Home(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Upstream(relay) => relay.size_hint(),
            Self::Home(relay) => relay.size_hint(),
        }
    }
}
