//! Monotonic clock used for all decisions.

use eelgrassrock_model::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including suspended time. A lease must not outlast its duration
/// because the machine was suspended.
///
/// ```
/// let before = eelgrassrock_edge::clock::now();
/// assert!(eelgrassrock_edge::clock::now() >= before);
/// ```
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    Instant::from_micros(micros)
}
