//! Routers that get a configuration later than others: over a slow link, or not from the store.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, get, send};
use tokio::time::sleep;

/// Time that a configuration needs to arrive at the slow router.
const TRANSFER_TIME: Duration = Duration::from_millis(1_200);
/// Time between two configurations.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const CHANGES: u64 = 12;
/// Time within which a configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

fn configure(store: &Store, version: u64) {
    let service = format!("sheets-{}", version % 2);
    let routes = vec![route("/v1/", Repeat::Idempotent, &service)];
    store.configure(version, routes, &[]);
}

fn versions_in_force(router: &Router) -> Vec<u64> {
    let text = router.lines.text();
    let lines = text
        .lines()
        .filter(|line| line.contains("\"configuration in force\""));
    let version = |line: &str| {
        let rest = line.split("\"version\":").nth(1)?;
        rest.split(',').next()?.parse().ok()
    };
    lines.filter_map(version).collect()
}

/// Starts two routers that read the store themselves, in different data centres.
async fn start(store: &Store) -> [Router; 2] {
    for number in 0..2 {
        let server = Server::start(&format!("up-{number}")).await;
        store.register(&format!("sheets-{number}"), &server);
    }
    configure(store, 1);
    let first = Router::start_at(2, 200, store);
    let second = Router::start_with("router-3", store, |settings| {
        settings.peer.set_ip([127, 0, 0, 3].into());
        settings.data_centre = "dc-b".into();
    });
    for router in [&first, &second] {
        router.ready().await;
    }
    // Datagrams are ignored until each router has read the other's row.
    sleep(Duration::from_millis(1_500)).await;
    [first, second]
}

/// Guards against a router that refuses requests, or handles them by an outdated configuration, while
/// the store turns it away and another router could tell it.
#[tokio::test]
async fn a_router_that_the_store_turns_away_gets_configurations_from_another() {
    let store = Store::default();
    let [_first, second] = start(&store).await;
    store.disconnect("router-3");
    configure(&store, 2);
    sleep(APPLY_TIME).await;
    assert_eq!(
        versions_in_force(&second),
        [1, 2],
        "{}",
        second.lines.text()
    );
}

/// Guards against a router that the store turns away and that never learns of a configuration: the
/// other one had read it with the whole table after its history was lost, and no whole table was taken.
#[tokio::test]
async fn a_router_that_the_store_turns_away_takes_what_is_new_in_a_whole_table() {
    let store = Store::default();
    let [_first, second] = start(&store).await;
    store.disconnect("router-3");
    configure(&store, 2);
    store.forget_history();
    sleep(APPLY_TIME).await;
    assert_eq!(
        versions_in_force(&second),
        [1, 2],
        "{}",
        second.lines.text()
    );
}

/// Guards against requests that are handled by an outdated configuration for seconds: each
/// announcement made the router read the configuration anew, and no read ever ended.
#[tokio::test]
async fn configurations_that_follow_each_other_quickly_arrive_over_a_slow_link() {
    let store = Store::default();
    let [_fast, slow] = start(&store).await;
    store.delay_rows("router-3", TRANSFER_TIME);
    let mut changed_at = Vec::new();
    let began = Instant::now();
    let mut next = 2;
    while changed_at.len() < CHANGES as usize {
        if began.elapsed() >= CHANGE_INTERVAL * changed_at.len() as u32 {
            configure(&store, next);
            changed_at.push((next, Instant::now()));
            next += 1;
        }
        let sent_at = Instant::now();
        let answer = send(
            slow.settings.front,
            get("/v1/1", "sheets.example", "r", 500),
        )
        .await;
        let is_answered = answer.is_ok_and(|answer| answer.status() == 200);
        if is_answered {
            let in_force = versions_in_force(&slow).last().copied().unwrap_or(0);
            let due = |(_, at): &&(u64, Instant)| sent_at - *at > APPLY_TIME;
            let due = changed_at
                .iter()
                .rev()
                .find(due)
                .map_or(1, |(version, _)| *version);
            assert!(in_force >= due, "{in_force}, {due}\n{}", slow.lines.text());
        }
        sleep(Duration::from_millis(20)).await;
    }
    let versions = versions_in_force(&slow);
    assert!(versions.len() >= 4, "{versions:?}\n{}", slow.lines.text());
}
