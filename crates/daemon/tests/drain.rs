//! Graceful stop of a router process under load: no request is cut off.

mod process;
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::table::Faults;
use http::StatusCode;
use process::{Fleet, KEYS, Plan, Process, Signal, until};
use rstest::rstest;
use support::Answer;
use tokio::task::JoinSet;

const PLAN: Plan = Plan {
    daemons: 3,
    upstreams: 3,
    checks_orders: true,
    authority_ms: 2_000,
};

/// Time for which a request keeps a slot busy, in milliseconds. It exceeds the duration of
/// a drain without requests, so that the drain has to wait for them.
const WORK_MS: u64 = 1_500;

/// Number of requests in flight when the router is stopped: the number of slots of all
/// upstreams.
const IN_FLIGHT: usize = 6;

/// Returns the number of requests that are queued or running at all routers.
async fn in_flight(fleet: &Fleet) -> u64 {
    let mut count = 0;
    for daemon in 0..PLAN.daemons {
        let status = fleet.status(daemon).await;
        let requests = status.and_then(|status| status["requests"]["requests"].as_u64());
        count += requests.unwrap_or(0);
    }
    count
}

fn assert_whole(answer: Option<&Answer>, path: &str) {
    let answer = answer.unwrap_or_else(|| panic!("{path} was cut off"));
    assert_eq!(answer.status, StatusCode::OK, "{path}: {answer:?}");
    assert_eq!(answer.json()["path"], path);
}

/// Reads one key after another through a router until `stop` is set, and returns the number
/// of reads. Fails on the first read that isn't answered completely.
async fn read_until_stopped(fleet: Arc<Fleet>, daemon: usize, stop: Arc<AtomicBool>) -> usize {
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        let path = format!("/sheets/key-{}", count % KEYS);
        let answer = fleet.read(daemon, &path).await;
        assert_whole(answer.as_ref(), &path);
        count += 1;
    }
    count
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_under_load_cuts_off_no_request() {
    const STOPPED: usize = 0;
    let mut fleet = Fleet::start(PLAN).await;
    let mut stopped: Process = fleet.daemons.remove(STOPPED);
    let fleet = Arc::new(fleet);

    let mut slow = JoinSet::new();
    for index in 0..IN_FLIGHT {
        let fleet = fleet.clone();
        slow.spawn(async move {
            let path = format!("/sheets/key-{index}");
            let answer = fleet
                .read(STOPPED, &format!("{path}?work_ms={WORK_MS}"))
                .await;
            assert_whole(answer.as_ref(), &path);
        });
    }
    until("all requests are in flight", async || {
        (in_flight(&fleet).await == IN_FLIGHT as u64).then_some(())
    })
    .await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut others = JoinSet::new();
    for daemon in [1, 2] {
        others.spawn(read_until_stopped(fleet.clone(), daemon, stop.clone()));
    }

    stopped.signal(Signal::Terminate);
    while let Some(result) = slow.join_next().await {
        result.expect("the request gets a complete answer");
    }
    let status = stopped.wait().await;
    assert!(status.success(), "{status}");
    stop.store(true, Ordering::SeqCst);
    while let Some(result) = others.join_next().await {
        let count = result.expect("the other routers continue to serve");
        assert!(count > 0);
    }
    for daemon in [1, 2] {
        fleet.until_served(daemon).await;
    }
    fleet.assert_exclusive_ownership().await;
}

/// A graceful stop hands over the homes, so that no grant lapses, even during a table outage.
#[rstest]
#[case::store_works(Outage::None)]
#[case::store_is_down(Outage::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn no_grant_lapses_while_routers_stop_one_by_one(#[case] outage: Outage) {
    let mut fleet = Fleet::start(Plan {
        authority_ms: 60_000,
        ..PLAN
    })
    .await;
    fleet.table.set_faults(Faults {
        outage,
        ..Faults::default()
    });
    let mut before = Vec::new();
    for upstream in &fleet.upstreams {
        before.push(upstream.state().await.expect("it answers"));
    }
    for index in [0, 1] {
        let mut stopped = fleet.daemons.remove(0);
        stopped.signal(Signal::Terminate);
        let status = stopped.wait().await;
        assert!(status.success(), "router-{index}: {status}");
        fleet.until_served(PLAN.daemons - 1).await;
    }
    for (upstream, before) in fleet.upstreams.iter().zip(&before) {
        let after = upstream.state().await.expect("it answers");
        assert_eq!(after.shards, before.shards, "{}", upstream.name);
        let gaps = upstream.gaps().await;
        assert!(gaps.is_empty(), "{} lapsed: {gaps:?}", upstream.name);
    }
    fleet.assert_exclusive_ownership().await;
}
