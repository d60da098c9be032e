//! Moving estimate of how long an upstream works on one request.

use std::time::Duration;

/// Weight of one sample.
const SMOOTHING: f64 = 1.0 / 12.0;
/// Longest sample that is believed, in multiples of the estimate, so that one
/// request that takes long doesn't make an upstream look slow.
const MAX_SAMPLE: f64 = 4.0;

/// Estimate of the time for one request that finds a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    mean_ms: f64,
    samples: u32,
}

impl Pace {
    pub(crate) fn new(initial_ms: f64) -> Self {
        Self {
            mean_ms: initial_ms,
            samples: 0,
        }
    }

    /// Adds a sample that waited `queueing` times the service time.
    pub(crate) fn record(&mut self, sample: Duration, queueing: f64) {
        let sample_ms = sample.as_secs_f64() * 1e3 / (1.0 + queueing);
        let believed = sample_ms.min(MAX_SAMPLE * self.mean_ms.max(1.0));
        // The first samples replace the guess sooner.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples + 2));
        self.mean_ms += (believed - self.mean_ms) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// Raises the estimate: a request has been unanswered for this long.
    pub(crate) fn at_least(&mut self, elapsed: Duration, queueing: f64) {
        let elapsed_ms = elapsed.as_secs_f64() * 1e3 / (1.0 + queueing);
        if elapsed_ms > self.mean_ms {
            self.record(elapsed, queueing);
        }
    }

    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
