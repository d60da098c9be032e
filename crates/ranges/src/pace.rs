//! How fast the upstreams of a service are.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::keeper::Upstream;

/// Guess before any answer came.
const INITIAL_MS: f64 = 100.0;
/// Answers that the guess from other upstreams weighs as much as.
const PRIOR_ANSWERS: f64 = 6.0;
/// Answers over which an estimate adapts.
const MEMORY: f64 = 24.0;
/// Weight of answers that are slower than the estimate: they may have waited
/// behind others at the upstream, which faster ones have not.
const SLOWER_WEIGHT: f64 = 0.25;
/// The same for upstreams that are known to be busy: most of their answers have
/// waited.
const BUSY_SLOWER_WEIGHT: f64 = 0.03;

/// Time for one request at each upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Paces {
    paces: HashMap<Arc<str>, Pace>,
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    mean_ms: f64,
    answers: f64,
}

impl Paces {
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
        let first = Pace {
            mean_ms: sample_ms,
            answers: 0.0,
        };
        let pace = self.paces.entry(Arc::clone(upstream)).or_insert(first);
        let weight = (answers / (pace.answers + answers).min(MEMORY)).min(1.0);
        let weight = match (sample_ms > pace.mean_ms, is_busy) {
            (false, _) => weight,
            (true, false) => weight * SLOWER_WEIGHT,
            (true, true) => weight * BUSY_SLOWER_WEIGHT,
        };
        pace.mean_ms += (sample_ms - pace.mean_ms) * weight;
        pace.answers = (pace.answers + answers).min(MEMORY);
    }

    /// Requests per second that an upstream can work on, if the others take
    /// `typical` ms for one.
    pub(crate) fn capacity_per_s(&self, upstream: &Upstream, typical: f64) -> f64 {
        let pace = self.paces.get(&upstream.life.upstream);
        let mean_ms = pace.map_or(typical, |pace| {
            let sum = pace.mean_ms * pace.answers + typical * PRIOR_ANSWERS;
            sum / (pace.answers + PRIOR_ANSWERS)
        });
        f64::from(upstream.slots.max(1)) * 1e3 / mean_ms.max(1.0)
    }

    /// Mean time for one request at all upstreams, in milliseconds.
    pub(crate) fn typical_ms(&self) -> f64 {
        let answers: f64 = self.paces.values().map(|pace| pace.answers).sum();
        if answers < 1.0 {
            return INITIAL_MS;
        }
        let sum: f64 = self
            .paces
            .values()
            .map(|pace| pace.mean_ms * pace.answers)
            .sum();
        sum / answers
    }
}
