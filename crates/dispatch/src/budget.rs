//! Budget for repeated sends, that is, all sends of a request beyond the first.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 10;
/// Share of the allowance that is used. The rest covers routers that assume a smaller number of
/// routers, and windows that begin within a bucket.
const USED_SHARE: f64 = 0.7;

/// Limits that all routers share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeated sends per request.
    pub ratio: f64,
    /// Repeated sends in a window in addition to the ratio.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Budget of one router for one service: the ratio of its own requests, and an equal share of the
/// extra sends. Routers don't coordinate; the sum of their budgets stays below the limit.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first: u32,
    repeated: u32,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first(&mut self, now: Instant) {
        self.bucket(now).first += 1;
    }

    /// Whether one repeated send is allowed now. Doesn't take it.
    pub fn allows(&mut self, now: Instant, routers: usize) -> bool {
        self.remaining(now, routers) >= 1.0
    }

    /// Returns how many repeated sends are allowed, which may be a fraction. The result is negative
    /// if requests have left the window since the sends were taken.
    pub fn remaining(&mut self, now: Instant, routers: usize) -> f64 {
        self.bucket(now);
        let first: u32 = self.buckets.iter().map(|bucket| bucket.first).sum();
        let repeated: u32 = self.buckets.iter().map(|bucket| bucket.repeated).sum();
        let extra = self.limits.extra / routers.max(1) as f64;
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(first) + extra);
        allowed - f64::from(repeated)
    }

    /// Takes one repeated send from the budget.
    pub fn take(&mut self, now: Instant) {
        self.bucket(now).repeated += 1;
    }

    /// Drops the buckets that have left the window, and returns the current one.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let length = (self.limits.window / BUCKETS).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + u64::from(BUCKETS) < number)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
