//! Corrupts answers below the HTTP layer, because hyper sends only valid messages.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const GARBAGE: &[u8] = b"\x16\x03\x01 this is not an answer\r\n\r\n";

const INTACT: u8 = 0;
const GARBLED: u8 = 1;
const REPEATED: u8 = 2;

/// Damage to apply to the next answer on one connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tamper {
    damage: Arc<AtomicU8>,
}

impl Tamper {
    /// Replaces the next answer with bytes that aren't HTTP.
    pub(crate) fn garble_next(&self) {
        self.damage.store(GARBLED, Ordering::SeqCst);
    }

    /// Makes the connection send the next answer twice.
    pub(crate) fn repeat_next(&self) {
        self.damage.store(REPEATED, Ordering::SeqCst);
    }

    fn take(&self) -> u8 {
        self.damage.swap(INTACT, Ordering::SeqCst)
    }
}

/// TCP stream that damages the bytes written to it as [`Tamper`] says.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    tamper: Tamper,
    pending: BytesMut,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, tamper: Tamper) -> Self {
        Self {
            inner,
            tamper,
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
        match self.tamper.take() {
            GARBLED => self.pending.extend_from_slice(GARBAGE),
            REPEATED => {
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
