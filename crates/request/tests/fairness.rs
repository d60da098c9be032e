//! The load of one partner doesn't delay the requests of another.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_request::simulation::{Discipline, Load, Partner, Report, run};
use eelgrassrock_request::{Event, Settings};
use rstest::rstest;

const FLOOD: f64 = 10.0;
const SEEDS: u64 = 5;

fn partner(name: &str, load_share: f64) -> Partner {
    Partner {
        name: name.to_owned(),
        weight: 1,
        load_share,
    }
}

/// Returns the load of one upstream with `slots` slots, in percent of its capacity.
fn load(slots: u32, percent: u32, partners: Vec<Partner>, seed: u64) -> Load {
    let mut load = Load::booking()
        .at_percent(percent)
        .seconds(300)
        .with_seed(seed);
    load.repeat = eelgrassrock_model::fleet::Repeat::Idempotent;
    load.patience = eelgrassrock_model::fleet::Patience::Wait;
    load.upstreams = 1;
    load.slots = slots;
    load.with_partners(partners)
}

/// Runs one partner at `percent` of its share alone on the slots of its share, and then on
/// all slots together with a partner that offers ten times its share.
fn alone_and_beside(slots: u32, percent: u32, seed: u64) -> (Report, Report) {
    let alone = load(slots / 2, percent, vec![partner("quiet", 1.0)], seed);
    let both = vec![
        partner("quiet", f64::from(percent)),
        partner("flood", 100.0 * FLOOD),
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
fn flood_of_one_partner_does_not_raise_the_wait_of_another(
    #[values(2, 4)] slots: u32,
    #[values(50, 70, 90)] percent: u32,
) {
    let runs = (1..=SEEDS).map(|seed| alone_and_beside(slots, percent, seed));
    let (alone, beside): (Vec<Report>, Vec<Report>) = runs.unzip();
    let (alone_us, beside_us) = (pooled_p99(&alone), pooled_p99(&beside));
    println!("slots {slots}, {percent} %: p99 {alone_us} us alone, {beside_us} us beside");
    assert!(beside_us * 10 <= alone_us * 11, "{alone_us} -> {beside_us}");
    let in_time: u64 = beside.iter().map(|report| report.partners[0].in_time).sum();
    let offered: u64 = beside.iter().map(|report| report.partners[0].offered).sum();
    assert!(
        in_time * 100 >= offered * 99,
        "only {in_time} of {offered} served"
    );
}

/// Returns how many requests are sent before the last one to arrive, which belongs to
/// another shard than the forty that wait.
fn sent_before_last(deadlines_ms: [u64; 2]) -> usize {
    let mut machine = support::machine(Settings::builder().build());
    let now = support::at(1);
    let mut running = VecDeque::new();
    let mut order = Vec::new();
    for id in 0..=40 {
        let mut arrival = support::read(id, now);
        arrival.shard = Shard(u32::from(id == 40));
        let deadline = deadlines_ms[usize::from(id == 40)];
        arrival.deadline = now + Duration::from_millis(deadline);
        running.extend(support::sent(&machine.step(now, Event::Arrive(arrival))));
    }
    while let Some(id) = running.pop_front() {
        order.push(id);
        machine.step(now, support::began(id, 1));
        running.extend(support::sent(&machine.step(now, support::done(id, 1))));
    }
    order
        .iter()
        .position(|id| *id == 40)
        .expect("the last request is sent")
}

#[rstest]
#[case::same_deadline([2_000, 2_000], 3)]
#[case::later_deadline([2_000, 2_100], 14)]
#[case::much_later_deadline([2_000, 9_000], 40)]
fn hot_shard_does_not_starve_others(#[case] deadlines_ms: [u64; 2], #[case] most: usize) {
    let before = sent_before_last(deadlines_ms);
    assert!(before <= most, "{before} were sent before");
}
