//! Results of a simulation.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::load::Load;

/// Results of one partner.
#[derive(Clone, Debug, Default)]
pub struct PartnerReport {
    /// Times from due to the start at the upstream, in microseconds, sorted once the run
    /// has ended.
    pub queue_us: Vec<u64>,
    /// Times from due to the answer, in microseconds, sorted once the run has ended.
    pub answer_us: Vec<u64>,
    /// Requests that were due.
    pub offered: u64,
    /// Requests that were answered in time.
    pub in_time: u64,
    /// Time for which the requests of the partner held slots.
    pub busy: Duration,
}

impl PartnerReport {
    /// Returns the wait for a slot at this quantile, zero without any answer.
    pub fn queue(&self, quantile: f64) -> Duration {
        at(&self.queue_us, quantile)
    }

    /// Returns the time to the answer at this quantile, zero without any answer.
    pub fn answer(&self, quantile: f64) -> Duration {
        at(&self.answer_us, quantile)
    }
}

fn at(sorted: &[u64], quantile: f64) -> Duration {
    if sorted.is_empty() {
        return Duration::ZERO;
    }
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    let index = rank.clamp(1, sorted.len()) - 1;
    Duration::from_micros(sorted[index])
}

/// Refusal with the retry time that the caller was told.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Instant,
    stream: usize,
    retry_after: Duration,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that were due.
    pub offered: u64,
    /// Attempts that were sent to upstreams.
    pub sent: u64,
    /// Requests that were answered in time.
    pub in_time: u64,
    /// Requests that were answered after their deadline.
    pub late: u64,
    /// Requests whose callers were told that the request did not run.
    pub refused: u64,
    /// Refused requests that had waited for more than 50 ms.
    pub refused_late: u64,
    /// Requests whose callers were told that the outcome is unknown.
    pub unknown: u64,
    /// Longest time from due to a final answer that didn't come from the upstream.
    pub slowest_refusal: Duration,
    /// Results per partner, in the order of the load.
    pub partners: Vec<PartnerReport>,
    /// Transactions that the table applied.
    pub writes: u64,
    /// Maximum number of requests that waited for one upstream.
    pub longest_queue: usize,
    /// Share of the refusals with a retry time after which the next request of the same
    /// partner for the same upstream was admitted.
    pub retry_admitted_share: f64,
    /// Median ratio of the retry time that was told to the time until that partner was next
    /// admitted.
    pub retry_accuracy: f64,
    refusals: Vec<Refusal>,
    arrivals: Vec<Vec<(Instant, bool)>>,
}

impl Report {
    pub(crate) fn new(load: &Load) -> Self {
        let streams = load.partners.len() * load.upstreams as usize;
        Self {
            partners: vec![PartnerReport::default(); load.partners.len()],
            arrivals: vec![Vec::new(); streams],
            ..Self::default()
        }
    }

    /// Returns the share of the offered requests that were answered in time.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    /// Returns the number of attempts sent per request offered.
    pub fn amplification(&self) -> f64 {
        self.sent as f64 / self.offered.max(1) as f64
    }

    pub(crate) fn admitted(&mut self, stream: usize, at: Instant) {
        self.arrivals[stream].push((at, true));
    }

    pub(crate) fn record_refused(&mut self, stream: usize, at: Instant) {
        self.arrivals[stream].push((at, false));
    }

    pub(crate) fn record_retry_after(&mut self, stream: usize, at: Instant, retry_after: Duration) {
        self.refusals.push(Refusal {
            at,
            stream,
            retry_after,
        });
    }

    pub(crate) fn finalize(&mut self) {
        for waits in &mut self.partners {
            waits.queue_us.sort_unstable();
            waits.answer_us.sort_unstable();
        }
        self.evaluate_retries();
    }

    fn evaluate_retries(&mut self) {
        let mut admitted_next = 0u64;
        let mut evaluated = 0u64;
        let mut ratios = Vec::new();
        for refusal in &self.refusals {
            let arrivals = &self.arrivals[refusal.stream];
            let due = refusal.at + refusal.retry_after;
            let next = arrivals.partition_point(|(at, _)| *at < due);
            if let Some((_, admitted)) = arrivals.get(next) {
                evaluated += 1;
                admitted_next += u64::from(*admitted);
            }
            let after = arrivals.partition_point(|(at, _)| *at <= refusal.at);
            let open = arrivals[after..].iter().find(|(_, admitted)| *admitted);
            if let Some((at, _)) = open {
                let actual = (*at - refusal.at).as_secs_f64().max(1e-6);
                ratios.push(refusal.retry_after.as_secs_f64() / actual);
            }
        }
        ratios.sort_by(f64::total_cmp);
        self.retry_admitted_share = admitted_next as f64 / evaluated.max(1) as f64;
        self.retry_accuracy = ratios.get(ratios.len() / 2).copied().unwrap_or(0.0);
    }
}
