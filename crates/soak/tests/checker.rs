//! For each guarantee, the checker accepts observations that keep it and reports those
//! that violate it.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_platform_standin::framing::Keys;
use eelgrassrock_soak::checker::{Checker, Ending, RequestSpec, Subject};
use eelgrassrock_soak::guarantee::Guarantee;
use http::StatusCode;
use rstest::rstest;
use tokio::time::{Instant, advance};

const ROUTER: usize = 0;
const TIMEOUT: Duration = Duration::from_millis(2_500);

fn keys(from: u16, to: u16, token: u64) -> Keys {
    Keys { from, to, token }
}

fn send(checker: &Checker, id: &str, is_idempotent: bool) {
    let spec = RequestSpec {
        router: ROUTER,
        path: format!("/read/{id}").into(),
        is_idempotent,
        max_attempts: 2,
        timeout: TIMEOUT,
    };
    checker.send(&Arc::from(id), spec);
}

fn run(checker: &Checker, id: &str, upstream: usize) {
    checker.start_run(Some(id), &format!("/read/{id}"), upstream, "lookup", None);
}

fn answered(status: u16, id: &str, body: &str) -> Ending {
    Ending::Answered {
        status: StatusCode::from_u16(status).unwrap(),
        is_signed: status < 300,
        id: Some(id.to_owned()),
        body: body.as_bytes().to_vec(),
    }
}

fn violated(checker: &Checker) -> Vec<Guarantee> {
    let violations = checker.violations();
    violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

async fn advance_ms(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn an_answered_request_violates_nothing() {
    let checker = Checker::new();
    checker.route("/read/", "lookup");
    send(&checker, "a", false);
    run(&checker, "a", 1);
    checker.end_run(Some("a"), 1, b"done");
    checker.answer("a", answered(200, "a", "done"));
    checker.close(1);
    assert_eq!(violated(&checker), []);
}

#[rstest]
#[case::another_id("b", "done")]
#[case::another_body("a", "something else")]
#[case::part_of_the_body("a", "do")]
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_not_the_callers_own_is_reported(#[case] id: &str, #[case] body: &str) {
    let checker = Checker::new();
    send(&checker, "a", true);
    run(&checker, "a", 1);
    checker.end_run(Some("a"), 1, b"done");
    checker.answer("a", answered(200, id, body));
    assert_eq!(violated(&checker), [Guarantee::OwnAnswer]);
}

#[rstest]
#[case::idempotent(true, &[])]
#[case::not_idempotent(false, &[Guarantee::AtMostOnce])]
#[tokio::test(start_paused = true)]
async fn a_second_run_is_reported(#[case] is_idempotent: bool, #[case] expected: &[Guarantee]) {
    let checker = Checker::new();
    send(&checker, "a", is_idempotent);
    run(&checker, "a", 1);
    run(&checker, "a", 2);
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::ran_before(true)]
#[case::runs_later(false)]
#[tokio::test(start_paused = true)]
async fn a_false_refusal_is_reported(#[case] ran_before: bool) {
    let checker = Checker::new();
    send(&checker, "a", false);
    if ran_before {
        run(&checker, "a", 1);
    }
    checker.answer("a", answered(503, "a", ""));
    if !ran_before {
        run(&checker, "a", 1);
    }
    assert_eq!(violated(&checker), [Guarantee::TrueRefusal]);
}

#[rstest]
#[case::nobody_sent_it("b", "/read/b")]
#[case::another_path("a", "/read/b")]
#[tokio::test(start_paused = true)]
async fn a_request_that_nobody_sent_is_reported(#[case] id: &str, #[case] path: &str) {
    let checker = Checker::new();
    send(&checker, "a", true);
    checker.start_run(Some(id), path, 1, "lookup", None);
    assert_eq!(violated(&checker), [Guarantee::OnlySent]);
}

#[tokio::test(start_paused = true)]
async fn a_service_that_no_configuration_names_is_reported() {
    let checker = Checker::new();
    checker.route("/read/", "lookup");
    send(&checker, "a", true);
    checker.start_run(Some("a"), "/read/a", 1, "issuer", None);
    assert_eq!(violated(&checker), [Guarantee::Service]);
}

#[rstest]
#[case::in_time(1_500, false, &[])]
#[case::late(2_500, false, &[Guarantee::Configuration])]
#[case::late_without_the_store(2_500, true, &[])]
#[tokio::test(start_paused = true)]
async fn an_old_configuration_is_reported(
    #[case] after_ms: u64,
    #[case] store_is_down: bool,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    checker.route("/read/", "lookup");
    if store_is_down {
        checker.disturb(Subject::Store, Duration::from_secs(1));
    }
    advance_ms(10).await;
    checker.route("/read/", "lookup-next");
    advance_ms(after_ms).await;
    send(&checker, "a", true);
    run(&checker, "a", 1);
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::in_time(1_900, &[])]
#[case::late(2_100, &[Guarantee::Drain])]
#[tokio::test(start_paused = true)]
async fn a_request_to_an_upstream_that_left_is_reported(
    #[case] after_ms: u64,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    checker.leave(1);
    advance_ms(after_ms).await;
    send(&checker, "a", true);
    checker.arrive(Some("a"), 1);
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::at_its_timeout(2_900, false, &[])]
#[case::late(3_100, false, &[Guarantee::InTime])]
#[case::late_while_the_router_was_paused(3_100, true, &[])]
#[tokio::test(start_paused = true)]
async fn a_late_answer_is_reported(
    #[case] after_ms: u64,
    #[case] is_paused: bool,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    send(&checker, "a", true);
    if is_paused {
        checker.disturb(Subject::Router(ROUTER), Duration::from_secs(1));
    }
    advance_ms(after_ms).await;
    checker.answer("a", answered(504, "a", ""));
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::told_to_stop(true, false, 100, &[Guarantee::GracefulStop])]
#[case::told_to_stop_late(true, false, 2_400, &[Guarantee::GracefulStop])]
#[case::after_its_deadline(true, false, 2_500, &[])]
#[case::not_told(false, false, 100, &[])]
#[case::killed_as_well(true, true, 100, &[])]
#[tokio::test(start_paused = true)]
async fn a_request_that_a_stop_loses_is_reported(
    #[case] is_told: bool,
    #[case] is_killed: bool,
    #[case] after_ms: u64,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    send(&checker, "a", false);
    if is_told {
        checker.plan_stop(ROUTER, Duration::from_secs(6));
    }
    if is_killed {
        checker.disturb(Subject::Router(ROUTER), Duration::ZERO);
    }
    run(&checker, "a", 1);
    advance_ms(after_ms).await;
    checker.answer("a", Ending::Broken);
    assert_eq!(violated(&checker), expected);
}

/// An upstream's announcement in an answer binds the router that received the answer.
#[rstest]
#[case::in_time(1_900, false, &[])]
#[case::too_late(2_100, false, &[Guarantee::Drain])]
#[case::by_a_router_that_was_killed(2_100, true, &[])]
#[tokio::test(start_paused = true)]
async fn a_request_to_an_upstream_that_announced_that_it_leaves_is_reported(
    #[case] after_ms: u64,
    #[case] is_killed: bool,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    send(&checker, "a", true);
    checker.arrive(Some("a"), 1);
    checker.announce_leaving(Some("a"), 1);
    if is_killed {
        checker.disturb(Subject::Router(ROUTER), Duration::ZERO);
    }
    advance_ms(after_ms).await;
    send(&checker, "b", true);
    checker.arrive(Some("b"), 1);
    assert_eq!(violated(&checker), expected);
}

/// Two requests may cross the request for a pause. Those that arrive in the first half
/// second after it don't count.
#[rstest]
#[case::two(600, 2, &[])]
#[case::three(600, 3, &[Guarantee::Pause])]
#[case::at_once(400, 5, &[])]
#[case::afterwards(1_500, 5, &[])]
#[tokio::test(start_paused = true)]
async fn requests_in_a_pause_are_reported(
    #[case] after_ms: u64,
    #[case] requests: usize,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    send(&checker, "a", true);
    checker.defer(Some("a"), 1, Duration::from_millis(1_400));
    advance_ms(after_ms).await;
    for n in 0..requests {
        let id = format!("b{n}");
        send(&checker, &id, true);
        checker.arrive(Some(&id), 1);
    }
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::the_first_released(true, 1_000, 2, false, &[])]
#[case::after_the_grant_expired(false, 3_100, 2, false, &[])]
#[case::the_first_holds_the_key(false, 1_000, 2, false, &[Guarantee::OneHolder])]
#[case::an_old_order_came_late(false, 1_000, 2, true, &[])]
#[case::the_token_is_not_higher(true, 1_000, 1, false, &[Guarantee::FencingToken])]
#[tokio::test(start_paused = true)]
async fn two_holders_are_reported(
    #[case] is_released: bool,
    #[case] after_ms: u64,
    #[case] token: u64,
    #[case] is_late: bool,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    let hold = Duration::from_secs(3);
    checker.grant(1, keys(0, 99, 1), Instant::now() + hold, false);
    if is_released {
        checker.release(1, keys(0, 99, 1));
    }
    advance_ms(after_ms).await;
    checker.grant(2, keys(50, 60, token), Instant::now() + hold, is_late);
    send(&checker, "a", true);
    checker.start_run(Some("a"), "/read/a", 2, "preview", Some(55));
    assert_eq!(violated(&checker), expected);
}

#[rstest]
#[case::allowed(2, &[])]
#[case::too_many(3, &[Guarantee::Attempts])]
#[tokio::test(start_paused = true)]
async fn too_many_attempts_are_reported(#[case] upstreams: usize, #[case] expected: &[Guarantee]) {
    let checker = Checker::new();
    for id in ["a", "b", "c", "d"] {
        send(&checker, id, true);
        (0..upstreams).for_each(|upstream| run(&checker, id, upstream));
    }
    checker.close(1);
    assert_eq!(violated(&checker), expected);
}

/// An upstream names a limit of 2 requests a second, so 17 in 4 s are allowed.
#[rstest]
#[case::within(17, false, Subject::Store, &[])]
#[case::beyond(18, false, Subject::Store, &[Guarantee::Limit])]
#[case::after_its_end(18, true, Subject::Store, &[])]
#[case::routers_cannot_reach_each_other(18, false, Subject::Router(ROUTER), &[Guarantee::Limit])]
#[case::router_paused(18, false, Subject::Process(ROUTER), &[])]
#[case::upstream_paused(18, false, Subject::Upstream(1), &[])]
#[tokio::test(start_paused = true)]
async fn a_limit_bounds_the_requests_that_arrive_from_routers_that_were_told(
    #[case] requests: usize,
    #[case] is_over: bool,
    #[case] disturbed: Subject,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    send(&checker, "a", true);
    checker.limit(Some("a"), 1, 2.0);
    advance_ms(3_000).await;
    checker.disturb(disturbed, Duration::from_millis(100));
    if is_over {
        checker.lift_limit(1);
    }
    for _ in 0..requests {
        checker.arrive(Some("a"), 1);
        advance_ms(50).await;
    }
    assert_eq!(violated(&checker), expected);
}

#[tokio::test(start_paused = true)]
async fn a_limit_is_not_checked_until_routers_had_time_to_keep_to_it() {
    let checker = Checker::new();
    send(&checker, "a", true);
    checker.limit(Some("a"), 1, 2.0);
    for _ in 0..40 {
        checker.arrive(Some("a"), 1);
        advance_ms(50).await;
    }
    assert_eq!(violated(&checker), []);
    advance_ms(1_000).await;
    checker.arrive(Some("a"), 1);
    assert_eq!(violated(&checker), [Guarantee::Limit]);
}

#[rstest]
#[case::within_the_bound(1, 2_000, false)]
#[case::after_the_bound(1, 3_000, true)]
#[case::in_another_data_centre(2, 3_000, false)]
#[tokio::test(start_paused = true)]
async fn an_evacuated_upstream_runs_nothing_after_the_bound(
    #[case] upstream: usize,
    #[case] wait_ms: u64,
    #[case] is_violated: bool,
) {
    let checker = Checker::new();
    checker.route("/read/", "lookup");
    checker.place(1, 0);
    checker.place(2, 1);
    checker.evacuate(0);
    advance_ms(wait_ms).await;
    send(&checker, "a", true);
    run(&checker, "a", upstream);
    let violated_before = violated(&checker);
    assert_eq!(
        violated_before.contains(&Guarantee::Evacuation),
        is_violated
    );
    assert!(checker.take_back(0));
    send(&checker, "b", true);
    run(&checker, "b", upstream);
    assert_eq!(violated(&checker), violated_before, "taken back");
}
