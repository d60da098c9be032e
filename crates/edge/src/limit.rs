//! Limits that upstreams set to the requests from all routers, as the routers have seen them.
//!
//! Routers pass on what they saw with messages that they exchange anyway. So the leader knows of a
//! limit, and routers that have had no answer yet keep to it as well.

use std::rc::Rc;
use std::sync::Arc;

use eelgrassrock_dispatch::limit::Limit;
use eelgrassrock_dispatch::observation::{Change, Observation};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use serde::Serialize;

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

#[derive(Serialize)]
struct LimitLine<'a> {
    service: &'a str,
    upstream: &'a str,
    /// Requests per second from all routers together; none if the limit has ended.
    limit_per_s: Option<f64>,
    routers: usize,
    seen_by: &'a str,
}

impl<P: Platform> Node<P> {
    /// Records the limit that an answer named.
    pub(crate) fn observe_limit(self: &Rc<Self>, upstream: &Arc<Upstream>, limit: Limit) {
        let has_changed = self.with_service(&upstream.service, |service, now| {
            service.set_limit(upstream, limit, now)
        });
        let mut observations = self.observations.borrow_mut();
        observations.observe(upstream, limit, clock::now());
        drop(observations);
        if has_changed == Some(true) {
            self.log_limit(upstream, Some(limit), &self.settings.router);
        }
    }

    /// Records a success without a limit, for a request that was sent at `sent_at`.
    pub(crate) fn lift_limit(self: &Rc<Self>, upstream: &Arc<Upstream>, sent_at: Instant) {
        if !self.is_limited(upstream) {
            return;
        }
        let is_lifted = self.with_service(&upstream.service, |service, now| {
            service.lift_limit(upstream, sent_at, now)
        });
        if is_lifted == Some(true) {
            let mut observations = self.observations.borrow_mut();
            observations.observe_end(upstream, sent_at);
            drop(observations);
            self.log_limit(upstream, None, &self.settings.router);
        }
    }

    /// Merges what other routers have seen.
    pub(crate) fn merge_observations(self: &Rc<Self>, observations: &[Observation]) {
        for observation in observations {
            let now = clock::now();
            let change = self.observations.borrow_mut().merge(observation, now);
            match change {
                Change::None => {}
                Change::Set(limit) => self.apply_observation(observation, Some(limit), now),
                Change::Lift => self.apply_observation(observation, None, now),
            }
        }
    }

    fn apply_observation(
        self: &Rc<Self>,
        observation: &Observation,
        limit: Option<Limit>,
        now: Instant,
    ) {
        let upstream = self
            .state
            .borrow()
            .registry
            .get(observation.upstream())
            .cloned()
            .filter(|upstream| upstream.incarnation == observation.incarnation());
        let Some(upstream) = upstream else {
            return;
        };
        let has_changed = self.with_service(&upstream.service, |service, _| match limit {
            Some(limit) => service.set_limit(&upstream, limit, now),
            None => service.lift_limit(&upstream, now, now),
        });
        if has_changed == Some(true) {
            self.log_limit(&upstream, limit, observation.router());
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
