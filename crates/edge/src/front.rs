//! Listeners for callers and for the readiness check.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::clock;
use crate::node::Node;
use crate::payload::{BodyError, Payload};
use crate::platform::Platform;
use crate::request;

/// Smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Pause after a failure to accept, for instance because of a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Minimum interval between checks of a connection.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the grace period after which idle connections are closed. Until then callers may still
/// send on them, and the answer asks them to close the connection.
const CLOSE_SHARE: f64 = 0.7;

/// Activity of a connection, as seen by the task that closes it when idle.
struct Activity {
    open: Cell<u32>,
    last: Cell<Instant>,
}

#[derive(Serialize)]
struct AcceptLine {
    port: &'static str,
    reason: String,
}

#[derive(Serialize)]
struct TruncatedLine<'a> {
    id: Option<&'a str>,
    service: &'a str,
    upstream: &'a str,
    reason: String,
}

/// Accepts the next connection, with retries after errors.
pub(crate) async fn next<P: Platform>(
    node: &Node<P>,
    listener: &TcpListener,
    port: &'static str,
) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                let reason = error.to_string();
                node.log
                    .request("accept failed", &AcceptLine { port, reason });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts connections of callers until the process ends.
pub(crate) async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let (stream, _) = next(&node, &listener, "front").await;
        let open = Open::new(Rc::clone(&node));
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            connection(node, stream).await;
            drop(open);
        });
    }
}

/// Counts a caller's connection as open until it is dropped.
struct Open<P: Platform>(Rc<Node<P>>);

impl<P: Platform> Open<P> {
    fn new(node: Rc<Node<P>>) -> Self {
        node.open_connections.set(node.open_connections.get() + 1);
        Self(node)
    }
}

impl<P: Platform> Drop for Open<P> {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
    }
}

async fn connection<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    // If this option can't be set, answers are delayed but not lost.
    let _ = stream.set_nodelay(true);
    let limits = node
        .state
        .borrow()
        .directory
        .as_ref()
        .map(|directory| directory.limits.clone());
    let limits = limits.unwrap_or_default();
    let activity = Rc::new(Activity {
        open: Cell::new(0),
        last: Cell::new(clock::now()),
    });
    let service = service_fn(|request: Request<Incoming>| {
        let (node, activity) = (Rc::clone(&node), Rc::clone(&activity));
        activity.open.set(activity.open.get() + 1);
        let open_request = OpenRequest(activity);
        async move {
            let response = request::serve(node, request).await;
            drop(open_request);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        let pause = next_check(&node, &activity, limits.idle_timeout);
        tokio::select! {
            // Whichever side ended the connection, dropping it cancels its open requests.
            end = connection.as_mut() => {
                if let Err(error) = end {
                    record_truncation(&node, &error);
                }
                return;
            }
            () = sleep(pause) => {}
            () = node.stop.notified() => {}
        }
        if is_unused(&node, &activity, limits.idle_timeout) {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Records that an answer was truncated, because its upstream failed or didn't finish in time.
fn record_truncation<P: Platform>(node: &Rc<Node<P>>, error: &hyper::Error) {
    let fault = error.source().and_then(|source| source.downcast_ref());
    let Some((reason, origin)) = fault.and_then(|fault: &BodyError| Some((fault, fault.origin()?)))
    else {
        return;
    };
    let line = TruncatedLine {
        id: origin.request.as_deref(),
        service: &origin.service,
        upstream: &origin.upstream,
        reason: reason.to_string(),
    };
    node.log.request("answer cut", &line);
    node.with_service(&origin.service, |service, now| {
        service.record_truncated_answer(&origin.upstream, reason.is_endless(), now);
    });
}

fn next_check<P: Platform>(node: &Node<P>, activity: &Activity, idle: Duration) -> Duration {
    let now = clock::now();
    let unused = idle.saturating_sub(now - activity.last.get());
    let left = match closes_at(node) {
        Some(at) => unused.min(at - now),
        None => unused,
    };
    left.clamp(MIN_CHECK_INTERVAL, idle.max(MIN_CHECK_INTERVAL))
}

/// Returns when idle connections are closed, once the stop signal has arrived.
fn closes_at<P: Platform>(node: &Node<P>) -> Option<Instant> {
    let stopped = node.stopped.get()?;
    Some(stopped + node.settings.grace.mul_f64(CLOSE_SHARE))
}

fn is_unused<P: Platform>(node: &Node<P>, activity: &Activity, idle: Duration) -> bool {
    let now = clock::now();
    let closes = closes_at(node).is_some_and(|at| now >= at);
    activity.open.get() == 0 && (closes || now - activity.last.get() >= idle)
}

/// Counts one request of a connection as open until it is dropped.
struct OpenRequest(Rc<Activity>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.last.set(clock::now());
    }
}

/// Serves readiness checks until the process ends.
pub(crate) async fn accept_readiness<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let (stream, _) = next(&node, &listener, "readiness").await;
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = readiness(&node, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // Errors of a connection concern only the client that checks.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn readiness<P: Platform>(node: &Node<P>, request: &Request<Incoming>) -> Response<Payload> {
    let is_probe = node
        .platform
        .is_readiness_check(request.method(), request.uri().path());
    let status = match (is_probe, node.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Payload::Whole(None));
    *response.status_mut() = status;
    response
}
