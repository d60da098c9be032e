//! How often each key is asked for.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use crate::map::Range;

const KEYS: usize = 1 << 16;
/// Bounds of the time in which a count loses half of its weight: short enough
/// to follow a run of hot keys within seconds, long enough to see a quiet
/// service.
const MIN_HALF_LIFE: Duration = Duration::from_millis(1_200);
const MAX_HALF_LIFE: Duration = Duration::from_secs(8);
/// Half-life of the counts of late, which show a run of hot keys within a second.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(600);
/// Neighbouring keys whose counts of late are judged together: hot keys are
/// neighbours, and each may have been asked for only once or twice.
const BLOCK: usize = 16;
/// Standard deviations by which a block must have been asked for more often than
/// never: single requests for rarely asked keys don't count as a run.
const RECENT_DEVIATIONS: f64 = 1.5;
/// Requests that the counts should rest on, per upstream.
const WANTED_COUNT: f64 = 25.0;
/// Share of the load that is spread over all keys evenly, so that keys which
/// were not asked for lately count as well.
const EVEN_SHARE: f64 = 0.1;

/// Decaying counts of the requests for each key, in two time scales: one that many
/// requests are counted in, and one that follows a run of hot keys.
#[derive(Clone, Debug)]
pub struct Weights {
    counts: Vec<f32>,
    recent: Vec<f32>,
    total: f64,
    half_life: Duration,
    decayed_at: Instant,
}

/// Requests per second of any range, at one moment.
#[derive(Clone, Debug)]
pub struct Load {
    /// Sum of the rates of all keys before this one.
    sums: Vec<f64>,
    /// Number of requests that the rates rest on.
    pub counted: f64,
}

impl Weights {
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

    /// Ages the counts, and returns the load of the keys.
    pub fn load(&mut self, now: Instant, upstreams: usize) -> Load {
        self.decay(now);
        let seconds = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        let rate = self.total / seconds;
        self.adapt(rate, upstreams);
        let even = EVEN_SHARE * rate.max(1.0) / KEYS as f64;
        let mut sums = Vec::with_capacity(KEYS + 1);
        let mut sum = 0.0;
        sums.push(sum);
        let recent_seconds = RECENT_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let blocks = self.counts.chunks(BLOCK).zip(self.recent.chunks(BLOCK));
        for (counts, recent) in blocks {
            let counted: f64 = recent.iter().map(|count| f64::from(*count)).sum();
            let sure = (1.0 - RECENT_DEVIATIONS / counted.sqrt()).max(0.0);
            for (count, recent) in counts.iter().zip(recent) {
                let lately = sure * f64::from(*recent) / recent_seconds;
                sum += lately.max(f64::from(*count) / seconds) + even;
                sums.push(sum);
            }
        }
        Load {
            sums,
            counted: self.total,
        }
    }

    fn adapt(&mut self, rate: f64, upstreams: usize) {
        let wanted = WANTED_COUNT * upstreams.max(1) as f64;
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

    /// Returns the key of a range that is asked for most, and its requests per
    /// second.
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

    /// Returns the key at which `from..` reaches a load, at most `to`.
    pub fn reach(&self, from: u16, to: u16, load: f64) -> u16 {
        let wanted = self.sums[usize::from(from)] + load;
        let part = &self.sums[usize::from(from) + 1..=usize::from(to) + 1];
        let steps = part.partition_point(|sum| *sum < wanted);
        from.saturating_add(steps.min(part.len() - 1) as u16)
    }
}
