//! HTTP/1.1 connections to one machine: an upstream or a home router.
//!
//! Answers are matched to requests by their position on the connection. So a
//! connection whose exchange didn't end whole is closed and never used again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Longest answer that is read only to keep its connection, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// Longest time to read such an answer.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

type Sender = SendRequest<Full<Bytes>>;

/// Why there is no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the request was written: it did not run.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been received.
    #[display("lost: {_0}")]
    Lost(String),
}

/// Whether a connection that waited for work may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Yes. The other side may close it just when a request is written, which
    /// leaves the outcome unknown.
    Allowed,
    /// No, so that such a race can't happen.
    Never,
}

/// Connections to one address that wait for work. Cloning it shares them.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
    most_idle: usize,
}

/// Connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Lease {
    link: Link,
    sender: Sender,
    waited: bool,
}

impl Lease {
    /// Gives the connection back after an exchange that ended whole.
    pub(crate) fn release(self) {
        let mut idle = self
            .link
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.link.most_idle && !self.sender.is_closed() {
            idle.push(self.sender);
        }
    }

    /// Reads a short answer that is of no use to its end and gives the
    /// connection back.
    pub(crate) async fn release_after(self, response: Response<Incoming>) {
        let body = Limited::new(response.into_body(), MAX_DISCARDED_BYTES);
        let read = timeout(DISCARD_TIMEOUT, body.collect()).await;
        if matches!(read, Ok(Ok(_))) {
            self.release();
        }
    }

    /// Tells whether the connection had waited for work.
    pub(crate) fn waited(&self) -> bool {
        self.waited
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the returned future closes the connection, which cancels the
    /// work of the receiver.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Self), Failure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent {
                    Failure::NotSent(reason)
                } else {
                    Failure::Lost(reason)
                })
            }
        }
    }
}

impl Link {
    /// Creates a link that keeps at most `most_idle` connections open.
    pub(crate) fn new(address: SocketAddr, most_idle: usize) -> Self {
        Self {
            address,
            idle: Arc::default(),
            most_idle,
        }
    }

    /// Returns the address at the other end.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a connection for one exchange.
    pub(crate) async fn open(&self, reuse: Reuse) -> Result<Lease, Failure> {
        if reuse == Reuse::Allowed
            && let Some(sender) = self.take_idle()
        {
            return Ok(Lease {
                link: self.clone(),
                sender,
                waited: true,
            });
        }
        let sender = self.connect().await?;
        Ok(Lease {
            link: self.clone(),
            sender,
            waited: false,
        })
    }

    /// Sends a request over a connection that waited, or a new one.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        let lease = self.open(Reuse::Allowed).await?;
        if !lease.waited() {
            return lease.send(request).await;
        }
        match lease.send(request.clone()).await {
            Err(Failure::NotSent(_)) => self.open(Reuse::Never).await?.send(request).await,
            sent => sent,
        }
    }

    /// Closes all connections that wait for work.
    pub(crate) fn clear(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Sender, Failure> {
        let address = self.address;
        let not_sent = |reason: String| Failure::NotSent(reason);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent(format!("no connection to {address} in time")))?
            .map_err(|error| not_sent(format!("no connection to {address}: {error}")))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(async move {
            // The exchange reports the error to its own caller.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
