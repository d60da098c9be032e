//! Request rate of each key.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use crate::map::Range;

const KEYS: usize = 1 << 16;
/// Bounds of the time in which a count loses half of its weight: short enough to follow a run of
/// hot keys within seconds, long enough to measure a service with few requests.
const MIN_HALF_LIFE: Duration = Duration::from_millis(1_200);
const MAX_HALF_LIFE: Duration = Duration::from_secs(8);
/// Half-life of the recent counts, which show a run of hot keys within a second.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(600);
/// Neighbouring keys whose recent counts are judged together. Hot keys are neighbours, and each may
/// have been requested only once or twice.
const BLOCK_KEYS: usize = 16;
/// Standard deviations by which the recent count of a block must exceed zero. Single requests for
/// rarely used keys don't count as a hot run.
const RECENT_DEVIATIONS: f64 = 1.5;
/// Number of requests that the counts should rest on, per upstream.
const SAMPLES_PER_UPSTREAM: f64 = 25.0;
/// Share of the load that is spread over all keys evenly, so that keys without recent requests
/// count as well.
const UNIFORM_SHARE: f64 = 0.1;

/// Exponentially decaying request counts of each key, on two time scales: a slow one that covers
/// many requests, and a fast one that follows a run of hot keys.
#[derive(Clone, Debug)]
pub struct Counts {
    counts: Vec<f32>,
    recent: Vec<f32>,
    total: f64,
    half_life: Duration,
    decayed_at: Instant,
}

/// Requests per second of each key, at one moment.
#[derive(Clone, Debug)]
pub struct Load {
    /// Prefix sums: the total rate of all keys below the index.
    sums: Vec<f64>,
    /// Number of requests that the rates rest on.
    pub sample_count: f64,
}

impl Counts {
    /// Creates counts of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: vec![0.0; KEYS],
            recent: vec![0.0; KEYS],
            total: 0.0,
            half_life: MIN_HALF_LIFE,
            decayed_at: now,
        }
    }

    /// Counts one request for each of these keys.
    pub fn record(&mut self, keys: impl IntoIterator<Item = u16>) {
        for key in keys {
            self.counts[usize::from(key)] += 1.0;
            self.recent[usize::from(key)] += 1.0;
            self.total += 1.0;
        }
    }

    /// Decays the counts until `now`, and returns the load of the keys. `upstreams` is the number
    /// of upstreams that share it, from which the half-life follows.
    pub fn load(&mut self, now: Instant, upstreams: usize) -> Load {
        self.decay(now);
        let seconds = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        let rate = self.total / seconds;
        self.adapt(rate, upstreams);
        let uniform = UNIFORM_SHARE * rate.max(1.0) / KEYS as f64;
        let mut sums = Vec::with_capacity(KEYS + 1);
        let mut sum = 0.0;
        sums.push(sum);
        let recent_seconds = RECENT_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let blocks = self
            .counts
            .chunks(BLOCK_KEYS)
            .zip(self.recent.chunks(BLOCK_KEYS));
        for (counts, recent) in blocks {
            let sample_count: f64 = recent.iter().map(|count| f64::from(*count)).sum();
            let confidence = (1.0 - RECENT_DEVIATIONS / sample_count.sqrt()).max(0.0);
            for (count, recent) in counts.iter().zip(recent) {
                let recent_rate = confidence * f64::from(*recent) / recent_seconds;
                sum += recent_rate.max(f64::from(*count) / seconds) + uniform;
                sums.push(sum);
            }
        }
        Load {
            sums,
            sample_count: self.total,
        }
    }

    fn adapt(&mut self, rate: f64, upstreams: usize) {
        let wanted = SAMPLES_PER_UPSTREAM * upstreams.max(1) as f64;
        let seconds = wanted * std::f64::consts::LN_2 / rate.max(0.1);
        let bounded = seconds.clamp(MIN_HALF_LIFE.as_secs_f64(), MAX_HALF_LIFE.as_secs_f64());
        self.half_life = Duration::from_secs_f64(bounded);
    }

    fn decay(&mut self, now: Instant) {
        let age = (now - self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = 0.5_f64.powf(age / self.half_life.as_secs_f64());
        let mut total = 0.0;
        for count in &mut self.counts {
            *count *= factor as f32;
            total += f64::from(*count);
        }
        self.total = total;
        let factor = 0.5_f64.powf(age / RECENT_HALF_LIFE.as_secs_f64());
        for count in &mut self.recent {
            *count *= factor as f32;
        }
    }
}

impl Load {
    /// Returns the requests per second for the keys of a range.
    pub fn of(&self, range: &Range) -> f64 {
        self.between(range.from, range.to)
    }

    /// Returns the requests per second for the keys `from..=to`.
    pub fn between(&self, from: u16, to: u16) -> f64 {
        self.sums[usize::from(to) + 1] - self.sums[usize::from(from)]
    }

    /// Returns the key of a range with the most requests per second, and its rate.
    pub fn hottest(&self, range: &Range) -> (u16, f64) {
        let rate = |key: u16| self.sums[usize::from(key) + 1] - self.sums[usize::from(key)];
        let keys = (range.from..=range.to).map(|key| (key, rate(key)));
        let hottest = keys.max_by(|a, b| a.1.total_cmp(&b.1));
        hottest.unwrap_or((range.from, 0.0))
    }

    /// Returns the requests per second for all keys.
    pub fn total(&self) -> f64 {
        self.sums[KEYS]
    }

    /// Returns the key at which the summed rate of the keys from `from` reaches `load`, at most
    /// `to`.
    pub fn split_key(&self, from: u16, to: u16, load: f64) -> u16 {
        let wanted = self.sums[usize::from(from)] + load;
        let part = &self.sums[usize::from(from) + 1..=usize::from(to) + 1];
        let steps = part.partition_point(|sum| *sum < wanted);
        from.saturating_add(steps.min(part.len() - 1) as u16)
    }
}
