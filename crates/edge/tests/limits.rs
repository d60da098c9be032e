//! Answers in which an upstream sets a limit to the requests from all routers together.

mod support;

use http::HeaderMap;
use support::{Router, eventually, get, sample, send, serving};

const HOST: &str = "sheets.example";

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
    let text = router.lines.text();
    assert_eq!(text.matches("\"upstream limit\"").count(), 1, "{text}");
    assert!(
        text.contains("\"limit_per_s\":40.5,\"routers\":1"),
        "{text}"
    );
    let service = "{service=\"sheets\"}";
    let upstreams = format!("eelgrassrock_limited_upstreams{service}");
    let sends = format!("eelgrassrock_limited_sends_total{service}");
    assert_eq!(sample(&router, &upstreams).await, Some(1.0));
    assert_eq!(sample(&router, &sends).await, Some(2.0));
    server.limit(None);
    assert_eq!(status(&router, "free").await, 200);
    let text = router.lines.text();
    assert!(text.contains("\"limit_per_s\":null"), "{text}");
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
