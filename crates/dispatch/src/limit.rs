//! Limits that upstreams in need set to the requests from all routers together.
//!
//! Routers don't agree on who sends what, because they can't always reach each other and start and
//! stop at any time. Each keeps to its own part of the limit, which depends only on the number of
//! routers. Upstreams that hold keys get fewer keys, so that the parts suffice for what is left.
//!
//! Where equal parts are too small, two routers own the limit ([`crate::roster`]), each with a
//! [`Bucket`], and permit single requests of the others: in large fleets, and for cold upstreams,
//! whose limit is known before they see any request.

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
/// Time over which a cold upstream counts the requests that arrive.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Time from the question of a router until it has an answer, and by which the request may be sent
/// later than its opening.
pub const PERMIT_TIME: Duration = Duration::from_millis(100);
/// Time from an opening until its request has been sent, with the delays of a busy router.
const SEND_TIME: Duration = Duration::from_millis(120);
/// Owners of the limit of a cold upstream, unless it tolerates too few requests.
const OWNERS: usize = 2;
/// Different lists of routers by which owners are chosen at the same time.
const VIEWS: usize = 2;
/// Time by which an opening may be reserved in advance.
const RESERVE_TIME: Duration = Duration::from_millis(300);
/// Longest time by which an owner spreads the questions of others.
const MAX_TURN_DELAY: Duration = Duration::from_secs(1);
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

/// Division of the limit of a cold upstream among the routers that own it.
///
/// It holds even if two lists of routers are in use and name different owners.
///
/// ```
/// use eelgrassrock_dispatch::limit::{Limit, Ownership, Tolerance};
///
/// let limit = Limit::per_s(7.6).expect("a limit");
/// let ownership = Ownership::new(limit, Tolerance { factor: 1.5, extra: 8.0 });
/// assert_eq!(ownership.owners(), 2);
/// assert!(ownership.rate_per_s() > 0.9 * 7.6 / 2.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ownership {
    owners: usize,
    rate_per_s: f64,
}

impl Ownership {
    /// Divides the limit of a cold upstream, which tolerates this in one second. Without owners if it
    /// tolerates none that two lists could both name.
    pub fn new(limit: Limit, tolerance: Tolerance) -> Self {
        Self::within(COLD_WINDOW, limit, tolerance)
    }

    /// Divides a limit that an upstream names itself.
    pub(crate) fn named(limit: Limit) -> Self {
        let window = Duration::from_secs_f64(WINDOW_S);
        let tolerance = Tolerance {
            factor: TOLERATED_FACTOR * WINDOW_S,
            extra: TOLERATED_EXTRA,
        };
        Self::within(window, Limit(limit.0.max(MIN_LIMIT_PER_S)), tolerance)
    }

    /// Divides a limit so that no window contains more requests than tolerated.
    fn within(window: Duration, limit: Limit, tolerance: Tolerance) -> Self {
        let tolerated = (limit.0 * tolerance.factor + tolerance.extra).max(0.0);
        let owners = OWNERS.min((tolerated / VIEWS as f64) as usize);
        if owners == 0 {
            return Self {
                owners,
                rate_per_s: 0.0,
            };
        }
        // An owner sends less than one request more than its rate times the time.
        let most = (tolerated / (VIEWS * owners) as f64).floor();
        let most_per_s = most / (window + SEND_TIME).as_secs_f64();
        Self {
            owners,
            rate_per_s: most_per_s.min(limit.0 / owners as f64),
        }
    }

    /// Returns the number of owners.
    pub fn owners(&self) -> usize {
        self.owners
    }

    /// Returns the requests per second that each owner allows.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the requests per second that all owners allow.
    pub fn total_per_s(&self) -> f64 {
        self.owners as f64 * self.rate_per_s
    }
}

/// Requests that an owner allows to a cold upstream, its own and those of other routers: openings in
/// time, at even distances at least. An opening may be reserved shortly before its time.
///
/// The first opening is one distance away: an earlier owner may just have used its part.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::limit::Bucket;
/// use eelgrassrock_model::time::Instant;
///
/// let start = Instant::from_millis(0);
/// let mut bucket = Bucket::new(4.0, start);
/// assert!(!bucket.take(start));
/// assert_eq!(bucket.reserve(start), Ok(Duration::from_millis(250)));
/// assert_eq!(bucket.reserve(start), Err(Duration::from_millis(200)));
/// assert!(bucket.take(start + Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    /// Next opening that isn't taken.
    next: Instant,
    /// Requests that have been told to come back, at `turns_at`.
    turns: f64,
    turns_at: Instant,
}

impl Bucket {
    /// Creates a bucket without an opening now.
    pub fn new(rate_per_s: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            next: now + time_for(1.0, rate_per_s),
            turns: 0.0,
            turns_at: now,
        }
    }

    /// Returns the time until a request may be sent.
    pub fn delay(&self, now: Instant) -> Duration {
        self.next - now
    }

    /// Returns the time until an opening may be reserved.
    pub fn reserve_delay(&self, now: Instant) -> Duration {
        self.delay(now).saturating_sub(RESERVE_TIME)
    }

    /// Takes an opening if there is one now. Returns whether there is.
    pub fn take(&mut self, now: Instant) -> bool {
        let is_open = self.delay(now).is_zero();
        if is_open {
            self.next = now + time_for(1.0, self.rate_per_s);
        }
        is_open
    }

    /// Reserves the next opening, and returns the time until then.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if the opening is too far away. Routers that ask soon
    /// after each other are given different times.
    pub fn reserve(&mut self, now: Instant) -> Result<Duration, Duration> {
        let delay = self.delay(now);
        if delay <= RESERVE_TIME {
            self.next = now + delay + time_for(1.0, self.rate_per_s);
            return Ok(delay);
        }
        let passed = self.rate_per_s * (now - self.turns_at).as_secs_f64();
        self.turns = (self.turns - passed).max(0.0);
        self.turns_at = now;
        let turn = time_for(self.turns, self.rate_per_s);
        self.turns += 1.0;
        Err(self.reserve_delay(now) + turn.min(MAX_TURN_DELAY))
    }
}

/// Returns the time in which a rate allows some requests.
fn time_for(requests: f64, rate_per_s: f64) -> Duration {
    let time = Duration::try_from_secs_f64(requests / rate_per_s);
    time.map_or(MAX_DELAY, |time| time.min(MAX_DELAY))
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

    /// Whether equal parts of a limit suffice: the upstream tolerates it if each router sends one
    /// request at the same time.
    pub(crate) fn suffices(limit: Limit, routers: usize) -> bool {
        let tolerated = (TOLERATED_FACTOR - USED_SHARE) * limit.0 * WINDOW_S + TOLERATED_EXTRA;
        routers as f64 <= HELD_SHARE * tolerated
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

    fn is_small(&self) -> bool {
        Self::suffices(self.limit, self.routers)
    }

    /// Whether a request may be sent.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.credit(now) >= 1.0
    }

    /// Returns the time until a request may be sent.
    pub fn delay(&self, now: Instant) -> Duration {
        let missing = (1.0 - self.credit(now)).max(0.0);
        time_for(missing, self.rate_per_s())
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
