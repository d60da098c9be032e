//! The monotonic clock of the daemon.

use std::time;

use eelgrassrock_model::time::Instant;

/// Source of the instants for the state machines, counted from the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub(crate) fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// Returns the time since the start of the daemon, in whole microseconds.
    pub(crate) fn now(self) -> Instant {
        let micros = u64::try_from(self.start.elapsed().as_micros());
        Instant::from_micros(micros.expect("a daemon runs for less than 584,000 years"))
    }

    /// Converts an instant of this clock into one for Tokio timers.
    pub(crate) fn to_tokio(self, instant: Instant) -> tokio::time::Instant {
        let span = time::Duration::from_micros(instant.as_micros());
        tokio::time::Instant::from_std(self.start + span)
    }
}
