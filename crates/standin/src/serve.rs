//! HTTP/1 listeners of the stand-ins.

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

use crate::answer::{Answer, Body, Disconnect};
use crate::tamper::{Stream, Tamper};

/// Addresses that a stand-in listens on. Port 0 requests a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address of the imitated service.
    pub listen: SocketAddr,
    /// Address of the admin port, where faults are set.
    pub admin: SocketAddr,
}

impl Addresses {
    /// Returns addresses that request free ports on the loopback interface.
    pub fn free() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any,
            admin: any,
        }
    }
}

/// Handles the requests that arrive on one port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. `tamper` damages the next answer on its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        tamper: Tamper,
    ) -> impl Future<Output = Answer> + Send;
}

/// Listening port. Dropping it closes the listener and all its connections.
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
    // Without TCP_NODELAY only the latency is higher, so a failure is harmless.
    let _ = stream.set_nodelay(true);
    let tamper = Tamper::default();
    let io = TokioIo::new(Stream::new(stream, tamper.clone()));
    let service = service_fn(move |request| answer(handler.clone(), request, tamper.clone()));
    // The caller notices a broken connection itself.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
    tamper: Tamper,
) -> Result<Response<Body>, Disconnect> {
    match handler.handle(request, tamper).await {
        Answer::Reply(response) => Ok(response),
        Answer::Disconnect => Err(Disconnect),
    }
}
