//! Moving estimate of the service time of an upstream.

use std::time::Duration;

const MEAN_SMOOTHING: f64 = 1.0 / 16.0;
const DEVIATION_SMOOTHING: f64 = 1.0 / 16.0;
const TAIL_DEVIATIONS: f64 = 3.0;
/// Limit of a sample, as a multiple of the mean. A single attempt that hangs doesn't make
/// an upstream look slow, but several do.
const MAX_SAMPLE_FACTOR: f64 = 8.0;

/// Exponentially weighted mean and mean deviation of durations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    mean_us: f64,
    deviation_us: f64,
}

impl Estimate {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            mean_us: to_micros(initial),
            deviation_us: 0.0,
        }
    }

    pub(crate) fn record(&mut self, sample: Duration) {
        let sample_us = to_micros(sample).min(MAX_SAMPLE_FACTOR * self.mean_us.max(1.0));
        let error = sample_us - self.mean_us;
        self.mean_us += error * MEAN_SMOOTHING;
        self.deviation_us += (error.abs() - self.deviation_us) * DEVIATION_SMOOTHING;
    }

    pub(crate) fn mean(self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// Returns the time within which all but a few of the samples lie.
    pub(crate) fn tail(self) -> Duration {
        Duration::from_micros((self.mean_us + TAIL_DEVIATIONS * self.deviation_us) as u64)
    }
}

fn to_micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
