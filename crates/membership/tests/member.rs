//! Failure detection finds the dead, spares the living and heals.

mod bag;

use std::time::Duration;

use bag::Bag;
use bag::node::Node;
use eelgrassrock_membership::member::{Event, State};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a death is declared by the first router: the period of
/// pings, the timeouts of a ping and of its relays, the suspicion, and the
/// resolution of the bag's timers at each.
const DETECTION: Duration = Duration::from_millis(200 + 60 + 100 + 300 + 4 * 10);
/// Time within which all others know, after the first.
const NEWS: Duration = Duration::from_millis(300);
/// Largest payload of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

#[rstest]
#[case::pair(2, 1)]
#[case::fleet(12, 3)]
#[case::data_centre(60, 1)]
fn learns_all_listed_routers(#[case] count: usize, #[case] zones: usize) {
    let mut bag = Bag::new(count, zones, 11);
    bag.run_until(5 * SECOND, Bag::agrees)
        .expect("all routers are known in time");
    assert!(bag.largest <= MAX_DATAGRAM_BYTES);
}

#[test]
fn ignores_listed_router_that_never_answers() {
    let mut bag = Bag::new(12, 3, 12);
    bag.stopped[5] = true;
    bag.run(4 * SECOND);
    assert!(bag.agrees());
    let told = bag
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
    let mut bag = Bag::new(count, 1, seed);
    bag.run(10 * SECOND);
    bag.stopped[count / 2] = true;
    let start = bag.now;
    bag.run_until(SECOND, |bag| bag.all_believe(count / 2, State::Dead))
        .expect("all routers learn of the death");
    let dead = bag
        .decisions
        .iter()
        .filter(|(_, _, decision)| decision.state == State::Dead);
    let first = dead.map(|(at, ..)| *at).min().unwrap();
    assert!(first - start <= DETECTION, "{:?}", first - start);
    assert!(bag.now - first <= NEWS, "{:?}", bag.now - first);
}

#[rstest]
fn refutes_suspicion_under_loss(#[values(21, 22, 23)] seed: u64) {
    let mut bag = Bag::new(12, 3, seed);
    bag.run(5 * SECOND);
    bag.loss = 0.2;
    bag.decisions.clear();
    bag.run(60 * SECOND);
    let count = |state| {
        bag.decisions
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
    bag.loss = 0.0;
    bag.run(5 * SECOND);
    assert!(bag.agrees());
}

/// The time in which a router didn't run isn't time in which others could
/// have refuted.
#[test]
fn own_pause_accuses_nobody() {
    let mut bag = Bag::new(12, 3, 24);
    bag.run(5 * SECOND);
    bag.stopped[5] = true;
    let suspected = |bag: &Bag| {
        let mut decisions = bag.decisions.iter();
        decisions
            .find(|(_, _, d)| d.state == State::Suspect)
            .map(|(_, by, _)| *by)
    };
    bag.run_until(SECOND, |bag| suspected(bag).is_some())
        .expect("one router suspects another");
    let by = suspected(&bag).unwrap();
    bag.stopped[by] = true;
    bag.stopped[5] = false;
    bag.run(5 * SECOND);
    bag.stopped[by] = false;
    bag.decisions.clear();
    bag.run(5 * SECOND);
    let mut decisions = bag.decisions.iter();
    assert!(!decisions.any(|(_, index, d)| *index == by && d.state == State::Dead));
    assert!(bag.agrees());
}

#[test]
fn takes_paused_router_back() {
    let mut bag = Bag::new(12, 3, 31);
    bag.run(5 * SECOND);
    bag.stopped[4] = true;
    bag.run(10 * SECOND);
    assert!(bag.all_believe(4, State::Dead));
    bag.stopped[4] = false;
    bag.decisions.clear();
    bag.run_until(3 * SECOND, Bag::agrees)
        .expect("the router is taken back in time");
    let accused = |by: usize| {
        bag.decisions
            .iter()
            .any(|(_, i, d)| *i == by && d.state == State::Dead)
    };
    assert!(
        !accused(4),
        "a paused router accuses others of its own pause"
    );
}

#[test]
fn fresh_router_learns_all_in_datagrams_that_fit() {
    let mut bag = Bag::new(200, 1, 35);
    bag.run(10 * SECOND);
    bag.nodes[0] = bag.fresh(0);
    let list = vec![bag.listed(1)];
    bag.member(0, Event::List(list));
    bag.run_until(10 * SECOND, Bag::agrees)
        .expect("one known peer suffices");
    assert!(bag.largest <= MAX_DATAGRAM_BYTES, "{} bytes", bag.largest);
}

/// Platforms reuse addresses: the answers of the new router don't keep the old
/// one alive.
#[test]
fn replaced_router_at_the_same_address_is_another_one() {
    let mut bag = Bag::new(12, 3, 36);
    bag.run(5 * SECOND);
    let mut listed = bag.listed(4);
    listed.router = "replacement".parse().unwrap();
    bag.nodes[4] = Node::new(&listed, bag.now.as_millis(), 36);
    bag.member(4, Event::List(vec![bag.listed(1)]));
    bag.run(5 * SECOND);
    let old = bag.listed(4).router;
    for index in [0, 1, 2, 3, 5] {
        let member = &bag.nodes[index].member;
        assert_eq!(member.state(&old), Some(State::Dead));
        assert_eq!(member.state(&listed.router), Some(State::Alive));
    }
}

#[rstest]
fn detects_loss_of_a_data_centre(#[values(12, 60)] count: usize, #[values(1, 2, 3)] seed: u64) {
    let mut bag = Bag::new(count, 3, seed);
    bag.run(10 * SECOND);
    bag.stopped = (0..count).map(|index| index % 3 == 1).collect();
    bag.run_until(2 * SECOND, Bag::agrees)
        .expect("all know that it is gone");
}

#[test]
fn merges_two_parts() {
    let mut bag = Bag::new(24, 3, 41);
    bag.run(5 * SECOND);
    bag.part = (0..24).map(|index| u32::from(index % 3 == 0)).collect();
    bag.run_until(5 * SECOND, Bag::agrees)
        .expect("each part sees itself only");
    bag.run(60 * SECOND);
    bag.part = vec![0; 24];
    bag.run_until(10 * SECOND, Bag::agrees)
        .expect("the parts find each other");
}

#[test]
fn drains_within_a_second() {
    let mut bag = Bag::new(60, 1, 51);
    bag.run(5 * SECOND);
    bag.member(7, Event::Drain);
    bag.run_until(SECOND, |bag| bag.all_believe(7, State::Left))
        .expect("all know in time");
    bag.stopped[7] = true;
    bag.run(5 * SECOND);
    assert!(bag.agrees());
}

/// Fault that a schedule injects.
#[derive(Clone, Debug)]
enum Fault {
    Stop(usize),
    Resume(usize),
    Restart(usize),
    Part(u32),
    Loss(f64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..12usize).prop_map(Fault::Stop),
        (0..12usize).prop_map(Fault::Resume),
        (0..12usize).prop_map(Fault::Restart),
        (0..4096u32).prop_map(Fault::Part),
        (0.0..0.4f64).prop_map(Fault::Loss),
    ]
}

fn inject(bag: &mut Bag, fault: &Fault) {
    match *fault {
        Fault::Stop(index) => bag.stopped[index] = true,
        Fault::Resume(index) => bag.stopped[index] = false,
        Fault::Restart(index) => bag.restart(index),
        Fault::Part(mask) => bag.part = (0..12).map(|index| mask >> index & 1).collect(),
        Fault::Loss(loss) => bag.loss = loss,
    }
}

proptest! {
    #![proptest_config(bag::config(48))]

    #[test]
    fn agrees_after_any_faults(
        faults in prop::collection::vec((fault(), 0..3_000u64), 1..12),
        seed in any::<u64>(),
    ) {
        let mut bag = Bag::new(12, 3, seed);
        bag.duplicates = 0.05;
        bag.delay = Duration::from_millis(20);
        for (fault, pause) in &faults {
            inject(&mut bag, fault);
            bag.run(Duration::from_millis(*pause));
        }
        bag.loss = 0.0;
        bag.part = vec![0; 12];
        prop_assert!(bag.run_until(15 * SECOND, Bag::agrees).is_some());
        prop_assert!(bag.largest <= MAX_DATAGRAM_BYTES);
    }
}
