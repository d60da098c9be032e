//! Schedules in which a home is isolated while a later home acts. Random schedules rarely
//! reach these cases.

mod simulation;

use std::time::Duration;

use eelgrassrock_model::{Name, Router};
use eelgrassrock_ownership::Event;
use rstest::rstest;
use simulation::{Config, Simulation, router, upstream};

const SECOND: Duration = Duration::from_secs(1);
const ROUTERS: usize = 4;
const AUTHORITY: Duration = Duration::from_secs(20);

/// Starts a simulation and isolates the home of the first upstream: the home reaches only
/// the upstreams. Returns the simulation after another router took over, with the
/// isolated home.
fn isolated(checks_orders: bool) -> (Simulation, Router) {
    let mut sim = Simulation::serving(Config {
        checks_orders,
        routers: ROUTERS,
        authority: AUTHORITY,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    let home = sim.home_of(&upstream(0));
    isolate(&mut sim, &home);
    sim.run_for(2 * SECOND);
    assert_ne!(sim.home_of(&upstream(0)), home);
    (sim, home)
}

fn isolate(sim: &mut Simulation, home: &Router) {
    sim.cut_table(home.as_str());
    for other in 0..ROUTERS {
        sim.cut(home.as_str(), router(other).as_str());
    }
}

#[rstest]
#[case::checking(true, 0)]
#[case::unchecking(false, 64)]
fn no_shard_moves_before_the_earlier_home_is_fenced(
    #[case] checks_orders: bool,
    #[case] left: usize,
) {
    let (mut sim, _) = isolated(checks_orders);
    let owned = sim.count_of(0);
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(5 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.count_of(0), owned.min(left));
    sim.run_for(AUTHORITY + SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.count_of(0), 0);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn isolated_home_grants_nothing_stale_to_a_restarted_upstream(#[case] checks_orders: bool) {
    let (mut sim, home) = isolated(checks_orders);
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(2 * SECOND);
    // Only the isolated home reaches the upstream after its restart.
    for other in (0..ROUTERS).map(router).filter(|it| *it != home) {
        sim.cut(other.as_str(), upstream(0).as_str());
    }
    sim.upstreams[&upstream(0)].restart();
    sim.run_for(AUTHORITY + 5 * SECOND);
    assert_eq!(sim.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn isolated_home_keeps_serving_while_the_next_home_cannot_reach_the_upstream(
    #[case] checks_orders: bool,
) {
    let (mut sim, home) = isolated(checks_orders);
    for other in (0..ROUTERS).map(router).filter(|it| *it != home) {
        sim.cut(other.as_str(), upstream(0).as_str());
    }
    sim.run_for(AUTHORITY + 5 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.unserved(), []);
}

/// Asserts that the home moves no shard away from the first upstream before the authority
/// of the earlier homes has ended.
fn assert_unsettled(mut sim: Simulation) {
    let owned = sim.count_of(0);
    assert_ne!(owned, 0);
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(3 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.count_of(0), owned);
    sim.run_for(AUTHORITY + 2 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.count_of(0), 0);
}

#[test]
fn handover_by_a_home_that_was_not_settled_settles_nothing() {
    let (mut sim, _) = isolated(false);
    let second = sim.home_of(&upstream(0));
    sim.nodes[&second].paused_until = sim.now + 2 * SECOND;
    sim.run_for(3 * SECOND);
    assert_ne!(sim.home_of(&upstream(0)), second);
    assert_unsettled(sim);
}

#[test]
fn handover_by_an_earlier_home_than_the_last_settles_nothing() {
    let (mut sim, first) = isolated(false);
    let second = sim.home_of(&upstream(0));
    isolate(&mut sim, &second);
    sim.run_for(2 * SECOND);
    assert!(![&first, &second].contains(&&sim.home_of(&upstream(0))));
    sim.cut_links.clear();
    isolate(&mut sim, &second);
    sim.run_for(2 * SECOND);
    assert_unsettled(sim);
}

/// Starts a simulation and delays an order that grants the shards of the first upstream,
/// so that it arrives shortly before it expires.
fn with_delayed_order(checks_orders: bool) -> Simulation {
    let mut sim = Simulation::serving(Config {
        checks_orders,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    sim.delayed_order = Some((upstream(0), Duration::from_millis(470)));
    sim.run_while(SECOND, |it| it.delayed_order.is_some());
    sim
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn delayed_order_counts_until_it_expires(#[case] checks_orders: bool) {
    let mut sim = with_delayed_order(checks_orders);
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(3 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.count_of(0), 0);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn delayed_order_counts_after_a_graceful_stop(#[case] checks_orders: bool) {
    let mut sim = with_delayed_order(checks_orders);
    let home = sim.home_of(&upstream(0));
    sim.send(&home, Event::Drain);
    sim.run_for(Duration::from_millis(60));
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(3 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.count_of(0), 0);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shard_moves_on_only_after_its_release(#[case] checks_orders: bool) {
    let mut sim = with_delayed_order(checks_orders);
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(Duration::from_millis(30));
    sim.send_all(&Event::Leaving(vec![upstream(0), upstream(1)]));
    sim.run_for(3 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!((sim.count_of(0), sim.count_of(1)), (0, 0));
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn write_whose_answer_was_lost_may_still_take_effect(#[case] checks_orders: bool) {
    let mut sim = Simulation::serving(Config {
        checks_orders,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    sim.upstreams[&upstream(0)].paused_until = sim.now + 20 * SECOND;
    sim.delayed_write = Some(Duration::from_millis(400));
    sim.run_while(2 * SECOND, |it| it.delayed_write.is_some());
    sim.upstreams[&upstream(0)].paused_until = sim.now + Duration::from_millis(50);
    sim.run_for(Duration::from_millis(500));
    // Another home takes over and reads the rows.
    let home = sim.home_of(&upstream(0));
    let mut others = [1, 2].map(|it| sim.home_of(&upstream(it))).into_iter();
    let other = others.find(|it| *it != home).unwrap();
    sim.stop(&other);
    sim.run_for(3 * SECOND);
    assert_eq!(sim.violation, None);
    assert_eq!(sim.unserved(), []);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn graceful_stop_waits_for_a_write_whose_answer_was_lost(#[case] checks_orders: bool) {
    let mut sim = Simulation::serving(Config {
        checks_orders,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    let home = sim.home_of(&upstream(0));
    sim.upstreams[&upstream(0)].paused_until = sim.now + 20 * SECOND;
    sim.delayed_write = Some(Duration::from_millis(400));
    sim.run_while(2 * SECOND, |it| it.delayed_write.is_some());
    // The next home can't reach the table, so that the write isn't fenced.
    for other in (0..3).map(router).filter(|it| *it != home) {
        sim.cut_table(other.as_str());
    }
    sim.send(&home, Event::Drain);
    sim.upstreams[&upstream(0)].paused_until = sim.now + Duration::from_millis(50);
    sim.run_for(Duration::from_millis(600));
    sim.cut_links.clear();
    sim.run_for(3 * SECOND);
    assert_eq!(sim.violation, None);
}
