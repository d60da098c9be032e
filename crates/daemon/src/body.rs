//! Bodies of answers: whole ones that the router made, and relayed ones that
//! stream from the next machine.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

/// How a relayed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// All bytes were passed on.
    Whole,
    /// The sender closed early, or sent garbage.
    Broken,
    /// The receiver went away before the end.
    Abandoned,
}

/// Told once how a relayed body ended.
pub(crate) trait Watch: Send + Unpin + 'static {
    /// Takes the end of the body.
    fn ended(self, end: End);
}

/// Body that streams from one connection to another, with back-pressure: the
/// next part is read when the receiver asks for it.
pub(crate) struct Relay<W: Watch> {
    incoming: Incoming,
    watch: Option<W>,
}

impl<W: Watch> Relay<W> {
    /// Starts to relay `incoming`. The watch is told at once if it is empty.
    pub(crate) fn new(incoming: Incoming, watch: W) -> Self {
        let mut relay = Self {
            incoming,
            watch: Some(watch),
        };
        relay.settle_if_done();
        relay
    }

    fn settle(&mut self, end: End) {
        if let Some(watch) = self.watch.take() {
            watch.ended(end);
        }
    }

    fn settle_if_done(&mut self) {
        if self.incoming.is_end_stream() {
            self.settle(End::Whole);
        }
    }
}

impl<W: Watch> Drop for Relay<W> {
    fn drop(&mut self) {
        self.settle(End::Abandoned);
    }
}

impl<W: Watch> HttpBody for Relay<W> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(None) => self.settle(End::Whole),
            Poll::Ready(Some(Err(_))) => self.settle(End::Broken),
            Poll::Ready(Some(Ok(_))) => self.settle_if_done(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Body of an answer to a caller or to an entry router.
pub(crate) enum Body {
    /// Made by this router.
    Whole(Option<Bytes>),
    /// From an upstream of which this router is home.
    Upstream(Relay<crate::attempt::Exchange>),
    /// From a home router.
    Home(Relay<crate::hop::Exchange>),
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
