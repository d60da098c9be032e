//! Counts of the routers once no caller has a request open.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::Cluster;
use crate::guarantee::Guarantee;

/// Time within which the last requests end at the routers. Some run on without their callers.
const REST_TIME: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Metrics that count requests.
const COUNTS: [&str; 2] = ["eelgrassrock_in_flight{", "eelgrassrock_waiting{"];

impl Cluster {
    /// Checks that the routers count no requests.
    pub(super) async fn check_rest(&self) {
        let give_up = Instant::now() + REST_TIME;
        for router in &self.routers {
            while let Err(reason) = read(router.metrics()).await {
                if Instant::now() >= give_up {
                    let details = format!("router {}: {reason}", router.number);
                    self.checker.report(Guarantee::Rest, details);
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Reads the counts of a router. Fails with a description if one isn't 0.
async fn read(address: SocketAddr) -> Result<(), String> {
    let page = timeout(FETCH_TIMEOUT, fetch(address)).await;
    let page = page.ok().flatten().ok_or("its metrics can't be read")?;
    match nonzero(&page) {
        Some(line) => Err(format!("{line} while no request is open")),
        None => Ok(()),
    }
}

/// Returns the first line of a page of metrics with a count of requests that isn't 0.
///
/// ```
/// use eelgrassrock_soak::run::rest::nonzero;
///
/// let page = "eelgrassrock_waiting{service=\"a\"} 0\neelgrassrock_in_flight{service=\"a\"} 2\n";
/// assert_eq!(nonzero(page), Some("eelgrassrock_in_flight{service=\"a\"} 2"));
/// ```
pub fn nonzero(page: &str) -> Option<&str> {
    let mut lines = page.lines();
    lines.find(|line| {
        let is_count = COUNTS.iter().any(|name| line.starts_with(name));
        is_count && line.rsplit(' ').next().is_some_and(|value| value != "0")
    })
}

async fn fetch(address: SocketAddr) -> Option<String> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::get("/metrics").header("host", "router");
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    String::from_utf8(body.to_vec()).ok()
}
