//! Connections to upstreams, each for one request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
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
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock;
use crate::payload::Payload;

/// Time to establish a connection: several round trips within a region. A lost
/// first packet is repeated only after a second, which is too late.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an unused connection is trusted if the upstream names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Longest time for which an unused connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Share of the idle time named by an upstream that is used, so that its close doesn't
/// cross a request.
const IDLE_SHARE: f64 = 0.8;
/// Share of what is left for requests that run once: if a close crosses one, whether it
/// has run isn't known.
const IDLE_SHARE_ONCE: f64 = 0.6;
/// Time for which the connections of an upstream aren't reused after one
/// carried bytes that belong to no request.
const DISTRUST: Duration = Duration::from_secs(5);
/// Time for which requests that run once use only connections that were in use
/// just now, after a reused one was reset: upstreams may forget idle ones, and
/// whether such a request has run isn't known then.
const CAUTION: Duration = Duration::from_secs(10);
/// Longest idle time of a connection that was in use just now.
const CAUTIOUS_IDLE: Duration = Duration::from_millis(300);
/// Silence after which the system ends a connection.
const SILENCE: Duration = Duration::from_secs(3);

/// One connection. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Payload>,
    driver: JoinHandle<()>,
    idle_since: Instant,
    good_until: Instant,
    /// Set when the connection carried bytes that belong to no request.
    tainted: Rc<Cell<bool>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Unused connections to one life of an upstream.
#[derive(Debug, Default)]
struct Shelf {
    address: Option<SocketAddr>,
    idle: Vec<Link>,
    distrusted_until: Option<Instant>,
}

/// Unused connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Links {
    shelves: RefCell<HashMap<Arc<str>, Shelf>>,
    cautious_until: Cell<Option<Instant>>,
}

impl Links {
    /// Takes an unused connection that can be trusted with a request that may
    /// be repeated or not.
    pub(crate) fn take(&self, upstream: &Upstream, repeat: Repeat) -> Option<Link> {
        let now = clock::now();
        let is_cautious =
            repeat == Repeat::Once && self.cautious_until.get().is_some_and(|until| now < until);
        let mut shelves = self.shelves.borrow_mut();
        let shelf = shelves.get_mut(&upstream.id)?;
        if shelf.address != Some(upstream.address) {
            shelf.idle.clear();
            return None;
        }
        let distrust = shelf.idle.iter().any(|link| link.tainted.get());
        if distrust {
            shelf.distrusted_until = Some(now + DISTRUST);
        }
        if shelf.distrusted_until.is_some_and(|until| now < until) {
            shelf.idle.clear();
            return None;
        }
        while let Some(link) = shelf.idle.pop() {
            let idle = now - link.idle_since;
            let most = (link.good_until - link.idle_since).mul_f64(IDLE_SHARE_ONCE);
            if is_cautious && idle > CAUTIOUS_IDLE || repeat == Repeat::Once && idle > most {
                continue;
            }
            if now < link.good_until && !link.sender.is_closed() && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer with these headers, unless there
    /// are `most` unused ones already: an upstream bears a limited number from
    /// all routers together.
    pub(crate) fn keep(
        &self,
        upstream: &Upstream,
        mut link: Link,
        headers: &HeaderMap,
        most: usize,
    ) {
        if link.sender.is_closed() || link.tainted.get() {
            return;
        }
        link.idle_since = clock::now();
        link.good_until = link.idle_since + idle_limit(headers);
        let mut shelves = self.shelves.borrow_mut();
        let shelf = shelves.entry(Arc::clone(&upstream.id)).or_default();
        if shelf.address != Some(upstream.address) {
            shelf.idle.clear();
            shelf.address = Some(upstream.address);
        }
        if shelf.idle.len() >= most {
            // The one that was unused for longest goes.
            shelf.idle.remove(0);
        }
        shelf.idle.push(link);
    }

    /// Notes that a reused connection broke under a request.
    pub(crate) fn note_reset(&self) {
        self.cautious_until.set(Some(clock::now() + CAUTION));
    }

    /// Reuses no connection of an upstream for a while: it sent bytes that
    /// belong to no request.
    pub(crate) fn distrust(&self, upstream: &Upstream) {
        let mut shelves = self.shelves.borrow_mut();
        let shelf = shelves.entry(Arc::clone(&upstream.id)).or_default();
        shelf.idle.clear();
        shelf.distrusted_until = Some(clock::now() + DISTRUST);
    }

    /// Closes connections that are no longer trusted, and forgets upstreams
    /// that are gone. Returns the number of connections that stay.
    pub(crate) fn sweep(&self, is_known: impl Fn(&str) -> bool) -> usize {
        let now = clock::now();
        let mut shelves = self.shelves.borrow_mut();
        shelves.retain(|id, _| is_known(id));
        for shelf in shelves.values_mut() {
            shelf
                .idle
                .retain(|link| now < link.good_until && !link.sender.is_closed());
        }
        shelves.values().map(|shelf| shelf.idle.len()).sum()
    }
}

/// Establishes a connection, `None` if that failed.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> Option<Link> {
    let limit = limit.min(CONNECT_TIMEOUT);
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    // Without these options, answers and faults are only seen later.
    let _ = stream.set_nodelay(true);
    let _ = set_keepalive(&stream, SILENCE);
    let mut builder = Builder::new();
    builder.max_buf_size(64 << 10);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    let tainted = Rc::new(Cell::new(false));
    let taint = Rc::clone(&tainted);
    let driver = tokio::task::spawn_local(async move {
        // Any other error is seen by the request under way.
        if connection.await.is_err_and(|error| !is_disconnect(&error)) {
            taint.set(true);
        }
    });
    Some(Link {
        sender,
        driver,
        idle_since: clock::now(),
        good_until: clock::now(),
        tainted,
    })
}

/// Whether an error says only that the connection ended, not that it carried
/// bytes out of turn.
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
