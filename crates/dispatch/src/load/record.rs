//! What one upstream has reported of its load, and how far that still counts.
//!
//! The load answered: many routers share an upstream, and each hears from it only every second or
//! so. A count is outdated once the requests in it have been answered, and the pace of a machine
//! that it shares with others even sooner.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Load;

/// Age at which a reported pace counts for nothing. Paces change several times a second.
const MAX_PACE_AGE: Duration = Duration::from_millis(500);
/// Weight of one report in the mean pace.
const PACE_SMOOTHING: f64 = 1.0 / 24.0;
/// Bounds of a pace relative to the mean, so that one wrong report neither keeps all requests away
/// from an upstream nor attracts all.
const MIN_RELATIVE_PACE: f64 = 0.25;
const MAX_RELATIVE_PACE: f64 = 4.0;

/// Reports of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Record {
    last: Option<Last>,
    mean_pace: f64,
    reports: u32,
}

/// Last report.
#[derive(Clone, Copy, Debug)]
struct Last {
    /// Requests of other routers.
    others: u32,
    /// Pace relative to the mean.
    relative_pace: f64,
    at: Instant,
}

impl Record {
    /// Records a report that arrives while this router has `own` requests under way, except the one
    /// that the report answers.
    pub(crate) fn record(&mut self, load: Load, own: u32, now: Instant) {
        self.reports = self.reports.saturating_add(1);
        let weight = PACE_SMOOTHING.max(1.0 / f64::from(self.reports));
        self.mean_pace += (load.pace() - self.mean_pace) * weight;
        let relative_pace = load.pace() / self.mean_pace;
        self.last = Some(Last {
            others: load.requests().saturating_sub(own),
            relative_pace: relative_pace.clamp(MIN_RELATIVE_PACE, MAX_RELATIVE_PACE),
            at: now,
        });
    }

    /// Returns the number of requests that other routers have under way. `told` is the number that
    /// they have told, and `service_time_ms` the time after which a counted request has ended.
    pub(crate) fn others(&self, told: u32, service_time_ms: f64, now: Instant) -> u32 {
        let Some(last) = self.last else {
            return told;
        };
        let told = f64::from(told);
        let lifetime = Duration::from_secs_f64(service_time_ms / 1e3);
        let weight = freshness(now - last.at, lifetime);
        (told + (f64::from(last.others) - told) * weight).round() as u32
    }

    /// Returns the time that work which starts now is expected to take, as a multiple of the
    /// upstream's mean. Its own speed is in that mean, also if its pace tells that it is slow.
    pub(crate) fn relative_pace(&self, now: Instant) -> f64 {
        self.last.map_or(1.0, |last| {
            1.0 + (last.relative_pace - 1.0) * freshness(now - last.at, MAX_PACE_AGE)
        })
    }
}

/// Returns the weight of a figure that is outdated at age `lifetime`.
fn freshness(age: Duration, lifetime: Duration) -> f64 {
    if lifetime.is_zero() {
        return 0.0;
    }
    (1.0 - age.as_secs_f64() / lifetime.as_secs_f64()).max(0.0)
}
