//! One partner's load doesn't crowd another out.

use eelgrassrock_request::experiment::{Customer, Discipline, Load, Report, run};
use rstest::rstest;

const FLOOD: f64 = 10.0;
const SEEDS: u64 = 5;

fn customer(name: &str, part: f64) -> Customer {
    Customer {
        name: name.to_owned(),
        weight: 1,
        part,
    }
}

/// Returns the load of one upstream with `slots` slots, in percent of its capacity.
fn load(slots: u32, percent: u32, customers: Vec<Customer>, seed: u64) -> Load {
    let mut load = Load::booking()
        .at_percent(percent)
        .seconds(300)
        .with_seed(seed);
    load.repeat = eelgrassrock_model::fleet::Repeat::Idempotent;
    load.patience = eelgrassrock_model::fleet::Patience::Wait;
    load.upstreams = 1;
    load.slots = slots;
    load.with_customers(customers)
}

/// Runs one partner at `percent` of its share alone on the slots of its share,
/// and then on all slots beside a partner that offers ten times its share.
fn alone_and_beside(slots: u32, percent: u32, seed: u64) -> (Report, Report) {
    let alone = load(slots / 2, percent, vec![customer("quiet", 1.0)], seed);
    let both = vec![
        customer("quiet", f64::from(percent)),
        customer("flood", 100.0 * FLOOD),
    ];
    let total = (f64::from(percent) + 100.0 * FLOOD) / 2.0;
    let beside = load(slots, total as u32, both, seed);
    (
        run(&alone, Discipline::Home),
        run(&beside, Discipline::Home),
    )
}

/// Returns the 99th percentile of the first partner over all runs, in microseconds.
fn pooled_p99(reports: &[Report]) -> u64 {
    let waits = reports
        .iter()
        .flat_map(|report| &report.partners[0].queue_us);
    let mut waits: Vec<u64> = waits.copied().collect();
    waits.sort_unstable();
    waits[waits.len() * 99 / 100]
}

#[rstest]
fn flood_does_not_lift_the_wait_of_another_partner(
    #[values(2, 4)] slots: u32,
    #[values(50, 70, 90)] percent: u32,
) {
    let runs = (1..=SEEDS).map(|seed| alone_and_beside(slots, percent, seed));
    let (alone, beside): (Vec<Report>, Vec<Report>) = runs.unzip();
    let (alone_us, beside_us) = (pooled_p99(&alone), pooled_p99(&beside));
    println!("slots {slots}, {percent} %: p99 {alone_us} us alone, {beside_us} us beside");
    assert!(beside_us * 10 <= alone_us * 11, "{alone_us} -> {beside_us}");
    let good: u64 = beside.iter().map(|report| report.partners[0].good).sum();
    let offered: u64 = beside.iter().map(|report| report.partners[0].offered).sum();
    assert!(
        good * 100 >= offered * 99,
        "only {good} of {offered} served"
    );
}
