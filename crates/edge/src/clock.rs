//! The clock of all decisions.

use eelgrassrock_model::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clock that goes on while the machine sleeps: a lease must not
/// outlast its time because the machine was suspended.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    Instant::from_micros(micros)
}
