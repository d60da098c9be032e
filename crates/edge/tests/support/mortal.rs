//! An upstream whose process ends when it begins to run some request, and starts again after a
//! while.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::platform::Store;
use super::upstream::Server;

/// Path of the requests that end the process.
pub(crate) const DEADLY_PATH: &str = "/v1/deadly";

/// What happened at one or more upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Arrivals of requests that end the process.
    pub(crate) deadly: Vec<Instant>,
    /// Ends of processes.
    pub(crate) ends: Vec<Instant>,
}

/// Upstream whose process ends. Clones share its state.
#[derive(Clone)]
pub(crate) struct Mortal {
    pub(crate) server: Server,
    history: Arc<Mutex<History>>,
    end: Arc<Notify>,
}

impl Mortal {
    /// Starts an upstream that registers each of its processes. A process that ended starts again
    /// after `pause`.
    pub(crate) async fn start(id: &str, store: &Store, keyed: bool, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Server::at(id, address);
        let mortal = Self {
            server: if keyed { server.keyed() } else { server },
            history: Arc::default(),
            end: Arc::default(),
        };
        store.register("sheets", &mortal.server);
        let (running, store) = (mortal.clone(), store.clone());
        tokio::spawn(async move {
            let mut listener = listener;
            for incarnation in 2.. {
                running.live(listener).await;
                running.server.lose_grants();
                sleep(pause).await;
                listener = bind(address).await;
                store.register_as("sheets", &running.server, |upstream| {
                    upstream.incarnation = incarnation;
                });
            }
        });
        mortal
    }

    /// Ends the process.
    pub(crate) fn kill(&self) {
        self.end.notify_one();
    }

    pub(crate) fn history(&self) -> History {
        self.history.lock().unwrap().clone()
    }

    /// Runs one process.
    async fn live(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.unwrap().0,
                () = self.end.notified() => break,
            };
            let mortal = self.clone();
            connections.spawn(async move {
                let close = Notify::new();
                let service = service_fn(|request| mortal.serve(request, &close));
                let builder = http1::Builder::new();
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    () = close.notified() => {}
                }
            });
        }
        self.history.lock().unwrap().ends.push(Instant::now());
        drop(listener);
        connections.shutdown().await;
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        close: &Notify,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let is_deadly = request.uri().path() == DEADLY_PATH;
        if is_deadly {
            self.history.lock().unwrap().deadly.push(Instant::now());
        }
        let key = request.headers().get("x-key");
        let key = key.and_then(|key| key.to_str().ok()?.parse().ok());
        let runs = !self.server.is_keyed() || key.is_some_and(|key| self.server.holds(key));
        if is_deadly && runs {
            self.kill();
            std::future::pending::<()>().await;
        }
        Ok(self.server.serve(request, close).await)
    }
}

async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}
