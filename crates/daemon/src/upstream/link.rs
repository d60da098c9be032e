//! Pool of HTTP/1.1 connections to one upstream or home router.
//!
//! HTTP/1.1 matches responses to requests by their order on the connection. A connection
//! is therefore closed, and never reused, if an exchange on it didn't complete.

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

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum body of a response that is read only to reuse the connection, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// Timeout for reading such a response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

type Sender = SendRequest<Full<Bytes>>;

/// Error that prevented a response.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the request was written, so it did not run.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been received and run.
    #[display("lost: {_0}")]
    Lost(String),
}

/// Whether an idle connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// An idle connection may be used. If the other side closes it while the request is
    /// written, the outcome is unknown.
    Allowed,
    /// Only a new connection is used, which avoids this race.
    Never,
}

/// Pool of idle connections to one address. Clones share the pool.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
    max_idle: usize,
}

/// Connection in use. It closes when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    link: Link,
    sender: Sender,
    is_reused: bool,
}

impl Connection {
    /// Returns the connection to the pool after a complete exchange. Closes it if the pool
    /// is full.
    pub(crate) fn release(self) {
        let mut idle = self
            .link
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.link.max_idle && !self.sender.is_closed() {
            idle.push(self.sender);
        }
    }

    /// Reads and discards the body of a response and returns the connection to the pool.
    /// Closes the connection if the body is too long or too slow.
    pub(crate) async fn drain_and_release(self, response: Response<Incoming>) {
        let body = Limited::new(response.into_body(), MAX_DISCARDED_BYTES);
        let read = timeout(DISCARD_TIMEOUT, body.collect()).await;
        if matches!(read, Ok(Ok(_))) {
            self.release();
        }
    }

    /// Returns whether the connection was idle in the pool before.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the returned future closes the connection, which cancels the request at
    /// the receiver.
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
    /// Creates a pool that keeps at most `max_idle` idle connections.
    pub(crate) fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            idle: Arc::default(),
            max_idle,
        }
    }

    /// Returns the address to which the connections lead.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection if `reuse` allows it and there is one, else connects.
    pub(crate) async fn open(&self, reuse: Reuse) -> Result<Connection, Failure> {
        if reuse == Reuse::Allowed
            && let Some(sender) = self.take_idle()
        {
            return Ok(Connection {
                link: self.clone(),
                sender,
                is_reused: true,
            });
        }
        let sender = self.connect().await?;
        Ok(Connection {
            link: self.clone(),
            sender,
            is_reused: false,
        })
    }

    /// Sends a request over an idle or new connection. Repeats it over a new connection if
    /// nothing was sent over the idle one.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let connection = self.open(Reuse::Allowed).await?;
        if !connection.is_reused() {
            return connection.send(request).await;
        }
        match connection.send(request.clone()).await {
            Err(Failure::NotSent(_)) => self.open(Reuse::Never).await?.send(request).await,
            sent => sent,
        }
    }

    /// Closes all idle connections.
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
            // An error is also returned by the exchange on this connection.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
