//! Tests of failure detection: detects dead routers, declares no live router dead for long, and
//! recovers from partitions and pauses.

mod simulation;

use std::time::Duration;

use eelgrassrock_membership::member::{Event, State};
use proptest::prelude::*;
use rstest::rstest;
use simulation::Simulation;
use simulation::node::Node;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which the first router declares a stopped one dead: the ping period, the timeouts
/// of a direct and of an indirect ping, the suspicion timeout, and one tick of the simulation for
/// each of these.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(200 + 60 + 100 + 300 + 4 * 10);
/// Time after the first declaration within which all other routers learn of it.
const MAX_SPREAD_TIME: Duration = Duration::from_millis(300);
/// Largest payload of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

#[rstest]
#[case::pair(2, 1)]
#[case::fleet(12, 3)]
#[case::data_centre(60, 1)]
fn learns_all_listed_routers(#[case] count: usize, #[case] zones: usize) {
    let mut sim = Simulation::new(count, zones, 11);
    sim.run_until(5 * SECOND, Simulation::agrees)
        .expect("all routers are known in time");
    assert!(sim.largest_datagram <= MAX_DATAGRAM_BYTES);
}

#[test]
fn ignores_listed_router_that_never_answers() {
    let mut sim = Simulation::new(12, 3, 12);
    sim.stopped[5] = true;
    sim.run(4 * SECOND);
    assert!(sim.agrees());
    let told = sim
        .decisions
        .iter()
        .filter(|(_, _, decision)| decision.reason.to_string() == "message");
    assert!(told.count() > 0);
}

#[rstest]
fn detects_death_within_a_second(
    #[values(12, 60, 150)] count: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut sim = Simulation::new(count, 1, seed);
    sim.run(10 * SECOND);
    sim.stopped[count / 2] = true;
    let start = sim.now;
    sim.run_until(SECOND, |sim| sim.all_believe(count / 2, State::Dead))
        .expect("all routers learn of the death");
    let dead = sim
        .decisions
        .iter()
        .filter(|(_, _, decision)| decision.state == State::Dead);
    let first = dead.map(|(at, ..)| *at).min().unwrap();
    assert!(first - start <= MAX_DETECTION_TIME, "{:?}", first - start);
    assert!(sim.now - first <= MAX_SPREAD_TIME, "{:?}", sim.now - first);
}

#[rstest]
fn refutes_suspicion_under_loss(#[values(21, 22, 23)] seed: u64) {
    let mut sim = Simulation::new(12, 3, seed);
    sim.run(5 * SECOND);
    sim.loss = 0.2;
    sim.decisions.clear();
    sim.run(60 * SECOND);
    let count = |state| {
        sim.decisions
            .iter()
            .filter(|(_, _, d)| d.state == state)
            .count()
    };
    let (suspected, dead) = (count(State::Suspect), count(State::Dead));
    assert!(suspected > 0 && suspected < 400, "{suspected} suspicions");
    assert!(
        dead < 12,
        "{dead} of {suspected} suspicions weren't refuted"
    );
    sim.loss = 0.0;
    sim.run(5 * SECOND);
    assert!(sim.agrees());
}

/// Guards against false declarations of death after a pause: a router suspects another one, is
/// paused for longer than the suspicion timeout, and resumes. Meanwhile the other one couldn't
/// refute the suspicion.
#[test]
fn resumed_router_declares_no_live_router_dead() {
    let mut sim = Simulation::new(12, 3, 24);
    sim.run(5 * SECOND);
    sim.stopped[5] = true;
    let suspected = |sim: &Simulation| {
        let mut decisions = sim.decisions.iter();
        decisions
            .find(|(_, _, d)| d.state == State::Suspect)
            .map(|(_, by, _)| *by)
    };
    sim.run_until(SECOND, |sim| suspected(sim).is_some())
        .expect("one router suspects another");
    let by = suspected(&sim).unwrap();
    sim.stopped[by] = true;
    sim.stopped[5] = false;
    sim.run(5 * SECOND);
    sim.stopped[by] = false;
    sim.decisions.clear();
    sim.run(5 * SECOND);
    let mut decisions = sim.decisions.iter();
    assert!(!decisions.any(|(_, index, d)| *index == by && d.state == State::Dead));
    assert!(sim.agrees());
}

#[test]
fn paused_router_rejoins_after_resuming() {
    let mut sim = Simulation::new(12, 3, 31);
    sim.run(5 * SECOND);
    sim.stopped[4] = true;
    sim.run(10 * SECOND);
    assert!(sim.all_believe(4, State::Dead));
    sim.stopped[4] = false;
    sim.decisions.clear();
    sim.run_until(3 * SECOND, Simulation::agrees)
        .expect("the router rejoins in time");
    let declared_dead_by = |observer: usize| {
        sim.decisions
            .iter()
            .any(|(_, i, d)| *i == observer && d.state == State::Dead)
    };
    assert!(
        !declared_dead_by(4),
        "a resumed router declares others dead because of its own pause"
    );
}

#[test]
fn fresh_router_learns_all_in_datagrams_that_fit() {
    let mut sim = Simulation::new(200, 1, 35);
    sim.run(10 * SECOND);
    sim.nodes[0] = sim.fresh(0);
    let list = vec![sim.listed(1)];
    sim.member(0, Event::List(list));
    sim.run_until(10 * SECOND, Simulation::agrees)
        .expect("all routers are learned from one known peer");
    assert!(
        sim.largest_datagram <= MAX_DATAGRAM_BYTES,
        "{} bytes",
        sim.largest_datagram
    );
}

/// Platforms reuse addresses. Guards against a replacement whose answers keep the old router at
/// the same address alive.
#[test]
fn replacement_at_same_address_does_not_keep_old_router_alive() {
    let mut sim = Simulation::new(12, 3, 36);
    sim.run(5 * SECOND);
    let mut listed = sim.listed(4);
    listed.router = "replacement".parse().unwrap();
    sim.nodes[4] = Node::new(&listed, sim.now.as_millis(), 36);
    sim.member(4, Event::List(vec![sim.listed(1)]));
    sim.run(5 * SECOND);
    let old = sim.listed(4).router;
    for index in [0, 1, 2, 3, 5] {
        let member = &sim.nodes[index].member;
        assert_eq!(member.state(&old), Some(State::Dead));
        assert_eq!(member.state(&listed.router), Some(State::Alive));
    }
}

#[rstest]
fn detects_loss_of_a_data_centre(#[values(12, 60)] count: usize, #[values(1, 2, 3)] seed: u64) {
    let mut sim = Simulation::new(count, 3, seed);
    sim.run(10 * SECOND);
    sim.stopped = (0..count).map(|index| index % 3 == 1).collect();
    sim.run_until(2 * SECOND, Simulation::agrees)
        .expect("all routers learn that the data centre is gone");
}

#[test]
fn partitioned_fleet_reunites() {
    let mut sim = Simulation::new(24, 3, 41);
    sim.run(5 * SECOND);
    sim.partition = (0..24).map(|index| u32::from(index % 3 == 0)).collect();
    sim.run_until(5 * SECOND, Simulation::agrees)
        .expect("the routers on each side know only those on their side");
    sim.run(60 * SECOND);
    sim.partition = vec![0; 24];
    sim.run_until(10 * SECOND, Simulation::agrees)
        .expect("the two sides find each other again");
}

#[test]
fn drains_within_a_second() {
    let mut sim = Simulation::new(60, 1, 51);
    sim.run(5 * SECOND);
    sim.member(7, Event::Drain);
    sim.run_until(SECOND, |sim| sim.all_believe(7, State::Left))
        .expect("all routers learn in time that the router left");
    sim.stopped[7] = true;
    sim.run(5 * SECOND);
    assert!(sim.agrees());
}

/// Fault injected into the simulation.
#[derive(Clone, Debug)]
enum Fault {
    Stop(usize),
    Resume(usize),
    Restart(usize),
    Partition(u32),
    Loss(f64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..12usize).prop_map(Fault::Stop),
        (0..12usize).prop_map(Fault::Resume),
        (0..12usize).prop_map(Fault::Restart),
        (0..4096u32).prop_map(Fault::Partition),
        (0.0..0.4f64).prop_map(Fault::Loss),
    ]
}

fn inject(sim: &mut Simulation, fault: &Fault) {
    match *fault {
        Fault::Stop(index) => sim.stopped[index] = true,
        Fault::Resume(index) => sim.stopped[index] = false,
        Fault::Restart(index) => sim.restart(index),
        Fault::Partition(mask) => sim.partition = (0..12).map(|index| mask >> index & 1).collect(),
        Fault::Loss(loss) => sim.loss = loss,
    }
}

proptest! {
    #![proptest_config(simulation::config(48))]

    #[test]
    fn agrees_after_any_faults(
        faults in prop::collection::vec((fault(), 0..3_000u64), 1..12),
        seed in any::<u64>(),
    ) {
        let mut sim = Simulation::new(12, 3, seed);
        sim.duplicates = 0.05;
        sim.delay = Duration::from_millis(20);
        for (fault, pause) in &faults {
            inject(&mut sim, fault);
            sim.run(Duration::from_millis(*pause));
        }
        sim.loss = 0.0;
        sim.partition = vec![0; 12];
        prop_assert!(sim.run_until(15 * SECOND, Simulation::agrees).is_some());
        prop_assert!(sim.largest_datagram <= MAX_DATAGRAM_BYTES);
    }
}
