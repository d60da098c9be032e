//! CPU time of a piece of work, corrected for the load of the machine.
//!
//! On a shared machine, the same work may take up to twice as long from one second to the
//! next. A fixed reference work therefore runs before and after each measured run. The result
//! is the ratio of the measured time to the mean time of the reference work, multiplied by
//! [`REFERENCE_TIME`].

use std::hint::black_box;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time that the reference work takes on the reference machine when it is idle. The figures
/// in `docs/CAPACITY.md` were measured on that machine.
pub const REFERENCE_TIME: Duration = Duration::from_micros(57);

/// Minimum time over which the runs of one measurement are repeated.
const MIN_SAMPLING_TIME: Duration = Duration::from_millis(1_000);
/// Entries of the map that the reference work builds.
const REFERENCE_ENTRIES: u64 = 1_000;

/// Runs the reference work once and returns its time. It builds a map of small vectors,
/// because the state machines spend most of their time on such allocations.
fn time_reference_work() -> Duration {
    let start = Instant::now();
    let entries = (0..REFERENCE_ENTRIES).map(|key| (key, vec![key; 4]));
    black_box(entries.collect::<IndexMap<u64, Vec<u64>>>());
    start.elapsed()
}

/// Returns the median time of several runs of `work`, scaled to the speed of the reference
/// machine. Each run gets a new value from `prepare`, whose time isn't counted. There are at
/// least `min_runs` runs, and more until one second has passed.
///
/// ```
/// use eelgrassrock_bench::cpu;
///
/// let time = cpu::median_time(3, || vec![3, 1, 2], |list: &mut Vec<i32>| list.sort());
/// assert!(time.as_secs() < 60);
/// ```
pub fn median_time<T>(
    min_runs: usize,
    mut prepare: impl FnMut() -> T,
    mut work: impl FnMut(&mut T),
) -> Duration {
    let sampling_start = Instant::now();
    let mut ratios = Vec::new();
    while ratios.len() < min_runs || sampling_start.elapsed() < MIN_SAMPLING_TIME {
        let mut input = prepare();
        let reference_before = time_reference_work();
        let start = Instant::now();
        work(&mut input);
        let elapsed = start.elapsed();
        let reference_time = (reference_before + time_reference_work()) / 2;
        ratios.push(elapsed.as_secs_f64() / reference_time.as_secs_f64());
    }
    ratios.sort_by(f64::total_cmp);
    REFERENCE_TIME.mul_f64(ratios[ratios.len() / 2])
}

/// Returns the shortest time of the reference work on this machine within one second.
pub fn best_reference_time() -> Duration {
    let sampling_start = Instant::now();
    let mut best = Duration::MAX;
    while sampling_start.elapsed() < MIN_SAMPLING_TIME {
        best = best.min(time_reference_work());
    }
    best
}
