//! Upstreams that leave without a report: their entries are removed, and they serve on for a while.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::platform::Store;
use support::upstream::Server;
use support::{Router, get, serving};
use tokio::time::sleep;

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
