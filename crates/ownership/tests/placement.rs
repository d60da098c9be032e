//! Placement under load: the neighbours of a hot shard move away, and no shard moves back
//! and forth.

mod simulation;

use std::time::Duration;

use eelgrassrock_model::fleet::Goal;
use eelgrassrock_model::shard::Shard;
use rstest::rstest;
use simulation::{Config, Simulation};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the busy time of a shard in one second. The load is 30 % of the slots of the
/// service, and the hot shard takes half of it.
fn busy(shard: Shard, hot: u32) -> Duration {
    let total = SECOND.mul_f64(0.3 * 6.0);
    if shard.0 == hot {
        total / 2
    } else {
        total / 2 / 63
    }
}

/// Runs for some minutes under load, and asserts that no shard moves more than once a
/// minute.
fn run(sim: &mut Simulation, minutes: u32, hot: impl Fn(u32) -> u32) {
    for minute in 0..minutes {
        let before = sim.entries();
        for _ in 0..60 {
            sim.send_load(|shard| busy(shard, hot(minute)));
            sim.run_for(SECOND);
        }
        for (shard, (old, new)) in before.iter().zip(sim.entries()).enumerate() {
            let moves = new.epoch.0 - old.epoch.0;
            assert!(moves <= 1, "shard {shard} moved {moves} times in a minute");
        }
    }
    assert_eq!(sim.violation, None);
}

fn sim(goal: Goal) -> Simulation {
    Simulation::serving(Config {
        goal,
        ..Config::default()
    })
}

#[test]
fn neighbours_of_a_hot_shard_move_and_it_stays() {
    let mut sim = sim(Goal::Balance);
    let before = sim.entries()[7].clone();
    run(&mut sim, 3, |_| 7);
    let entries = sim.entries();
    assert_eq!(entries[7], before);
    let neighbours = entries.iter().filter(|it| it.owner == before.owner).count() - 1;
    assert!(neighbours <= 1, "{neighbours}");
}

#[rstest]
#[case::availability(Goal::Availability)]
#[case::balance(Goal::Balance)]
fn hot_shard_that_changes_every_minute_causes_no_flapping(#[case] goal: Goal) {
    let mut sim = sim(goal);
    run(&mut sim, 6, |minute| minute * 11 % 64);
}

#[test]
fn even_load_moves_nothing() {
    let mut sim = sim(Goal::Balance);
    let before = sim.entries();
    for _ in 0..120 {
        sim.send_load(|shard| SECOND / (20 + shard.0 % 3));
        sim.run_for(SECOND);
    }
    assert_eq!(sim.entries(), before);
}
