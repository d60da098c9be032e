//! Damage to answers that an HTTP library refuses to send.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const GARBAGE: &[u8] = b"\x16\x03\x01 this is not an answer\r\n\r\n";

const WHOLE: u8 = 0;
const GARBLED: u8 = 1;
const TWICE: u8 = 2;

/// Damage done to the next answer of one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    damage: Arc<AtomicU8>,
}

impl Line {
    /// Sends bytes that aren't HTTP in place of the next answer.
    pub(crate) fn garble_next(&self) {
        self.damage.store(GARBLED, Ordering::SeqCst);
    }

    /// Sends the next answer twice.
    pub(crate) fn repeat_next(&self) {
        self.damage.store(TWICE, Ordering::SeqCst);
    }

    fn take(&self) -> u8 {
        self.damage.swap(WHOLE, Ordering::SeqCst)
    }
}

/// Connection that damages what is written to it.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    line: Line,
    pending: BytesMut,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, line: Line) -> Self {
        Self {
            inner,
            line,
            pending: BytesMut::new(),
        }
    }

    fn poll_pending(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(context, &self.pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(context))?;
        match self.line.take() {
            GARBLED => self.pending.extend_from_slice(GARBAGE),
            TWICE => {
                self.pending.extend_from_slice(buffer);
                self.pending.extend_from_slice(buffer);
            }
            _ => return Pin::new(&mut self.inner).poll_write(context, buffer),
        }
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(context))?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(context))?;
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
