//! Recovery after the failure of an upstream, a table outage and the stop of a router.

mod support;

use std::time::Duration;

use eelgrassrock_daemon::Shutdown;
use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::table::Faults;
use eelgrassrock_standin::upstream;
use http::{Method, StatusCode};
use rstest::rstest;
use support::{Deployment, Size};
use tokio::time::{Instant, sleep};

const SIZE: Size = Size {
    daemons: 3,
    upstreams: 3,
    checks_orders: true,
};

#[rstest]
#[case::checking(true)]
#[case::not_checking(false)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_failed_upstream_are_served_by_another(#[case] checks_orders: bool) {
    let mut deployment = Deployment::start(Size {
        checks_orders,
        ..SIZE
    })
    .await;
    let answer = deployment
        .send(0, Method::GET, "/sheets/key-1", &[], b"")
        .await;
    let lost = answer.json()["upstream"].clone();
    let index = (0..SIZE.upstreams).find(|index| lost == format!("sheets-{index}"));
    drop(
        deployment
            .upstreams
            .remove(index.expect("the owner is one of the upstreams")),
    );
    let answer = deployment.until_read(1, "/sheets/key-1").await;
    assert_ne!(answer.json()["upstream"], lost);
    deployment.until_served().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn reads_succeed_during_a_table_outage_of_many_leases(
    #[values(Outage::Refuse, Outage::Hang, Outage::Close)] outage: Outage,
) {
    let deployment = Deployment::start(SIZE).await;
    deployment.table.set_faults(Faults {
        outage,
        ..Faults::default()
    });
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        for key in 0..8 {
            let path = format!("/sheets/key-{key}");
            let answer = deployment.send(key % 3, Method::GET, &path, &[], b"").await;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        }
        sleep(Duration::from_millis(10)).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_router_cuts_off_no_request() {
    let mut deployment = Deployment::start(SIZE).await;
    let mut requests = Vec::new();
    let deployment_ref = &deployment;
    for key in 0..6 {
        let path = format!("/sheets/key-{key}?work_ms=800");
        let callers = deployment_ref.callers(0);
        requests.push(tokio::spawn(async move {
            let authorization = format!("Bearer {}", support::CREDENTIAL);
            let headers = [("authorization", authorization.as_str())];
            support::send_to(callers, Method::GET, &path, &headers, b"").await
        }));
    }
    sleep(Duration::from_millis(200)).await;
    let daemon = deployment.daemons[0].take().expect("the daemon runs");
    assert_eq!(daemon.stop().await, Shutdown::Graceful);
    for request in requests {
        let answer = request.await.unwrap().expect("the answer is whole");
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    for key in 0..8 {
        deployment
            .until_read(1, &format!("/sheets/key-{key}"))
            .await;
    }
}

/// The upstream freezes for 60 s while a read with a deadline of 10 s runs, so only the next
/// owner can answer it in time.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_read_in_flight_at_a_frozen_upstream_is_served_by_the_next_owner() {
    let deployment = Deployment::start(SIZE).await;
    let answer = deployment
        .send(0, Method::GET, "/sheets/key-1", &[], b"")
        .await;
    let frozen = answer.json()["upstream"].clone();
    let index = (0..SIZE.upstreams).find(|index| frozen == format!("sheets-{index}"));
    let server = &deployment.upstreams[index.expect("the owner is one of the upstreams")];
    let path = "/sheets/key-1?work_ms=400";
    let read = deployment.send(0, Method::GET, path, &[], b"");
    let freeze = async {
        while server.runs().started < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        server.set_faults(upstream::Faults {
            freeze_ms: 60_000,
            ..upstream::Faults::default()
        });
    };
    let (answer, ()) = tokio::join!(read, freeze);
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_ne!(answer.json()["upstream"], frozen);
}
