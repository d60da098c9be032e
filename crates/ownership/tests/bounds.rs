//! Bounds on the time for which shards are unavailable, in virtual time.

mod simulation;

use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::fleet::{Fleet, Goal};
use eelgrassrock_ownership::Event;
use rstest::rstest;
use simulation::{Config, Simulation, router, upstream};

const SECOND: Duration = Duration::from_secs(1);

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn fresh_fleet_is_served(#[case] checks_orders: bool) {
    let sim = Simulation::serving(Config {
        checks_orders,
        ..Config::default()
    });
    assert!(sim.now.as_millis() < 5_000, "{:?}", sim.now);
    assert_eq!(sim.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shards_of_a_lost_upstream_are_served_within_a_second(#[case] checks_orders: bool) {
    let mut sim = Simulation::serving(Config {
        checks_orders,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    sim.upstreams[&upstream(0)].is_up = false;
    let worst = sim.longest_outage(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    assert_eq!(sim.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shards_behind_a_lost_home_are_served_within_a_second(#[case] checks_orders: bool) {
    let mut sim = Simulation::serving(Config {
        checks_orders,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    let home = sim.home_of(&upstream(0));
    sim.nodes[&home].is_up = false;
    let worst = sim.longest_outage(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    assert_eq!(sim.violation, None);
}

#[test]
fn fresh_fleet_has_homes_in_other_data_centres() {
    let sim = Simulation::serving(Config::default());
    for index in 0..3 {
        assert_ne!(sim.home_of(&upstream(index)), router(index));
    }
}

fn config(checks_orders: bool) -> Config {
    Config {
        checks_orders,
        ..Config::default()
    }
}

fn steady(checks_orders: bool) -> Simulation {
    let mut sim = Simulation::serving(config(checks_orders));
    sim.run_for(2 * SECOND);
    sim
}

/// Duration of one exchange between the prior and the next owner: the answer of the prior
/// owner, the message to the next home, the answer to the heartbeat in progress, the
/// order to the next owner and its answer. Each message takes at most 2 ms, and the
/// measurement adds two samples of 2 ms.
const ONE_EXCHANGE: Duration = Duration::from_millis(18);

#[rstest]
#[case::checking_by_list(true, true)]
#[case::unchecking_by_list(false, true)]
#[case::checking_by_answer(true, false)]
#[case::unchecking_by_answer(false, false)]
fn leaving_upstream_gets_no_work_after_3_s(#[case] checks_orders: bool, #[case] by_list: bool) {
    let mut sim = steady(checks_orders);
    assert!(sim.count_of(0) > 0);
    if by_list {
        sim.send_all(&Event::Leaving(vec![upstream(0)]));
    } else {
        sim.upstreams[&upstream(0)].leaving = true;
    }
    let worst = sim.longest_outage(3 * SECOND);
    assert_eq!(sim.count_of(0), 0);
    assert!(worst <= ONE_EXCHANGE, "{worst:?}");
    assert_eq!(sim.violation, None);
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn long_store_outage_leaves_all_shards_served(#[case] checks_orders: bool) {
    let mut sim = steady(checks_orders);
    sim.table.is_up = false;
    let worst = sim.longest_outage(60 * SECOND);
    assert_eq!(worst, Duration::ZERO);
}

#[rstest]
#[case::unchecking(false)]
#[case::checking(true)]
fn upstream_restarted_in_a_store_outage_waits_only_if_it_checks_orders(#[case] waits: bool) {
    let mut sim = steady(waits);
    sim.table.is_up = false;
    sim.run_for(SECOND);
    sim.upstreams[&upstream(0)].restart();
    let worst = sim.longest_outage(5 * SECOND);
    assert_eq!(worst > SECOND, waits, "{worst:?}");
    sim.table.is_up = true;
    let took = sim.run_while(10 * SECOND, |it| !it.unserved().is_empty());
    assert!(took < 3 * SECOND, "{took:?}");
    assert_eq!(sim.violation, None);
}

#[rstest]
#[case::checking(true, true)]
#[case::unchecking(false, true)]
#[case::checking_in_outage(true, false)]
#[case::unchecking_in_outage(false, false)]
fn graceful_stop_lets_no_lease_lapse(#[case] checks_orders: bool, #[case] table_up: bool) {
    let mut sim = steady(checks_orders);
    sim.table.is_up = table_up;
    let home = sim.home_of(&upstream(0));
    sim.send(&home, Event::Drain);
    let took = sim.run_while(10 * SECOND, |it| !it.nodes[&home].drained);
    assert!(took < SECOND, "{took:?}");
    sim.nodes[&home].is_up = false;
    let worst = sim.longest_outage(3 * SECOND);
    assert!(worst <= ONE_EXCHANGE, "{worst:?}");
    assert_eq!(sim.violation, None);
}

/// Guards against routers that wait for each other until the drain times out, because
/// each offers its upstreams to others that stop as well. This happens when a whole
/// deployment stops, as at the end of the demo.
#[test]
fn routers_that_stop_together_do_not_wait_for_each_other() {
    let mut sim = steady(true);
    let routers: Vec<_> = sim.nodes.keys().cloned().collect();
    for router in &routers {
        sim.send(router, Event::Drain);
    }
    let took = sim.run_while(10 * SECOND, |it| {
        it.nodes.values().any(|node| !node.drained)
    });
    assert!(took < SECOND, "{took:?}");
    assert_eq!(sim.violation, None);
}

#[test]
fn loss_of_home_and_unchecking_upstream_waits_for_the_authority() {
    let authority = 5 * SECOND;
    let mut sim = Simulation::serving(Config {
        authority,
        ..config(false)
    });
    sim.run_for(2 * SECOND);
    let home = sim.home_of(&upstream(0));
    sim.nodes[&home].is_up = false;
    sim.run_for(2 * SECOND);
    sim.upstreams[&upstream(0)].is_up = false;
    let worst = sim.longest_outage(10 * SECOND);
    assert!(worst > 2 * SECOND, "{worst:?}");
    assert!(worst < authority + SECOND, "{worst:?}");
    assert_eq!(sim.unserved(), []);
}

#[test]
fn loss_of_home_and_checking_upstream_in_turn_needs_no_authority() {
    let mut sim = steady(true);
    let home = sim.home_of(&upstream(0));
    sim.nodes[&home].is_up = false;
    sim.run_for(2 * SECOND);
    sim.upstreams[&upstream(0)].is_up = false;
    let worst = sim.longest_outage(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
}

#[rstest]
#[case::checking(true)]
#[case::unchecking(false)]
fn shards_of_a_lost_data_centre_are_served_within_a_second(#[case] checks_orders: bool) {
    let mut sim = Simulation::serving(Config {
        routers: 6,
        upstreams: 6,
        ..config(checks_orders)
    });
    sim.run_for(2 * SECOND);
    for index in [0, 3] {
        sim.upstreams[&upstream(index)].is_up = false;
        sim.stop(&router(index));
    }
    let worst = sim.longest_outage(4 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    assert_eq!(sim.violation, None);
}

#[test]
fn home_that_was_paused_hands_over() {
    let mut sim = steady(false);
    let home = sim.home_of(&upstream(0));
    sim.nodes[&home].paused_until = sim.now + 2 * SECOND;
    let worst = sim.longest_outage(3 * SECOND);
    assert!(worst < SECOND, "{worst:?}");
    let next = sim.home_of(&upstream(0));
    assert_ne!(next, home);
    let snapshot = sim.nodes[&next].machine.snapshot();
    assert_eq!(snapshot.homes[&upstream(0)].settled, Some(true));
}

#[rstest]
#[case::availability(Goal::Availability)]
#[case::balance(Goal::Balance)]
fn upstream_that_joins_gets_its_share_in_planned_moves(#[case] goal: Goal) {
    let mut sim = Simulation::serving(Config {
        goal,
        ..Config::default()
    });
    let mut larger = sim.config.clone();
    larger.upstreams = 4;
    sim.set_fleet(Fleet {
        version: Version(2),
        ..simulation::fleet(&larger)
    });
    let worst = sim.longest_outage(120 * SECOND);
    assert!(worst <= ONE_EXCHANGE, "{worst:?}");
    let share = sim.count_of(3);
    assert!((12..=16).contains(&share), "{share}");
    assert_eq!(sim.violation, None);
}
