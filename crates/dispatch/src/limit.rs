//! Limits that upstreams in need set to the requests from all routers together.
//!
//! Routers don't agree on who sends what, because they can't always reach each other and start and
//! stop at any time. Each keeps to its own part of the limit, which depends only on the number of
//! routers. Upstreams that hold keys get fewer keys, so that the parts suffice for what is left.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use eelgrassrock_model::time::Instant;

/// Time in seconds over which an upstream counts the requests that arrive.
const WINDOW_S: f64 = 4.0;
/// Requests that an upstream tolerates in a window, as a multiple of its limit, and in addition to
/// it.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_EXTRA: f64 = 5.0;
/// Share of a limit that a small fleet uses. The rest covers routers that assume a smaller number of
/// routers.
const USED_SHARE: f64 = 0.9;
/// Share of a limit that a large fleet uses. The rest also covers requests of many routers that
/// happen to coincide.
const LARGE_USED_SHARE: f64 = 0.7;
/// Share of what is tolerated beyond the used share that the routers of a small fleet may hold.
const HELD_SHARE: f64 = 0.8;
/// Requests that the routers of a large fleet may hold in addition to those of one second.
const LARGE_HELD_EXTRA: f64 = 1.0;
/// Smallest limit that is kept, in requests per second. Without any request nobody would notice
/// that the limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Longest delay until a request is allowed.
const MAX_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Requests per second that an upstream takes from all routers together.
///
/// ```
/// use eelgrassrock_dispatch::limit::Limit;
///
/// assert_eq!(Limit::per_s(6.4).map(Limit::as_per_s), Some(6.4));
/// assert_eq!(Limit::per_s(-1.0), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Limit(f64);

impl Limit {
    /// Creates a limit. Returns `None` unless the number is finite and not negative.
    pub fn per_s(requests: f64) -> Option<Self> {
        (requests.is_finite() && requests >= 0.0).then_some(Self(requests))
    }

    /// Returns the requests per second.
    pub fn as_per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Requests that an upstream tolerates within one second: a multiple of its limit, and some more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Multiple of the limit.
    pub factor: f64,
    /// Requests in addition to that.
    pub extra: f64,
}

/// One router's part of a limit: an equal part of it, in whole requests.
///
/// A part is often less than one request per second, so requests are allowed one by one. The routers
/// of a small fleet hold an allowed request until they need it. In a large fleet it lapses after a
/// while, so that many idle routers don't send one each at the same time.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::limit::{Allowance, Limit};
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let limit = Limit::per_s(20.0).expect("a limit");
/// let mut allowance = Allowance::new(limit, 9, 1.0, now);
/// assert!(allowance.is_ready(now));
/// allowance.take(now);
/// assert_eq!(allowance.delay(now), Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct Allowance {
    limit: Limit,
    routers: usize,
    /// Part of a request that is allowed at `at`. From 1.0 on, a request may be sent.
    credit: f64,
    at: Instant,
}

impl Allowance {
    /// Creates the part of one of `routers` routers. `phase` is the part of a request that is
    /// allowed now, from 0 to 1.
    pub fn new(limit: Limit, routers: usize, phase: f64, now: Instant) -> Self {
        Self {
            limit,
            routers: routers.max(1),
            credit: phase.clamp(0.0, 1.0),
            at: now,
        }
    }

    /// Changes the limit and the number of routers. What is allowed already stays.
    pub fn update(&mut self, limit: Limit, routers: usize, now: Instant) {
        let routers = routers.max(1);
        if (self.limit, self.routers) != (limit, routers) {
            self.credit = self.credit(now);
            self.at = now;
            self.limit = limit;
            self.routers = routers;
        }
    }

    pub(crate) fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns the requests per second that this router may send.
    pub fn rate_per_s(&self) -> f64 {
        let used_share = if self.is_small() {
            USED_SHARE
        } else {
            LARGE_USED_SHARE
        };
        used_share * self.limit.0.max(MIN_LIMIT_PER_S) / self.routers as f64
    }

    /// Whether the upstream tolerates it if each router sends one request at the same time.
    fn is_small(&self) -> bool {
        let tolerated = (TOLERATED_FACTOR - USED_SHARE) * self.limit.0 * WINDOW_S + TOLERATED_EXTRA;
        self.routers as f64 <= HELD_SHARE * tolerated
    }

    /// Whether a request may be sent.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.credit(now) >= 1.0
    }

    /// Returns the time until a request may be sent.
    pub fn delay(&self, now: Instant) -> Duration {
        let missing = (1.0 - self.credit(now)).max(0.0);
        let delay = Duration::try_from_secs_f64(missing / self.rate_per_s());
        delay.map_or(MAX_DELAY, |delay| delay.min(MAX_DELAY))
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.credit = 0.0;
        self.at = now;
    }

    fn credit(&self, now: Instant) -> f64 {
        let credit = self.credit + self.rate_per_s() * (now - self.at).as_secs_f64();
        if self.is_small() {
            return credit.min(1.0);
        }
        // Share of the time in which an idle router holds a request.
        let held_share = (self.limit.0 + LARGE_HELD_EXTRA) / self.routers as f64;
        credit % (1.0 / (1.0 - held_share))
    }
}

/// Returns the phase of a router's [`Allowance`] for an upstream. `rank` is the position of the router
/// among all routers. The phases are spread evenly, so that routers don't send their requests at the
/// same time.
pub fn phase(rank: usize, routers: usize, upstream: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    let routers = routers.max(1);
    let turn = (hasher.finish() % routers as u64) as usize;
    ((rank + turn) % routers) as f64 / routers as f64
}
