//! Plan of a run: the requests, their targets and their times.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Placeholder in a path that is replaced by the number of the key.
pub const KEY_PLACEHOLDER: &str = "{n}";

/// Requests of a run, with their targets and times.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses to send requests to, used in turn.
    pub targets: Vec<SocketAddr>,
    /// Mean number of requests per second. At zero, each connection sends its
    /// next request after the last one was answered.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Number of requests in flight at rate zero, each on its own connection. At
    /// any other rate, a connection is opened whenever all are busy.
    pub connections: usize,
    /// HTTP method of the requests.
    pub method: Method,
    /// Path of the requests. [`KEY_PLACEHOLDER`] is replaced by the number of a random key.
    pub path: String,
    /// Number of different keys. They are numbered from zero.
    pub keys: u64,
    /// Header fields of each request.
    pub headers: HeaderMap,
    /// Latency up to which an answer counts as in time.
    pub deadline: Duration,
    /// Seed of the random keys and send times.
    pub seed: u64,
}

/// Random sequence of the requests of a plan.
#[derive(Clone, Debug)]
pub(crate) struct Sequence<'a> {
    plan: &'a Plan,
    random: ChaCha8Rng,
    due: Duration,
    sent: usize,
}

impl Plan {
    /// Creates a plan for one target: GET requests for `/`, 100 per second, for
    /// one second. It has one connection if `rate` is set to zero.
    ///
    /// ```
    /// use eelgrassrock_load::plan::Plan;
    ///
    /// let plan = Plan::new("127.0.0.1:8080".parse().unwrap());
    /// assert_eq!(plan.path, "/");
    /// ```
    pub fn new(target: SocketAddr) -> Self {
        Self {
            targets: vec![target],
            rate: 100.0,
            duration: Duration::from_secs(1),
            connections: 1,
            method: Method::GET,
            path: "/".to_owned(),
            keys: 1,
            headers: HeaderMap::new(),
            deadline: Duration::from_secs(1),
            seed: 0,
        }
    }

    pub(crate) fn sequence(&self, seed: u64) -> Sequence<'_> {
        let random = ChaCha8Rng::seed_from_u64(self.seed ^ seed);
        Sequence {
            plan: self,
            random,
            due: Duration::ZERO,
            sent: 0,
        }
    }
}

impl Sequence<'_> {
    /// Returns the time at which the next request is due, counted from the
    /// start. The gaps are exponentially distributed, as with independent callers.
    pub(crate) fn next_due(&mut self) -> Duration {
        let uniform: f64 = self.random.random();
        let gap = -(1.0 - uniform).ln() / self.plan.rate;
        self.due += Duration::from_secs_f64(gap);
        self.due
    }

    /// Returns the target of the next request.
    pub(crate) fn next_target(&mut self) -> SocketAddr {
        self.sent += 1;
        self.plan.targets[self.sent % self.plan.targets.len()]
    }

    /// Returns the next request.
    pub(crate) fn next_request(&mut self) -> Request<Full<Bytes>> {
        let key = self.random.random_range(0..self.plan.keys);
        let path = self.plan.path.replace(KEY_PLACEHOLDER, &key.to_string());
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = path.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = self.plan.headers.clone();
        request
    }
}
