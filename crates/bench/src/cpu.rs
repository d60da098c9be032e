//! Processor time of work, in units that don't depend on the load of the
//! machine.
//!
//! On a machine that others use, the same work takes up to twice as long from
//! one second to the next. So a fixed piece of reference work runs around each
//! run, and the time of a run is given in multiples of it, times the
//! [`REFERENCE`] time.

use std::hint::black_box;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time that the reference work takes on the quiet machine that the page of
/// capacities was measured on.
pub const REFERENCE: Duration = Duration::from_micros(57);

/// Time that the runs of one measurement take together, at least.
const SAMPLING: Duration = Duration::from_millis(1_000);
/// Entries of the map that the reference work builds.
const REFERENCE_ENTRIES: u64 = 1_000;

/// Builds a map of small allocations, as the decisions do most of the time.
fn reference() -> Duration {
    let start = Instant::now();
    let entries = (0..REFERENCE_ENTRIES).map(|key| (key, vec![key; 4]));
    black_box(entries.collect::<IndexMap<u64, Vec<u64>>>());
    start.elapsed()
}

/// Returns the median time of several runs of `work`, each on what `prepare`
/// returns, at the speed of the [`REFERENCE`]. There are `runs` of them, or
/// more until the sampling time has passed.
///
/// ```
/// use eelgrassrock_bench::cpu;
///
/// let span = cpu::median(3, || vec![3, 1, 2], |list: &mut Vec<i32>| list.sort());
/// assert!(span.as_secs() < 60);
/// ```
pub fn median<T>(
    runs: usize,
    mut prepare: impl FnMut() -> T,
    mut work: impl FnMut(&mut T),
) -> Duration {
    let begin = Instant::now();
    let mut ratios = Vec::new();
    while ratios.len() < runs || begin.elapsed() < SAMPLING {
        let mut subject = prepare();
        let before = reference();
        let start = Instant::now();
        work(&mut subject);
        let span = start.elapsed();
        let around = (before + reference()) / 2;
        ratios.push(span.as_secs_f64() / around.as_secs_f64());
    }
    ratios.sort_by(f64::total_cmp);
    REFERENCE.mul_f64(ratios[ratios.len() / 2])
}

/// Returns the least time of the reference work on this machine.
pub fn speed() -> Duration {
    let begin = Instant::now();
    let mut least = Duration::MAX;
    while begin.elapsed() < SAMPLING {
        least = least.min(reference());
    }
    least
}
