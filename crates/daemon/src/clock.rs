//! The monotonic clock of this machine.

use std::time;

use eelgrassrock_model::time::Instant;

/// Source of instants for the decisions, counted from the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// Reads the clock.
    pub(crate) fn now(self) -> Instant {
        let micros = u64::try_from(self.start.elapsed().as_micros());
        Instant::from_micros(micros.expect("a daemon runs for less than 584,000 years"))
    }

    /// Converts an instant of the decisions into one that a timer takes.
    pub(crate) fn at(self, instant: Instant) -> tokio::time::Instant {
        let span = time::Duration::from_micros(instant.as_micros());
        tokio::time::Instant::from_std(self.start + span)
    }
}
