//! Moving estimate of the service time of an upstream.

use std::time::Duration;

/// Weight of one sample.
const SMOOTHING: f64 = 1.0 / 12.0;
/// Upper bound of a sample, in multiples of the estimate, so that one slow request doesn't make an
/// upstream look slow.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// Estimated time for one request that finds a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    mean_ms: f64,
    samples: u32,
}

impl ServiceTime {
    pub(crate) fn new(initial_ms: f64) -> Self {
        Self {
            mean_ms: initial_ms,
            samples: 0,
        }
    }

    /// Adds a sample of a request that waited `queueing` times its service time.
    pub(crate) fn record(&mut self, sample: Duration, queueing: f64) {
        let sample_ms = sample.as_secs_f64() * 1e3 / (1.0 + queueing);
        let bounded_ms = sample_ms.min(MAX_SAMPLE_FACTOR * self.mean_ms.max(1.0));
        // The first samples replace the initial guess faster.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples + 2));
        self.mean_ms += (bounded_ms - self.mean_ms) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// Raises the estimate if it is too low, because a request has been unanswered for `elapsed`.
    pub(crate) fn raise_toward(&mut self, elapsed: Duration, queueing: f64) {
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
