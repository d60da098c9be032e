//! Sends the requests of a plan over HTTP/1.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::plan::Plan;
use crate::report::{Outcome, Report, Tally};

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by target.
#[derive(Clone, Debug, Default)]
struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

/// Sends the requests of a plan and returns their outcomes.
///
/// ```no_run
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use eelgrassrock_load::plan::Plan;
///
/// let plan = Plan::new("127.0.0.1:8080".parse().unwrap());
/// println!("{}", eelgrassrock_load::run(&plan).await);
/// # }
/// ```
pub async fn run(plan: &Plan) -> Report {
    let started = Instant::now();
    let tally = if plan.rate > 0.0 {
        send_open(plan).await
    } else {
        send_closed(plan).await
    };
    tally.report(started.elapsed())
}

/// Sends each request when it is due, whether or not earlier ones were answered.
async fn send_open(plan: &Plan) -> Tally {
    let start = Instant::now();
    let pool = Pool::default();
    let mut sequence = plan.sequence(0);
    let mut in_flight = JoinSet::new();
    let mut tally = Tally::new(plan.deadline);
    loop {
        let due = sequence.next_due();
        if due >= plan.duration {
            break;
        }
        let due = start + due;
        sleep_until(due).await;
        let (target, request) = (sequence.next_target(), sequence.next_request());
        let pool = pool.clone();
        in_flight.spawn(async move {
            let outcome = pool.exchange(target, request).await;
            (outcome, due.elapsed())
        });
        while let Some(Ok((outcome, latency))) = in_flight.try_join_next() {
            tally.add(outcome, latency);
        }
    }
    while let Some(joined) = in_flight.join_next().await {
        let (outcome, latency) = joined.expect("a request doesn't panic");
        tally.add(outcome, latency);
    }
    tally
}

/// Sends the next request of each connection after its last one was answered.
async fn send_closed(plan: &Plan) -> Tally {
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for worker in 0..plan.connections {
        let plan = plan.clone();
        workers.spawn(async move {
            let pool = Pool::default();
            let mut sequence = plan.sequence(worker as u64 + 1);
            let mut tally = Tally::new(plan.deadline);
            while start.elapsed() < plan.duration {
                let (target, request) = (sequence.next_target(), sequence.next_request());
                let sent = Instant::now();
                let outcome = pool.exchange(target, request).await;
                tally.add(outcome, sent.elapsed());
            }
            tally
        });
    }
    let mut tally = Tally::new(plan.deadline);
    while let Some(joined) = workers.join_next().await {
        tally.merge(&joined.expect("a worker doesn't panic"));
    }
    tally
}

impl Pool {
    async fn exchange(&self, target: SocketAddr, request: Request<Full<Bytes>>) -> Outcome {
        let sender = match self.take_idle(target) {
            Some(sender) => Some(sender),
            None => connect(target).await,
        };
        let Some(mut sender) = sender else {
            return Outcome::Failed;
        };
        let Ok(response) = sender.send_request(request).await else {
            return Outcome::Failed;
        };
        let status = response.status().as_u16();
        if response.into_body().collect().await.is_err() {
            return Outcome::Failed;
        }
        self.put_idle(target, sender);
        Outcome::Answered(status)
    }

    fn take_idle(&self, target: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.get_mut(&target)?;
        std::iter::from_fn(|| idle.pop()).find(SendRequest::is_ready)
    }

    fn put_idle(&self, target: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(target).or_default().push(sender);
    }
}

async fn connect(target: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(target).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
