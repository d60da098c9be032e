//! Traces: requests with the times at which they are due.

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::load::Load;

/// Distance between the seeds of two loads, more than the customers of one.
const CUSTOMER_SEEDS: u64 = 1_000;

/// Request of a trace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Due {
    pub(crate) at: Instant,
    /// Upstream that owns the key at the start.
    pub(crate) upstream: usize,
    /// Upstream that owns the key after the first one is replaced.
    pub(crate) substitute: usize,
    /// Partner that sends it.
    pub(crate) customer: usize,
    /// Time that it needs at an upstream in order.
    pub(crate) service: Duration,
}

/// Requests in the order in which they are due.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) due: Vec<Due>,
}

impl Trace {
    /// Draws the requests of each customer from a generator of its own, so that
    /// they don't depend on the other customers.
    pub(crate) fn generate(load: &Load) -> Self {
        let total: f64 = load.customers.iter().map(|customer| customer.part).sum();
        let mut due = Vec::new();
        for (index, customer) in load.customers.iter().enumerate() {
            let seed = load.seed.wrapping_mul(CUSTOMER_SEEDS) + index as u64;
            let gap = 1e6 * total / (load.rate() * customer.part);
            draw_customer(load, index, gap, seed, &mut due);
        }
        due.sort_by_key(|due| due.at);
        Self { due }
    }
}

fn draw_customer(load: &Load, customer: usize, gap: f64, seed: u64, due: &mut Vec<Due>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = load.length.as_secs_f64() * 1e6;
    let mut clock = exponential(&mut random, gap);
    while clock < end {
        due.push(draw(&mut random, load, customer, clock));
        clock += exponential(&mut random, gap);
    }
}

fn draw(random: &mut ChaCha8Rng, load: &Load, customer: usize, clock: f64) -> Due {
    let upstreams = load.upstreams as usize;
    let mean = load.service_time.as_secs_f64() * 1e6;
    let micros = exponential(random, mean).max(1.0);
    Due {
        at: Instant::from_micros(clock as u64),
        upstream: random.random_range(0..upstreams),
        substitute: random.random_range(upstreams.min(2) - 1..upstreams),
        customer,
        service: Duration::from_micros(micros as u64),
    }
}

fn exponential(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random();
    -mean * (1.0 - uniform).ln()
}
