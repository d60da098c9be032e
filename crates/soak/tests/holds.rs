//! The checker reports two holders of a key, and tokens that don't rise.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_platform_standin::framing::Keys;
use eelgrassrock_soak::checker::{Checker, RequestSpec, Subject};
use eelgrassrock_soak::guarantee::Guarantee;
use rstest::rstest;
use tokio::time::{Instant, advance};

const HOLD: Duration = Duration::from_secs(3);

fn grant(checker: &Checker, upstream: usize, token: u64, is_late: bool) {
    let keys = Keys {
        from: 0,
        to: 99,
        token,
    };
    checker.grant(upstream, keys, Instant::now() + HOLD, is_late);
}

fn release(checker: &Checker, upstream: usize, token: u64) {
    let keys = Keys {
        from: 0,
        to: 99,
        token,
    };
    checker.release(upstream, keys);
}

fn begin(checker: &Checker, upstream: usize, key: u16) {
    let spec = RequestSpec {
        router: 0,
        path: "/preview/a".into(),
        is_idempotent: true,
        max_attempts: 3,
        timeout: HOLD,
    };
    checker.send(&Arc::from("a"), spec);
    checker.start_run(Some("a"), "/preview/a", upstream, "preview", Some(key));
}

fn violated(checker: &Checker) -> Vec<Guarantee> {
    checker.close(1);
    let violations = checker.violations();
    violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

async fn advance_ms(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

/// A grant that is carried out late isn't excused if both upstreams begin requests.
#[rstest]
#[case::both_begin(true, 20, &[Guarantee::OneHolder])]
#[case::one_begins(false, 20, &[])]
#[case::the_first_ended(true, 3_100, &[])]
#[tokio::test(start_paused = true)]
async fn requests_at_the_holder_by_a_late_grant_and_another_are_reported(
    #[case] first_begins: bool,
    #[case] after_ms: u64,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    grant(&checker, 1, 1, false);
    grant(&checker, 2, 2, true);
    if first_begins {
        begin(&checker, 1, 55);
    }
    advance_ms(after_ms).await;
    begin(&checker, 2, 56);
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::higher(2, Duration::ZERO, Subject::Upstream(2), 400, &[])]
#[case::equal(1, Duration::ZERO, Subject::Upstream(2), 400, &[Guarantee::FencingToken])]
#[case::link_healed(1, Duration::ZERO, Subject::Upstream(2), 290, &[])]
#[case::router_thawed(1, Duration::ZERO, Subject::Process(0), 290, &[])]
#[case::another_link_healed(1, Duration::ZERO, Subject::Upstream(1), 290, &[Guarantee::FencingToken])]
#[case::store_back(1, Duration::ZERO, Subject::Store, 290, &[Guarantee::FencingToken])]
#[case::its_time_is_over(1, HOLD, Subject::Store, 290, &[])]
#[tokio::test(start_paused = true)]
async fn a_late_grant_to_another_life_needs_a_higher_token(
    #[case] token: u64,
    #[case] late: Duration,
    #[case] resumed: Subject,
    #[case] after_ms: u64,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    grant(&checker, 1, 1, false);
    checker.end(1);
    checker.resume(resumed);
    advance_ms(after_ms).await;
    let keys = Keys {
        from: 50,
        to: 60,
        token,
    };
    checker.grant(2, keys, Instant::now() + HOLD - late, true);
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::short(false, 490, &[])]
#[case::long(false, 510, &[Guarantee::OneHolder])]
#[case::by_a_late_grant(true, 510, &[])]
#[tokio::test(start_paused = true)]
async fn two_that_hold_keys_for_half_a_second_without_requests_are_reported(
    #[case] is_late: bool,
    #[case] for_ms: u64,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    grant(&checker, 1, 1, false);
    grant(&checker, 2, 2, is_late);
    advance_ms(for_ms).await;
    release(&checker, 1, 1);
    advance_ms(1_000).await;
    assert_eq!(violated(&checker), expected);
}

#[tokio::test(start_paused = true)]
async fn two_that_hold_keys_until_the_first_hold_expires_are_reported() {
    let checker = Checker::new();
    grant(&checker, 1, 1, false);
    advance_ms(2_000).await;
    grant(&checker, 2, 2, false);
    advance_ms(2_000).await;
    grant(&checker, 2, 2, false);
    assert_eq!(violated(&checker), [Guarantee::OneHolder]);
}

#[rstest]
#[case::at_work(false, 100, &[Guarantee::OneHolder])]
#[case::done(true, 100, &[])]
#[case::the_hold_would_have_expired(false, 3_100, &[])]
#[tokio::test(start_paused = true)]
async fn a_grant_of_a_released_key_with_work_is_reported(
    #[case] is_done: bool,
    #[case] after_ms: u64,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    grant(&checker, 1, 1, false);
    begin(&checker, 1, 55);
    release(&checker, 1, 1);
    if is_done {
        checker.end_work(1, 55);
    }
    advance_ms(after_ms).await;
    grant(&checker, 2, 2, false);
    checker.end_work(1, 55);
    assert_eq!(violated(&checker), expected);
}

#[tokio::test(start_paused = true)]
async fn a_release_with_a_lower_token_ends_the_hold() {
    let checker = Checker::new();
    grant(&checker, 1, 2, false);
    release(&checker, 1, 1);
    grant(&checker, 2, 3, false);
    begin(&checker, 2, 55);
    advance_ms(1_000).await;
    assert_eq!(violated(&checker), []);
}

#[tokio::test(start_paused = true)]
async fn a_renewal_that_was_held_up_does_not_excuse_the_grant_before_it() {
    let checker = Checker::new();
    grant(&checker, 1, 1, false);
    checker.resume(Subject::Upstream(1));
    grant(&checker, 1, 1, false);
    grant(&checker, 2, 2, false);
    begin(&checker, 2, 55);
    assert_eq!(violated(&checker), [Guarantee::OneHolder]);
}
