//! Routers that were lost for good, whose rows are still in the table of the routers.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::{Repeat, Route};
use eelgrassrock_edge::platform::Table;
use rstest::rstest;
use support::link::BlackHole;
use support::platform::{Store, route};
use support::{Router, get, sample, send, serving};
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Size of the lost routers, which come before the others as relays.
const LOST_SIZE: u32 = 900;

async fn status(router: &Router, path: &str) -> u16 {
    let answer = send(router.settings.front, get(path, HOST, "r1", 1_000)).await;
    answer.unwrap().status().as_u16()
}

/// Writes the rows of routers whose addresses respond to nothing.
fn lose_routers(store: &Store, count: usize) -> Vec<BlackHole> {
    let holes: Vec<BlackHole> = (0..count).map(|_| BlackHole::open()).collect();
    for (number, hole) in holes.iter().enumerate() {
        store.add_larger_router(&format!("lost-{number}"), hole.address, LOST_SIZE);
    }
    holes
}

/// Adds a route, and returns the time until a router serves it.
async fn time_to_apply(store: &Store, router: &Router, version: u64) -> Duration {
    let prefix = |version: u64| format!("/v{version}/");
    let routes: Vec<Route> = (1..=version)
        .map(|version| route(&prefix(version), Repeat::Idempotent, "sheets"))
        .collect();
    store.configure(version, routes, &[]);
    let written_at = Instant::now();
    while status(router, &prefix(version)).await != 200 {
        assert!(
            written_at.elapsed() < 2 * router.settings.apply,
            "{version} isn't in force:\n{}",
            router.lines.text()
        );
        sleep(Duration::from_millis(20)).await;
    }
    written_at.elapsed()
}

/// Guards against a router that never reads the store because it goes on trying lost relays.
#[rstest]
#[case::one(1)]
#[case::four(4)]
#[case::as_many_as_are_tried_before_the_first_is_due_again(5)]
#[case::a_whole_data_centre(11)]
#[tokio::test]
async fn a_router_applies_configurations_in_time_beside_lost_relays(#[case] lost: usize) {
    let (store, _server) = serving("/v1/").await;
    let _holes = lose_routers(&store, lost);
    let router = Router::start_at(3, 100, &store);
    router.ready().await;
    // The versions come at different times of the search for a relay.
    for version in 2..8 {
        sleep(Duration::from_millis(700 + 170 * version)).await;
        let time = time_to_apply(&store, &router, version).await;
        assert!(time < router.settings.apply, "{version} took {time:?}");
    }
}

/// Guards against the loss of a relay and of the next candidates at the same time.
#[tokio::test]
async fn a_follower_applies_configurations_in_time_when_several_relays_are_lost_together() {
    let (store, _server) = serving("/v1/").await;
    let mut relay = Router::start_at(2, 500, &store);
    relay.ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let follower = Router::start_at(3, 100, &store);
    follower.ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let holes = lose_routers(&store, 5);
    store.move_router(&relay.settings, holes[0].address);
    sleep(Duration::from_millis(300)).await;
    relay.kill();
    for version in 2..7 {
        let time = time_to_apply(&store, &follower, version).await;
        assert!(time < follower.settings.apply, "{version} took {time:?}");
        sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against a search that ends at the lost relays, so that all routers of a data centre read
/// the store for good.
#[tokio::test]
async fn a_follower_finds_the_live_relay_behind_lost_ones() {
    let (store, _server) = serving("/v1/").await;
    let relay = Router::start_at(2, 500, &store);
    relay.ready().await;
    let _holes = lose_routers(&store, 5);
    let follower = Router::start_at(3, 100, &store);
    follower.ready().await;
    // Five calls without an answer, one with it, and the pauses of the readers.
    sleep(Duration::from_secs(6)).await;
    assert_eq!(
        sample(&follower, "eelgrassrock_reads_store").await,
        Some(0.0)
    );
    let before = store.calls("router-3");
    sleep(Duration::from_secs(8)).await;
    assert_eq!(
        store.calls("router-3"),
        before,
        "no call while a relay supplies it"
    );
    assert_eq!(
        sample(&follower, "eelgrassrock_reads_store").await,
        Some(0.0)
    );
}

/// Guards against a load on the store by all routers of a data centre that loses its relays.
#[rstest]
#[case::one_of_eight(1)]
#[case::two_of_eight(2)]
#[tokio::test]
async fn the_loss_of_relays_costs_the_store_few_calls(#[case] lost: u8) {
    let (store, _server) = serving("/v1/").await;
    let size = |last: u8| 1_000 - 100 * u32::from(last);
    let mut routers: Vec<Router> = (2..10)
        .map(|last| Router::start_at(last, size(last), &store))
        .collect();
    for router in &routers {
        router.ready().await;
    }
    sleep(Duration::from_millis(2_500)).await;
    let holes: Vec<BlackHole> = (0..lost).map(|_| BlackHole::open()).collect();
    for (router, hole) in routers.iter_mut().zip(&holes) {
        router.kill();
        store.move_router(&router.settings, hole.address);
    }
    let followers = 3 + lost..10;
    let calls = || -> usize {
        let names = followers.clone().map(|last| format!("router-{last}"));
        names.map(|name| store.calls(&name)).sum()
    };
    let before = calls();
    sleep(Duration::from_secs(6)).await;
    let made = calls() - before;
    // One call for each table at each router that has no source in between.
    let limit = 3 * usize::from(lost) * followers.len();
    assert!(made <= limit, "{made} calls by {} routers", followers.len());
}

/// Guards against rows of lost routers that stay for good, and against the removal of rows whose
/// routers would not write them again.
#[tokio::test]
async fn the_row_of_a_lost_router_is_removed_unless_it_is_of_an_earlier_version() {
    let (store, _server) = serving("/v1/").await;
    let mut routers: Vec<Router> = (2..6)
        .map(|last| Router::start_at(last, 100, &store))
        .collect();
    for router in &routers {
        router.ready().await;
    }
    let _holes = lose_routers(&store, 1);
    sleep(Duration::from_secs(1)).await;
    routers[1].kill();
    let key = format!("router/{}", routers[1].settings.router);
    let has = |key: &str| store.keys(Table::Routers).iter().any(|other| other == key);
    let lost_at = Instant::now();
    while has(&key) && lost_at.elapsed() < Duration::from_secs(40) {
        sleep(Duration::from_millis(200)).await;
    }
    assert!(!has(&key), "the row is still there");
    assert!(lost_at.elapsed() > Duration::from_secs(15), "too early");
    for last in [2, 4, 5] {
        assert!(has(&format!("router/router-{last}")), "router-{last} runs");
    }
    assert!(has("router/lost-0"), "an earlier version's");
}
