//! A home that is cut off while a later one acts: the schedules that random
//! ones rarely hit, one by one.

mod world;

use std::time::Duration;

use eelgrassrock_model::{Name, Router};
use eelgrassrock_ownership::Event;
use rstest::rstest;
use world::{Shape, World, router, upstream};

const SECOND: Duration = Duration::from_secs(1);
const ROUTERS: usize = 4;
const AUTHORITY: Duration = Duration::from_secs(20);

/// Starts a world and cuts the home of the first upstream off from all but the
/// upstreams. Returns the world after another router took over.
fn isolated(checks_orders: bool) -> (World, Router) {
    let mut world = World::settled(Shape {
        checks_orders,
        routers: ROUTERS,
        authority: AUTHORITY,
        ..Shape::default()
    });
    world.run_for(2 * SECOND);
    let home = world.home_of(&upstream(0));
    isolate(&mut world, &home);
    world.run_for(2 * SECOND);
    assert_ne!(world.home_of(&upstream(0)), home);
    (world, home)
}

fn isolate(world: &mut World, home: &Router) {
    world.cut_table(home.as_str());
    for other in 0..ROUTERS {
        world.cut(home.as_str(), router(other).as_str());
    }
}

#[rstest]
#[case::checking(true, 0)]
#[case::unchecking(false, 64)]
fn takes_nothing_away_before_the_earlier_home_is_fenced(
    #[case] checks_orders: bool,
    #[case] left: usize,
) {
    let (mut world, _) = isolated(checks_orders);
    let owned = world.count_of(0);
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(5 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.count_of(0), owned.min(left));
    world.run_for(AUTHORITY + SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.count_of(0), 0);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn isolated_home_grants_nothing_stale_to_a_restarted_upstream(#[case] checks_orders: bool) {
    let (mut world, home) = isolated(checks_orders);
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(2 * SECOND);
    // Only the isolated home reaches the upstream after its restart.
    for other in (0..ROUTERS).map(router).filter(|it| *it != home) {
        world.cut(other.as_str(), upstream(0).as_str());
    }
    world.upstreams[&upstream(0)].restart();
    world.run_for(AUTHORITY + 5 * SECOND);
    assert_eq!(world.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn isolated_home_goes_on_while_the_next_one_cannot_reach_the_upstream(#[case] checks_orders: bool) {
    let (mut world, home) = isolated(checks_orders);
    for other in (0..ROUTERS).map(router).filter(|it| *it != home) {
        world.cut(other.as_str(), upstream(0).as_str());
    }
    world.run_for(AUTHORITY + 5 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.unserved(), []);
}

/// Asserts that the home takes nothing from the first upstream before the
/// authority of an earlier home has ended.
fn assert_unsettled(mut world: World) {
    let owned = world.count_of(0);
    assert_ne!(owned, 0);
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(3 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.count_of(0), owned);
    world.run_for(AUTHORITY + 2 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.count_of(0), 0);
}

#[test]
fn handover_by_a_home_that_was_not_settled_settles_nothing() {
    let (mut world, _) = isolated(false);
    let second = world.home_of(&upstream(0));
    world.nodes[&second].paused_until = world.now + 2 * SECOND;
    world.run_for(3 * SECOND);
    assert_ne!(world.home_of(&upstream(0)), second);
    assert_unsettled(world);
}

#[test]
fn handover_by_an_earlier_home_than_the_last_settles_nothing() {
    let (mut world, first) = isolated(false);
    let second = world.home_of(&upstream(0));
    isolate(&mut world, &second);
    world.run_for(2 * SECOND);
    assert!(![&first, &second].contains(&&world.home_of(&upstream(0))));
    world.cuts.clear();
    isolate(&mut world, &second);
    world.run_for(2 * SECOND);
    assert_unsettled(world);
}

/// Starts a world and delays an order that grants the shards of the first
/// upstream, so that it arrives shortly before it expires.
fn with_late_order(checks_orders: bool) -> World {
    let mut world = World::settled(Shape {
        checks_orders,
        ..Shape::default()
    });
    world.run_for(2 * SECOND);
    world.late_order = Some((upstream(0), Duration::from_millis(470)));
    world.run_while(SECOND, |it| it.late_order.is_some());
    world
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn order_that_is_under_way_counts_until_it_expires(#[case] checks_orders: bool) {
    let mut world = with_late_order(checks_orders);
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(3 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.count_of(0), 0);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn order_under_way_counts_after_a_graceful_stop(#[case] checks_orders: bool) {
    let mut world = with_late_order(checks_orders);
    let home = world.home_of(&upstream(0));
    world.send(&home, Event::Drain);
    world.run_for(Duration::from_millis(60));
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(3 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.count_of(0), 0);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shard_moves_on_only_after_its_release(#[case] checks_orders: bool) {
    let mut world = with_late_order(checks_orders);
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(Duration::from_millis(30));
    world.send_all(&Event::Leaving(vec![upstream(0), upstream(1)]));
    world.run_for(3 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!((world.count_of(0), world.count_of(1)), (0, 0));
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn write_whose_answer_was_lost_may_still_take_effect(#[case] checks_orders: bool) {
    let mut world = World::settled(Shape {
        checks_orders,
        ..Shape::default()
    });
    world.run_for(2 * SECOND);
    world.upstreams[&upstream(0)].paused_until = world.now + 20 * SECOND;
    world.late_write = Some(Duration::from_millis(400));
    world.run_while(2 * SECOND, |it| it.late_write.is_some());
    world.upstreams[&upstream(0)].paused_until = world.now + Duration::from_millis(50);
    world.run_for(Duration::from_millis(500));
    // Another home takes over and reads the rows.
    let home = world.home_of(&upstream(0));
    let mut others = [1, 2].map(|it| world.home_of(&upstream(it))).into_iter();
    let other = others.find(|it| *it != home).unwrap();
    world.stop(&other);
    world.run_for(3 * SECOND);
    assert_eq!(world.violation, None);
    assert_eq!(world.unserved(), []);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn graceful_stop_waits_for_a_write_whose_answer_was_lost(#[case] checks_orders: bool) {
    let mut world = World::settled(Shape {
        checks_orders,
        ..Shape::default()
    });
    world.run_for(2 * SECOND);
    let home = world.home_of(&upstream(0));
    world.upstreams[&upstream(0)].paused_until = world.now + 20 * SECOND;
    world.late_write = Some(Duration::from_millis(400));
    world.run_while(2 * SECOND, |it| it.late_write.is_some());
    // The next home can't reach the table, so that the write isn't fenced.
    for other in (0..3).map(router).filter(|it| *it != home) {
        world.cut_table(other.as_str());
    }
    world.send(&home, Event::Drain);
    world.upstreams[&upstream(0)].paused_until = world.now + Duration::from_millis(50);
    world.run_for(Duration::from_millis(600));
    world.cuts.clear();
    world.run_for(3 * SECOND);
    assert_eq!(world.violation, None);
}
