//! Bodies that stream from the next machine, and what is told of their end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use eelgrassrock_request::{Answer, Event, Id, Stored};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use crate::control::scheduler::Scheduler;
use crate::upstream::link::Lease;
use crate::upstream::load::Charge;

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

/// Exchange with an upstream whose answer streams.
pub(crate) struct FromUpstream {
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) request: Id,
    pub(crate) attempt: u32,
    pub(crate) status: u16,
    pub(crate) lease: Lease,
    /// Measurement of the slot, which ends with the answer.
    #[expect(dead_code, reason = "its drop ends the measurement")]
    pub(crate) charge: Charge,
}

impl Watch for FromUpstream {
    fn ended(self, end: End) {
        let answer = match end {
            End::Whole => {
                self.lease.release();
                Answer::Done(Stored {
                    status: self.status,
                    content: None,
                })
            }
            End::Broken => Answer::Broken,
            End::Abandoned => {
                self.scheduler.step(
                    Event::Disconnected {
                        request: self.request,
                    },
                    None,
                );
                Answer::Broken
            }
        };
        let event = Event::Answered {
            request: self.request,
            attempt: self.attempt,
            answer,
        };
        self.scheduler.step(event, None);
    }
}

/// Exchange with a home router whose answer streams.
pub(crate) struct FromHome {
    pub(crate) lease: Lease,
}

impl Watch for FromHome {
    fn ended(self, end: End) {
        if end == End::Whole {
            self.lease.release();
        }
    }
}
