//! Upstreams that say with their answers that they leave, or want nothing for a while.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::{Act, Server};
use support::{Router, eventually, get, send, serving};
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time in which a router that has just started hears of a change.
const NEWS_TIME: Duration = Duration::from_millis(1_000);

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

/// A service that divides keys among two upstreams.
async fn keyed_world() -> (Store, [Server; 2], Router) {
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

/// Some keys that an upstream holds.
fn held(server: &Server) -> Vec<u16> {
    let keys = (0..=u16::MAX).step_by(512);
    keys.filter(|key| server.holds(*key)).collect()
}

/// The registry goes on saying that it is ready, in later statements as well.
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_nothing_more_in_this_life() {
    let (store, leaving) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    leaving.leave();
    assert_eq!(status(&router, "first").await, 200);
    let said = Instant::now();
    assert_eq!(status(&router, "second").await, 503);
    store.register_as("sheets", &leaving, |upstream| upstream.sequence = 2);
    let other = Server::start("up-1").await;
    store.register("sheets", &other);
    sleep(NEWS_TIME).await;
    for n in 0..20 {
        assert_eq!(status(&router, "later").await, 200);
        if n == 10 {
            store.unregister(&leaving.id);
            sleep(Duration::from_millis(300)).await;
            store.register_as("sheets", &leaving, |upstream| upstream.sequence = 2);
            sleep(Duration::from_millis(300)).await;
        }
    }
    assert_eq!(leaving.arrivals_since(said), 0);
    // Another life under the same name is another upstream.
    store.register_as("sheets", &leaving, |upstream| upstream.incarnation = 2);
    store.unregister(&other.id);
    sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&router, "anew").await, 200);
    assert!(leaving.arrivals_since(said) > 0);
}

/// The answer came to one router; the other one, and one that starts later, know it.
#[tokio::test]
async fn routers_tell_each_other_which_upstream_leaves() {
    let (store, leaving) = serving("/v1/").await;
    let start = |last: u8, size: u32| {
        Router::start_with(&format!("router-{last}"), &store, |settings| {
            settings.peer.set_ip([127, 0, 0, last].into());
            settings.size = size;
        })
    };
    let relay = start(2, 500);
    relay.ready().await;
    sleep(Duration::from_millis(1_000)).await;
    let follower = start(3, 100);
    follower.ready().await;
    sleep(Duration::from_millis(500)).await;
    leaving.leave();
    assert_eq!(status(&follower, "first").await, 200);
    sleep(Duration::from_millis(1_000)).await;
    let late = start(4, 100);
    late.ready().await;
    sleep(Duration::from_millis(700)).await;
    let told = Instant::now();
    for router in [&relay, &follower, &late] {
        assert_eq!(
            status(router, "later").await,
            503,
            "{}",
            router.lines.text()
        );
    }
    assert_eq!(leaving.arrivals_since(told), 0);
}

#[tokio::test]
async fn the_keys_of_an_upstream_that_says_that_it_leaves_are_moved() {
    let (_store, [leaving, other], router) = keyed_world().await;
    let keys = held(&leaving);
    leaving.leave();
    assert_eq!(keyed_status(&router, keys[0]).await, 200);
    sleep(Duration::from_millis(1_500)).await;
    let said = Instant::now();
    for key in keys {
        assert_eq!(keyed_status(&router, key).await, 200, "{key}");
        assert!(other.holds(key));
    }
    assert_eq!(leaving.arrivals_since(said), 0);
}

/// More requests press than the upstream may get, on one after the other.
#[rstest]
#[case::short(600)]
#[case::long(1_500)]
#[case::beyond_all_bounds(u64::MAX)]
#[tokio::test]
async fn an_upstream_that_wants_a_pause_gets_it(#[case] pause_ms: u64) {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.next(&[Act::Defer(pause_ms)]);
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

/// A request that can't be served within its time isn't held.
#[tokio::test]
async fn what_waits_for_a_pause_is_refused_at_once_with_the_time_that_is_left() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.next(&[Act::Defer(3_000)]);
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
async fn what_can_go_elsewhere_does_so() {
    let (store, server) = serving("/v1/").await;
    let other = Server::start("up-1").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    store.register("sheets", &other);
    sleep(NEWS_TIME).await;
    server.next(&[Act::Defer(5_000)]);
    for n in 0..20 {
        assert_eq!(status(&router, &format!("r{n}")).await, 200);
    }
    assert!(server.arrivals_since(Instant::now() - Duration::from_secs(3)) <= 1);
}

/// An hour without requests: its keys are better off elsewhere.
#[tokio::test]
async fn the_keys_of_an_upstream_that_wants_a_long_pause_are_moved() {
    let (_store, [busy, other], router) = keyed_world().await;
    let keys = held(&busy);
    busy.next(&[Act::Defer(3_600_000)]);
    keyed_status(&router, keys[0]).await;
    let asked = Instant::now();
    sleep(Duration::from_millis(1_500)).await;
    for key in keys {
        assert_eq!(keyed_status(&router, key).await, 200, "{key}");
        assert!(other.holds(key));
    }
    assert_eq!(busy.arrivals_since(asked), 0);
}

#[tokio::test]
async fn a_pause_that_cannot_be_read_is_logged_and_not_kept() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.next(&[Act::DeferOddly]);
    status(&router, "first").await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(status(&router, "second").await, 200);
    assert!(router.lines.text().contains("field unreadable"));
}
