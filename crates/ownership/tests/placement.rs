//! Placement under load: hot shards stand alone, and nothing flaps.

mod world;

use std::time::Duration;

use eelgrassrock_model::fleet::Goal;
use eelgrassrock_model::shard::Shard;
use rstest::rstest;
use world::{Shape, World};

const SECOND: Duration = Duration::from_secs(1);

/// Busy time of a shard in one second: the hot one takes half of the load of
/// the service, which is 30 % of the slots.
fn busy(shard: Shard, hot: u32) -> Duration {
    let total = SECOND.mul_f64(0.3 * 6.0);
    if shard.0 == hot {
        total / 2
    } else {
        total / 2 / 63
    }
}

/// Runs minutes under load and asserts the bound on moves of each shard.
fn run(world: &mut World, minutes: u32, hot: impl Fn(u32) -> u32) {
    for minute in 0..minutes {
        let before = world.entries();
        for _ in 0..60 {
            world.send_load(|shard| busy(shard, hot(minute)));
            world.run_for(SECOND);
        }
        for (shard, (old, new)) in before.iter().zip(world.entries()).enumerate() {
            let moves = new.epoch.0 - old.epoch.0;
            assert!(moves <= 1, "shard {shard} moved {moves} times in a minute");
        }
    }
    assert_eq!(world.violation, None);
}

fn world(goal: Goal) -> World {
    World::settled(Shape {
        goal,
        ..Shape::default()
    })
}

#[test]
fn hot_shard_stands_alone_and_does_not_move() {
    let mut world = world(Goal::Balance);
    let before = world.entries()[7].clone();
    run(&mut world, 3, |_| 7);
    let entries = world.entries();
    assert_eq!(entries[7], before);
    let neighbours = entries.iter().filter(|it| it.owner == before.owner).count() - 1;
    assert!(neighbours <= 1, "{neighbours}");
}

#[rstest]
#[case::availability(Goal::Availability)]
#[case::balance(Goal::Balance)]
fn hot_shard_that_changes_every_minute_causes_no_flapping(#[case] goal: Goal) {
    let mut world = world(goal);
    run(&mut world, 6, |minute| minute * 11 % 64);
}

#[test]
fn even_load_moves_nothing() {
    let mut world = world(Goal::Balance);
    let before = world.entries();
    for _ in 0..120 {
        world.send_load(|shard| SECOND / (20 + shard.0 % 3));
        world.run_for(SECOND);
    }
    assert_eq!(world.entries(), before);
}
