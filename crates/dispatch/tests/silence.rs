//! Routers that are taken for lost, and those that must not be.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::silence::{Silence, Step};
use eelgrassrock_model::time::Instant;
use rstest::rstest;

const NAME: &str = "router-1";
/// Time that a lost router is silent and asked until its row is removed.
const LOSS_TIME: Duration = Duration::from_secs(20);

/// Plays a router that runs except in a span, in seconds, and calls or only answers. Returns when its
/// row is removed.
fn play(away: std::ops::Range<u64>, calls: bool, incarnation: impl Fn(u64) -> u64) -> Option<u64> {
    let mut silence = Silence::default();
    for second in 0..120 {
        let now = Instant::from_millis(second * 1_000);
        let runs = !away.contains(&second);
        let name: Arc<str> = NAME.into();
        silence.update([(name, incarnation(second))].into_iter(), now);
        if runs && calls {
            silence.hear(NAME, now);
        }
        for step in silence.poll(now) {
            match step {
                Step::Ask(name) if runs => silence.hear(&name, now),
                Step::Ask(name) => silence.miss(&name),
                Step::Remove(_) => return Some(second),
            }
        }
    }
    None
}

/// Guards against rows of lost routers that stay for good.
#[rstest]
#[case::lost_at_its_start(0)]
#[case::lost_later(40)]
fn a_router_that_is_lost_for_good_is_removed(#[case] from: u64) {
    let removed = play(from..u64::MAX, true, |_| 1);
    assert_eq!(
        removed,
        Some(from + LOSS_TIME.as_secs() - u64::from(from > 0))
    );
}

/// Guards against a guess that is taken for a proof.
#[rstest]
#[case::frozen_or_cut_off(30..48, true)]
#[case::without_a_reason_to_call(0..0, false)]
#[case::cut_off_without_a_reason_to_call(30..36, false)]
fn a_router_that_comes_back_is_not_removed(
    #[case] away: std::ops::Range<u64>,
    #[case] calls: bool,
) {
    assert_eq!(play(away, calls, |_| 1), None);
}

/// Guards against the removal of the row that a new process has just written.
#[test]
fn a_new_row_of_a_silent_router_counts_as_heard() {
    let removed = play(30..u64::MAX, true, |second| second / 45);
    assert_eq!(removed, Some(45 + LOSS_TIME.as_secs()));
}
