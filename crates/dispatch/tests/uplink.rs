//! The estimate of the router's own link.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::service::{Report, Step};
use eelgrassrock_dispatch::uplink::{Size, State, Uplink};
use rstest::rstest;
use support::{NEAR, at, request, sent_to, service, upstream};

const SMALL_MBIT_PER_S: f64 = 10.0;

/// 100 KB take 80 ms at 10 Mbit/s.
#[rstest]
#[case::small(SMALL_MBIT_PER_S, 100_000, 80..=81)]
#[case::large(1_000.0, 100_000, 0..=1)]
#[case::no_rate(0.0, 100_000, 60_000..=60_000)]
#[case::head_only(SMALL_MBIT_PER_S, 0, 0..=1)]
fn a_message_takes_the_time_of_its_bytes_at_the_link_rate(
    #[case] rate: f64,
    #[case] bytes: usize,
    #[case] ms: std::ops::RangeInclusive<u128>,
) {
    let time = Uplink::new(rate).time_of(bytes);
    assert!(ms.contains(&time.as_millis()), "{time:?}");
}

#[test]
fn messages_queue_separately_in_each_direction() {
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

/// A normal second of a small VM, and an overloaded one: 67 requests with 13 KB on average use 0.7
/// of 10 Mbit/s, 120 use 1.25.
#[rstest]
#[case::normal(67, State::Free)]
#[case::overloaded(120, State::Busy)]
fn a_link_is_busy_when_it_gets_more_traffic_than_it_carries(
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
fn the_mean_size_follows_the_answers() {
    let mut size = Size::default();
    assert_eq!(size.bytes(), 0);
    size.record(90_000);
    assert_eq!(size.bytes(), 90_000);
    (0..50).for_each(|_| size.record(10_000));
    assert!((10_000..11_000).contains(&size.bytes()), "{size:?}");
}

/// A connection that the own link delayed doesn't pause an upstream.
#[test]
fn a_send_that_the_own_link_delayed_does_not_pause_an_upstream() {
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

/// A small VM whose link gets more traffic than it carries: 80 requests a second, of which every
/// eighth has answers of 110 KB. Large answers are shed, and the others find a link that isn't
/// full.
#[test]
fn a_full_link_sheds_large_answers_and_passes_small_ones() {
    const TARGET: Duration = Duration::from_millis(1_000);
    let (mut small, mut large) = (Size::default(), Size::default());
    small.record(3_000);
    large.record(110_000);
    let mut link = Uplink::new(SMALL_MBIT_PER_S);
    let (mut shed, mut served) = (0, 0);
    let mut longest = Duration::ZERO;
    for n in 0..800_u64 {
        let now = at(n * 1_000 / 80);
        let size = if n % 8 == 0 { large } else { small };
        match link.shed_delay(size, TARGET, now) {
            Some(wait) => {
                assert_eq!(size, large);
                assert!(wait >= Duration::from_millis(150));
                shed += 1;
            }
            None => {
                served += usize::from(size == large);
                link.send(size.bytes(), now);
                longest = longest.max(link.wait_out(now));
            }
        }
    }
    assert!(shed > 0 && served > 50, "{shed} and {served} of 100");
    assert!(longest < Duration::from_millis(300), "{longest:?}");
}

#[test]
fn a_fast_link_sheds_nothing() {
    let mut link = Uplink::new(1_000.0);
    let mut large = Size::default();
    large.record(540_000);
    for n in 0..100 {
        assert_eq!(
            link.shed_delay(large, Duration::from_millis(300), at(n * 10)),
            None
        );
        link.send(large.bytes(), at(n * 10));
    }
}
