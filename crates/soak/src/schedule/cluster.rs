//! Faults that meet within a few seconds and concern the holders of keys.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Degradation, Event, Failure, Fault, Impairment, Link, MAX_SNAPSHOT_AGE_MS};
use crate::plan::service_of;

/// Mean time between the starts of two clusters.
const CLUSTER_GAP: Duration = Duration::from_secs(8);
/// Time in which the faults of a cluster start, except those that follow another one.
const CLUSTER_LENGTH: Duration = Duration::from_millis(2_500);
/// Maximum number of faults or pairs of faults in a cluster.
const MAX_FAULTS: usize = 4;
/// Maximum number of restores that follow each other.
const MAX_RESTORES: usize = 4;
/// Probability that a fault of an upstream concerns the same one as others of its cluster.
const SAME_SHARE: f64 = 0.6;

/// Draws a time in milliseconds.
fn ms(random: &mut ChaCha8Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

fn restore(random: &mut ChaCha8Rng) -> Fault {
    Fault::Restore(ms(random, 0, MAX_SNAPSHOT_AGE_MS))
}

/// Draws clusters of faults for a run of `length`.
pub(super) fn draw(
    random: &mut ChaCha8Rng,
    length: Duration,
    routers: usize,
    upstreams: usize,
) -> Vec<Event> {
    let keyed: Vec<usize> = (0..upstreams).filter(|slot| service_of(*slot).1).collect();
    let mut events = Vec::new();
    let mut start = CLUSTER_GAP.mul_f64(random.random_range(0.0..0.5));
    while start < length {
        let subject = keyed[random.random_range(0..keyed.len())];
        for _ in 0..random.random_range(3..=MAX_FAULTS) {
            let at = start + CLUSTER_LENGTH.mul_f64(random.random_range(0.0..1.0));
            let other = keyed[random.random_range(0..keyed.len())];
            let upstream = if random.random_bool(SAME_SHARE) {
                subject
            } else {
                other
            };
            events.extend(draw_faults(random, at, routers, upstream));
        }
        start += CLUSTER_GAP.mul_f64(random.random_range(0.5..1.5));
    }
    events.retain(|event| event.at + event.span <= length);
    events
}

/// Draws one fault of a cluster, or some that belong together.
fn draw_faults(
    random: &mut ChaCha8Rng,
    at: Duration,
    routers: usize,
    upstream: usize,
) -> Vec<Event> {
    let event = |at, span, fault| Event { at, span, fault };
    match random.random_range(0..7) {
        0 => {
            let later = at + ms(random, 0, 300);
            vec![
                event(at, Duration::ZERO, Fault::KillAll),
                event(later, Duration::ZERO, restore(random)),
            ]
        }
        1 => {
            let mut at = at;
            let restores = 0..random.random_range(2..=MAX_RESTORES);
            let restores = restores.map(|_| {
                at += ms(random, 300, 4_000);
                event(at, Duration::ZERO, restore(random))
            });
            restores.collect()
        }
        2 => {
            let router = random.random_range(0..routers);
            let slow = Fault::Store(Degradation::Slow(ms(random, 100, 800)));
            let paused = at + ms(random, 0, 300);
            vec![
                event(at, ms(random, 500, 2_000), slow),
                event(paused, ms(random, 1_000, 5_000), Fault::Pause(router)),
            ]
        }
        3 | 4 => {
            let impairment = if random.random_bool(0.5) {
                Impairment::Cut
            } else {
                Impairment::CutForward
            };
            let fault = Fault::Link(Link::Upstream(upstream), impairment);
            vec![event(at, ms(random, 1_000, 6_000), fault)]
        }
        5 => {
            let fault = Fault::Upstream(upstream, Failure::LateOrders);
            vec![event(at, ms(random, 1_000, 4_000), fault)]
        }
        _ => {
            let fault = Fault::Upstream(upstream, Failure::Restarts);
            vec![event(at, Duration::ZERO, fault)]
        }
    }
}
