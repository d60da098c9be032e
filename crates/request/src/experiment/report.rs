//! What a run showed.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::load::Load;

/// Waits of the requests of one partner that were answered, in order.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    /// Times from due to the start at the upstream, in microseconds.
    pub queue_us: Vec<u64>,
    /// Times from due to the answer, in microseconds.
    pub answer_us: Vec<u64>,
    /// Requests that were due.
    pub offered: u64,
    /// Requests that were answered in time.
    pub good: u64,
    /// Time that its requests held slots.
    pub busy: Duration,
}

impl Waits {
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

/// Refusal with the time to retry that was told.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Instant,
    stream: usize,
    told: Duration,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that were due.
    pub offered: u64,
    /// Attempts that were sent to upstreams.
    pub sent: u64,
    /// Requests that were answered in time.
    pub good: u64,
    /// Requests that were answered too late.
    pub late: u64,
    /// Requests that were told that they did not run.
    pub refused: u64,
    /// Of these: requests that had waited for more than 50 ms.
    pub refused_late: u64,
    /// Requests whose outcome was told to be unknown.
    pub unknown: u64,
    /// Longest time from due to a final answer other than that of the upstream.
    pub slowest_refusal: Duration,
    /// Waits per partner, in the order of the load.
    pub partners: Vec<Waits>,
    /// Transactions that the table applied.
    pub writes: u64,
    /// Most requests that waited for one upstream.
    pub longest_queue: usize,
    /// Of the refusals with a time to retry: the share after which the next
    /// request of the same partner for the same upstream was admitted.
    pub retry_held: f64,
    /// Median of the time told over the time until that partner was next admitted.
    pub retry_ratio: f64,
    refusals: Vec<Refusal>,
    arrivals: Vec<Vec<(Instant, bool)>>,
}

impl Report {
    pub(crate) fn new(load: &Load) -> Self {
        let streams = load.customers.len() * load.upstreams as usize;
        Self {
            partners: vec![Waits::default(); load.customers.len()],
            arrivals: vec![Vec::new(); streams],
            ..Self::default()
        }
    }

    /// Returns the share of the offered requests that were answered in time.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }

    /// Returns the attempts sent over the requests offered.
    pub fn amplification(&self) -> f64 {
        self.sent as f64 / self.offered.max(1) as f64
    }

    pub(crate) fn admitted(&mut self, stream: usize, at: Instant) {
        self.arrivals[stream].push((at, true));
    }

    pub(crate) fn refused_on_arrival(&mut self, stream: usize, at: Instant) {
        self.arrivals[stream].push((at, false));
    }

    pub(crate) fn told_to_retry(&mut self, stream: usize, at: Instant, told: Duration) {
        self.refusals.push(Refusal { at, stream, told });
    }

    pub(crate) fn conclude(&mut self) {
        for waits in &mut self.partners {
            waits.queue_us.sort_unstable();
            waits.answer_us.sort_unstable();
        }
        self.judge_retries();
    }

    fn judge_retries(&mut self) {
        let mut held = 0u64;
        let mut judged = 0u64;
        let mut ratios = Vec::new();
        for refusal in &self.refusals {
            let arrivals = &self.arrivals[refusal.stream];
            let due = refusal.at + refusal.told;
            let next = arrivals.partition_point(|(at, _)| *at < due);
            if let Some((_, admitted)) = arrivals.get(next) {
                judged += 1;
                held += u64::from(*admitted);
            }
            let after = arrivals.partition_point(|(at, _)| *at <= refusal.at);
            let open = arrivals[after..].iter().find(|(_, admitted)| *admitted);
            if let Some((at, _)) = open {
                let truth = (*at - refusal.at).as_secs_f64().max(1e-6);
                ratios.push(refusal.told.as_secs_f64() / truth);
            }
        }
        ratios.sort_by(f64::total_cmp);
        self.retry_held = held as f64 / judged.max(1) as f64;
        self.retry_ratio = ratios.get(ratios.len() / 2).copied().unwrap_or(0.0);
    }
}
