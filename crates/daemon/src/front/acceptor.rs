//! Accepts HTTP connections and shuts them down gracefully.

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

/// Delay after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of the connections of one port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum size of the head of a request, in bytes.
    pub(crate) header_bytes: u32,
    /// Time within which the whole head must arrive.
    pub(crate) header_timeout: Duration,
    /// Maximum number of open connections.
    pub(crate) connections: usize,
}

/// Handler of the requests on one port.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Future of the response.
    type Future: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static;

    /// Responds to one request.
    fn handle(&self, node: Arc<Node>, request: Request<Incoming>) -> Self::Future;
}

impl<F, Fut> Handler for F
where
    F: Fn(Arc<Node>, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    type Future = Fut;

    fn handle(&self, node: Arc<Node>, request: Request<Incoming>) -> Fut {
        self(node, request)
    }
}

/// HTTP server on one port.
pub(crate) struct Server {
    listener: TcpListener,
    limits: Limits,
}

impl Server {
    /// Listens on `address`.
    pub(crate) async fn open(address: SocketAddr, limits: Limits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            limits,
        })
    }

    /// Serves connections until `stop` becomes true. Then it closes the port and the idle
    /// connections, and waits for each request in flight until its response is complete.
    pub(crate) async fn run<A: Handler>(
        self,
        node: Arc<Node>,
        handler: A,
        mut stop: watch::Receiver<bool>,
    ) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let stream = tokio::select! {
                accepted = self.accept(&permits) => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            if let Some((stream, permit)) = stream {
                let handler = handler.clone();
                let node = Arc::clone(&node);
                let service = service_fn(move |request| handler.handle(Arc::clone(&node), request));
                let serving = self.serve(graceful.watcher(), stream, stop.clone(), service);
                tokio::spawn(async move {
                    serving.await;
                    drop(permit);
                });
            }
        }
        drop(self.listener);
        graceful.shutdown().await;
    }

    async fn accept(&self, permits: &Arc<Semaphore>) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let permit = Arc::clone(permits).acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => Some((stream, permit)),
            Err(_) => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                None
            }
        }
    }

    /// Serves one connection until it closes.
    fn serve<S>(
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
        // Small responses must not be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        let builder = self.builder();
        let limit = self.limits.header_timeout;
        async move {
            if !has_first_byte(&stream, limit, stop).await {
                return;
            }
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            // The client notices an error because the connection closes.
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

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: u32 = 8 << 10;

/// Waits for the first byte of a connection, and returns whether it arrived in time. The
/// header timeout of hyper starts only at the first byte, so a connection without any
/// would stay open forever.
async fn has_first_byte(
    stream: &TcpStream,
    limit: Duration,
    mut stop: watch::Receiver<bool>,
) -> bool {
    let mut first = [0];
    tokio::select! {
        biased;
        peeked = timeout(limit, stream.peek(&mut first)) => {
            matches!(peeked, Ok(Ok(count)) if count > 0)
        }
        _ = stop.wait_for(|stop| *stop) => false,
    }
}
