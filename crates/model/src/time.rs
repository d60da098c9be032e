//! Instants of a monotonic clock, the only notion of time in decisions.
//!
//! Instants are local to the VM whose clock was read. Those of two VMs are never
//! compared. Durations are [`std::time::Duration`].

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reading of a monotonic clock, in microseconds since an arbitrary start.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_model::time::Instant;
///
/// let start = Instant::from_micros(1_000);
/// let end = start + Duration::from_millis(2);
/// assert_eq!(end - start, Duration::from_millis(2));
/// assert_eq!(start - end, Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// Creates an instant from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the arbitrary start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the arbitrary start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    /// Returns the later instant, [`u64::MAX`] microseconds at most.
    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Instant {
    type Output = Duration;

    /// Returns the time from `earlier` to `self`, zero if it is negative.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
