//! Load that upstreams report with their answers.

mod support;

use eelgrassrock_dispatch::load::Load;
use eelgrassrock_dispatch::service::{Report, Service, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use proptest::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::fleet::{Fleet, Telling};
use support::{NEAR, at, keyed, request, sent_to, service, upstream};

const SLOTS: u32 = 2;
/// Time after which a report counts for nothing.
const OUTDATED_MS: u64 = 500;

/// Returns the share of requests that are answered in time by a fleet on shared machines.
fn share_in_time(seed: u64, used: f64, telling: Telling) -> f64 {
    let fleet = Fleet::new(24, 42, 0.5..1.5, seed).with_paces(telling);
    fleet.run(used).share_in_time()
}

/// Machines are slow by turns, so half of the slots give 0.7 of the work, and 0.6 give 0.84.
#[rstest]
fn callers_get_more_with_reports(#[values(0.5, 0.6)] used: f64, #[values(0, 1, 2, 3)] seed: u64) {
    let without = share_in_time(seed, used, |_, _| None);
    let with = share_in_time(seed, used, |_, load| Some(load));
    assert!(with > without, "{with:.4} with, {without:.4} without");
}

fn overloaded(_: &mut ChaCha8Rng, _: Load) -> Option<Load> {
    Load::new(100_000, 100_000, 1, Some(100_000))
}

/// Reports the right slots with a queue that nobody could wait in.
fn endless_queue(_: &mut ChaCha8Rng, _: Load) -> Option<Load> {
    Load::new(SLOTS, 100_000, SLOTS, Some(100_000))
}

/// Reports the slowest pace at all times.
fn slow(_: &mut ChaCha8Rng, load: Load) -> Option<Load> {
    Load::new(0, load.requests(), SLOTS, Some(100_000))
}

fn idle(_: &mut ChaCha8Rng, _: Load) -> Option<Load> {
    Load::new(0, 0, 100_000, Some(1))
}

fn random(random: &mut ChaCha8Rng, _: Load) -> Option<Load> {
    let mut figure = || random.random_range(1..=100_000);
    Load::new(figure(), figure(), figure(), Some(figure()))
}

fn random_at_times(generator: &mut ChaCha8Rng, load: Load) -> Option<Load> {
    if generator.random_bool(0.1) {
        random(generator, load)
    } else {
        Some(load)
    }
}

#[rstest]
#[case::overloaded(overloaded)]
#[case::endless_queue(endless_queue)]
#[case::slow(slow)]
#[case::idle(idle)]
#[case::random(random)]
#[case::random_at_times(random_at_times)]
fn absurd_reports_cost_nothing(#[case] telling: Telling, #[values(0, 1, 2, 3)] seed: u64) {
    let without = share_in_time(seed, 0.5, |_, _| None);
    let with = share_in_time(seed, 0.5, telling);
    assert!(with >= without, "{with:.4} with, {without:.4} without");
}

/// Returns a service of two equal upstreams that has sent a request to the first and got its answer
/// with a report.
fn told(load: Load, before: u32) -> Service {
    let mut service = service(&[upstream("a", NEAR, SLOTS), upstream("b", NEAR, SLOTS)]);
    let sends: Vec<Step> = (0..=before)
        .map(|n| service.admit(request(u64::from(n), None, 0), at(0)))
        .collect();
    let on_first: Vec<&Step> = sends
        .iter()
        .filter(|step| sent_to(step) == Some("a"))
        .collect();
    let Step::Send {
        upstream, started, ..
    } = on_first[0]
    else {
        panic!("not sent");
    };
    service.record_load(upstream, load, at(100));
    let report = Report::Answered { failed: false };
    service.end("a", None, *started, report, at(100));
    service
}

/// Returns the upstream that a service chooses.
fn chosen(service: &mut Service, ms: u64) -> String {
    let step = service.admit(request(100, None, ms), at(ms));
    sent_to(&step).expect("sent").to_owned()
}

#[rstest]
#[case::free(Load::new(0, 0, SLOTS, Some(100)), "a")]
#[case::full(Load::new(2, 0, SLOTS, Some(100)), "b")]
#[case::not_told(None, "a")]
fn the_upstream_without_a_queue_is_chosen(#[case] load: Option<Load>, #[case] expected: &str) {
    let mut service = match load {
        Some(load) => told(load, 0),
        None => service(&[upstream("a", NEAR, SLOTS), upstream("b", NEAR, SLOTS)]),
    };
    assert_eq!(chosen(&mut service, 110), expected);
}

/// The mean pace is that of the first report, so only a later one shows a slow machine.
#[rstest]
#[case::fresh(120, "b")]
#[case::history(100 + OUTDATED_MS, "a")]
fn a_slow_machine_is_avoided_for_as_long_as_its_pace_lasts(
    #[case] ms: u64,
    #[case] expected: &str,
) {
    let mut service = told(Load::new(0, 0, SLOTS, Some(100)).unwrap(), 0);
    let slow = Load::new(0, 0, SLOTS, Some(300)).unwrap();
    service.record_load(&upstream("a", NEAR, SLOTS), slow, at(100));
    assert_eq!(chosen(&mut service, ms), expected);
}

#[test]
fn the_routers_own_requests_are_counted_once() {
    // Of three requests, two went to the first upstream. One is answered while the other runs.
    let mut service = told(Load::new(1, 0, SLOTS, Some(100)).unwrap(), 2);
    assert_eq!(chosen(&mut service, 110), "a");
}

#[test]
fn the_report_of_another_process_counts_for_nothing() {
    let mut service = service(&[upstream("a", NEAR, SLOTS), upstream("b", NEAR, SLOTS)]);
    let earlier = Upstream {
        incarnation: 0,
        ..(*upstream("a", NEAR, SLOTS)).clone()
    };
    service.record_load(&earlier, Load::new(2, 9, SLOTS, None).unwrap(), at(0));
    assert_eq!(chosen(&mut service, 1), "a");
}

proptest! {
    /// A request for a key goes to its holder whatever the holder reports, and outdated reports
    /// change no choice.
    #[test]
    fn a_report_bars_no_upstream(
        reports in prop::collection::vec((any::<u32>(), any::<u32>(), 0_u32..4, any::<Option<u32>>()), 1..20),
    ) {
        let (mut keyed, mut free) = (keyed(), service(&[upstream("one", NEAR, SLOTS), upstream("two", NEAR, SLOTS)]));
        for (running, waiting, slots, pace) in reports {
            if let Some(load) = Load::new(running % 5, waiting % 500, slots, pace) {
                keyed.record_load(&upstream("one", NEAR, SLOTS), load, at(0));
                free.record_load(&upstream("one", NEAR, SLOTS), load, at(0));
            }
        }
        let step = keyed.admit(request(1, Some(7), 0), at(0));
        prop_assert_eq!(sent_to(&step), Some("one"));
        prop_assert_eq!(chosen(&mut free, OUTDATED_MS), "one");
    }
}
