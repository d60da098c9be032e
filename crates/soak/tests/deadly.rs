//! The checker reports requests that end upstreams again and again, and others that are refused
//! in their place.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_soak::checker::{Checker, Ending, RequestSpec, Subject};
use eelgrassrock_soak::guarantee::Guarantee;
use http::StatusCode;
use rstest::rstest;
use tokio::time::advance;

const ROUTER: usize = 0;
const DEADLY_PATH: &str = "/read/deadly";

fn send(checker: &Checker, id: &str, path: &str) {
    let spec = RequestSpec {
        router: ROUTER,
        path: path.into(),
        is_idempotent: true,
        max_attempts: 3,
        timeout: Duration::from_millis(2_500),
    };
    checker.send(&Arc::from(id), spec);
}

fn violated(checker: &Checker) -> Vec<Guarantee> {
    let violations = checker.violations();
    violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

#[rstest]
#[case::three_retries(3, 3, 3_100, None, &[])]
#[case::four_retries(3, 4, 3_100, None, &[Guarantee::Quarantine])]
#[case::before_routers_must_know(3, 4, 2_900, None, &[])]
#[case::two_ended(2, 4, 3_100, None, &[])]
#[case::by_a_router_that_was_cut_off(3, 4, 3_100, Some(Subject::Router(ROUTER)), &[])]
#[case::by_a_router_that_was_killed(3, 4, 3_100, Some(Subject::Process(ROUTER)), &[])]
#[case::without_the_store(3, 4, 3_100, Some(Subject::Store), &[])]
#[case::after_connections_were_reset(3, 4, 3_100, Some(Subject::Connections), &[])]
#[case::another_router_was_killed(3, 4, 3_100, Some(Subject::Process(1)), &[Guarantee::Quarantine])]
#[tokio::test(start_paused = true)]
async fn a_request_that_ended_three_upstreams_reaches_at_most_three_more(
    #[case] ended: usize,
    #[case] retries: usize,
    #[case] after_ms: u64,
    #[case] disturbed: Option<Subject>,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    for upstream in 0..ended {
        checker.crash(DEADLY_PATH, upstream);
    }
    advance(Duration::from_millis(after_ms)).await;
    if let Some(subject) = disturbed {
        checker.disturb(subject, Duration::ZERO);
    }
    for n in 0..retries {
        let id = format!("a{n}");
        send(&checker, &id, DEADLY_PATH);
        checker.arrive(Some(&id), 10 + n);
    }
    assert_eq!(violated(&checker), expected);
}

#[tokio::test(start_paused = true)]
async fn requests_that_end_an_upstream_together_count_once() {
    let checker = Checker::new();
    for upstream in [0, 1, 1, 1] {
        checker.crash(DEADLY_PATH, upstream);
    }
    advance(Duration::from_millis(3_100)).await;
    for n in 0..4 {
        let id = format!("a{n}");
        send(&checker, &id, DEADLY_PATH);
        checker.arrive(Some(&id), 10);
    }
    assert_eq!(violated(&checker), []);
}

#[rstest]
#[case::the_one_that_ends_upstreams(DEADLY_PATH, "quarantined", &[])]
#[case::another("/read/a", "quarantined", &[Guarantee::Quarantine])]
#[case::another_for_another_reason("/read/a", "no upstream", &[])]
#[tokio::test(start_paused = true)]
async fn a_request_that_is_refused_in_place_of_another_is_reported(
    #[case] path: &str,
    #[case] reason: &str,
    #[case] expected: &[Guarantee],
) {
    let checker = Checker::new();
    send(&checker, "a", path);
    let refusal = Ending::Answered {
        status: StatusCode::SERVICE_UNAVAILABLE,
        is_signed: false,
        id: Some("a".to_owned()),
        body: reason.as_bytes().to_vec(),
    };
    checker.answer("a", refusal);
    assert_eq!(violated(&checker), expected);
}
