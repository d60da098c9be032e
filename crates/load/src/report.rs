//! Outcomes and latencies of the requests of a run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Longest latency that is recorded, in microseconds. Longer ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete answer with this status arrived.
    Answered(u16),
    /// No connection could be established, or no complete answer arrived.
    Failed,
}

/// Latencies and outcomes of the requests that have ended.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    latencies: Histogram<u64>,
    statuses: IndexMap<u16, u64>,
    failed: u64,
    in_time: u64,
    deadline: Duration,
}

/// Outcomes and latencies of all requests of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests that were due.
    pub offered: u64,
    /// Number of complete answers by status.
    pub statuses: IndexMap<u16, u64>,
    /// Number of requests without a complete answer.
    pub failed: u64,
    /// Number of answers with a status below 400 within the deadline.
    pub in_time: u64,
    /// Answers with a status below 400 within the deadline, per second.
    pub goodput: f64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
    /// Highest latency, in microseconds.
    pub max_us: u64,
}

impl Tally {
    pub(crate) fn new(deadline: Duration) -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            latencies: latencies.expect("the bounds are valid"),
            statuses: IndexMap::new(),
            failed: 0,
            in_time: 0,
            deadline,
        }
    }

    pub(crate) fn add(&mut self, outcome: Outcome, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latencies.saturating_record(micros.max(1));
        match outcome {
            Outcome::Answered(status) => {
                *self.statuses.entry(status).or_default() += 1;
                self.in_time += u64::from(status < 400 && latency <= self.deadline);
            }
            Outcome::Failed => self.failed += 1,
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.latencies
            .add(&other.latencies)
            .expect("all histograms have the same bounds");
        self.failed += other.failed;
        self.in_time += other.in_time;
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
    }

    pub(crate) fn report(mut self, elapsed: Duration) -> Report {
        self.statuses.sort_keys();
        let latency_at = |quantile| self.latencies.value_at_quantile(quantile);
        Report {
            offered: self.latencies.len(),
            failed: self.failed,
            in_time: self.in_time,
            goodput: self.in_time as f64 / elapsed.as_secs_f64(),
            p50_us: latency_at(0.5),
            p99_us: latency_at(0.99),
            p999_us: latency_at(0.999),
            max_us: self.latencies.max(),
            statuses: self.statuses,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        write!(
            f,
            "offered {} in-time {} goodput {:.0}/s failed {} p50 {:.2} ms p99 {:.2} ms \
             p99.9 {:.2} ms max {:.2} ms",
            self.offered,
            self.in_time,
            self.goodput,
            self.failed,
            millis(self.p50_us),
            millis(self.p99_us),
            millis(self.p999_us),
            millis(self.max_us),
        )?;
        self.statuses
            .iter()
            .try_for_each(|(status, count)| write!(f, " {status}:{count}"))
    }
}
