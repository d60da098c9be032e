//! Bodies that are streamed from an upstream or a home router, and observers that are
//! notified of their end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use eelgrassrock_request::{Answer, Event, Id, Stored};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use crate::control::scheduler::Scheduler;
use crate::upstream::link::Connection;
use crate::upstream::load::BusyGuard;

/// How a relayed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// All bytes were relayed.
    Complete,
    /// The sender closed the connection early or sent malformed data.
    Broken,
    /// The receiver disconnected before the end.
    Abandoned,
}

/// Observer that is notified once of the end of a relayed body.
pub(crate) trait Observer: Send + Unpin + 'static {
    /// Handles the end of the body.
    fn on_end(self, end: End);
}

/// Body that is relayed from one connection to another with back-pressure: the next part
/// is read only when the receiver polls for it.
pub(crate) struct Relay<O: Observer> {
    incoming: Incoming,
    observer: Option<O>,
}

impl<O: Observer> Relay<O> {
    /// Starts to relay `incoming`. Notifies the observer immediately if the body is empty.
    pub(crate) fn new(incoming: Incoming, observer: O) -> Self {
        let mut relay = Self {
            incoming,
            observer: Some(observer),
        };
        relay.notify_if_done();
        relay
    }

    fn notify(&mut self, end: End) {
        if let Some(observer) = self.observer.take() {
            observer.on_end(end);
        }
    }

    fn notify_if_done(&mut self) {
        if self.incoming.is_end_stream() {
            self.notify(End::Complete);
        }
    }
}

impl<O: Observer> Drop for Relay<O> {
    fn drop(&mut self) {
        self.notify(End::Abandoned);
    }
}

impl<O: Observer> HttpBody for Relay<O> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(None) => self.notify(End::Complete),
            Poll::Ready(Some(Err(_))) => self.notify(End::Broken),
            Poll::Ready(Some(Ok(_))) => self.notify_if_done(),
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

/// Exchange with an upstream whose response body is being relayed.
pub(crate) struct FromUpstream {
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) request: Id,
    pub(crate) attempt: u32,
    pub(crate) status: u16,
    pub(crate) connection: Connection,
    /// Measures how long the slot is busy, until the end of the response.
    #[expect(dead_code, reason = "its drop ends the measurement")]
    pub(crate) busy_guard: BusyGuard,
}

impl Observer for FromUpstream {
    fn on_end(self, end: End) {
        let answer = match end {
            End::Complete => {
                self.connection.release();
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

/// Exchange with a home router whose response body is being relayed.
pub(crate) struct FromHome {
    pub(crate) connection: Connection,
}

impl Observer for FromHome {
    fn on_end(self, end: End) {
        if end == End::Complete {
            self.connection.release();
        }
    }
}
