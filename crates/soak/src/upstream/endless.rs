//! Body of an answer that never ends.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::time::{Interval, interval};

/// Interval between two chunks of an endless answer.
const CHUNK_INTERVAL: Duration = Duration::from_millis(2);

/// Endless body, sent slowly enough that callers can buffer what arrives.
#[derive(Debug)]
pub(super) struct EndlessBody(Interval);

impl EndlessBody {
    pub(super) fn new() -> Self {
        Self(interval(CHUNK_INTERVAL))
    }
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = |_| Some(Ok(Frame::data(Bytes::from_static(&[b'x'; 4_096]))));
        self.get_mut().0.poll_tick(context).map(frame)
    }
}
