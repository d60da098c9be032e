//! Estimated service time of each upstream.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::leader::Upstream;

/// Service time that is assumed before any answer came.
const INITIAL_SERVICE_TIME_MS: f64 = 100.0;
/// Number of answers that the mean of all upstreams weighs as much as in an upstream's estimate.
const PRIOR_ANSWERS: f64 = 6.0;
/// Number of answers at which the weight of earlier answers stops growing.
const MAX_WEIGHT_ANSWERS: f64 = 24.0;
/// Weight of answers that are slower than the estimate. They may have waited behind other requests
/// at the upstream, which faster answers have not.
const SLOWER_WEIGHT: f64 = 0.25;
/// The same for upstreams that are known to be busy, where most answers have waited.
const BUSY_SLOWER_WEIGHT: f64 = 0.03;

/// Service time of each upstream, by its identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    estimates: HashMap<Arc<str>, ServiceTime>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    mean_ms: f64,
    answers: f64,
}

impl ServiceTimes {
    pub(crate) fn record(
        &mut self,
        upstream: &Arc<str>,
        answers: u32,
        total: Duration,
        is_busy: bool,
    ) {
        if answers == 0 {
            return;
        }
        let answers = f64::from(answers);
        let sample_ms = total.as_secs_f64() * 1e3 / answers;
        let first = ServiceTime {
            mean_ms: sample_ms,
            answers: 0.0,
        };
        let estimate = self.estimates.entry(Arc::clone(upstream)).or_insert(first);
        let weight = (answers / (estimate.answers + answers).min(MAX_WEIGHT_ANSWERS)).min(1.0);
        let weight = match (sample_ms > estimate.mean_ms, is_busy) {
            (false, _) => weight,
            (true, false) => weight * SLOWER_WEIGHT,
            (true, true) => weight * BUSY_SLOWER_WEIGHT,
        };
        estimate.mean_ms += (sample_ms - estimate.mean_ms) * weight;
        estimate.answers = (estimate.answers + answers).min(MAX_WEIGHT_ANSWERS);
    }

    /// Returns the requests per second that an upstream can work on. `typical_ms` is the mean
    /// service time of all upstreams.
    pub(crate) fn capacity_per_s(&self, upstream: &Upstream, typical_ms: f64) -> f64 {
        let estimate = self.estimates.get(&upstream.instance.upstream);
        let mean_ms = estimate.map_or(typical_ms, |estimate| {
            let sum = estimate.mean_ms * estimate.answers + typical_ms * PRIOR_ANSWERS;
            sum / (estimate.answers + PRIOR_ANSWERS)
        });
        f64::from(upstream.slots.max(1)) * 1e3 / mean_ms.max(1.0)
    }

    /// Returns the mean service time of all upstreams, in milliseconds.
    pub(crate) fn typical_ms(&self) -> f64 {
        let answers: f64 = self
            .estimates
            .values()
            .map(|estimate| estimate.answers)
            .sum();
        if answers < 1.0 {
            return INITIAL_SERVICE_TIME_MS;
        }
        let sum: f64 = self
            .estimates
            .values()
            .map(|estimate| estimate.mean_ms * estimate.answers)
            .sum();
        sum / answers
    }
}
