//! Upstreams whose processes end while they run requests.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use rstest::rstest;
use support::mortal::{DEADLY_PATH, History, Mortal};
use support::platform::{Store, route};
use support::upstream::Behaviour;
use support::{Router, eventually, get, sample, send, serving};
use tokio::task::JoinSet;
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time until an upstream whose process has ended starts again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a broken connection can no longer turn out to be the end of a process.
const EXAMINATION_TIME: Duration = Duration::from_millis(4_500);

fn broken(cause: &str) -> String {
    format!("eelgrassrock_broken_connections_total{{service=\"sheets\",cause=\"{cause}\"}}")
}

#[tokio::test]
async fn an_ended_process_is_logged_with_the_request_that_was_in_flight() {
    let store = Store::default();
    let _upstream = Mortal::start("up-0", &store, false, RESTART_PAUSE).await;
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let _ = send(router.settings.front, get(DEADLY_PATH, HOST, "d1", 500)).await;
    let is_logged = || router.lines.text().contains("\"upstream ended\"");
    eventually("line about the end", is_logged).await;
    let text = router.lines.text();
    assert!(
        text.contains("\"proof\":\"refused\",\"id\":\"d1\""),
        "{text}"
    );
    assert_eq!(sample(&router, &broken("ended")).await, Some(1.0));
}

#[tokio::test]
async fn a_broken_connection_to_a_running_process_is_not_taken_for_its_end() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::Close]);
    let _ = send(router.settings.front, get("/v1/1", HOST, "r1", 500)).await;
    sleep(EXAMINATION_TIME).await;
    assert_eq!(sample(&router, &broken("unproven")).await, Some(1.0));
    let text = router.lines.text();
    assert!(!text.contains("\"upstream ended\""), "{text}");
}

/// Time from the third end of a process to the last send of a request that is counted as a retry.
const STABLE: Duration = Duration::from_secs(3);
/// Interval between the sends of a request that ends processes.
const DEADLY_INTERVAL: Duration = Duration::from_millis(60);
/// Key of that request. The others have keys at random.
const DEADLY_KEY: u16 = 2_150;
const MAX_RETRIES: usize = 3;

/// Returns a request with a key.
fn keyed(path: &str, id: &str, key: u16) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let mut request = get(path, HOST, id, 800);
    request.headers_mut().insert("x-key", key.into());
    request
}

#[rstest]
#[case::interchangeable_upstreams(false)]
#[case::upstreams_that_hold_keys(true)]
#[tokio::test]
async fn a_request_that_ends_each_process_is_not_sent_to_one_after_another(#[case] sharded: bool) {
    let store = Store::default();
    let mut upstreams = Vec::new();
    for n in 0..6 {
        upstreams.push(Mortal::start(&format!("up-{n}"), &store, sharded, RESTART_PAUSE).await);
    }
    let names: &[&str] = if sharded { &["sheets"] } else { &[] };
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], names);
    let routers: Vec<Router> = (2..6)
        .map(|last| Router::start_at(last, 200, &store))
        .collect();
    for router in &routers {
        router.ready().await;
    }
    sleep(Duration::from_secs(2)).await;
    let begun = Instant::now();
    let mut others = JoinSet::new();
    let mut n = 0_usize;
    while begun.elapsed() < Duration::from_secs(14) {
        let front = routers[n % routers.len()].settings.front;
        let deadly = keyed(DEADLY_PATH, &format!("d{n}"), DEADLY_KEY);
        tokio::spawn(send(front, deadly));
        let key = (n * 7_919 % 65_536) as u16;
        let other = keyed(&format!("/v1/{n}"), &format!("r{n}"), key);
        others.spawn(async move {
            send(front, other)
                .await
                .is_ok_and(|answer| answer.status() == 200)
        });
        n += 1;
        sleep(DEADLY_INTERVAL).await;
    }
    let served = others
        .join_all()
        .await
        .into_iter()
        .filter(|served| *served)
        .count();
    let histories: Vec<History> = upstreams.iter().map(Mortal::history).collect();
    let mut ends: Vec<Instant> = histories.iter().flat_map(|all| all.ends.clone()).collect();
    ends.sort();
    let third = *ends.get(2).unwrap_or(&Instant::now());
    let deadly = histories.iter().flat_map(|all| &all.deadly);
    let retries = deadly.filter(|at| **at > third + STABLE).count();
    let ended: Vec<u128> = ends.iter().map(|end| (*end - begun).as_millis()).collect();
    let log = routers[0].lines.text();
    assert!(
        retries <= MAX_RETRIES,
        "{retries} retries, ends at {ended:?} ms\n{log}"
    );
    assert!(
        served * 10 >= n * 8,
        "{served} of {n} others served, ends at {ended:?} ms"
    );
}

#[tokio::test]
async fn processes_that_are_killed_together_quarantine_no_request() {
    const HOT: &str = "/v1/hot";
    let store = Store::default();
    let mut upstreams = Vec::new();
    for n in 0..5 {
        upstreams.push(Mortal::start(&format!("up-{n}"), &store, false, RESTART_PAUSE).await);
    }
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    let routers: Vec<Router> = (2..5)
        .map(|last| Router::start_at(last, 200, &store))
        .collect();
    for router in &routers {
        router.ready().await;
    }
    for upstream in &upstreams {
        upstream.server.enqueue(&[Behaviour::Answer(60); 400]);
    }
    let mut requests = JoinSet::new();
    for n in 0..600 {
        if n % 150 == 75 {
            upstreams.iter().take(4).for_each(Mortal::kill);
        }
        let front = routers[n % routers.len()].settings.front;
        let request = get(HOT, HOST, &format!("h{n}"), 800);
        requests.spawn(async move {
            send(front, request)
                .await
                .is_ok_and(|answer| answer.status() == 200)
        });
        sleep(Duration::from_millis(10)).await;
    }
    requests.join_all().await;
    for n in 0..60 {
        let answer = send(
            routers[n % 3].settings.front,
            get(HOT, HOST, &format!("l{n}"), 800),
        )
        .await;
        let status = answer.map(|answer| answer.status().as_u16());
        let log = routers[n % 3].lines.text();
        assert_eq!(status.ok(), Some(200), "{log}");
    }
    for router in &routers {
        let text = router.lines.text();
        assert!(text.contains("\"upstream ended\""), "{text}");
        assert!(!text.contains("\"request quarantined\""), "{text}");
    }
}

/// Returns how many requests that end the process have reached the upstreams.
fn deadly_sends(upstreams: &[Mortal]) -> usize {
    upstreams
        .iter()
        .map(|upstream| upstream.history().deadly.len())
        .sum()
}

#[tokio::test]
async fn a_quarantine_outlasts_all_routers_and_ends_when_its_row_is_removed() {
    let store = Store::default();
    let mut upstreams = Vec::new();
    for n in 0..5 {
        upstreams.push(Mortal::start(&format!("up-{n}"), &store, false, RESTART_PAUSE).await);
    }
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    let mut router = Router::start("router-1", &store);
    router.ready().await;
    let begun = Instant::now();
    while !router.lines.text().contains("\"request quarantined\"") {
        assert!(
            begun.elapsed() < Duration::from_secs(15),
            "{}",
            router.lines.text()
        );
        let _ = send(router.settings.front, get(DEADLY_PATH, HOST, "d", 500)).await;
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_millis(500)).await;
    router.kill();
    let router = Router::start("router-2", &store);
    router.ready().await;
    let before = deadly_sends(&upstreams);
    let answer = send(router.settings.front, get(DEADLY_PATH, HOST, "d2", 500))
        .await
        .unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(deadly_sends(&upstreams), before);
    let keys = store.keys(Table::Routers);
    let row = keys.iter().find(|key| key.starts_with("suspect/")).unwrap();
    store.remove(Table::Routers, row);
    let has_ended = || router.lines.text().contains("\"quarantine ended\"");
    eventually("end of the quarantine", has_ended).await;
    let _ = send(router.settings.front, get(DEADLY_PATH, HOST, "d3", 500)).await;
    assert!(deadly_sends(&upstreams) > before);
}
