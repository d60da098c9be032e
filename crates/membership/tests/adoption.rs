//! An approved bundle is in force within seconds and never reverts.

mod bag;

use std::collections::VecDeque;
use std::time::Duration;

use bag::{Bag, address, record};
use eelgrassrock_membership::adoption::{
    Action, Contents, Event, Machine, Record, Settings, Verdict,
};
use eelgrassrock_membership::member::Live;
use eelgrassrock_membership::spread::{self, News};
use eelgrassrock_model::Version;
use eelgrassrock_model::time::Instant;
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which an approved bundle is in force everywhere.
const BOUND: Duration = Duration::from_secs(5);

/// Time of the tests that step one machine.
const NOW: Instant = Instant::from_millis(1_000);

fn fleet(seed: u64) -> Bag {
    let mut bag = Bag::new(12, 3, seed);
    bag.roll(1);
    bag.run(5 * SECOND);
    bag
}

#[rstest]
fn adopts_within_bound_under_loss(#[values(0.0, 0.2)] loss: f64) {
    let mut worst = Duration::ZERO;
    for seed in 0..25 {
        let mut bag = fleet(seed);
        bag.loss = loss;
        bag.run(Duration::from_millis(seed * 37));
        bag.roll(2);
        let took = bag.run_until(BOUND, |bag| bag.is_in_force(2));
        worst = worst.max(took.unwrap_or_else(|| panic!("seed {seed} takes too long")));
    }
    println!("loss {loss}: worst of 25 seeds {worst:?}");
}

#[test]
fn few_routers_read_the_table() {
    let mut bag = Bag::new(90, 3, 5);
    bag.roll(1);
    bag.run(10 * SECOND);
    assert!(bag.is_in_force(1));
    (bag.reads, bag.object_reads) = (0, 0);
    bag.roll(2);
    bag.run(10 * SECOND);
    assert!(bag.is_in_force(2));
    assert!(
        bag.reads <= 60 + 6,
        "{} reads by 90 routers in 10 s",
        bag.reads
    );
    assert!(
        bag.object_reads <= 12,
        "{} reads of one object",
        bag.object_reads
    );
}

#[test]
fn fresh_router_learns_highest_version_in_outage() {
    let mut bag = fleet(6);
    bag.stopped[1] = true;
    bag.roll(2);
    bag.run(5 * SECOND);
    bag.store_up = false;
    bag.restart(0);
    bag.stopped[1] = false;
    let ready = |bag: &Bag| bag.nodes[0].adoption.is_ready();
    let took = bag.run_until(3 * SECOND, ready);
    println!(
        "serves after {:?}",
        took.expect("the router serves in time")
    );
    assert_eq!(bag.nodes[0].version().0, 2);
}

#[test]
fn fresh_router_without_table_and_peers_does_not_serve() {
    let mut bag = fleet(7);
    bag.store_up = false;
    bag.part[0] = 1;
    bag.restart(0);
    bag.run(30 * SECOND);
    assert!(!bag.nodes[0].adoption.is_ready());
    bag.store_up = true;
    let ready = |bag: &Bag| bag.nodes[0].adoption.is_ready();
    bag.run_until(6 * SECOND, ready)
        .expect("the router serves once the table answers");
}

#[test]
fn refused_bundle_changes_nothing_and_is_followed_by_the_next() {
    let mut bag = fleet(8);
    bag.refused.insert(record(2).digest);
    bag.roll(2);
    bag.run(5 * SECOND);
    assert!(bag.is_in_force(1));
    bag.roll(3);
    bag.run_until(BOUND, |bag| bag.is_in_force(3))
        .expect("the next bundle is in force");
}

#[rstest]
fn overlapping_rolls_end_with_the_last(#[values(0, 30, 200, 900)] gap_ms: u64) {
    let mut bag = fleet(9);
    bag.loss = 0.2;
    for version in 2..=6 {
        bag.roll(version);
        bag.run(Duration::from_millis(gap_ms));
    }
    bag.run_until(BOUND, |bag| bag.is_in_force(6))
        .expect("the last bundle is in force");
}

/// Machine that knows three peers and nothing else.
fn fresh() -> Machine {
    let mut machine = Machine::new(Settings::new(
        "r0".parse().unwrap(),
        "dc".parse().unwrap(),
        1,
    ));
    let peer = |index: usize| Live {
        router: format!("r{index}").parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        address: address(index),
    };
    machine.step(NOW, Event::Members((1..4).map(peer).collect()));
    machine.step(NOW, Event::Tick);
    machine
}

/// Gives the machine what it asks for until it asks for nothing more.
fn settle(machine: &mut Machine, actions: Vec<Action>, refused: &[Record]) -> Vec<Action> {
    let mut done = Vec::new();
    let mut open = VecDeque::from(actions);
    while let Some(action) = open.pop_front() {
        let event = match &action {
            Action::FetchFromPeer { digest, .. } | Action::FetchObject { digest, .. } => {
                Event::Contents {
                    digest: *digest,
                    contents: Contents::Verified,
                }
            }
            Action::Check(record) if refused.contains(record) => {
                let verdict = Verdict::Refused {
                    reason: "too few approvals".into(),
                };
                Event::Checked {
                    digest: record.digest,
                    verdict,
                }
            }
            Action::Check(record) => Event::Checked {
                digest: record.digest,
                verdict: Verdict::Accepted,
            },
            _ => {
                done.push(action);
                continue;
            }
        };
        open.extend(machine.step(NOW, event));
    }
    done
}

fn answered(by: usize, version: u64) -> Event {
    Event::Answered {
        from: address(by),
        record: Some(record(version)),
    }
}

#[test]
fn stale_peer_alone_does_not_make_a_fresh_router_ready() {
    let mut machine = fresh();
    for (by, version) in [(1, 1), (1, 1), (2, 1)] {
        let actions = machine.step(NOW, answered(by, version));
        let done = settle(&mut machine, actions, &[]);
        assert!(!done.contains(&Action::Ready));
    }
    let actions = machine.step(NOW, answered(3, 2));
    assert!(
        !actions.contains(&Action::Ready),
        "ready before the highest version is in force"
    );
    let done = settle(&mut machine, actions, &[]);
    assert!(done.contains(&Action::Adopt(record(2))) && done.contains(&Action::Ready));
}

#[test]
fn overtaken_bundle_is_taken_up_again_when_the_newer_is_refused() {
    let mut machine = fresh();
    let from = address(1);
    machine.step(
        NOW,
        Event::Told {
            from,
            record: record(2),
        },
    );
    let actions = machine.step(
        NOW,
        Event::Told {
            from,
            record: record(3),
        },
    );
    let done = settle(&mut machine, actions, &[record(3)]);
    assert!(done.contains(&Action::Adopt(record(2))));
    assert_eq!(machine.seen(), record(2).version);
    let again = machine.step(
        NOW,
        Event::Told {
            from,
            record: record(3),
        },
    );
    assert!(
        again.is_empty(),
        "a refused record is checked once: {again:?}"
    );
}

/// Rows that changed on one side of a cut reach the other side after it.
#[test]
fn news_cross_to_other_data_centres_after_a_cut() {
    let mut bag = fleet(10);
    bag.part = (0..12).map(|index| u32::from(index % 3 == 0)).collect();
    bag.run(5 * SECOND);
    let payload = b"r0"[..].into();
    let news = News {
        key: "home/u1".into(),
        version: Version(1),
        payload,
    };
    bag.spread(0, spread::Event::Publish(news));
    bag.run(5 * SECOND);
    bag.part = vec![0; 12];
    let knows = |bag: &Bag| {
        bag.nodes
            .iter()
            .all(|node| node.tree.get("home/u1").is_some())
    };
    let took = bag.run_until(10 * SECOND, knows);
    println!("known after {:?}", took.expect("all know in time"));
}

/// Step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Roll { refused: bool },
    Stop(usize),
    Resume(usize),
    Restart(usize),
    Part(u32),
    Loss(f64),
    Store(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => prop::bool::weighted(0.2).prop_map(|refused| Step::Roll { refused }),
        1 => (0..12usize).prop_map(Step::Stop),
        1 => (0..12usize).prop_map(Step::Resume),
        2 => (0..12usize).prop_map(Step::Restart),
        1 => (0..4096u32).prop_map(Step::Part),
        1 => (0.0..0.4f64).prop_map(Step::Loss),
        1 => any::<bool>().prop_map(Step::Store),
    ]
}

fn take(bag: &mut Bag, step: &Step, version: &mut u64) {
    match *step {
        Step::Roll { refused } => {
            *version += 1;
            if refused {
                bag.refused.insert(record(*version).digest);
            }
            bag.roll(*version);
        }
        Step::Stop(index) => bag.stopped[index] = true,
        Step::Resume(index) => bag.stopped[index] = false,
        Step::Restart(index) => bag.restart(index),
        Step::Part(mask) => bag.part = (0..12).map(|index| mask >> index & 1).collect(),
        Step::Loss(loss) => bag.loss = loss,
        Step::Store(up) => bag.store_up = up,
    }
}

proptest! {
    #![proptest_config(bag::config(48))]

    /// The bag asserts at each adoption that no lower version is applied.
    #[test]
    fn never_applies_a_lower_version(
        steps in prop::collection::vec((step(), 0..1_500u64), 1..20),
        seed in any::<u64>(),
    ) {
        let mut bag = fleet(seed);
        bag.duplicates = 0.1;
        bag.delay = Duration::from_millis(100);
        let mut version = 1;
        for (step, pause) in &steps {
            take(&mut bag, step, &mut version);
            bag.run(Duration::from_millis(*pause));
        }
        (bag.loss, bag.part, bag.store_up) = (0.0, vec![0; 12], true);
        bag.roll(version + 1);
        prop_assert!(bag.run_until(15 * SECOND, |bag| bag.is_in_force(version + 1)).is_some());
    }
}
