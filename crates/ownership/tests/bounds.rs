//! Bounds on unavailable time, in virtual time.

mod world;

use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::fleet::{Fleet, Goal};
use eelgrassrock_ownership::Event;
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

fn shape(checks_orders: bool) -> Shape {
    Shape {
        checks_orders,
        ..Shape::default()
    }
}

fn calm(checks_orders: bool) -> World {
    let mut world = World::settled(shape(checks_orders));
    world.run_for(2 * SECOND);
    world
}

/// One exchange: the answer of the owner before, the message to the next home,
/// the answer to the heartbeat that is under way, the order to the next owner
/// and its answer, each message taking 2 ms at most, and two samples of 2 ms.
const ONE_EXCHANGE: Duration = Duration::from_millis(18);

#[rstest]
#[case::checking_by_list(true, true)]
#[case::unchecking_by_list(false, true)]
#[case::checking_by_answer(true, false)]
#[case::unchecking_by_answer(false, false)]
fn leaving_upstream_gets_no_work_after_3_s(#[case] checks_orders: bool, #[case] by_list: bool) {
    let mut world = calm(checks_orders);
    assert!(world.count_of(0) > 0);
    if by_list {
        world.send_all(&Event::Leaving(vec![upstream(0)]));
    } else {
        world.upstreams[&upstream(0)].leaving = true;
    }
    let worst = world.worst_gap(3 * SECOND);
    assert_eq!(world.count_of(0), 0);
    assert!(worst <= ONE_EXCHANGE, "{worst:?}");
    assert_eq!(world.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn long_store_outage_changes_nothing(#[case] checks_orders: bool) {
    let mut world = calm(checks_orders);
    world.table.up = false;
    let worst = world.worst_gap(60 * SECOND);
    assert_eq!(worst, Duration::ZERO);
}

#[rstest]
#[case::unchecking(false)]
#[case::checking(true)]
fn upstream_that_restarts_in_a_store_outage(#[case] waits: bool) {
    let mut world = calm(waits);
    world.table.up = false;
    world.run_for(SECOND);
    world.upstreams[&upstream(0)].restart();
    let worst = world.worst_gap(5 * SECOND);
    assert_eq!(worst > SECOND, waits, "{worst:?}");
    world.table.up = true;
    let took = world.run_while(10 * SECOND, |it| !it.unserved().is_empty());
    assert!(took < 3 * SECOND, "{took:?}");
    assert_eq!(world.violation, None);
}

#[rstest]
#[case::checking(true, true)]
#[case::unchecking(false, true)]
#[case::checking_in_outage(true, false)]
#[case::unchecking_in_outage(false, false)]
fn graceful_stop_lets_no_lease_lapse(#[case] checks_orders: bool, #[case] table_up: bool) {
    let mut world = calm(checks_orders);
    world.table.up = table_up;
    let home = world.home_of(&upstream(0));
    world.send(&home, Event::Drain);
    let took = world.run_while(10 * SECOND, |it| !it.nodes[&home].drained);
    assert!(took < SECOND, "{took:?}");
    world.nodes[&home].up = false;
    let worst = world.worst_gap(3 * SECOND);
    assert!(worst <= ONE_EXCHANGE, "{worst:?}");
    assert_eq!(world.violation, None);
}

/// Found by the demo, which stops all routers at its end.
#[test]
fn routers_that_stop_together_do_not_wait_for_each_other() {
    let mut world = calm(true);
    let routers: Vec<_> = world.nodes.keys().cloned().collect();
    for router in &routers {
        world.send(router, Event::Drain);
    }
    let took = world.run_while(10 * SECOND, |it| {
        it.nodes.values().any(|node| !node.drained)
    });
    assert!(took < SECOND, "{took:?}");
    assert_eq!(world.violation, None);
}

#[test]
fn loss_of_home_and_unchecking_upstream_waits_for_the_authority() {
    let authority = 5 * SECOND;
    let mut world = World::settled(Shape {
        authority,
        ..shape(false)
    });
    world.run_for(2 * SECOND);
    let home = world.home_of(&upstream(0));
    world.nodes[&home].up = false;
    world.run_for(2 * SECOND);
    world.upstreams[&upstream(0)].up = false;
    let worst = world.worst_gap(10 * SECOND);
    assert!(worst > 2 * SECOND, "{worst:?}");
    assert!(worst < authority + SECOND, "{worst:?}");
    assert_eq!(world.unserved(), []);
}

#[test]
fn loss_of_home_and_checking_upstream_in_turn_needs_no_authority() {
    let mut world = calm(true);
    let home = world.home_of(&upstream(0));
    world.nodes[&home].up = false;
    world.run_for(2 * SECOND);
    world.upstreams[&upstream(0)].up = false;
    let worst = world.worst_gap(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn loss_of_a_data_centre_is_mended_within_a_second(#[case] checks_orders: bool) {
    let mut world = World::settled(Shape {
        routers: 6,
        upstreams: 6,
        ..shape(checks_orders)
    });
    world.run_for(2 * SECOND);
    for index in [0, 3] {
        world.upstreams[&upstream(index)].up = false;
        world.stop(&router(index));
    }
    let worst = world.worst_gap(4 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    assert_eq!(world.violation, None);
}

#[test]
fn home_that_was_paused_hands_over() {
    let mut world = calm(false);
    let home = world.home_of(&upstream(0));
    world.nodes[&home].paused_until = world.now + 2 * SECOND;
    let worst = world.worst_gap(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    let next = world.home_of(&upstream(0));
    assert_ne!(next, home);
    let snapshot = world.nodes[&next].machine.snapshot();
    assert_eq!(snapshot.homes[&upstream(0)].settled, Some(true));
}

#[rstest]
#[case::availability(Goal::Availability)]
#[case::balance(Goal::Balance)]
fn upstream_that_joins_gets_its_share_in_planned_moves(#[case] goal: Goal) {
    let mut world = World::settled(Shape {
        goal,
        ..Shape::default()
    });
    let mut larger = world.shape.clone();
    larger.upstreams = 4;
    world.set_fleet(Fleet {
        version: Version(2),
        ..world::fleet(&larger)
    });
    let worst = world.worst_gap(120 * SECOND);
    assert!(worst <= ONE_EXCHANGE, "{worst:?}");
    let share = world.count_of(3);
    assert!((12..=16).contains(&share), "{share}");
    assert_eq!(world.violation, None);
}
