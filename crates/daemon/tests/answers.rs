//! Responses match their requests and are complete, or are reported as errors.

mod support;

use std::sync::Arc;

use http::{Method, StatusCode};
use rstest::rstest;
use support::{Answer, Deployment, Size};
use tokio::task::JoinSet;

const SIZE: Size = Size {
    daemons: 2,
    upstreams: 2,
    checks_orders: true,
};

const DAMAGES: [&str; 7] = [
    "none", "close", "short", "garbage", "twice", "lost", "other",
];

const ANSWER_BYTES: usize = 200_000;

/// Asserts that a response has the identifier of its request, and that it is complete and
/// belongs to this request if its status is 200.
fn assert_matches_request(answer: &Answer, request_id: &str, bytes: usize) {
    assert_eq!(answer.headers["eelgrassrock-request-id"], request_id);
    if answer.status != StatusCode::OK {
        return;
    }
    let text = std::str::from_utf8(&answer.body).unwrap();
    let (head, padding) = text.split_once('\n').unwrap();
    let head: serde_json::Value = serde_json::from_str(head).unwrap();
    assert_eq!(head["request_id"], request_id);
    assert!(text.len() >= bytes, "{request_id}: {} bytes", text.len());
    let mut lines: Vec<&str> = padding.lines().collect();
    // The last line may be cut off at the requested size.
    let last = lines.pop().unwrap_or_default();
    assert!(request_id.starts_with(last), "{request_id} got {last}");
    assert!(
        lines.iter().all(|line| *line == request_id),
        "{request_id} got the body of another request"
    );
}

async fn read(deployment: &Deployment, daemon: usize, path: &str, id: &str) -> Option<Answer> {
    let headers = [("eelgrassrock-request-id", id)];
    deployment
        .try_send(daemon, Method::GET, path, &headers, b"")
        .await
}

/// Damaged and complete answers alternate on the connections to the upstreams. If a
/// connection were reused after a damaged answer, the rest of that answer would be read as
/// the answer to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_foreign_answers_are_never_delivered() {
    const CALLERS: usize = 8;
    const ROUNDS: usize = 30;
    let deployment = Arc::new(Deployment::start(SIZE).await);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let deployment = deployment.clone();
        callers.spawn(async move {
            let mut whole = 0;
            for round in 0..ROUNDS {
                let damage = DAMAGES[(caller + round) % DAMAGES.len()];
                let bytes = if round % 3 == 0 { ANSWER_BYTES } else { 0 };
                let id = format!("caller-{caller}-round-{round}");
                let path = format!("/sheets/key-{caller}?damage={damage}&bytes={bytes}");
                let answer = read(&deployment, caller % SIZE.daemons, &path, &id).await;
                if let Some(answer) = answer {
                    assert_matches_request(&answer, &id, bytes);
                    whole += usize::from(answer.status == StatusCode::OK);
                }
            }
            whole
        });
    }
    let mut whole = 0;
    while let Some(result) = callers.join_next().await {
        whole += result.unwrap();
    }
    assert!(whole > 0, "no request got a complete answer");
    deployment.until_served().await;
}

#[rstest]
#[case::broken_off("close")]
#[case::too_short("short")]
#[case::not_http("garbage")]
#[case::lost("lost")]
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_answer_is_reported_as_an_error(
    #[case] damage: &str,
    #[values(0, ANSWER_BYTES)] bytes: usize,
) {
    let deployment = Deployment::start(SIZE).await;
    for daemon in 0..SIZE.daemons {
        let path = format!("/sheets/key-1?damage={damage}&bytes={bytes}");
        let answer = read(&deployment, daemon, &path, "one").await;
        if let Some(answer) = answer {
            assert!(answer.status.is_server_error(), "{answer:?}");
            assert_eq!(answer.json()["outcome"], "unknown");
        }
    }
}

/// The upstream sends the answer to the previous request, with the identifier of that one.
/// The router may repeat the read, but must not relay the other answer.
#[tokio::test(flavor = "multi_thread")]
async fn the_answer_to_another_request_is_not_relayed() {
    let deployment = Deployment::start(SIZE).await;
    for round in 0..10 {
        let path = format!("/sheets/key-{round}");
        let first = read(&deployment, 0, &path, "first").await.unwrap();
        assert_matches_request(&first, "first", 0);
        let path = format!("{path}?damage=other");
        if let Some(second) = read(&deployment, 1, &path, "second").await {
            assert_matches_request(&second, "second", 0);
        }
    }
}

/// The request ran although its answer was damaged, so the router must not send it again.
#[rstest]
#[case::broken_off("close")]
#[case::too_short("short")]
#[case::not_http("garbage")]
#[case::lost("lost")]
#[case::twice("twice")]
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_with_a_damaged_answer_runs_only_once(#[case] damage: &str) {
    let deployment = Deployment::start(SIZE).await;
    let path = format!("/sheets/key-1?damage={damage}");
    let headers = [("idempotency-key", "issue-1")];
    for daemon in [0, 1, 0, 1] {
        let answer = deployment
            .try_send(daemon, Method::POST, &path, &headers, b"sheet")
            .await;
        if let Some(answer) = answer.filter(|answer| !answer.status.is_success()) {
            assert_ne!(answer.json()["outcome"], "not-run", "{answer:?}");
        }
    }
    assert_eq!(deployment.runs("issue-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_through_any_router_get_the_recorded_answer() {
    let deployment = Deployment::start(SIZE).await;
    let headers = [("idempotency-key", "issue-1")];
    let mut counts = Vec::new();
    for daemon in [0, 1, 1, 0] {
        let answer = deployment
            .send(daemon, Method::POST, "/sheets/key-1", &headers, b"sheet")
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        counts.push(answer.json()["count"].clone());
    }
    assert!(
        counts.windows(2).all(|pair| pair[0] == pair[1]),
        "{counts:?}"
    );
    assert_eq!(deployment.runs("issue-1"), 1);

    let other = deployment
        .send(0, Method::POST, "/sheets/key-1", &headers, b"another sheet")
        .await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(deployment.runs("issue-1"), 1);
}
