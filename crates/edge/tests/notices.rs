//! Answers in which an upstream announces that it is leaving, or asks for a pause.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::{Behaviour, Server};
use support::{Router, eventually, get, relay_and_follower, sample, send, serving};
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time within which a router that has just started learns of a change.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);

async fn status(router: &Router, id: &str) -> u16 {
    let answer = send(router.settings.front, get("/v1/1", HOST, id, 1_000)).await;
    answer.unwrap().status().as_u16()
}

/// Sends a request for a key.
async fn keyed_status(router: &Router, key: u16) -> u16 {
    let mut request = get("/v1/1", HOST, "r", 1_000);
    request.headers_mut().insert("x-key", key.into());
    let answer = send(router.settings.front, request).await;
    answer.unwrap().status().as_u16()
}

/// Starts a router and a sharded service of two upstreams that both hold keys.
async fn sharded_cluster() -> (Store, [Server; 2], Router) {
    let store = Store::default();
    let servers = [
        Server::start("up-0").await.keyed(),
        Server::start("up-1").await.keyed(),
    ];
    for server in &servers {
        store.register("sheets", server);
    }
    let routes = vec![route("/v1/", Repeat::Idempotent, "sheets")];
    store.configure(1, routes, &["sheets"]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let granted = || servers.iter().all(|server| !held(server).is_empty());
    eventually("grants to both", granted).await;
    sleep(Duration::from_millis(300)).await;
    (store, servers, router)
}

/// Returns every 512th key that an upstream holds.
fn held(server: &Server) -> Vec<u16> {
    let keys = (0..=u16::MAX).step_by(512);
    keys.filter(|key| server.holds(*key)).collect()
}

/// The registry still lists the upstream as ready, also in later entries and after its entry was
/// removed and written again. Only a new incarnation gets requests.
#[tokio::test]
async fn an_upstream_that_announces_that_it_is_leaving_gets_no_more_requests_in_this_incarnation() {
    let (store, leaving) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    leaving.leave();
    assert_eq!(status(&router, "first").await, 200);
    let announced = Instant::now();
    assert_eq!(status(&router, "second").await, 503);
    store.register_as("sheets", &leaving, |upstream| upstream.sequence = 2);
    let other = Server::start("up-1").await;
    store.register("sheets", &other);
    sleep(PROPAGATION_TIME).await;
    for n in 0..20 {
        assert_eq!(status(&router, "later").await, 200);
        if n == 10 {
            store.unregister(&leaving.id);
            sleep(Duration::from_millis(300)).await;
            store.register_as("sheets", &leaving, |upstream| upstream.sequence = 2);
            sleep(Duration::from_millis(300)).await;
        }
    }
    assert_eq!(leaving.arrivals_since(announced), 0);
    // Another incarnation with the same identifier is another upstream.
    store.register_as("sheets", &leaving, |upstream| upstream.incarnation = 2);
    store.unregister(&other.id);
    sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&router, "anew").await, 200);
    assert!(leaving.arrivals_since(announced) > 0);
}

/// Only one router got the answer. The other one, and one that starts later, know of it too.
#[tokio::test]
async fn routers_report_a_leaving_upstream_to_each_other() {
    let (store, leaving) = serving("/v1/").await;
    let [relay, follower] = relay_and_follower(&store).await;
    leaving.leave();
    assert_eq!(status(&follower, "first").await, 200);
    sleep(Duration::from_millis(1_000)).await;
    let late = Router::start_at(4, 100, &store);
    late.ready().await;
    sleep(Duration::from_millis(700)).await;
    let informed = Instant::now();
    for router in [&relay, &follower, &late] {
        assert_eq!(
            status(router, "later").await,
            503,
            "{}",
            router.lines.text()
        );
    }
    assert_eq!(leaving.arrivals_since(informed), 0);
}

#[tokio::test]
async fn the_keys_of_an_upstream_that_announces_that_it_is_leaving_are_moved() {
    let (_store, [leaving, other], router) = sharded_cluster().await;
    let keys = held(&leaving);
    leaving.leave();
    assert_eq!(keyed_status(&router, keys[0]).await, 200);
    sleep(Duration::from_millis(1_500)).await;
    let moved = Instant::now();
    for key in keys {
        assert_eq!(keyed_status(&router, key).await, 200, "{key}");
        assert!(other.holds(key));
    }
    assert_eq!(leaving.arrivals_since(moved), 0);
}

/// Requests arrive one after the other during the pause.
#[rstest]
#[case::short(600)]
#[case::long(1_500)]
#[case::maximum(u64::MAX)]
#[tokio::test]
async fn an_upstream_gets_no_requests_during_its_pause(#[case] pause_ms: u64) {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::Defer(pause_ms)]);
    status(&router, "first").await;
    let asked = Instant::now();
    let end = asked + Duration::from_millis(pause_ms.min(1_500));
    let mut refused = 0;
    while Instant::now() < end {
        let answer = send(router.settings.front, get("/v1/1", HOST, "more", 400)).await;
        refused += usize::from(answer.unwrap().status() == 503);
        sleep(Duration::from_millis(20)).await;
    }
    let arrived = server.arrivals_between(asked, end - Duration::from_millis(20));
    assert_eq!(arrived, 0, "{}", router.lines.text());
    assert!(refused > 0);
    if pause_ms < 2_000 {
        sleep(Duration::from_millis(200)).await;
        assert_eq!(status(&router, "after").await, 200);
    }
}

/// A request that can't be served before its timeout isn't queued.
#[tokio::test]
async fn a_request_that_a_pause_outlasts_is_refused_at_once_with_the_rest_of_the_pause() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::Defer(3_000)]);
    let began = Instant::now();
    let answer = send(router.settings.front, get("/v1/1", HOST, "r", 1_000)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.body(), "deferred");
    assert!(began.elapsed() < Duration::from_millis(200));
    let seconds = answer.headers()["retry-after"].to_str().unwrap();
    let seconds: f64 = seconds.parse().unwrap();
    assert!((2.8..6.0).contains(&seconds), "{seconds}");
    assert_eq!(server.runs("r"), 0);
}

#[tokio::test]
async fn requests_go_to_another_upstream_during_a_pause() {
    let (store, server) = serving("/v1/").await;
    let other = Server::start("up-1").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    store.register("sheets", &other);
    sleep(PROPAGATION_TIME).await;
    server.enqueue(&[Behaviour::Defer(5_000)]);
    for n in 0..20 {
        assert_eq!(status(&router, &format!("r{n}")).await, 200);
    }
    assert!(server.arrivals_since(Instant::now() - Duration::from_secs(3)) <= 1);
}

/// The upstream asks for a pause of one hour, so its keys move to the other one.
#[tokio::test]
async fn the_keys_of_an_upstream_in_a_long_pause_are_moved() {
    let (_store, [paused, other], router) = sharded_cluster().await;
    let keys = held(&paused);
    paused.enqueue(&[Behaviour::Defer(3_600_000)]);
    keyed_status(&router, keys[0]).await;
    let asked = Instant::now();
    sleep(Duration::from_millis(1_500)).await;
    for key in keys {
        assert_eq!(keyed_status(&router, key).await, 200, "{key}");
        assert!(other.holds(key));
    }
    assert_eq!(paused.arrivals_since(asked), 0);
}

#[tokio::test]
async fn a_pause_that_cannot_be_parsed_is_logged_and_ignored() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::DeferUnreadable]);
    status(&router, "first").await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(status(&router, "second").await, 200);
    assert!(router.lines.text().contains("field unreadable"));
}

/// Returns the number of reports of load that a router has counted.
async fn load_reports(router: &Router, result: &str) -> Option<f64> {
    let labels = format!("{{service=\"sheets\",result=\"{result}\"}}");
    let name = format!("eelgrassrock_load_reports_total{labels}");
    sample(router, &name).await
}

/// The upstream that reports a queue is the faster one.
#[tokio::test]
async fn requests_go_to_the_upstream_that_reports_no_queue() {
    let (store, queued) = serving("/v1/").await;
    let other = Server::start("up-1").await;
    store.register("sheets", &other);
    queued.report_load("2/20/2/100");
    other.report_load("0/0/2/100");
    // A count holds for about as long as a request takes.
    queued.enqueue(&[Behaviour::Answer(80); 20]);
    other.enqueue(&[Behaviour::Answer(160); 20]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(PROPAGATION_TIME).await;
    while queued.arrivals_since(Instant::now() - PROPAGATION_TIME) == 0 {
        assert_eq!(status(&router, "first").await, 200);
    }
    let reported = Instant::now();
    assert_eq!(status(&router, "second").await, 200);
    assert_eq!(queued.arrivals_since(reported), 0);
    assert!(load_reports(&router, "read").await >= Some(2.0));
    assert_eq!(load_reports(&router, "unreadable").await, Some(0.0));
}

/// A wrong report neither stops requests nor counts twice, and an answer that isn't the upstream's own
/// reports nothing.
#[rstest]
#[case::text("busy", Behaviour::Answer(0), 1.0)]
#[case::negative("-1/0/2/100", Behaviour::Answer(0), 1.0)]
#[case::no_slots("0/0/0/100", Behaviour::Answer(0), 1.0)]
#[case::no_pace("0/0/2/0", Behaviour::Answer(0), 1.0)]
#[case::foreign("busy", Behaviour::Foreign, 0.0)]
#[tokio::test]
async fn a_report_of_load_that_cannot_be_read_is_logged_and_ignored(
    #[case] load: &str,
    #[case] behaviour: Behaviour,
    #[case] unreadable: f64,
) {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.report_load(load);
    server.enqueue(&[behaviour, Behaviour::Close]);
    status(&router, "first").await;
    assert_eq!(load_reports(&router, "unreadable").await, Some(unreadable));
    assert_eq!(load_reports(&router, "read").await, Some(0.0));
    // Lines are written by a task of their own.
    let is_logged = || router.lines.text().contains("field unreadable");
    eventually("the log line", || is_logged() == (unreadable > 0.0)).await;
}
