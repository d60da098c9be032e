//! Each promise: a history that keeps it, and one that breaks it.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_platform_standin::framing::Keys;
use eelgrassrock_soak::ledger::{Asked, Ending, Ledger, Subject};
use eelgrassrock_soak::promise::Promise;
use http::StatusCode;
use rstest::rstest;
use tokio::time::{Instant, advance};

const ROUTER: usize = 0;
const TIMEOUT: Duration = Duration::from_millis(2_500);

fn keys(from: u16, to: u16, token: u64) -> Keys {
    Keys { from, to, token }
}

fn ask(ledger: &Ledger, id: &str, may_repeat: bool) {
    let asked = Asked {
        router: ROUTER,
        path: format!("/read/{id}").into(),
        may_repeat,
        max_attempts: 2,
        timeout: TIMEOUT,
    };
    ledger.ask(&Arc::from(id), asked);
}

fn run(ledger: &Ledger, id: &str, upstream: usize) {
    ledger.run(Some(id), &format!("/read/{id}"), upstream, "lookup", None);
}

fn answered(status: u16, id: &str, body: &str) -> Ending {
    Ending::Answered {
        status: StatusCode::from_u16(status).unwrap(),
        is_signed: status < 300,
        id: Some(id.to_owned()),
        body: body.as_bytes().to_vec(),
    }
}

fn broken(ledger: &Ledger) -> Vec<Promise> {
    let violations = ledger.violations();
    violations
        .iter()
        .map(|violation| violation.promise)
        .collect()
}

async fn pass(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_answered_breaks_nothing() {
    let ledger = Ledger::new();
    ledger.route("/read/", "lookup");
    ask(&ledger, "a", false);
    run(&ledger, "a", 1);
    ledger.ran(Some("a"), 1, b"done");
    ledger.answer("a", answered(200, "a", "done"));
    ledger.close();
    assert_eq!(broken(&ledger), []);
}

#[rstest]
#[case::another_id("b", "done")]
#[case::another_body("a", "something else")]
#[case::part_of_the_body("a", "do")]
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_not_the_callers_own_is_seen(#[case] id: &str, #[case] body: &str) {
    let ledger = Ledger::new();
    ask(&ledger, "a", true);
    run(&ledger, "a", 1);
    ledger.ran(Some("a"), 1, b"done");
    ledger.answer("a", answered(200, id, body));
    assert_eq!(broken(&ledger), [Promise::OwnAnswer]);
}

#[rstest]
#[case::may_repeat(true, &[])]
#[case::must_not(false, &[Promise::Once])]
#[tokio::test(start_paused = true)]
async fn a_second_run_is_seen(#[case] may_repeat: bool, #[case] expected: &[Promise]) {
    let ledger = Ledger::new();
    ask(&ledger, "a", may_repeat);
    run(&ledger, "a", 1);
    run(&ledger, "a", 2);
    assert_eq!(broken(&ledger), expected);
}

#[rstest]
#[case::ran_before(true)]
#[case::runs_later(false)]
#[tokio::test(start_paused = true)]
async fn a_false_refusal_is_seen(#[case] ran_before: bool) {
    let ledger = Ledger::new();
    ask(&ledger, "a", false);
    if ran_before {
        run(&ledger, "a", 1);
    }
    ledger.answer("a", answered(503, "a", ""));
    if !ran_before {
        run(&ledger, "a", 1);
    }
    assert_eq!(broken(&ledger), [Promise::Refusal]);
}

#[rstest]
#[case::nobody_sent_it("b", "/read/b")]
#[case::another_path("a", "/read/b")]
#[tokio::test(start_paused = true)]
async fn a_request_that_nobody_sent_is_seen(#[case] id: &str, #[case] path: &str) {
    let ledger = Ledger::new();
    ask(&ledger, "a", true);
    ledger.run(Some(id), path, 1, "lookup", None);
    assert_eq!(broken(&ledger), [Promise::Asked]);
}

#[tokio::test(start_paused = true)]
async fn a_service_that_no_configuration_names_is_seen() {
    let ledger = Ledger::new();
    ledger.route("/read/", "lookup");
    ask(&ledger, "a", true);
    ledger.run(Some("a"), "/read/a", 1, "issuer", None);
    assert_eq!(broken(&ledger), [Promise::Service]);
}

#[rstest]
#[case::in_time(1_500, false, &[])]
#[case::late(2_500, false, &[Promise::Configuration])]
#[case::late_without_the_store(2_500, true, &[])]
#[tokio::test(start_paused = true)]
async fn an_old_configuration_is_seen(
    #[case] after_ms: u64,
    #[case] store_is_down: bool,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    ledger.route("/read/", "lookup");
    if store_is_down {
        ledger.disturb(Subject::Store, Duration::from_secs(1));
    }
    pass(10).await;
    ledger.route("/read/", "lookup-next");
    pass(after_ms).await;
    ask(&ledger, "a", true);
    run(&ledger, "a", 1);
    assert_eq!(broken(&ledger), expected);
}

#[rstest]
#[case::in_time(1_900, &[])]
#[case::late(2_100, &[Promise::Drain])]
#[tokio::test(start_paused = true)]
async fn a_request_to_an_upstream_that_left_is_seen(
    #[case] after_ms: u64,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    ledger.leave(1);
    pass(after_ms).await;
    ask(&ledger, "a", true);
    ledger.arrive(Some("a"), 1);
    assert_eq!(broken(&ledger), expected);
}

#[rstest]
#[case::at_its_timeout(2_900, false, &[])]
#[case::late(3_100, false, &[Promise::InTime])]
#[case::late_while_the_router_was_paused(3_100, true, &[])]
#[tokio::test(start_paused = true)]
async fn a_late_answer_is_seen(
    #[case] after_ms: u64,
    #[case] is_paused: bool,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    ask(&ledger, "a", true);
    if is_paused {
        ledger.disturb(Subject::Router(ROUTER), Duration::from_secs(1));
    }
    pass(after_ms).await;
    ledger.answer("a", answered(504, "a", ""));
    assert_eq!(broken(&ledger), expected);
}

#[rstest]
#[case::told_to_stop(true, false, 100, &[Promise::GracefulStop])]
#[case::told_to_stop_late(true, false, 2_400, &[Promise::GracefulStop])]
#[case::its_time_is_over(true, false, 2_500, &[])]
#[case::not_told(false, false, 100, &[])]
#[case::killed_as_well(true, true, 100, &[])]
#[tokio::test(start_paused = true)]
async fn a_request_that_a_stop_loses_is_seen(
    #[case] is_told: bool,
    #[case] is_killed: bool,
    #[case] after_ms: u64,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    ask(&ledger, "a", false);
    if is_told {
        ledger.plan_stop(ROUTER, Duration::from_secs(6));
    }
    if is_killed {
        ledger.disturb(Subject::Router(ROUTER), Duration::ZERO);
    }
    run(&ledger, "a", 1);
    pass(after_ms).await;
    ledger.answer("a", Ending::Broken);
    assert_eq!(broken(&ledger), expected);
}

/// What an upstream says with its answers binds the router that got them.
#[rstest]
#[case::in_time(1_900, false, &[])]
#[case::too_late(2_100, false, &[Promise::Drain])]
#[case::by_a_router_that_was_killed(2_100, true, &[])]
#[tokio::test(start_paused = true)]
async fn a_request_to_an_upstream_that_said_that_it_leaves_is_seen(
    #[case] after_ms: u64,
    #[case] is_killed: bool,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    ask(&ledger, "a", true);
    ledger.arrive(Some("a"), 1);
    ledger.say_leaving(Some("a"), 1);
    if is_killed {
        ledger.disturb(Subject::Router(ROUTER), Duration::ZERO);
    }
    pass(after_ms).await;
    ask(&ledger, "b", true);
    ledger.arrive(Some("b"), 1);
    assert_eq!(broken(&ledger), expected);
}

/// Two requests may cross the refusal; those of its first half second don't count.
#[rstest]
#[case::two(600, 2, &[])]
#[case::three(600, 3, &[Promise::Pause])]
#[case::at_once(400, 5, &[])]
#[case::afterwards(1_500, 5, &[])]
#[tokio::test(start_paused = true)]
async fn requests_in_a_pause_are_seen(
    #[case] after_ms: u64,
    #[case] requests: usize,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    ask(&ledger, "a", true);
    ledger.defer(Some("a"), 1, Duration::from_millis(1_400));
    pass(after_ms).await;
    for n in 0..requests {
        let id = format!("b{n}");
        ask(&ledger, &id, true);
        ledger.arrive(Some(&id), 1);
    }
    assert_eq!(broken(&ledger), expected);
}

#[rstest]
#[case::the_first_let_go(true, 1_000, 2, false, &[])]
#[case::its_time_is_over(false, 3_100, 2, false, &[])]
#[case::it_holds_the_key(false, 1_000, 2, false, &[Promise::OneHolder])]
#[case::an_old_order_came_late(false, 1_000, 2, true, &[])]
#[case::the_token_is_not_higher(true, 1_000, 1, false, &[Promise::Token])]
#[tokio::test(start_paused = true)]
async fn two_holders_are_seen(
    #[case] lets_go: bool,
    #[case] after_ms: u64,
    #[case] token: u64,
    #[case] is_late: bool,
    #[case] expected: &[Promise],
) {
    let ledger = Ledger::new();
    let hold = Duration::from_secs(3);
    ledger.grant(1, keys(0, 99, 1), Instant::now() + hold, false);
    if lets_go {
        ledger.release(1, keys(0, 99, 1));
    }
    pass(after_ms).await;
    ledger.grant(2, keys(50, 60, token), Instant::now() + hold, is_late);
    ask(&ledger, "a", true);
    ledger.run(Some("a"), "/read/a", 2, "preview", Some(55));
    assert_eq!(broken(&ledger), expected);
}

#[rstest]
#[case::allowed(2, &[])]
#[case::too_many(3, &[Promise::Attempts])]
#[tokio::test(start_paused = true)]
async fn too_many_attempts_are_seen(#[case] upstreams: usize, #[case] expected: &[Promise]) {
    let ledger = Ledger::new();
    for id in ["a", "b", "c", "d"] {
        ask(&ledger, id, true);
        (0..upstreams).for_each(|upstream| run(&ledger, id, upstream));
    }
    ledger.close();
    assert_eq!(broken(&ledger), expected);
}
