//! Upstreams that leave without a report: their entries are removed, and they serve on for a while.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_edge::platform::Table;
use rstest::rstest;
use support::platform::Store;
use support::upstream::Server;
use support::{Router, get, serving};
use tokio::time::sleep;

const OUTAGE: Duration = Duration::from_millis(1_500);
/// Time after an outage, longer than that until the store counts as stable.
const CALM: Duration = Duration::from_secs(4);
/// Time after an impairment from which on the store counts as stable.
const STABLE: Duration = Duration::from_secs(3);
/// Interval at which the router is asked.
const INTERVAL: Duration = Duration::from_millis(5);

/// Adds upstreams of the service.
async fn add_upstreams(store: &Store, count: usize) -> Vec<Server> {
    let mut servers = Vec::new();
    for number in 0..count {
        let server = Server::start(&format!("more-{number}")).await;
        store.register("sheets", &server);
        servers.push(server);
    }
    servers
}

/// Sends requests for some time. Returns when the last one ran at one of the upstreams.
async fn last_run(router: &Router, upstreams: &[&Server], time: Duration) -> Duration {
    let started = Instant::now();
    let runs = || -> usize { upstreams.iter().map(|server| server.runs("r1")).sum() };
    let (mut before, mut last) = (runs(), Duration::ZERO);
    while started.elapsed() < time {
        let request = get("/v1/1", "sheets.example", "r1", 500);
        let _ = support::send(router.settings.front, request).await;
        if runs() > before {
            before = runs();
            last = started.elapsed();
        }
        sleep(INTERVAL).await;
    }
    last
}

/// Guards against a removal long after an outage of the store that is taken for one by the outage,
/// because the feed of the registry has answered nothing since.
#[tokio::test]
async fn an_upstream_that_leaves_long_after_an_outage_gets_no_requests() {
    let (store, server) = serving("/v1/").await;
    let _others = add_upstreams(&store, 3).await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(Duration::from_secs(1)).await;
    store.disconnect("router-1");
    sleep(OUTAGE).await;
    store.reconnect("router-1");
    sleep(CALM).await;
    store.unregister(&server.id);
    let last = last_run(&router, &[&server], Duration::from_secs(3)).await;
    assert!(last < Duration::from_millis(500), "the last after {last:?}");
}

/// Guards against a feed of the registry that waits for a lost call for many seconds, while the store
/// answers the calls for other tables.
#[tokio::test]
async fn an_upstream_that_leaves_gets_no_requests_though_a_call_for_the_registry_was_lost() {
    let (store, server) = serving("/v1/").await;
    let _others = add_upstreams(&store, 3).await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(Duration::from_secs(1)).await;
    store.stall_feed("router-1", Table::Registry);
    sleep(STABLE).await;
    store.unregister(&server.id);
    let last = last_run(&router, &[&server], Duration::from_secs(4)).await;
    assert!(last < router.settings.drain, "the last after {last:?}");
}

/// Guards against entries that are kept for `drain` and a check's interval, since most upstreams of a
/// service were removed together.
#[rstest]
#[case::all(3)]
#[case::most(2)]
#[tokio::test]
async fn upstreams_that_leave_together_get_no_requests_once_they_may_end(#[case] leaving: usize) {
    let (store, server) = serving("/v1/").await;
    let others = add_upstreams(&store, 2).await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(Duration::from_secs(1)).await;
    let all: Vec<&Server> = std::iter::once(&server).chain(&others).collect();
    let left = &all[..leaving];
    left.iter().for_each(|server| store.unregister(&server.id));
    let last = last_run(&router, left, Duration::from_secs(3)).await;
    assert!(last < router.settings.drain, "the last after {last:?}");
}

/// Guards against entries that are dropped at once, though they were removed by an outage and reappear.
#[tokio::test]
async fn upstreams_that_lapsed_in_an_outage_get_requests_until_they_may_return() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(Duration::from_secs(1)).await;
    store.disconnect("router-1");
    store.unregister(&server.id);
    sleep(OUTAGE).await;
    store.reconnect("router-1");
    let last = last_run(&router, &[&server], Duration::from_secs(4)).await;
    let expected = router.settings.return_time - Duration::from_millis(200);
    assert!(last >= expected, "the last after {last:?}");
}
