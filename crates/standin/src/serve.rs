//! Listening ports of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

use crate::answer::{Answer, Body, Hangup};
use crate::tamper::{Line, Stream};

/// Addresses that a stand-in listens on. Port 0 takes a free one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address of the service.
    pub listen: SocketAddr,
    /// Address that takes faults.
    pub admin: SocketAddr,
}

impl Addresses {
    /// Free ports of the loopback interface.
    pub fn free() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any,
            admin: any,
        }
    }
}

/// Answers the requests of one port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request that came over `line`.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        line: Line,
    ) -> impl Future<Output = Answer> + Send;
}

/// Listening port. Dropping it closes the port and all its connections.
#[derive(Debug)]
pub(crate) struct Port {
    pub(crate) address: SocketAddr,
    acceptor: AbortHandle,
}

impl Port {
    pub(crate) async fn open<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = tokio::spawn(accept(listener, handler)).abort_handle();
        Ok(Self { address, acceptor })
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve(stream, handler.clone()));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Delayed packets cost only latency, so a failure is harmless.
    let _ = stream.set_nodelay(true);
    let line = Line::default();
    let io = TokioIo::new(Stream::new(stream, line.clone()));
    let service = service_fn(move |request| answer(handler.clone(), request, line.clone()));
    // A connection that breaks is the caller's to notice.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
    line: Line,
) -> Result<Response<Body>, Hangup> {
    match handler.handle(request, line).await {
        Answer::Reply(response) => Ok(response),
        Answer::Hangup => Err(Hangup),
    }
}
