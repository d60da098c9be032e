//! Start of a router while others run: the number of its calls to the store, and the age of the
//! data that it starts with.

mod support;

use std::time::Duration;

use support::platform::Store;
use support::{Router, get, send, serving};
use tokio::time::sleep;

const HOST: &str = "sheets.example";

/// Starts a router with its own loopback address, 127.0.0.`last`.
fn start(store: &Store, last: u8, size: u32) -> Router {
    let name = format!("router-{last}");
    Router::start_with(&name, store, |settings| {
        settings.peer.set_ip([127, 0, 0, last].into());
        settings.size = size;
    })
}

async fn status(router: &Router, path: &str) -> u16 {
    let request = get(path, HOST, "r1", 1_000);
    send(router.settings.front, request)
        .await
        .unwrap()
        .status()
        .as_u16()
}

/// Guards against overload of the store when hundreds of routers start together. A router that
/// reads three tables and follows them until it knows its relay makes 13 calls.
#[tokio::test]
async fn a_router_that_starts_beside_its_relay_makes_two_calls_to_the_store() {
    let (store, _server) = serving("/v1/").await;
    let relay = start(&store, 2, 500);
    relay.ready().await;
    // Gives the relay time to follow the tables.
    sleep(Duration::from_millis(1_000)).await;
    let follower = start(&store, 3, 100);
    follower.ready().await;
    assert_eq!(status(&follower, "/v1/1").await, 200);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        store.calls("router-3"),
        2,
        "one call for its row, one for the table of routers"
    );
}

#[tokio::test]
async fn routers_that_start_together_make_few_calls_to_the_store() {
    let (store, _server) = serving("/v1/").await;
    let routers: Vec<Router> = (2..10)
        .map(|last| start(&store, last, if last == 5 { 500 } else { 100 }))
        .collect();
    for router in &routers {
        router.ready().await;
    }
    sleep(Duration::from_millis(2_500)).await;
    let calls: usize = (2..10)
        .filter(|last| *last != 5)
        .map(|last| store.calls(&format!("router-{last}")))
        .sum();
    assert!(calls <= 7 * 4, "{calls} calls by seven followers");
}

/// A router that can't reach its relay reads the tables from the store.
#[tokio::test]
async fn a_router_whose_relay_was_killed_starts_from_the_store() {
    let (store, _server) = serving("/v1/").await;
    let mut relay = start(&store, 2, 500);
    relay.ready().await;
    relay.kill();
    let router = start(&store, 3, 100);
    let ready = tokio::time::timeout(Duration::from_secs(2), router.ready());
    ready.await.expect("ready within two seconds");
    assert_eq!(status(&router, "/v1/1").await, 200);
}

/// Right after its start, a router may follow a relay whose data is outdated. An upstream that left
/// the registry before that start gets no requests from either router once the drain time is over.
#[tokio::test]
async fn an_upstream_that_left_before_a_restart_gets_no_requests_though_the_relay_is_outdated() {
    let (store, server) = serving("/v1/").await;
    let relay = start(&store, 2, 500);
    relay.ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let mut follower = start(&store, 3, 100);
    follower.ready().await;
    follower.kill();
    store.stall_feeds("router-2");
    store.unregister(&server.id);
    let restarted = start(&store, 3, 100);
    sleep(Duration::from_millis(2_500)).await;
    for router in [&relay, &restarted] {
        let before = server.runs("r1");
        assert_eq!(status(router, "/v1/1").await, 503);
        assert_eq!(server.runs("r1"), before);
    }
}

/// An outdated table from a relay must not undo newer data: neither a configuration nor an upstream
/// that the follower already knows.
#[tokio::test]
async fn a_follower_whose_changes_reach_back_too_far_gets_the_whole_table() {
    let (store, server) = serving("/v1/").await;
    let relay = start(&store, 2, 500);
    relay.ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let follower = start(&store, 3, 100);
    follower.ready().await;
    let before = store.calls("router-3");
    // Makes more changes than a relay keeps.
    for _ in 0..1_200 {
        store.register("sheets", &server);
    }
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(status(&follower, "/v1/1").await, 200);
    assert_eq!(store.calls("router-3"), before);
}
