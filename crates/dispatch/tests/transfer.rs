//! One transfer at a time, and when a router is outdated.

use std::time::Duration;

use eelgrassrock_dispatch::transfer::{CatchUp, Pending, Reading, Retry, Transfers};
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use rstest::rstest;

const LIMIT: Duration = Duration::from_millis(1_600);

fn version(number: u64) -> Revision {
    Revision::new(1, number)
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn announcements_during_a_transfer_wait_for_its_end() {
    let mut transfers = Transfers::default();
    assert!(transfers.announce(version(1), 1, at_ms(0)));
    for number in 2..6 {
        assert!(!transfers.announce(version(number), number, at_ms(number)));
        assert_eq!(transfers.current(), Some(&1));
    }
    assert_eq!(
        transfers.queued().copied().collect::<Vec<_>>(),
        [2, 3, 4, 5]
    );
    assert_eq!(transfers.finish(), Some(1));
    assert_eq!(transfers.current(), Some(&2));
}

#[test]
fn the_store_is_read_only_after_two_failures_in_a_row() {
    let mut transfers = Transfers::default();
    for _ in 0..3 {
        assert!(transfers.announce(version(1), 1, at_ms(0)));
        assert_eq!(transfers.fail(), Retry::Announcements);
        assert_eq!(transfers.current(), None);
        assert!(transfers.announce(version(1), 1, at_ms(0)));
        assert_eq!(transfers.finish(), Some(1));
    }
    assert!(transfers.announce(version(2), 2, at_ms(0)));
    assert_eq!(transfers.fail(), Retry::Announcements);
    assert!(transfers.announce(version(2), 2, at_ms(0)));
    assert_eq!(transfers.fail(), Retry::Store);
}

#[test]
fn a_failure_does_not_make_an_outdated_router_current() {
    let mut transfers = Transfers::default();
    transfers.announce(version(1), 1, at_ms(0));
    transfers.fail();
    transfers.announce(version(1), 1, at_ms(1_000));
    assert!(!transfers.is_outdated(LIMIT, at_ms(1_599)));
    assert!(transfers.is_outdated(LIMIT, at_ms(1_600)));
}

#[rstest]
#[case::none(0, Some(0))]
#[case::the_first(1, Some(500))]
#[case::a_later_one(2, Some(900))]
#[case::the_last(3, None)]
#[case::one_beyond(9, None)]
fn a_router_is_outdated_since_the_oldest_version_that_it_lacks(
    #[case] arrived: u64,
    #[case] since_ms: Option<u64>,
) {
    let mut transfers = Transfers::default();
    for (number, ms) in [(1, 0), (2, 500), (3, 900)] {
        transfers.announce(version(number), number, at_ms(ms));
    }
    transfers.arrive(version(arrived));
    let outdated_at = (0..5_000).find(|ms| transfers.is_outdated(LIMIT, at_ms(*ms)));
    let limit_ms = LIMIT.as_millis() as u64;
    assert_eq!(outdated_at, since_ms.map(|ms| ms + limit_ms));
}

#[test]
fn thousands_of_announcements_take_bounded_memory_and_count_from_the_first() {
    let mut transfers = Transfers::default();
    for number in 1..=10_000 {
        transfers.announce(version(number), number, at_ms(number));
        transfers.fail();
    }
    assert_eq!(transfers.newest(), Some(version(10_000)));
    assert!(transfers.is_outdated(LIMIT, at_ms(1 + 1_600)));
    transfers.arrive(version(10_000));
    assert!(!transfers.is_outdated(LIMIT, at_ms(100_000)));
}

/// Guards against a read that never ends: one that is arriving goes on, whatever is announced.
#[test]
fn a_reading_that_is_arriving_goes_on_when_later_versions_are_announced() {
    let reading = |is_arriving| Reading {
        started: at_ms(1_000),
        is_arriving,
    };
    for heard_ms in [1_001, 1_500, 9_000] {
        assert_eq!(reading(true).catch_up(at_ms(heard_ms)), CatchUp::Wait);
        assert_eq!(reading(false).catch_up(at_ms(heard_ms)), CatchUp::Restart);
    }
    // A call that was sent after the announcement returns what was announced.
    for heard_ms in [0, 1_000] {
        for is_arriving in [false, true] {
            assert_eq!(
                reading(is_arriving).catch_up(at_ms(heard_ms)),
                CatchUp::Settled
            );
        }
    }
}

/// Guards against a router that refuses requests for ever because of a version that it never gets.
#[test]
fn versions_that_the_store_has_confirmed_are_no_longer_pending() {
    let limit = Duration::from_secs(1);
    let mut pending = Pending::default();
    pending.note(Revision::new(0, 7), at_ms(1_000));
    pending.note(Revision::new(0, 8), at_ms(1_600));
    assert!(!pending.is_outdated(limit, at_ms(1_999)));
    assert!(pending.is_outdated(limit, at_ms(2_000)));
    pending.confirm(at_ms(1_500));
    assert!(!pending.is_outdated(limit, at_ms(2_599)));
    assert!(pending.is_outdated(limit, at_ms(2_600)));
    pending.arrive(Revision::new(0, 8));
    assert!(!pending.is_outdated(limit, at_ms(9_000)));
}
