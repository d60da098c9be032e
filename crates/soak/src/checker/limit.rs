//! Check of the limits that upstreams name.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::{STABLE, State, Subject};
use crate::guarantee::Guarantee;

/// Time over which the requests to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed, as a multiple of the limit, and in addition to it.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Time from the first answer with a limit to a router until its requests count.
const TOLD_SLACK: Duration = Duration::from_millis(500);

/// Limit that an upstream names.
#[derive(Debug)]
pub(super) struct Limit {
    per_s: f64,
    since: Instant,
    /// When each router was first told.
    told: HashMap<usize, Instant>,
    /// Requests of the last window from routers that had been told.
    arrivals: VecDeque<Instant>,
}

impl Limit {
    pub(super) fn new(per_s: f64) -> Self {
        Self {
            per_s,
            since: Instant::now(),
            told: HashMap::new(),
            arrivals: VecDeque::new(),
        }
    }

    pub(super) fn tell(&mut self, router: usize) {
        self.told.entry(router).or_insert_with(Instant::now);
    }

    fn allowed(&self) -> f64 {
        ALLOWED_FACTOR * self.per_s * WINDOW.as_secs_f64() + ALLOWED_EXTRA
    }

    /// Counts a request, and returns the number in the window if it is too high.
    fn count(&mut self, router: usize, now: Instant) -> Option<usize> {
        let told = self.told.get(&router)?;
        if now < *told + TOLD_SLACK {
            return None;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - *at >= WINDOW) {
            self.arrivals.pop_front();
        }
        let count = self.arrivals.len();
        let is_exceeded = now >= self.since + STABLE && count as f64 > self.allowed();
        is_exceeded.then_some(count)
    }
}

impl State {
    /// Checks whether a request exceeds the limit of an upstream. Restarts and pauses of a router
    /// excuse its requests, and faults of the upstream or its links all of them. Routers that
    /// can't reach each other or the store are not excused.
    pub(super) fn check_limit(&mut self, at: Duration, id: Option<&str>, upstream: usize) {
        let now = Instant::now();
        let Some(router) = self.router_of(id) else {
            return;
        };
        let excuses = [Subject::Process(router), Subject::Upstream(upstream)];
        if self.is_disturbed(&excuses, now, now) {
            return;
        }
        let Some(limit) = self.limits.get_mut(&upstream) else {
            return;
        };
        if let Some(count) = limit.count(router, now) {
            let details = format!(
                "upstream {upstream} with a limit of {}/s got {count} requests in {WINDOW:?}, \
                 {} allowed",
                limit.per_s,
                limit.allowed()
            );
            limit.arrivals.clear();
            self.report(at, Guarantee::Limit, details);
        }
    }
}
