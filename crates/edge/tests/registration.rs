//! Row of a router in the table of the routers, by which the others recognize it.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use support::platform::{Store, route};
use support::{Router, eventually, get, relay_and_follower, sample, send, serving};
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Row of the follower.
const ROW: &str = "router/router-3";
/// Time within which a lost row is written again, and the others have read it.
const REPAIR_TIME: Duration = Duration::from_millis(2_500);

fn has_row(store: &Store) -> bool {
    store.keys(Table::Routers).iter().any(|key| key == ROW)
}

async fn status(router: &Router, path: &str) -> u16 {
    let answer = send(router.settings.front, get(path, HOST, "r1", 1_000)).await;
    answer.unwrap().status().as_u16()
}

/// Checks that a router applies a configuration in time.
async fn assert_applies(store: &Store, router: &Router) {
    let routes = ["/v1/", "/v2/"].map(|prefix| route(prefix, Repeat::Idempotent, "sheets"));
    store.configure(2, routes.into(), &[]);
    sleep(router.settings.apply).await;
    assert_eq!(
        status(router, "/v2/1").await,
        200,
        "{}",
        router.lines.text()
    );
}

/// Guards against a router that the others never recognize again, since its row was removed. Those
/// that saw the removal must not take the new row for that of an ended process.
#[tokio::test]
async fn a_router_whose_row_is_removed_writes_it_again() {
    let (store, _server) = serving("/v1/").await;
    let [_relay, follower] = relay_and_follower(&store).await;
    store.remove(Table::Routers, ROW);
    eventually("the row", || has_row(&store)).await;
    sleep(REPAIR_TIME).await;
    assert!(has_row(&store), "another router has removed the new row");
    let lost = sample(&follower, "eelgrassrock_registrations_lost_total").await;
    assert_eq!(lost, Some(1.0));
    assert_applies(&store, &follower).await;
}

/// Guards against a row with the address of an earlier process, which was written late.
#[tokio::test]
async fn a_router_whose_row_is_replaced_writes_it_again() {
    let (store, _server) = serving("/v1/").await;
    let [_relay, follower] = relay_and_follower(&store).await;
    let address = support::free_address();
    store.add_router("router-3", address);
    sleep(REPAIR_TIME).await;
    let lost = sample(&follower, "eelgrassrock_registrations_lost_total").await;
    assert_eq!(lost, Some(1.0));
    assert_applies(&store, &follower).await;
}

/// Guards against a removal that a stopping process sends and the store performs late, when the
/// next process of the router has written its row.
#[tokio::test]
async fn a_late_removal_by_a_stopped_process_spares_the_row_of_the_next_one() {
    let (store, _server) = serving("/v1/").await;
    let [_relay, mut follower] = relay_and_follower(&store).await;
    let late = Duration::from_millis(5_900);
    store.delay_removal("router-3", late);
    follower.stop();
    eventually("the end of the process", || !follower.is_running()).await;
    let next = Router::start_at(3, 100, &store);
    next.ready().await;
    sleep(late).await;
    assert!(has_row(&store));
    let lost = sample(&next, "eelgrassrock_registrations_lost_total").await;
    assert_eq!(lost, Some(0.0), "the late write has removed the row");
    assert_applies(&store, &next).await;
}

/// Guards against a row that stays for good because the write that removes it wasn't performed.
#[tokio::test]
async fn a_stopping_router_removes_its_row_though_a_write_is_lost() {
    let (store, _server) = serving("/v1/").await;
    let [_relay, mut follower] = relay_and_follower(&store).await;
    store.delay_removal("router-3", Duration::from_secs(60));
    follower.stop();
    eventually("the removal", || !has_row(&store)).await;
}
