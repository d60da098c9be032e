//! Routing of requests from the caller through the entry and home router to the upstream
//! that owns the key.

mod support;

use http::{Method, StatusCode};
use rstest::rstest;
use support::{Deployment, Size};

const SIZE: Size = Size {
    daemons: 3,
    upstreams: 3,
    checks_orders: true,
};

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn every_router_reaches_the_one_owner_of_a_key() {
    let deployment = Deployment::start(SIZE).await;
    for key in 0..16 {
        let path = format!("/sheets/key-{key}");
        let mut owners = Vec::new();
        for daemon in 0..SIZE.daemons {
            let answer = deployment.send(daemon, Method::GET, &path, &[], b"").await;
            assert_eq!(answer.status, StatusCode::OK);
            owners.push(answer.json()["upstream"].clone());
        }
        assert!(
            owners.windows(2).all(|pair| pair[0] == pair[1]),
            "{path}: {owners:?}"
        );
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_request_runs_once_and_gets_the_same_answer() {
    let deployment = Deployment::start(SIZE).await;
    let headers = [("idempotency-key", "issue-1")];
    let mut bodies = Vec::new();
    for daemon in 0..SIZE.daemons {
        let answer = deployment
            .send(
                daemon,
                Method::POST,
                "/sheets/key-1",
                &headers,
                b"revision 7",
            )
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        bodies.push(answer.body);
    }
    assert_eq!(deployment.runs("issue-1"), 1);
    assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]));
}

#[rstest]
#[case::no_credential(None, "/sheets/key-1", StatusCode::UNAUTHORIZED)]
#[case::unknown_partner(Some("Bearer nobody"), "/sheets/key-1", StatusCode::UNAUTHORIZED)]
#[case::unknown_path(
    Some("Bearer credential-of-brokers"),
    "/labels/1",
    StatusCode::NOT_FOUND
)]
#[case::no_key(
    Some("Bearer credential-of-brokers"),
    "/sheets",
    StatusCode::BAD_REQUEST
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_be_routed_is_refused(
    #[case] authorization: Option<&str>,
    #[case] path: &str,
    #[case] status: StatusCode,
) {
    let deployment = Deployment::start(Size {
        daemons: 1,
        upstreams: 1,
        ..SIZE
    })
    .await;
    let headers: Vec<_> = authorization
        .map(|value| ("authorization", value))
        .into_iter()
        .collect();
    let callers = deployment.callers(0);
    let answer = support::send_to(callers, Method::GET, path, &headers, b"")
        .await
        .unwrap();
    assert_eq!(answer.status, status);
    assert_eq!(answer.json()["outcome"], "not-run");
    assert_eq!(answer.headers["content-type"], "application/problem+json");
}
