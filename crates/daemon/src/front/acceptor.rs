//! Accepting of HTTP connections, and their graceful end.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use crate::exchange::body::Body;
use crate::node::Node;

/// Pause after the machine refused a connection, for example for lack of
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of the connections of one port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Longest head of a request, in bytes.
    pub(crate) header_bytes: u32,
    /// Longest time in which the head must arrive.
    pub(crate) header_timeout: Duration,
    /// Most connections at the same time.
    pub(crate) connections: usize,
}

/// Function that answers the requests of one port.
pub(crate) trait Answer: Clone + Send + Sync + 'static {
    /// Future of the answer.
    type Future: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static;

    /// Answers one request.
    fn answer(&self, node: Arc<Node>, request: Request<Incoming>) -> Self::Future;
}

impl<F, Fut> Answer for F
where
    F: Fn(Arc<Node>, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    type Future = Fut;

    fn answer(&self, node: Arc<Node>, request: Request<Incoming>) -> Fut {
        self(node, request)
    }
}

/// Open port.
pub(crate) struct Server {
    listener: TcpListener,
    limits: Limits,
}

impl Server {
    /// Opens the port.
    pub(crate) async fn open(address: SocketAddr, limits: Limits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            limits,
        })
    }

    /// Serves until `stop` turns true, then lets all connections end: those
    /// with a request in flight when its answer is complete.
    pub(crate) async fn run<A: Answer>(
        self,
        node: Arc<Node>,
        answer: A,
        mut stop: watch::Receiver<bool>,
    ) {
        let graceful = GracefulShutdown::new();
        let room = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let stream = tokio::select! {
                accepted = self.accept(&room) => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            if let Some((stream, permit)) = stream {
                let answer = answer.clone();
                let node = Arc::clone(&node);
                let service = service_fn(move |request| answer.answer(Arc::clone(&node), request));
                let attended = self.attend(graceful.watcher(), stream, stop.clone(), service);
                tokio::spawn(async move {
                    attended.await;
                    drop(permit);
                });
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }

    async fn accept(&self, room: &Arc<Semaphore>) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let permit = Arc::clone(room).acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => Some((stream, permit)),
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                None
            }
        }
    }

    /// Serves one connection to its end.
    fn attend<S>(
        &self,
        watcher: Watcher,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
        service: S,
    ) -> impl Future<Output = ()> + Send + 'static
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S: Send + 'static,
        S::Future: Send + 'static,
    {
        // Small answers must not wait for more bytes.
        let _ = stream.set_nodelay(true);
        let builder = self.builder();
        let limit = self.limits.header_timeout;
        async move {
            if !has_spoken(&stream, limit, stop).await {
                return;
            }
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            // The other side is told by the end of the connection.
            let _ = watcher.watch(connection.into_owned()).await;
        }
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.header_bytes.max(MIN_BUFFER_BYTES) as usize);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(self.limits.header_bytes);
        builder
    }
}

/// Least buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: u32 = 8 << 10;

/// Waits for the first byte of a connection. The HTTP library measures the
/// time of the head only from there, so that a connection on which nothing
/// ever comes would stay for ever.
async fn has_spoken(stream: &TcpStream, limit: Duration, mut stop: watch::Receiver<bool>) -> bool {
    let mut first = [0];
    tokio::select! {
        biased;
        peeked = timeout(limit, stream.peek(&mut first)) => {
            matches!(peeked, Ok(Ok(count)) if count > 0)
        }
        _ = stop.wait_for(|stop| *stop) => false,
    }
}
