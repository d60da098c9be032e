//! An upstream that misbehaves as it is told, and counts what it runs.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassrock_ranges::leader::{Order, Outcome};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    /// Answers after some milliseconds.
    Answer(u64),
    /// Says that it has no room.
    Refuse,
    /// The same, and wants nothing for some milliseconds.
    Defer(u64),
    /// The same, with a time that can't be read.
    DeferOddly,
    /// Runs it and closes the connection without an answer.
    Close,
    /// Runs it and answers with the identifier of another request.
    Foreign,
    /// Runs it and answers that it failed.
    Fail,
    /// Runs it and breaks off in the middle of its answer.
    Truncate,
    /// Answers after some milliseconds with so many bytes.
    Large(u64, usize),
}

/// An upstream. Clones share it.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    acts: VecDeque<Act>,
    runs: BTreeMap<String, usize>,
    /// Requests that were dropped while they ran.
    dropped: usize,
    bodies: Vec<Bytes>,
    /// Keys, fencing token and end of each grant.
    holds: Vec<(u16, u16, u64, Instant)>,
    is_keyed: bool,
    /// Connections that are open.
    connections: usize,
    /// Says with each answer that it leaves.
    is_leaving: bool,
    /// When requests arrived, run or not.
    arrivals: Vec<Instant>,
}

struct Running(Arc<Mutex<State>>, bool);

impl Drop for Running {
    fn drop(&mut self) {
        if !self.1 {
            self.0.lock().unwrap().dropped += 1;
        }
    }
}

impl Server {
    pub(crate) async fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                server.state.lock().unwrap().connections += 1;
                tokio::spawn(async move {
                    let close = Arc::new(Notify::new());
                    let service = service_fn(|request| {
                        let (server, close) = (server.clone(), Arc::clone(&close));
                        async move { Ok::<_, Infallible>(server.serve(request, &close).await) }
                    });
                    let builder = http1::Builder::new();
                    let connection = builder.serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = connection => {}
                        () = close.notified() => {}
                    }
                    server.state.lock().unwrap().connections -= 1;
                });
            }
        });
        server
    }

    /// An upstream that the test itself serves at an address.
    pub(crate) fn at(id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            address,
            state: Arc::default(),
        }
    }

    /// Serves only requests for keys that it was granted.
    pub(crate) fn keyed(self) -> Self {
        self.state.lock().unwrap().is_keyed = true;
        self
    }

    /// Says from now on, with each answer, that it leaves.
    pub(crate) fn leave(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// Requests that have arrived since an instant, run or not.
    pub(crate) fn arrivals_since(&self, since: Instant) -> usize {
        self.arrivals_between(since, Instant::now())
    }

    pub(crate) fn arrivals_between(&self, from: Instant, to: Instant) -> usize {
        let state = self.state.lock().unwrap();
        let between = |at: &&Instant| (from..to).contains(*at);
        state.arrivals.iter().filter(between).count()
    }

    /// What it does with the next requests; after that it answers at once.
    pub(crate) fn next(&self, acts: &[Act]) {
        self.state.lock().unwrap().acts.extend(acts);
    }

    pub(crate) fn runs(&self, id: &str) -> usize {
        self.state
            .lock()
            .unwrap()
            .runs
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    pub(crate) fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    pub(crate) fn dropped(&self) -> usize {
        self.state.lock().unwrap().dropped
    }

    pub(crate) fn bodies(&self) -> Vec<Bytes> {
        self.state.lock().unwrap().bodies.clone()
    }

    pub(crate) fn holds(&self, key: u16) -> bool {
        let state = self.state.lock().unwrap();
        let covers = |(from, to, _, until): &(u16, u16, u64, Instant)| {
            (*from..=*to).contains(&key) && Instant::now() < *until
        };
        state.holds.iter().any(covers)
    }

    /// Highest fencing token of its grants that are in force.
    pub(crate) fn highest_token(&self) -> Option<u64> {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let held = state.holds.iter().filter(|(.., until)| now < *until);
        held.map(|(_, _, token, _)| *token).max()
    }

    pub(crate) fn grant(&self, order: &Order, hold: Duration) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let overlaps =
            |(from, to, _, _): &(u16, u16, u64, Instant)| *from <= order.to && order.from <= *to;
        if state
            .holds
            .iter()
            .any(|other| overlaps(other) && other.2 > order.fence)
        {
            return Outcome::Fenced;
        }
        state
            .holds
            .retain(|other| (other.0, other.1) != (order.from, order.to));
        state
            .holds
            .push((order.from, order.to, order.fence, Instant::now() + hold));
        Outcome::Done { handover: None }
    }

    pub(crate) fn release(&self, order: &Order) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let mut kept = Vec::new();
        for (from, to, fence, until) in state.holds.drain(..) {
            if to < order.from || order.to < from {
                kept.push((from, to, fence, until));
                continue;
            }
            if from < order.from {
                kept.push((from, order.from - 1, fence, until));
            }
            if to > order.to {
                kept.push((order.to + 1, to, fence, until));
            }
        }
        // The token stays known, and fences off what arrives late.
        kept.push((order.from, order.to, order.fence, Instant::now()));
        state.holds = kept;
        Outcome::Done {
            handover: Some("token".into()),
        }
    }

    async fn serve(&self, request: Request<Incoming>, close: &Notify) -> Response<Full<Bytes>> {
        let text = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let (id, key) = (text("x-id"), text("x-key").parse::<u16>().ok());
        let act = self
            .state
            .lock()
            .unwrap()
            .acts
            .pop_front()
            .unwrap_or(Act::Answer(0));
        self.state.lock().unwrap().arrivals.push(Instant::now());
        let answer = |status: u16, id: &str| {
            let builder = Response::builder().status(status).header("x-id", id);
            let builder = builder.header("x-from", &self.id);
            if self.state.lock().unwrap().is_leaving {
                builder.header("x-leaving", "1")
            } else {
                builder
            }
        };
        let is_keyed = self.state.lock().unwrap().is_keyed;
        if is_keyed && !key.is_some_and(|key| self.holds(key)) {
            return answer(421, &id).body(Full::default()).unwrap();
        }
        let refusal = || answer(503, &id).header("x-not-run", "1");
        let refused = match act {
            Act::Refuse => Some(refusal()),
            Act::Defer(ms) => Some(refusal().header("x-pause-ms", ms)),
            Act::DeferOddly => Some(refusal().header("x-pause-ms", "soon")),
            _ => None,
        };
        if let Some(refused) = refused {
            return refused.body(Full::default()).unwrap();
        }
        *self
            .state
            .lock()
            .unwrap()
            .runs
            .entry(id.clone())
            .or_default() += 1;
        let mut running = Running(Arc::clone(&self.state), false);
        if let Ok(body) = request.into_body().collect().await {
            self.state.lock().unwrap().bodies.push(body.to_bytes());
        }
        match act {
            Act::Answer(ms) | Act::Large(ms, _) => {
                tokio::time::sleep(Duration::from_millis(ms)).await
            }
            Act::Close => {
                close.notify_one();
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        running.1 = true;
        match act {
            Act::Foreign => answer(200, "another").body(Full::from("secret")).unwrap(),
            Act::Fail => answer(500, &id).body(Full::from("failed")).unwrap(),
            Act::Truncate => {
                let builder = answer(200, &id).header("content-length", "100");
                close.notify_one();
                builder.body(Full::from("half")).unwrap()
            }
            Act::Large(_, length) => answer(200, &id)
                .body(Full::from(vec![b'x'; length]))
                .unwrap(),
            _ => answer(200, &id)
                .body(Full::from(format!("{} ran {id}", self.id)))
                .unwrap(),
        }
    }
}
