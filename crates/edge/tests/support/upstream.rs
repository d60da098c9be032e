//! An upstream with selectable faults that counts the requests that it runs.

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
pub(crate) enum Behaviour {
    /// Runs the request and answers after this many milliseconds.
    Answer(u64),
    /// Answers 503 without running the request.
    Refuse,
    /// Like `Refuse`, and asks for a pause of this many milliseconds.
    Defer(u64),
    /// Like `Defer`, with a pause that can't be parsed.
    DeferUnreadable,
    /// Runs the request and closes the connection without an answer.
    Close,
    /// Runs the request and answers with the identifier of another one.
    Foreign,
    /// Runs the request and answers 500.
    Fail,
    /// Runs the request and closes the connection within the body of the answer.
    Truncate,
    /// Runs the request and answers after this many milliseconds with a body of this many bytes.
    Large(u64, usize),
}

/// An upstream. Clones share its state.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    behaviours: VecDeque<Behaviour>,
    runs: BTreeMap<String, usize>,
    /// Number of requests that were dropped while they ran.
    dropped: usize,
    bodies: Vec<Bytes>,
    /// First key, last key, fencing token and end of each grant.
    grants: Vec<(u16, u16, u64, Instant)>,
    /// Whether requests without a granted key are answered 421.
    is_keyed: bool,
    /// Number of open connections.
    connections: usize,
    /// Whether each answer announces that the upstream is leaving.
    is_leaving: bool,
    /// Limit that each answer names, in requests per second.
    limit: Option<String>,
    /// Load that each answer reports.
    load: Option<String>,
    /// Arrival times of all requests, also of those that were not run.
    arrivals: Vec<Instant>,
}

/// Counts a request as dropped unless the flag is set before the value is dropped.
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

    /// Describes an upstream that the test itself serves at an address.
    pub(crate) fn at(id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            address,
            state: Arc::default(),
        }
    }

    /// Makes the upstream serve only requests for keys that it was granted.
    pub(crate) fn keyed(self) -> Self {
        self.state.lock().unwrap().is_keyed = true;
        self
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.state.lock().unwrap().is_keyed
    }

    /// Forgets all grants, as a process does that starts again.
    pub(crate) fn lose_grants(&self) {
        self.state.lock().unwrap().grants.clear();
    }

    /// Announces from now on, with each answer, that the upstream is leaving.
    pub(crate) fn leave(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// Names a limit from now on with each answer, or none.
    pub(crate) fn limit(&self, per_s: Option<&str>) {
        self.state.lock().unwrap().limit = per_s.map(str::to_owned);
    }

    /// Reports a load from now on with each answer.
    pub(crate) fn report_load(&self, load: &str) {
        self.state.lock().unwrap().load = Some(load.to_owned());
    }

    /// Counts the requests that have arrived since an instant, also those that were not run.
    pub(crate) fn arrivals_since(&self, since: Instant) -> usize {
        self.arrivals_between(since, Instant::now())
    }

    pub(crate) fn arrivals_between(&self, from: Instant, to: Instant) -> usize {
        let state = self.state.lock().unwrap();
        let between = |at: &&Instant| (from..to).contains(*at);
        state.arrivals.iter().filter(between).count()
    }

    /// Returns the arrival times of the requests since an instant, also of those that were not run.
    pub(crate) fn arrivals_after(&self, since: Instant) -> Vec<Instant> {
        let state = self.state.lock().unwrap();
        let arrivals = state.arrivals.iter().filter(|at| **at >= since);
        arrivals.copied().collect()
    }

    /// Appends behaviours, one for each of the next requests. Later requests are answered at once.
    pub(crate) fn enqueue(&self, behaviours: &[Behaviour]) {
        self.state.lock().unwrap().behaviours.extend(behaviours);
    }

    /// Answers all requests at once from now on.
    pub(crate) fn forget_behaviours(&self) {
        self.state.lock().unwrap().behaviours.clear();
    }

    /// Returns how often a request was run.
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

    /// Returns whether a grant of this key is in force.
    pub(crate) fn holds(&self, key: u16) -> bool {
        let state = self.state.lock().unwrap();
        let covers = |(from, to, _, until): &(u16, u16, u64, Instant)| {
            (*from..=*to).contains(&key) && Instant::now() < *until
        };
        state.grants.iter().any(covers)
    }

    /// Returns the highest fencing token of the grants that are in force.
    pub(crate) fn highest_token(&self) -> Option<u64> {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let held = state.grants.iter().filter(|(.., until)| now < *until);
        held.map(|(_, _, token, _)| *token).max()
    }

    pub(crate) fn grant(&self, order: &Order, hold: Duration) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let overlaps =
            |(from, to, _, _): &(u16, u16, u64, Instant)| *from <= order.to && order.from <= *to;
        if state
            .grants
            .iter()
            .any(|other| overlaps(other) && other.2 > order.fence)
        {
            return Outcome::Fenced;
        }
        state
            .grants
            .retain(|other| (other.0, other.1) != (order.from, order.to));
        state
            .grants
            .push((order.from, order.to, order.fence, Instant::now() + hold));
        Outcome::Done { handover: None }
    }

    pub(crate) fn release(&self, order: &Order) -> Outcome {
        let mut state = self.state.lock().unwrap();
        let mut kept = Vec::new();
        for (from, to, fence, until) in state.grants.drain(..) {
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
        // An ended grant keeps the token, so that late orders with a lower token are fenced.
        kept.push((order.from, order.to, order.fence, Instant::now()));
        state.grants = kept;
        Outcome::Done {
            handover: Some("token".into()),
        }
    }

    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
        close: &Notify,
    ) -> Response<Full<Bytes>> {
        let text = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let (id, key) = (text("x-id"), text("x-key").parse::<u16>().ok());
        let behaviour = self
            .state
            .lock()
            .unwrap()
            .behaviours
            .pop_front()
            .unwrap_or(Behaviour::Answer(0));
        self.state.lock().unwrap().arrivals.push(Instant::now());
        let answer = |status: u16, id: &str| {
            let builder = Response::builder().status(status).header("x-id", id);
            let mut builder = builder.header("x-from", &self.id);
            let state = self.state.lock().unwrap();
            if let Some(limit) = &state.limit {
                builder = builder.header("x-limit", limit);
            }
            if let Some(load) = &state.load {
                builder = builder.header("x-load", load);
            }
            if state.is_leaving {
                builder = builder.header("x-leaving", "1");
            }
            builder
        };
        let is_keyed = self.state.lock().unwrap().is_keyed;
        if is_keyed && !key.is_some_and(|key| self.holds(key)) {
            return answer(421, &id).body(Full::default()).unwrap();
        }
        let refusal = || answer(503, &id).header("x-not-run", "1");
        let refused = match behaviour {
            Behaviour::Refuse => Some(refusal()),
            Behaviour::Defer(ms) => Some(refusal().header("x-pause-ms", ms)),
            Behaviour::DeferUnreadable => Some(refusal().header("x-pause-ms", "soon")),
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
        match behaviour {
            Behaviour::Answer(ms) | Behaviour::Large(ms, _) => {
                tokio::time::sleep(Duration::from_millis(ms)).await
            }
            Behaviour::Close => {
                close.notify_one();
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        running.1 = true;
        match behaviour {
            Behaviour::Foreign => answer(200, "another").body(Full::from("secret")).unwrap(),
            Behaviour::Fail => answer(500, &id).body(Full::from("failed")).unwrap(),
            Behaviour::Truncate => {
                let builder = answer(200, &id).header("content-length", "100");
                close.notify_one();
                builder.body(Full::from("half")).unwrap()
            }
            Behaviour::Large(_, length) => answer(200, &id)
                .body(Full::from(vec![b'x'; length]))
                .unwrap(),
            _ => answer(200, &id)
                .body(Full::from(format!("{} ran {id}", self.id)))
                .unwrap(),
        }
    }
}
