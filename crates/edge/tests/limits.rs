//! Answers in which an upstream sets a limit to the requests from all routers together.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use http::HeaderMap;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, eventually, get, relay_and_follower, sample, send, serving};
use tokio::task::JoinSet;
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time from the first answer with a limit until all routers must keep to it.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time over which the requests to an upstream with a limit are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times the limit.
const WINDOW_EXTRA: f64 = 5.0;
/// Interval between the requests to all routers.
const PRESS_INTERVAL: Duration = Duration::from_millis(20);

async fn status(router: &Router, id: &str) -> u16 {
    let answer = send(router.settings.front, get("/v1/1", HOST, id, 1_000)).await;
    answer.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_limit_is_logged_and_measured_when_it_begins_and_when_it_ends() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.limit(Some("40.5"));
    for n in 0..3 {
        assert_eq!(status(&router, &format!("limited-{n}")).await, 200);
    }
    // Another thread writes the log.
    let logs = |text: &str| router.lines.text().contains(text);
    eventually("the line about the limit", || {
        logs("\"limit_per_s\":40.5,\"routers\":1")
    })
    .await;
    let text = router.lines.text();
    assert_eq!(text.matches("\"upstream limit\"").count(), 1, "{text}");
    let service = "{service=\"sheets\"}";
    let upstreams = format!("eelgrassrock_limited_upstreams{service}");
    let sends = format!("eelgrassrock_limited_sends_total{service}");
    assert_eq!(sample(&router, &upstreams).await, Some(1.0));
    assert_eq!(sample(&router, &sends).await, Some(2.0));
    server.limit(None);
    assert_eq!(status(&router, "free").await, 200);
    eventually("the line about its end", || logs("\"limit_per_s\":null")).await;
    assert_eq!(sample(&router, &upstreams).await, Some(0.0));
}

#[tokio::test]
async fn a_limit_that_cannot_be_parsed_is_logged_and_ignored() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.limit(Some("few"));
    for n in 0..3 {
        assert_eq!(status(&router, &format!("r{n}")).await, 200);
    }
    let is_logged = || router.lines.text().contains("field unreadable");
    eventually("line about the field", is_logged).await;
    assert!(!router.lines.text().contains("\"upstream limit\""));
}

/// Answers pass the limit on to callers.
#[tokio::test]
async fn callers_see_the_limit_that_the_upstream_named() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.limit(Some("7.5"));
    let answer = send(router.settings.front, get("/v1/1", HOST, "r", 1_000)).await;
    let headers: HeaderMap = answer.unwrap().headers().clone();
    assert_eq!(headers["x-limit"], "7.5");
}

/// Returns the largest number of requests that arrived in a window which ends after `since` and
/// [`SETTLING_TIME`].
fn most_in_a_window(server: &Server, since: Instant) -> usize {
    let arrivals = server.arrivals_after(since);
    let counted = arrivals
        .iter()
        .filter(|end| **end >= since + SETTLING_TIME)
        .map(|end| {
            let in_window = |at: &&Instant| **at <= *end && *end < **at + WINDOW;
            arrivals.iter().filter(in_window).count()
        });
    counted.max().unwrap_or(0)
}

/// Sends a request for another key to each router in turn until `end`, and returns how many were
/// sent and how many were answered with success.
async fn press(routers: &[Router], end: Instant) -> (usize, usize) {
    let mut requests = JoinSet::new();
    let mut sent = 0;
    while Instant::now() < end {
        let mut request = get("/v1/1", HOST, &format!("r{sent}"), 800);
        let key = (sent * 7_919 % 65_536) as u16;
        request.headers_mut().insert("x-key", key.into());
        let front = routers[sent % routers.len()].settings.front;
        requests.spawn(async move { send(front, request).await.unwrap().status() == 200 });
        sent += 1;
        sleep(PRESS_INTERVAL).await;
    }
    let answers = requests.join_all().await;
    (sent, answers.into_iter().filter(|served| *served).count())
}

#[rstest]
#[case::interchangeable_upstreams(false)]
#[case::upstreams_that_hold_keys(true)]
#[tokio::test]
async fn routers_together_send_an_upstream_no_more_requests_than_its_limit(#[case] keyed: bool) {
    const LIMIT_PER_S: f64 = 2.0;
    let store = Store::default();
    let mut servers = Vec::new();
    for id in ["up-0", "up-1", "up-2"] {
        let server = Server::start(id).await;
        servers.push(if keyed { server.keyed() } else { server });
    }
    for server in &servers {
        store.register("sheets", server);
    }
    let sharded: &[&str] = if keyed { &["sheets"] } else { &[] };
    store.configure(
        1,
        vec![route("/v1/", Repeat::Idempotent, "sheets")],
        sharded,
    );
    let start = |last| Router::start_at(last, 200, &store);
    let routers: Vec<Router> = (2..6).map(start).collect();
    for router in &routers {
        router.ready().await;
    }
    press(&routers, Instant::now() + Duration::from_secs(2)).await;
    servers[0].limit(Some(&LIMIT_PER_S.to_string()));
    let named = Instant::now();
    let (sent, served) = press(&routers, named + SETTLING_TIME + 2 * WINDOW).await;
    let most = most_in_a_window(&servers[0], named) as f64;
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + WINDOW_EXTRA;
    let log = routers[0].lines.text();
    assert!(most <= allowed, "{most} of {allowed}\n{log}");
    assert!(served * 10 >= sent * 9, "{served} of {sent} served\n{log}");
}

/// Sends requests one after the other, and returns how many were answered with success.
async fn served(router: &Router, count: usize) -> usize {
    let mut served = 0;
    for n in 0..count {
        served += usize::from(status(router, &format!("r{n}")).await == 200);
    }
    served
}

#[rstest]
#[case::seen_by_the_follower(1, 0)]
#[case::seen_by_the_relay(0, 1)]
#[tokio::test]
async fn routers_keep_to_a_limit_that_another_has_seen_and_no_longer_once_it_has_ended(
    #[case] seeing: usize,
    #[case] told: usize,
) {
    let (store, server) = serving("/v1/").await;
    let routers = relay_and_follower(&store).await;
    server.limit(Some("0.3"));
    assert_eq!(status(&routers[seeing], "first").await, 200);
    sleep(Duration::from_millis(1_500)).await;
    let log = || routers[told].lines.text();
    assert_eq!(served(&routers[told], 20).await, 0, "{}", log());
    server.limit(None);
    let is_over = || routers[told].lines.text().contains("\"limit_per_s\":null");
    let begun = Instant::now();
    while !is_over() && begun.elapsed() < Duration::from_secs(12) {
        status(&routers[seeing], "again").await;
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(served(&routers[told], 20).await, 20, "{}", log());
}
