//! Bodies on their way: whole, or a beginning and what still comes.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::link::Link;

/// Largest body that is taken whole before it is passed on. Whole bodies can
/// be sent again, and whole answers can be checked.
const MAX_WHOLE_BYTES: usize = 256 << 10;

/// Body on its way.
#[derive(Debug)]
pub(crate) enum Payload {
    /// All of it.
    Whole(Option<Bytes>),
    /// Its beginning, and the source of the rest.
    Partial {
        first: Option<Bytes>,
        rest: Incoming,
        /// Connection that the rest comes over, closed with the body.
        _link: Option<Link>,
    },
}

/// How taking a body ended.
pub(crate) enum Taken {
    Whole(Bytes),
    Partial(Bytes, Incoming),
    Broken,
}

impl Payload {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    pub(crate) fn partial(first: Bytes, rest: Incoming, link: Option<Link>) -> Self {
        Self::Partial {
            first: Some(first),
            rest,
            _link: link,
        }
    }
}

/// Takes a body, whole if it is short enough.
pub(crate) async fn take(mut body: Incoming) -> Taken {
    if body.is_end_stream() {
        return Taken::Whole(Bytes::new());
    }
    let mut buffer = BytesMut::new();
    loop {
        match body.frame().await {
            None => return Taken::Whole(buffer.freeze()),
            Some(Err(_)) => return Taken::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
        }
        if buffer.len() > MAX_WHOLE_BYTES {
            return Taken::Partial(buffer.freeze(), body);
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Partial { first, rest, .. } => match first.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(rest).poll_frame(context),
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
