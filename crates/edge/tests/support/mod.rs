//! Runs routers with an in-memory store and with upstreams whose faults a test selects. All sockets
//! listen on loopback.
#![allow(dead_code)] // Each test file uses only some of these items.

pub(crate) mod link;
pub(crate) mod mortal;
pub(crate) mod platform;
pub(crate) mod raw;
pub(crate) mod upstream;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::budget;
use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::settings::{Level, Log, Settings};
use eelgrassrock_telemetry::log::Logger;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use platform::{FakePlatform, Store, route};
use upstream::Server;

/// Default time between the signal to stop and the end of a router.
pub(crate) const GRACE: Duration = Duration::from_secs(3);

/// A router that runs in its own thread. Dropping the value kills the router.
pub(crate) struct Router {
    pub(crate) settings: Settings,
    pub(crate) lines: Lines,
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Log of a router. Clones share it.
#[derive(Clone, Default)]
pub(crate) struct Lines(Arc<std::sync::Mutex<Vec<u8>>>);

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).into_owned()
    }
}

/// Returns an address with a free TCP and UDP port. The port is below the range that the system
/// assigns to outgoing connections, since a connection could take such a port before the router
/// listens on it.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let next = u64::from(std::process::id()) * 97 + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + (next % 22_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn settings(name: &str) -> Settings {
    static INCARNATION: AtomicU64 = AtomicU64::new(1);
    Settings {
        router: name.into(),
        incarnation: INCARNATION.fetch_add(1, Ordering::Relaxed),
        is_first_start: true,
        data_centre: "dc-a".into(),
        size: 200,
        memory: 256_000_000,
        link_mbit_per_s: 1_000.0,
        front: free_address(),
        readiness: free_address(),
        peer: free_address(),
        metrics: free_address(),
        repeats: budget::Limits {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
        },
        max_hold: Duration::from_secs(10),
        grace: GRACE,
        drain: Duration::from_secs(2),
        apply: Duration::from_secs(2),
        evacuation: None,
        cold_tolerance: None,
        return_time: Duration::from_secs(2),
        log: Log {
            level: Level::Info,
            sample: 1,
            max_lines_per_s: 1_000,
        },
    }
}

impl Router {
    pub(crate) fn start(name: &str, store: &Store) -> Self {
        Self::start_with(name, store, |_| ())
    }

    pub(crate) fn start_with(name: &str, store: &Store, change: impl Fn(&mut Settings)) -> Self {
        let mut settings = settings(name);
        change(&mut settings);
        let (stop, stopped) = oneshot::channel::<()>();
        let (kill, killed) = oneshot::channel::<()>();
        let lines = Lines::default();
        let thread = std::thread::spawn({
            let (platform, settings, lines) = (
                FakePlatform::new(store, name),
                settings.clone(),
                lines.clone(),
            );
            move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .unwrap();
                let logger = Logger::with_stream(lines, settings.log.level).unwrap();
                LocalSet::new().block_on(&runtime, async move {
                    let stop = async move {
                        let _ = stopped.await;
                    };
                    let serve = eelgrassrock_edge::serve(platform, settings, logger, stop);
                    tokio::select! {
                        end = serve => end.unwrap(),
                        _ = killed => {}
                    }
                });
            }
        });
        Self {
            settings,
            lines,
            stop: Some(stop),
            kill: Some(kill),
            thread: Some(thread),
        }
    }

    /// Starts a router of this size at an IP address of its own, which ends with `last`.
    pub(crate) fn start_at(last: u8, size: u32, store: &Store) -> Self {
        Self::start_with(&format!("router-{last}"), store, |settings| {
            settings.peer.set_ip([127, 0, 0, last].into());
            settings.size = size;
        })
    }

    /// Waits until the readiness check of the router succeeds.
    pub(crate) async fn ready(&self) {
        let request = || get("/ready", "router", "ready", 1_000);
        for _ in 0..200 {
            if let Ok(answer) = send(self.settings.readiness, request()).await
                && answer.status() == 200
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!(
            "{} did not become ready:\n{}",
            self.settings.router,
            self.lines.text()
        );
    }

    /// Asks the router to stop, as SIGTERM does.
    pub(crate) fn stop(&mut self) {
        let _ = self.stop.take().unwrap().send(());
    }

    pub(crate) fn is_running(&self) -> bool {
        self.thread
            .as_ref()
            .is_some_and(|thread| !thread.is_finished())
    }

    /// Ends the router at once, as SIGKILL does. Its sockets close and nothing is handed over.
    pub(crate) fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns two routers, the first of which relays to the second.
pub(crate) async fn relay_and_follower(store: &Store) -> [Router; 2] {
    let relay = Router::start_at(2, 500, store);
    relay.ready().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let follower = Router::start_at(3, 100, store);
    follower.ready().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    [relay, follower]
}

/// Returns a GET request with an identifier and the time that its caller waits.
pub(crate) fn get(path: &str, host: &str, id: &str, timeout_ms: u64) -> Request<Full<Bytes>> {
    Request::builder()
        .uri(path)
        .header("host", host)
        .header("x-id", id)
        .header("x-timeout-ms", timeout_ms)
        .body(Full::default())
        .unwrap()
}

/// Returns a POST request to `sheets.example`, with an identifier and the time that its caller
/// waits.
pub(crate) fn post(path: &str, id: &str, timeout_ms: u64, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "sheets.example")
        .header("x-id", id)
        .header("x-timeout-ms", timeout_ms)
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap()
}

/// Sends a request on a new connection, and returns the complete answer.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, hyper::Error> {
    let stream = connect(address).await;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (parts, body) = sender.send_request(request).await?.into_parts();
    Ok(Response::from_parts(
        parts,
        body.collect().await?.to_bytes(),
    ))
}

/// Reads one sample from the metrics page.
pub(crate) async fn sample(router: &Router, name: &str) -> Option<f64> {
    let page = send(router.settings.metrics, get("/metrics", "x", "m", 500))
        .await
        .unwrap();
    let page = String::from_utf8(page.into_body().to_vec()).unwrap();
    let value = page.lines().find_map(|line| line.strip_prefix(name))?;
    Some(value.trim().parse().unwrap())
}

/// Connects to an address, and retries for up to 2 s while nothing listens there.
async fn connect(address: SocketAddr) -> TcpStream {
    let give_up = Instant::now() + Duration::from_secs(2);
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(error) if Instant::now() > give_up => panic!("{address}: {error}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Returns a store with one registered upstream and one route for idempotent requests.
pub(crate) async fn serving(prefix: &str) -> (Store, Server) {
    let store = Store::default();
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    let routes = vec![route(prefix, Repeat::Idempotent, "sheets")];
    store.configure(1, routes, &[]);
    (store, server)
}

/// Waits until a condition holds. Panics after 400 checks, which take at least 8 s.
pub(crate) async fn eventually(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..400 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for {what}");
}
