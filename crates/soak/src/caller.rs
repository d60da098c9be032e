//! Callers that send requests one after another over keep-alive connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_platform_standin::framing::{RequestHead, decode_answer, encode_request};
use http::{Method, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::checker::{Checker, Ending, RequestSpec};
use crate::plan::{HOST, Kind, MAX_ATTEMPTS, TIMEOUT};

/// Mean pause between two requests of a caller.
const THINK_TIME: Duration = Duration::from_millis(40);
/// Pause after a connection attempt failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a request's timeout at which a caller counts it as unanswered.
const EXTRA_WAIT: Duration = Duration::from_secs(4);
/// Share of requests that a caller cancels early.
const CANCEL_SHARE: f64 = 0.02;
/// Share of the requests with keys that use one of the hot keys.
const HOT_SHARE: f64 = 0.4;
const HOT_KEYS: std::ops::Range<u16> = 20_000..20_100;

/// Caller of one router.
pub(crate) struct Caller {
    pub(crate) router: usize,
    pub(crate) address: SocketAddr,
    pub(crate) checker: Arc<Checker>,
    pub(crate) random: ChaCha8Rng,
    pub(crate) served: Arc<Served>,
}

/// Number of requests that succeeded since the last `clear`, by router and kind.
#[derive(Debug, Default)]
pub(crate) struct Served {
    counts: Vec<[AtomicU64; Kind::ALL.len()]>,
}

impl Served {
    pub(crate) fn new(routers: usize) -> Self {
        Self {
            counts: (0..routers).map(|_| Default::default()).collect(),
        }
    }

    pub(crate) fn clear(&self) {
        let counts = self.counts.iter().flatten();
        counts.for_each(|count| count.store(0, Ordering::Relaxed));
    }

    /// Returns the routers and kinds without a successful request.
    pub(crate) fn missing(&self) -> Vec<(usize, Kind)> {
        let mut missing = Vec::new();
        for (router, counts) in self.counts.iter().enumerate() {
            for (kind, count) in Kind::ALL.iter().zip(counts) {
                if count.load(Ordering::Relaxed) == 0 {
                    missing.push((router, *kind));
                }
            }
        }
        missing
    }

    fn count(&self, router: usize, kind: Kind) {
        self.counts[router][kind as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl Caller {
    /// Returns the random generator of a caller, a stream of its own for each number.
    pub(crate) fn random(seed: u64, number: usize) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number as u64 + 1);
        random
    }

    /// Sends requests until `stop` is set.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let Some(mut connection) = self.connect().await else {
                sleep(RECONNECT_PAUSE).await;
                continue;
            };
            while !*stop.borrow() && !connection.is_closed() {
                sleep(THINK_TIME.mul_f64(self.random.random_range(0.2..1.8))).await;
                if !self.send(&mut connection).await {
                    break;
                }
            }
        }
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = stream.await.ok()?.ok()?;
        // Without TCP_NODELAY only the latency is higher, so a failure is harmless.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    /// Sends the request that ends upstreams, once.
    pub(crate) async fn send_deadly(mut self, kind: Kind, key: Option<u16>) {
        if let Some(mut connection) = self.connect().await {
            let head = head(key);
            let path = kind.deadly_path().into();
            self.send_one(&mut connection, kind, path, head).await;
        }
    }

    fn draw(&mut self) -> (Kind, Arc<str>, RequestHead) {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        let key = if self.random.random_bool(HOT_SHARE) {
            self.random.random_range(HOT_KEYS)
        } else {
            self.random.random()
        };
        let head = head(kind.is_keyed().then_some(key));
        let id = head.id.as_deref().unwrap_or_default();
        (kind, format!("{}{id}", kind.prefix()).into(), head)
    }

    /// Sends one request and reports how it ended. Returns whether the connection can be
    /// used again.
    async fn send(&mut self, connection: &mut SendRequest<Full<Bytes>>) -> bool {
        let (kind, path, head) = self.draw();
        self.send_one(connection, kind, path, head).await
    }

    async fn send_one(
        &mut self,
        connection: &mut SendRequest<Full<Bytes>>,
        kind: Kind,
        path: Arc<str>,
        head: RequestHead,
    ) -> bool {
        let id: Arc<str> = head.id.as_deref().unwrap_or_default().into();
        let method = if kind.is_idempotent() {
            Method::GET
        } else {
            Method::POST
        };
        if connection.ready().await.is_err() {
            return false;
        }
        let spec = RequestSpec {
            router: self.router,
            path: Arc::clone(&path),
            is_idempotent: kind.is_idempotent(),
            max_attempts: MAX_ATTEMPTS as usize,
            timeout: TIMEOUT,
        };
        self.checker.send(&id, spec);
        let request = encode_request(method, HOST, &path, &head, Bytes::new());
        let wait = if self.random.random_bool(CANCEL_SHARE) {
            TIMEOUT.mul_f64(self.random.random_range(0.0..0.1))
        } else {
            TIMEOUT + EXTRA_WAIT
        };
        let (ending, retry_after) = match timeout(wait, exchange(connection, request)).await {
            Ok(Some((ending, retry_after))) => (ending, retry_after),
            Ok(None) => (Ending::Broken, None),
            Err(_) if wait > TIMEOUT => (Ending::Broken, None),
            Err(_) => (Ending::Cancelled, None),
        };
        let is_answered = matches!(ending, Ending::Answered { .. });
        if matches!(&ending, Ending::Answered { status, .. } if status.is_success()) {
            self.served.count(self.router, kind);
        }
        self.checker.answer(&id, ending);
        sleep(retry_after.unwrap_or_default().min(TIMEOUT)).await;
        is_answered
    }
}

/// Returns the headers of a new request.
fn head(key: Option<u16>) -> RequestHead {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    RequestHead {
        id: Some(format!("r-{}", NEXT.fetch_add(1, Ordering::Relaxed))),
        target: None,
        remaining: Some(TIMEOUT),
        key,
    }
}

async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    request: http::Request<Full<Bytes>>,
) -> Option<(Ending, Option<Duration>)> {
    let response: Response<Incoming> = connection.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes().to_vec();
    let head = decode_answer(&parts.headers);
    let ending = Ending::Answered {
        status: parts.status,
        is_signed: head.is_signed,
        id: head.id,
        body,
    };
    Some((ending, head.retry_after))
}
