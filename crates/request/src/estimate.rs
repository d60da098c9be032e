//! Moving estimate of the service time of an upstream.

use std::time::Duration;

const SMOOTHING: f64 = 1.0 / 16.0;

/// Exponentially weighted mean of durations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mean {
    micros: f64,
}

impl Mean {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            micros: to_micros(initial),
        }
    }

    pub(crate) fn record(&mut self, sample: Duration) {
        self.micros += (to_micros(sample) - self.micros) * SMOOTHING;
    }

    pub(crate) fn get(self) -> Duration {
        Duration::from_micros(self.micros as u64)
    }
}

fn to_micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
