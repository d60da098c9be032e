//! Limits that upstreams set to the requests from all routers, as the routers have seen them.
//!
//! Routers pass on what they saw with messages that they exchange anyway, and the newest observation
//! counts. So the leader knows of it, routers that have had no answer yet keep to the limit as well,
//! and no router keeps to a limit that has ended.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::limit::Limit;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

/// Time after which an observation no longer counts. An upstream whose limit no answer has named
/// again is then assigned keys as if it had none.
const MAX_AGE: Duration = Duration::from_secs(10);

/// What an answer of an upstream to one router said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Observation {
    service: Arc<str>,
    upstream: Arc<str>,
    incarnation: u64,
    /// Limit in requests per second, or `None` if the limit has ended.
    limit_per_s: Option<f64>,
    /// Router that got the answer.
    router: Arc<str>,
    /// Number among the observations of that router.
    number: u64,
    age_ms: u64,
}

/// The newest observation of each upstream.
#[derive(Debug)]
pub(crate) struct Limits {
    by_upstream: RefCell<IndexMap<Arc<str>, (Observation, Instant)>>,
    last_number: Cell<u64>,
}

#[derive(Serialize)]
struct LimitLine<'a> {
    service: &'a str,
    upstream: &'a str,
    /// Requests per second from all routers together; none if the limit has ended.
    limit_per_s: Option<f64>,
    routers: usize,
    seen_by: &'a str,
}

impl Limits {
    /// Creates the record of a router. `incarnation` is higher than any number of an observation by
    /// an earlier process of the router.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            by_upstream: RefCell::default(),
            last_number: Cell::new(incarnation),
        }
    }

    /// Returns the number of the next observation of this router.
    fn take_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Records an observation. Returns when it was made, or `None` if a newer one is known.
    fn record(&self, observation: &Observation, now: Instant) -> Option<Instant> {
        let mut by_upstream = self.by_upstream.borrow_mut();
        by_upstream.retain(|_, (_, at)| now - *at < MAX_AGE);
        let age = Duration::from_millis(observation.age_ms);
        if age >= MAX_AGE {
            return None;
        }
        let at = Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        if let Some((known, known_at)) = by_upstream.get(&observation.upstream) {
            // An observation that returns to a router seems newer by the time on its way.
            let is_echo = known.router == observation.router && known.number >= observation.number;
            let is_newer = known.incarnation < observation.incarnation
                || known.incarnation == observation.incarnation && *known_at < at && !is_echo;
            if !is_newer {
                return None;
            }
        }
        let upstream = Arc::clone(&observation.upstream);
        by_upstream.insert(upstream, (observation.clone(), at));
        Some(at)
    }

    /// Returns all observations that count.
    pub(crate) fn all(&self, now: Instant) -> Vec<Observation> {
        let by_upstream = self.by_upstream.borrow();
        let recent = by_upstream.values().filter(|(_, at)| now - *at < MAX_AGE);
        let aged = recent.map(|(observation, at)| Observation {
            age_ms: (now - *at).as_millis() as u64,
            ..observation.clone()
        });
        aged.collect()
    }

    /// Returns the observations that count and were made by one router.
    pub(crate) fn seen_by(&self, router: &str, now: Instant) -> Vec<Observation> {
        let mut seen = self.all(now);
        seen.retain(|observation| *observation.router == *router);
        seen
    }

    /// Returns the limit of an upstream, in requests per second.
    pub(crate) fn of(&self, upstream: &Upstream, now: Instant) -> Option<f64> {
        let by_upstream = self.by_upstream.borrow();
        let (observation, at) = by_upstream.get(&upstream.id)?;
        let counts = observation.incarnation == upstream.incarnation && now - *at < MAX_AGE;
        observation.limit_per_s.filter(|_| counts)
    }
}

impl<P: Platform> Node<P> {
    /// Records the limit that an answer named.
    pub(crate) fn observe_limit(self: &Rc<Self>, upstream: &Arc<Upstream>, limit: Limit) {
        let has_changed = self.with_service(&upstream.service, |service, now| {
            service.set_limit(upstream, limit, now)
        });
        self.record_own(upstream, Some(limit));
        if has_changed == Some(true) {
            self.log_limit(upstream, Some(limit), &self.settings.router);
        }
    }

    /// Records a success without a limit, for a request that was sent at `sent_at`.
    pub(crate) fn lift_limit(self: &Rc<Self>, upstream: &Arc<Upstream>, sent_at: Instant) {
        if !self.is_limited(upstream) {
            return;
        }
        let is_lifted = self.with_service(&upstream.service, |service, _| {
            service.lift_limit(upstream, sent_at)
        });
        if is_lifted == Some(true) {
            self.record_own(upstream, None);
            self.log_limit(upstream, None, &self.settings.router);
        }
    }

    fn record_own(&self, upstream: &Upstream, limit: Option<Limit>) {
        let observation = Observation {
            service: Arc::clone(&upstream.service),
            upstream: Arc::clone(&upstream.id),
            incarnation: upstream.incarnation,
            limit_per_s: limit.map(Limit::as_per_s),
            router: Arc::clone(&self.settings.router),
            number: self.limits.take_number(),
            age_ms: 0,
        };
        self.limits.record(&observation, clock::now());
    }

    /// Merges what other routers have seen.
    pub(crate) fn merge_limits(self: &Rc<Self>, observations: Vec<Observation>) {
        for observation in observations {
            if observation.router != self.settings.router
                && let Some(at) = self.limits.record(&observation, clock::now())
            {
                self.apply_limit(&observation, at);
            }
        }
    }

    /// Applies what another router has seen at `at`.
    fn apply_limit(self: &Rc<Self>, observation: &Observation, at: Instant) {
        let upstream = self
            .state
            .borrow()
            .registry
            .get(&observation.upstream)
            .cloned()
            .filter(|upstream| upstream.incarnation == observation.incarnation);
        let Some(upstream) = upstream else {
            return;
        };
        let limit = observation.limit_per_s.and_then(Limit::per_s);
        let has_changed = self.with_service(&upstream.service, |service, _| match limit {
            Some(limit) => service.set_limit(&upstream, limit, at),
            None => service.lift_limit(&upstream, at),
        });
        if has_changed == Some(true) {
            self.log_limit(&upstream, limit, &observation.router);
        }
    }

    /// Counts a send if its upstream has set a limit.
    pub(crate) fn count_limited_send(&self, upstream: &Upstream) {
        if self.is_limited(upstream) {
            self.metrics.sent_to_limited(&upstream.service);
        }
    }

    fn is_limited(&self, upstream: &Upstream) -> bool {
        let state = self.state.borrow();
        let service = state.services.get(&upstream.service);
        service.is_some_and(|service| service.limit_of(upstream).is_some())
    }

    fn log_limit(&self, upstream: &Upstream, limit: Option<Limit>, seen_by: &str) {
        let line = LimitLine {
            service: &upstream.service,
            upstream: &upstream.id,
            limit_per_s: limit.map(Limit::as_per_s),
            routers: self.state.borrow().routers.len(),
            seen_by,
        };
        self.log.request("upstream limit", &line);
    }
}
