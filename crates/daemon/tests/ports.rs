//! Access control and health checks on the ports for routers and operators.

mod support;

use std::time::Duration;

use eelgrassrock_daemon::Shutdown;
use http::{Method, StatusCode};
use rstest::rstest;
use support::{Deployment, SECRET, Size, send_to};
use tokio::time::{sleep, timeout};

const SIZE: Size = Size {
    daemons: 1,
    upstreams: 1,
    checks_orders: true,
};

#[rstest]
#[case::without(None)]
#[case::wrong(Some("0000"))]
#[case::the_secret_itself(Some(SECRET))]
#[tokio::test(flavor = "multi_thread")]
async fn the_router_port_requires_the_hop_token(#[case] token: Option<&str>) {
    let deployment = Deployment::start(SIZE).await;
    let mut headers = vec![
        ("eelgrassrock-partner", "brokers"),
        ("eelgrassrock-deadline-ms", "1000"),
    ];
    headers.extend(token.map(|token| ("eelgrassrock-hop", token)));
    let hops = deployment.hops(0);
    let answer = send_to(hops, Method::GET, "/sheets/key-1", &headers, b"").await;
    let answer = answer.expect("the port answers");
    assert_eq!(answer.status, StatusCode::FORBIDDEN);
    assert_eq!(answer.json()["outcome"], "not-run");
}

#[rstest]
#[case::without("/status", None, StatusCode::UNAUTHORIZED)]
#[case::wrong("/status", Some("Bearer wrong"), StatusCode::UNAUTHORIZED)]
#[case::unknown_path("/other", None, StatusCode::NOT_FOUND)]
#[case::live("/live", None, StatusCode::OK)]
#[case::ready("/ready", None, StatusCode::OK)]
#[tokio::test(flavor = "multi_thread")]
async fn the_admin_port_requires_the_secret_for_the_status(
    #[case] path: &str,
    #[case] authorization: Option<&str>,
    #[case] status: StatusCode,
) {
    let deployment = Deployment::start(SIZE).await;
    let headers: Vec<_> = authorization
        .map(|value| ("authorization", value))
        .into_iter()
        .collect();
    let answer = send_to(deployment.admin(0), Method::GET, path, &headers, b"").await;
    assert_eq!(answer.expect("the port answers").status, status);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_router_is_live_but_not_ready() {
    let mut deployment = Deployment::start(SIZE).await;
    let (callers, admin) = (deployment.callers(0), deployment.admin(0));
    let daemon = deployment.daemons[0].take().expect("the daemon runs");
    let authorization = format!("Bearer {}", support::CREDENTIAL);
    let headers = [("authorization", authorization.as_str())];
    let path = "/sheets/key-1?work_ms=1000";
    let request = send_to(callers, Method::GET, path, &headers, b"");
    let before = deployment.upstreams[0].runs().started;
    let watch = async {
        while deployment.upstreams[0].runs().started == before {
            sleep(Duration::from_millis(5)).await;
        }
        let stop = tokio::spawn(daemon.stop());
        loop {
            let ready = send_to(admin, Method::GET, "/ready", &[], b"").await;
            if ready.is_some_and(|ready| ready.status == StatusCode::SERVICE_UNAVAILABLE) {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        let live = send_to(admin, Method::GET, "/live", &[], b"").await;
        assert_eq!(live.expect("the port answers").status, StatusCode::OK);
        assert_eq!(stop.await.unwrap(), Shutdown::Graceful);
    };
    let both = async { tokio::join!(request, watch) };
    let (answer, ()) = timeout(support::WAIT_LIMIT, both).await.expect("it drains");
    assert_eq!(answer.expect("the answer is whole").status, StatusCode::OK);
}
