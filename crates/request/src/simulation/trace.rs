//! Traces of requests with the times at which they are due.

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::load::Load;

/// Distance between the seeds of two loads. It exceeds the number of partners of one load,
/// so that no two partners share a seed.
const PARTNER_SEED_STRIDE: u64 = 1_000;

/// Request of a trace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledRequest {
    pub(crate) at: Instant,
    /// Upstream that owns the key at the start.
    pub(crate) upstream: usize,
    /// Upstream that owns the key after the first upstream was replaced.
    pub(crate) failover_upstream: usize,
    /// Index of the partner that sends the request.
    pub(crate) partner: usize,
    /// Time that the request takes at an upstream without a fault.
    pub(crate) service: Duration,
}

/// Requests in the order in which they are due.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) requests: Vec<ScheduledRequest>,
}

impl Trace {
    /// Draws the requests of each partner from its own generator, so that they don't depend
    /// on the other partners.
    pub(crate) fn generate(load: &Load) -> Self {
        let total: f64 = load.partners.iter().map(|partner| partner.load_share).sum();
        let mut requests = Vec::new();
        for (index, partner) in load.partners.iter().enumerate() {
            let seed = load.seed.wrapping_mul(PARTNER_SEED_STRIDE) + index as u64;
            let gap = 1e6 * total / (load.rate() * partner.load_share);
            draw_partner(load, index, gap, seed, &mut requests);
        }
        requests.sort_by_key(|request| request.at);
        Self { requests }
    }
}

fn draw_partner(
    load: &Load,
    partner: usize,
    gap: f64,
    seed: u64,
    requests: &mut Vec<ScheduledRequest>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = load.duration.as_secs_f64() * 1e6;
    let mut clock = exponential(&mut random, gap);
    while clock < end {
        requests.push(draw(&mut random, load, partner, clock));
        clock += exponential(&mut random, gap);
    }
}

fn draw(random: &mut ChaCha8Rng, load: &Load, partner: usize, clock: f64) -> ScheduledRequest {
    let upstreams = load.upstreams as usize;
    let mean = load.service_time.as_secs_f64() * 1e6;
    let micros = exponential(random, mean).max(1.0);
    ScheduledRequest {
        at: Instant::from_micros(clock as u64),
        upstream: random.random_range(0..upstreams),
        failover_upstream: random.random_range(upstreams.min(2) - 1..upstreams),
        partner,
        service: Duration::from_micros(micros as u64),
    }
}

fn exponential(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random();
    -mean * (1.0 - uniform).ln()
}
