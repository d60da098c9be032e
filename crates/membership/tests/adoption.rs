//! Tests of adoption: an approved bundle is in force within seconds, and no router applies a lower
//! version later.

mod simulation;

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_membership::adoption::{
    Action, Event, FetchOutcome, Machine, Record, Settings, Verdict,
};
use eelgrassrock_membership::member::Live;
use eelgrassrock_membership::spread::{self, News};
use eelgrassrock_model::Version;
use eelgrassrock_model::time::Instant;
use proptest::prelude::*;
use rstest::rstest;
use simulation::{Simulation, address, record};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which an approved bundle is in force on every router.
const MAX_ADOPTION_TIME: Duration = Duration::from_secs(5);

/// Fixed time of the tests that step a single machine.
const NOW: Instant = Instant::from_millis(1_000);

fn fleet(seed: u64) -> Simulation {
    let mut sim = Simulation::new(12, 3, seed);
    sim.commit_bundle(1);
    sim.run(5 * SECOND);
    sim
}

#[rstest]
fn adopts_within_bound_under_loss(#[values(0.0, 0.2)] loss: f64) {
    let mut worst = Duration::ZERO;
    for seed in 0..25 {
        let mut sim = fleet(seed);
        sim.loss = loss;
        sim.run(Duration::from_millis(seed * 37));
        sim.commit_bundle(2);
        let took = sim.run_until(MAX_ADOPTION_TIME, |sim| sim.is_in_force(2));
        worst = worst.max(took.unwrap_or_else(|| {
            panic!(
                "seed {seed}: bundle 2 isn't in force on all routers after {MAX_ADOPTION_TIME:?}"
            )
        }));
    }
    println!("loss {loss}: worst of 25 seeds {worst:?}");
}

#[test]
fn few_routers_read_the_table() {
    let mut sim = Simulation::new(90, 3, 5);
    sim.commit_bundle(1);
    sim.run(10 * SECOND);
    assert!(sim.is_in_force(1));
    (sim.table_reads, sim.object_reads) = (0, 0);
    sim.commit_bundle(2);
    sim.run(10 * SECOND);
    assert!(sim.is_in_force(2));
    assert!(
        sim.table_reads <= 60 + 6,
        "{} reads by 90 routers in 10 s",
        sim.table_reads
    );
    assert!(
        sim.object_reads <= 12,
        "{} reads of one object",
        sim.object_reads
    );
}

#[test]
fn fresh_router_learns_highest_version_in_outage() {
    let mut sim = fleet(6);
    sim.stopped[1] = true;
    sim.commit_bundle(2);
    sim.run(5 * SECOND);
    sim.is_store_up = false;
    sim.restart(0);
    sim.stopped[1] = false;
    let ready = |sim: &Simulation| sim.nodes[0].adoption.is_ready();
    let took = sim.run_until(3 * SECOND, ready);
    println!(
        "ready after {:?}",
        took.expect("the router becomes ready in time")
    );
    assert_eq!(sim.nodes[0].version().0, 2);
}

#[test]
fn fresh_router_without_table_and_peers_does_not_serve() {
    let mut sim = fleet(7);
    sim.is_store_up = false;
    sim.partition[0] = 1;
    sim.restart(0);
    sim.run(30 * SECOND);
    assert!(!sim.nodes[0].adoption.is_ready());
    sim.is_store_up = true;
    let ready = |sim: &Simulation| sim.nodes[0].adoption.is_ready();
    sim.run_until(6 * SECOND, ready)
        .expect("the router becomes ready once the table answers");
}

#[test]
fn refused_bundle_changes_nothing_and_is_followed_by_the_next() {
    let mut sim = fleet(8);
    sim.refused.insert(record(2).digest);
    sim.commit_bundle(2);
    sim.run(5 * SECOND);
    assert!(sim.is_in_force(1));
    sim.commit_bundle(3);
    sim.run_until(MAX_ADOPTION_TIME, |sim| sim.is_in_force(3))
        .expect("the next bundle is in force");
}

#[rstest]
fn overlapping_rollouts_end_with_the_last(#[values(0, 30, 200, 900)] gap_ms: u64) {
    let mut sim = fleet(9);
    sim.loss = 0.2;
    for version in 2..=6 {
        sim.commit_bundle(version);
        sim.run(Duration::from_millis(gap_ms));
    }
    sim.run_until(MAX_ADOPTION_TIME, |sim| sim.is_in_force(6))
        .expect("the last bundle is in force");
}

/// Returns a machine that knows three peers and has received no answer yet.
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

/// Answers the fetches and checks of the machine until there are no more, and returns its other
/// actions. Records in `refused` fail the check.
fn answer_requests(machine: &mut Machine, actions: Vec<Action>, refused: &[Record]) -> Vec<Action> {
    let mut done = Vec::new();
    let mut pending = VecDeque::from(actions);
    while let Some(action) = pending.pop_front() {
        let event = match &action {
            Action::FetchFromPeer { digest, .. } | Action::FetchObject { digest, .. } => {
                Event::Fetched {
                    digest: *digest,
                    outcome: FetchOutcome::Verified,
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
        pending.extend(machine.step(NOW, event));
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
        let done = answer_requests(&mut machine, actions, &[]);
        assert!(!done.contains(&Action::Ready));
    }
    let actions = machine.step(NOW, answered(3, 2));
    assert!(
        !actions.contains(&Action::Ready),
        "ready before the highest version is in force"
    );
    let done = answer_requests(&mut machine, actions, &[]);
    assert!(done.contains(&Action::Adopt(record(2))) && done.contains(&Action::Ready));
}

#[test]
fn superseded_bundle_is_resumed_when_the_newer_is_refused() {
    let mut machine = fresh();
    let from = address(1);
    machine.step(
        NOW,
        Event::Announced {
            from,
            record: record(2),
        },
    );
    let actions = machine.step(
        NOW,
        Event::Announced {
            from,
            record: record(3),
        },
    );
    let done = answer_requests(&mut machine, actions, &[record(3)]);
    assert!(done.contains(&Action::Adopt(record(2))));
    assert_eq!(machine.highest_seen(), record(2).version);
    let again = machine.step(
        NOW,
        Event::Announced {
            from,
            record: record(3),
        },
    );
    assert!(
        again.is_empty(),
        "a refused record is checked once: {again:?}"
    );
}

/// Guards against news that stay on the side of a network partition on which they were published
/// after the partition heals.
#[test]
fn news_reach_all_data_centres_after_a_partition() {
    let mut sim = fleet(10);
    sim.partition = (0..12).map(|index| u32::from(index % 3 == 0)).collect();
    sim.run(5 * SECOND);
    let payload = b"r0"[..].into();
    let news = News {
        key: "home/u1".into(),
        version: Version(1),
        payload,
    };
    sim.spread(0, spread::Event::Publish(news));
    sim.run(5 * SECOND);
    sim.partition = vec![0; 12];
    let knows = |sim: &Simulation| {
        sim.nodes
            .iter()
            .all(|node| node.tree.get("home/u1").is_some())
    };
    let took = sim.run_until(10 * SECOND, knows);
    println!(
        "on all routers after {:?}",
        took.expect("all routers receive the news in time")
    );
}

/// Step of a random schedule of rollouts and faults.
#[derive(Clone, Debug)]
enum Step {
    Roll { refused: bool },
    Stop(usize),
    Resume(usize),
    Restart(usize),
    Partition(u32),
    Loss(f64),
    Store(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => prop::bool::weighted(0.2).prop_map(|refused| Step::Roll { refused }),
        1 => (0..12usize).prop_map(Step::Stop),
        1 => (0..12usize).prop_map(Step::Resume),
        2 => (0..12usize).prop_map(Step::Restart),
        1 => (0..4096u32).prop_map(Step::Partition),
        1 => (0.0..0.4f64).prop_map(Step::Loss),
        1 => any::<bool>().prop_map(Step::Store),
    ]
}

fn apply_step(sim: &mut Simulation, step: &Step, version: &mut u64) {
    match *step {
        Step::Roll { refused } => {
            *version += 1;
            if refused {
                sim.refused.insert(record(*version).digest);
            }
            sim.commit_bundle(*version);
        }
        Step::Stop(index) => sim.stopped[index] = true,
        Step::Resume(index) => sim.stopped[index] = false,
        Step::Restart(index) => sim.restart(index),
        Step::Partition(mask) => sim.partition = (0..12).map(|index| mask >> index & 1).collect(),
        Step::Loss(loss) => sim.loss = loss,
        Step::Store(up) => sim.is_store_up = up,
    }
}

proptest! {
    #![proptest_config(simulation::config(48))]

    /// The simulation asserts at each adoption that no lower version is applied.
    #[test]
    fn never_applies_a_lower_version(
        steps in prop::collection::vec((step(), 0..1_500u64), 1..20),
        seed in any::<u64>(),
    ) {
        let mut sim = fleet(seed);
        sim.duplicates = 0.1;
        sim.delay = Duration::from_millis(100);
        let mut version = 1;
        for (step, pause) in &steps {
            apply_step(&mut sim, step, &mut version);
            sim.run(Duration::from_millis(*pause));
        }
        (sim.loss, sim.partition, sim.is_store_up) = (0.0, vec![0; 12], true);
        sim.commit_bundle(version + 1);
        prop_assert!(sim.run_until(15 * SECOND, |sim| sim.is_in_force(version + 1)).is_some());
    }
}
