//! What a router knows of its own link.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::service::{Report, Step};
use eelgrassrock_dispatch::uplink::{Size, State, Uplink};
use rstest::rstest;
use support::{NEAR, at, request, sent_to, service, upstream};

const SMALL_MBIT_PER_S: f64 = 10.0;

/// By the rate: 100 KB are 80 ms at 10 Mbit/s.
#[rstest]
#[case::small(SMALL_MBIT_PER_S, 100_000, 80..=81)]
#[case::large(1_000.0, 100_000, 0..=1)]
#[case::no_rate(0.0, 100_000, 60_000..=60_000)]
#[case::head_only(SMALL_MBIT_PER_S, 0, 0..=1)]
fn a_message_takes_its_bytes_at_the_rate_of_the_link(
    #[case] rate: f64,
    #[case] bytes: usize,
    #[case] ms: std::ops::RangeInclusive<u128>,
) {
    let time = Uplink::new(rate).time_of(bytes);
    assert!(ms.contains(&time.as_millis()), "{time:?}");
}

#[test]
fn messages_wait_for_each_other_in_each_direction_by_itself() {
    let mut link = Uplink::new(SMALL_MBIT_PER_S);
    for _ in 0..3 {
        link.send(100_000, at(0));
    }
    let wait = link.wait_out(at(0));
    assert!((240..=245).contains(&wait.as_millis()), "{wait:?}");
    assert_eq!(link.wait_in(at(0)), Duration::ZERO);
    assert!((299_000..=302_000).contains(&link.owed_bytes(at(0))));
    assert_eq!(link.state(at(0)), State::Busy);
    assert_eq!(link.state(at(220)), State::Free);
    link.expect(100_000, at(300));
    assert_eq!(link.state(at(300)), State::Busy);
}

/// A calm second of a small VM, and one with more than its link bears: 67 requests of
/// 13 KB in the mean are 0.7 of 10 Mbit/s, 120 are 1.25.
#[rstest]
#[case::calm(67, State::Free)]
#[case::pressed(120, State::Busy)]
fn a_link_is_busy_when_more_is_asked_of_it_than_it_bears(
    #[case] per_second: u64,
    #[case] state: State,
) {
    let mut link = Uplink::new(SMALL_MBIT_PER_S);
    for n in 0..per_second {
        link.send(13_200, at(n * 1_000 / per_second));
    }
    assert_eq!(link.state(at(1_000)), state);
}

#[test]
fn the_size_of_answers_is_learnt() {
    let mut size = Size::default();
    assert_eq!(size.bytes(), 0);
    size.record(90_000);
    assert_eq!(size.bytes(), 90_000);
    (0..50).for_each(|_| size.record(10_000));
    assert!((10_000..11_000).contains(&size.bytes()), "{size:?}");
}

/// Connections that are late because of the own link pause no upstream.
#[test]
fn what_the_own_link_held_up_is_not_held_against_an_upstream() {
    let mut service = service(&[upstream("one", NEAR, 2)]);
    for n in 0..10 {
        let step = service.admit(request(n, None, n), at(n));
        assert_eq!(sent_to(&step), Some("one"));
        let Step::Send { started, .. } = step else {
            unreachable!("it was sent");
        };
        service.end("one", None, started, Report::NotSent, at(n));
    }
    assert!(Report::NotSent.proves_not_run());
}

/// The load of a small VM whose link is asked for more than it bears: 80 requests a
/// second, a tenth of which have answers of 110 KB. Large ones are turned away, the others
/// find a link that isn't full.
#[test]
fn large_answers_are_turned_away_from_a_full_link_and_small_ones_pass() {
    const TARGET: Duration = Duration::from_millis(1_000);
    let (mut small, mut large) = (Size::default(), Size::default());
    small.record(3_000);
    large.record(110_000);
    let mut link = Uplink::new(SMALL_MBIT_PER_S);
    let (mut turned_away, mut served) = (0, 0);
    let mut longest = Duration::ZERO;
    for n in 0..800_u64 {
        let now = at(n * 1_000 / 80);
        let size = if n % 8 == 0 { large } else { small };
        match link.turns_away(size, TARGET, now) {
            Some(wait) => {
                assert_eq!(size, large);
                assert!(wait >= Duration::from_millis(150));
                turned_away += 1;
            }
            None => {
                served += usize::from(size == large);
                link.send(size.bytes(), now);
                longest = longest.max(link.wait_out(now));
            }
        }
    }
    assert!(
        turned_away > 0 && served > 50,
        "{turned_away} and {served} of 100"
    );
    assert!(longest < Duration::from_millis(300), "{longest:?}");
}

#[test]
fn a_fast_link_turns_nothing_away() {
    let mut link = Uplink::new(1_000.0);
    let mut large = Size::default();
    large.record(540_000);
    for n in 0..100 {
        assert_eq!(
            link.turns_away(large, Duration::from_millis(300), at(n * 10)),
            None
        );
        link.send(large.bytes(), at(n * 10));
    }
}
