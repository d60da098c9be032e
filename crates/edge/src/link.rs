//! Connections to upstreams, each used for one request at a time, and pools of idle ones.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use eelgrassrock_store::endpoint::set_keepalive;
use http::HeaderMap;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock;
use crate::payload::Payload;

/// Timeout for establishing a connection. It allows for several round trips within a region. A lost
/// first packet is retransmitted only after a second, which is too late.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is reused if the upstream specifies none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Maximum time for which an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Share of the upstream's idle timeout that is used, so that the upstream doesn't close a
/// connection while a request is being sent.
const IDLE_SHARE: f64 = 0.8;
/// Further share of that time for requests that must run only once. If the upstream closes a
/// connection while such a request is being sent, it is unknown whether the request has run.
const IDLE_SHARE_ONCE: f64 = 0.6;
/// Time for which connections of an upstream aren't reused after one carried bytes that belong to
/// no request.
const QUARANTINE_TIME: Duration = Duration::from_secs(5);
/// Time after a reset of a reused connection during which requests that must run only once use only
/// recently used connections. Upstreams may drop idle connections, and it is then unknown whether
/// such a request has run.
const CAUTIOUS_TIME: Duration = Duration::from_secs(10);
/// Maximum idle time of a recently used connection.
const CAUTIOUS_IDLE: Duration = Duration::from_millis(300);
/// Time without a response after which the kernel closes a connection.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection to an upstream. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Payload>,
    driver: JoinHandle<()>,
    idle_since: Instant,
    reusable_until: Instant,
    /// Set when the connection carried bytes that belong to no request.
    tainted: Rc<Cell<bool>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections to one incarnation of an upstream, which is identified by its address.
#[derive(Debug, Default)]
struct Pool {
    address: Option<SocketAddr>,
    idle: Vec<Link>,
    quarantined_until: Option<Instant>,
}

/// Idle connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Links {
    pools: RefCell<HashMap<Arc<str>, Pool>>,
    cautious_until: Cell<Option<Instant>>,
}

impl Links {
    /// Takes an idle connection that is safe to reuse for a request with this repeat policy.
    pub(crate) fn take(&self, upstream: &Upstream, repeat: Repeat) -> Option<Link> {
        let now = clock::now();
        let is_cautious =
            repeat == Repeat::Once && self.cautious_until.get().is_some_and(|until| now < until);
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&upstream.id)?;
        if pool.address != Some(upstream.address) {
            pool.idle.clear();
            return None;
        }
        let is_tainted = pool.idle.iter().any(|link| link.tainted.get());
        if is_tainted {
            pool.quarantined_until = Some(now + QUARANTINE_TIME);
        }
        if pool.quarantined_until.is_some_and(|until| now < until) {
            pool.idle.clear();
            return None;
        }
        while let Some(link) = pool.idle.pop() {
            let idle = now - link.idle_since;
            let max_idle = (link.reusable_until - link.idle_since).mul_f64(IDLE_SHARE_ONCE);
            if is_cautious && idle > CAUTIOUS_IDLE || repeat == Repeat::Once && idle > max_idle {
                continue;
            }
            if now < link.reusable_until && !link.sender.is_closed() && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete answer with these headers. If the pool has
    /// `max_idle` idle connections already, the oldest is closed, since an upstream accepts a
    /// limited number from all routers together.
    pub(crate) fn keep(
        &self,
        upstream: &Upstream,
        mut link: Link,
        headers: &HeaderMap,
        max_idle: usize,
    ) {
        if link.sender.is_closed() || link.tainted.get() {
            return;
        }
        link.idle_since = clock::now();
        link.reusable_until = link.idle_since + idle_limit(headers);
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&upstream.id)).or_default();
        if pool.address != Some(upstream.address) {
            pool.idle.clear();
            pool.address = Some(upstream.address);
        }
        if pool.idle.len() >= max_idle {
            // The connection that has been idle longest is closed.
            pool.idle.remove(0);
        }
        pool.idle.push(link);
    }

    /// Records that a reused connection failed during a request.
    pub(crate) fn note_reset(&self) {
        self.cautious_until.set(Some(clock::now() + CAUTIOUS_TIME));
    }

    /// Stops reusing connections of an upstream for a while, because it sent bytes that belong to
    /// no request.
    pub(crate) fn quarantine(&self, upstream: &Upstream) {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&upstream.id)).or_default();
        pool.idle.clear();
        pool.quarantined_until = Some(clock::now() + QUARANTINE_TIME);
    }

    /// Closes connections that can't be reused any more, and removes pools of unknown upstreams.
    /// Returns the number of remaining connections.
    pub(crate) fn sweep(&self, is_known: impl Fn(&str) -> bool) -> usize {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        pools.retain(|id, _| is_known(id));
        for pool in pools.values_mut() {
            pool.idle
                .retain(|link| now < link.reusable_until && !link.sender.is_closed());
        }
        pools.values().map(|pool| pool.idle.len()).sum()
    }
}

/// Establishes a connection. Returns `None` if that fails.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> Option<Link> {
    establish(TcpStream::connect(address), limit).await
}

/// Establishes a connection from a local address, by which other routers recognize this one.
pub(crate) async fn connect_from(
    local: IpAddr,
    address: SocketAddr,
    limit: Duration,
) -> Option<Link> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(local, 0)).ok()?;
    establish(socket.connect(address), limit).await
}

async fn establish(
    stream: impl Future<Output = io::Result<TcpStream>>,
    limit: Duration,
) -> Option<Link> {
    let limit = limit.min(CONNECT_TIMEOUT);
    let stream = timeout(limit, stream).await.ok()?.ok()?;
    // If these options can't be set, answers are delayed and failures are detected later.
    let _ = stream.set_nodelay(true);
    let _ = set_keepalive(&stream, DEAD_PEER_TIMEOUT);
    let mut builder = Builder::new();
    builder.max_buf_size(64 << 10);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    let tainted = Rc::new(Cell::new(false));
    let taint = Rc::clone(&tainted);
    let driver = tokio::task::spawn_local(async move {
        // Any other error is reported to the request under way.
        if connection.await.is_err_and(|error| !is_disconnect(&error)) {
            taint.set(true);
        }
    });
    Some(Link {
        sender,
        driver,
        idle_since: clock::now(),
        reusable_until: clock::now(),
        tainted,
    })
}

/// Whether an address refuses connections, so that no process listens there.
pub(crate) async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Whether an error only means that the connection ended, and not that it carried unexpected bytes.
fn is_disconnect(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    error.is_incomplete_message() || error.is_canceled() || error.is_closed() || io.is_some()
}

fn idle_limit(headers: &HeaderMap) -> Duration {
    let named = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = named.and_then(|text| {
        let parameter = text.split(',').map(str::trim);
        let mut timeouts = parameter.filter_map(|part| part.strip_prefix("timeout="));
        timeouts.next()?.trim().parse::<u32>().ok()
    });
    match seconds {
        Some(seconds) => Duration::from_secs(u64::from(seconds))
            .mul_f64(IDLE_SHARE)
            .min(MAX_IDLE),
        None => DEFAULT_IDLE,
    }
}
