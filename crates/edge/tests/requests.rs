//! Requests through a router: complete answers, repeated attempts, timeouts, and the answers and
//! log lines for failures.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::{Behaviour, Server};
use support::{Router, eventually, get, post, send};

const HOST: &str = "sheets.example";

/// Starts a router and `count` upstreams with one route for idempotent requests and one for others.
async fn cluster(count: usize) -> (Store, Vec<Server>, Router) {
    let store = Store::default();
    let mut servers = Vec::new();
    for n in 0..count {
        let server = Server::start(&format!("up-{n}")).await;
        store.register("sheets", &server);
        servers.push(server);
    }
    let routes = vec![
        route("/read/", Repeat::Idempotent, "sheets"),
        route("/issue/", Repeat::Once, "sheets"),
    ];
    store.configure(1, routes, &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    (store, servers, router)
}

fn enqueue(servers: &[Server], behaviour: Behaviour) {
    servers
        .iter()
        .for_each(|server| server.enqueue(&[behaviour]));
}

fn runs(servers: &[Server], id: &str) -> usize {
    servers.iter().map(|server| server.runs(id)).sum()
}

#[tokio::test]
async fn a_caller_gets_the_upstreams_own_answer() {
    let (_store, servers, router) = cluster(1).await;
    let answer = send(router.settings.front, get("/read/7", HOST, "r1", 1_000))
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["x-from"], "up-0");
    assert_eq!(answer.into_body(), "up-0 ran r1");
    assert_eq!(runs(&servers, "r1"), 1);
}

#[tokio::test]
async fn an_unknown_route_is_not_found() {
    let (_store, _servers, router) = cluster(1).await;
    let answer = send(router.settings.front, get("/other/7", HOST, "r1", 1_000))
        .await
        .unwrap();
    assert_eq!(answer.status(), 404);
}

#[tokio::test]
async fn buffered_and_streamed_request_bodies_arrive_with_their_full_length() {
    let (_store, servers, router) = cluster(1).await;
    for length in [0, 10, 600_000] {
        let body = "x".repeat(length);
        let id = format!("b{length}");
        let answer = send(router.settings.front, post("/issue/1", &id, 2_000, &body))
            .await
            .unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(servers[0].bodies().last().unwrap().len(), length);
    }
}

#[rstest]
#[case::closed(Behaviour::Close)]
#[case::foreign(Behaviour::Foreign)]
#[case::truncated(Behaviour::Truncate)]
#[tokio::test]
async fn a_read_without_a_complete_answer_of_its_own_is_sent_to_another_upstream(
    #[case] behaviour: Behaviour,
) {
    let (_store, servers, router) = cluster(2).await;
    servers[0].enqueue(&[behaviour]);
    servers[1].enqueue(&[behaviour]);
    // Both upstreams get the first request, one after the other, and both fail. The second request
    // finds them without faults.
    let first = send(router.settings.front, get("/read/1", HOST, "r1", 1_500))
        .await
        .unwrap();
    assert_eq!(first.status(), 502, "two upstreams, two failed attempts");
    let second = send(router.settings.front, get("/read/1", HOST, "r2", 1_500))
        .await
        .unwrap();
    assert_eq!(second.status(), 200);
    assert_eq!(runs(&servers, "r1"), 2);
}

#[rstest]
#[case::closed(Behaviour::Close)]
#[case::foreign(Behaviour::Foreign)]
#[case::truncated(Behaviour::Truncate)]
#[case::failed(Behaviour::Fail)]
#[tokio::test]
async fn a_request_that_is_not_idempotent_runs_once_if_its_answer_fails(
    #[case] behaviour: Behaviour,
) {
    let (_store, servers, router) = cluster(2).await;
    enqueue(&servers, behaviour);
    let answer = send(router.settings.front, post("/issue/1", "w1", 1_500, "x"))
        .await
        .unwrap();
    assert!(
        [500, 502].contains(&answer.status().as_u16()),
        "{}",
        answer.status()
    );
    assert!(answer.headers().get("retry-after").is_none());
    assert_eq!(runs(&servers, "w1"), 1);
}

#[tokio::test]
async fn a_write_that_was_refused_is_sent_to_another_upstream() {
    let (_store, servers, router) = cluster(2).await;
    // Both refuse their first request, so the order of the attempts doesn't matter.
    servers[0].enqueue(&[Behaviour::Refuse]);
    servers[1].enqueue(&[Behaviour::Refuse]);
    let answer = send(router.settings.front, post("/issue/1", "w1", 1_500, "x"))
        .await
        .unwrap();
    assert_eq!(answer.status(), 503, "both refused");
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(runs(&servers, "w1"), 0);
    let answer = send(router.settings.front, post("/issue/1", "w2", 1_500, "x"))
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(runs(&servers, "w2"), 1);
}

#[tokio::test]
async fn the_timeout_of_the_route_ends_a_request() {
    let (_store, servers, router) = cluster(1).await;
    enqueue(&servers, Behaviour::Answer(5_000));
    let began = Instant::now();
    let answer = send(router.settings.front, get("/read/1", HOST, "r1", 9_000))
        .await
        .unwrap();
    assert_eq!(answer.status(), 504);
    let elapsed = began.elapsed();
    assert!((1_900..2_250).contains(&elapsed.as_millis()), "{elapsed:?}");
}

/// Guards against reads that wait until their timeout for an answer that is lost. The upstream runs
/// the request and doesn't answer.
#[tokio::test]
async fn a_read_without_answer_is_sent_to_another_upstream_before_its_timeout() {
    let (_store, servers, router) = cluster(2).await;
    for n in 0..6 {
        let id = format!("warm{n}");
        let answer = send(router.settings.front, get("/read/1", HOST, &id, 1_500)).await;
        assert_eq!(answer.unwrap().status(), 200);
    }
    servers[0].enqueue(&[Behaviour::Answer(9_000)]);
    let mut slow = 0;
    for n in 0..4 {
        let id = format!("r{n}");
        let began = Instant::now();
        let answer = send(router.settings.front, get("/read/1", HOST, &id, 1_900))
            .await
            .unwrap();
        assert_eq!(answer.status(), 200);
        slow = slow.max(began.elapsed().as_millis());
    }
    assert!(slow < 1_000, "{slow} ms");
}

#[tokio::test]
async fn a_write_without_answer_is_not_sent_to_another_upstream() {
    let (_store, servers, router) = cluster(2).await;
    enqueue(&servers, Behaviour::Answer(9_000));
    let answer = send(router.settings.front, post("/issue/1", "w1", 1_200, "x"))
        .await
        .unwrap();
    assert_eq!(answer.status(), 504);
    assert_eq!(runs(&servers, "w1"), 1);
}

#[tokio::test]
async fn a_read_is_cancelled_when_its_caller_disconnects_but_a_write_goes_on() {
    let (_store, servers, router) = cluster(1).await;
    servers[0].enqueue(&[Behaviour::Answer(1_000), Behaviour::Answer(300)]);
    let front = router.settings.front;
    let read = send(front, get("/read/1", HOST, "r1", 1_500));
    assert!(
        tokio::time::timeout(Duration::from_millis(150), read)
            .await
            .is_err()
    );
    eventually("cancelling the read", || servers[0].dropped() == 1).await;
    let write = send(front, post("/issue/1", "w1", 1_500, "x"));
    assert!(
        tokio::time::timeout(Duration::from_millis(100), write)
            .await
            .is_err()
    );
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(servers[0].dropped(), 1, "the write was cancelled");
    assert_eq!(servers[0].runs("w1"), 1);
}

#[tokio::test]
async fn without_configuration_requests_are_refused_with_retry_after() {
    let store = Store::default();
    let router = Router::start("router-1", &store);
    let answer = send(router.settings.front, get("/read/1", HOST, "r1", 1_000))
        .await
        .unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn the_log_line_of_a_failed_request_names_its_upstream() {
    let (_store, servers, router) = cluster(1).await;
    enqueue(&servers, Behaviour::Close);
    let _ = send(router.settings.front, post("/issue/1", "w1", 1_500, "x"))
        .await
        .unwrap();
    eventually("the line", || {
        let lines = router.lines.text();
        let mut lines = lines.lines();
        lines.any(|line| {
            line.contains("\"w1\"") && line.contains("up-0") && line.contains("unknown")
        })
    })
    .await;
}

/// Guards against connection resets. An upstream accepts a limited number of connections from all
/// routers together and resets the others, so a router keeps no more idle ones than its limit.
#[tokio::test]
async fn idle_connections_are_kept_up_to_the_limit_of_the_service() {
    let store = Store::default();
    let server = Server::start("up-0").await;
    store.register("narrow", &server);
    store.configure(1, vec![route("/read/", Repeat::Idempotent, "narrow")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::Answer(200), Behaviour::Answer(200)]);
    let front = router.settings.front;
    let one = tokio::spawn(send(front, get("/read/1", HOST, "r1", 1_500)));
    let two = tokio::spawn(send(front, get("/read/1", HOST, "r2", 1_500)));
    eventually("both requests", || server.connections() == 2).await;
    assert_eq!(one.await.unwrap().unwrap().status(), 200);
    assert_eq!(two.await.unwrap().unwrap().status(), 200);
    eventually("closing one", || server.connections() == 1).await;
}

/// Far more requests fail in a second than log lines are allowed.
#[tokio::test]
async fn log_lines_about_requests_are_rate_limited_and_the_rest_is_counted() {
    let store = Store::default();
    store.configure(1, vec![route("/read/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start_with("router-1", &store, |settings| {
        settings.log.max_lines_per_s = 5;
    });
    let front = router.settings.front;
    let began = Instant::now();
    for n in 0..60 {
        let id = format!("r{n}");
        let _ = send(front, get("/read/1", HOST, &id, 1_000)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let _ = send(front, get("/read/1", HOST, "last", 1_000))
        .await
        .unwrap();
    eventually("the line with the count", || {
        router.lines.text().contains("lines left out")
    })
    .await;
    let text = router.lines.text();
    let lines = text
        .lines()
        .filter(|line| line.contains("\"request\""))
        .count();
    let seconds = began.elapsed().as_secs() as usize + 2;
    assert!(lines <= 5 * seconds, "{lines} lines in {seconds} seconds");
}
