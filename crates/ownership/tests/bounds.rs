//! Bounds on unavailable time, in virtual time.

mod world;

use std::time::Duration;

use rstest::rstest;
use world::{Shape, World, router, upstream};

const SECOND: Duration = Duration::from_secs(1);

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn fresh_fleet_is_served(#[case] checks_orders: bool) {
    let world = World::settled(Shape {
        checks_orders,
        ..Shape::default()
    });
    assert!(world.now.as_millis() < 5_000, "{:?}", world.now);
    assert_eq!(world.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shards_of_a_lost_upstream_are_served_within_a_second(#[case] checks_orders: bool) {
    let mut world = World::settled(Shape {
        checks_orders,
        ..Shape::default()
    });
    world.run_for(2 * SECOND);
    world.upstreams[&upstream(0)].up = false;
    let worst = world.worst_gap(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    assert_eq!(world.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shards_behind_a_lost_home_are_served_within_a_second(#[case] checks_orders: bool) {
    let mut world = World::settled(Shape {
        checks_orders,
        ..Shape::default()
    });
    world.run_for(2 * SECOND);
    let home = world.home_of(&upstream(0));
    world.nodes[&home].up = false;
    let worst = world.worst_gap(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    assert_eq!(world.violation, None);
}

#[test]
fn fresh_fleet_has_homes_in_other_data_centres() {
    let world = World::settled(Shape::default());
    for index in 0..3 {
        assert_ne!(world.home_of(&upstream(index)), router(index));
    }
}
