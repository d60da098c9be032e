//! Bodies of answers: whole ones that the router made, and relayed ones.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::exchange::relay::{FromHome, FromUpstream, Relay};

/// Body of an answer to a caller or to an entry router.
pub(crate) enum Body {
    /// Made by this router.
    Whole(Option<Bytes>),
    /// From an upstream of which this router is home.
    Upstream(Relay<FromUpstream>),
    /// From a home router.
    Home(Relay<FromHome>),
}

impl Body {
    /// Creates a body from bytes.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(if bytes.is_empty() { None } else { Some(bytes) })
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Upstream(relay) => Pin::new(relay).poll_frame(cx),
            Self::Home(relay) => Pin::new(relay).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Upstream(relay) => relay.is_end_stream(),
            Self::Home(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Upstream(relay) => relay.size_hint(),
            Self::Home(relay) => relay.size_hint(),
        }
    }
}
