//! Callers that leave together while their requests run or wait.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use support::platform::{Store, route};
use support::upstream::{Behaviour, Server};
use support::{Router, get, sample, send, serving};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Callers that send at the same moment, far more than the upstream has places.
const CALLERS: usize = 40;
/// Time that the upstream takes for a request.
const WORK_MS: u64 = 300;

/// Sends a request from each caller, and lets all callers leave together after a while.
async fn wave(router: &Router, server: &Server, number: usize, stay: Duration) {
    wave_of("GET", router, server, number, stay).await;
}

/// Sends such requests with a method. Returns when the callers left.
async fn wave_of(
    method: &str,
    router: &Router,
    server: &Server,
    number: usize,
    stay: Duration,
) -> Instant {
    server.enqueue(&[Behaviour::Answer(WORK_MS); CALLERS]);
    let mut streams = Vec::new();
    for caller in 0..CALLERS {
        let mut stream = TcpStream::connect(router.settings.front).await.unwrap();
        let request = format!(
            "{method} /v1/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: {number}-{caller}\r\n\
             x-timeout-ms: 3000\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    sleep(stay).await;
    drop(streams);
    let left_at = Instant::now();
    sleep(Duration::from_millis(2 * WORK_MS)).await;
    server.forget_behaviours();
    left_at
}

/// Guards against a service that gets no request any more: the place of a request whose caller left
/// between the decision to send it and the send was never given back.
#[tokio::test]
async fn callers_that_leave_together_give_all_their_places_back() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    for number in 0..12 {
        let stay = Duration::from_millis(100 + 10 * number as u64);
        wave(&router, &server, number, stay).await;
    }
    let id = "after";
    let answer = send(router.settings.front, get("/v1/1", HOST, id, 1_000)).await;
    assert_eq!(answer.unwrap().status(), 200);
    for name in ["in_flight", "waiting"] {
        let sample_name = format!("eelgrassrock_{name}{{service=\"sheets\"}}");
        assert_eq!(sample(&router, &sample_name).await, Some(0.0), "{name}");
    }
}

/// Guards against requests that reach an upstream long after their callers have left. One that must not
/// be repeated goes on without its caller, but only once it has been sent.
#[tokio::test]
async fn a_request_that_must_run_once_is_not_sent_after_its_caller_has_left() {
    let store = Store::default();
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    store.configure(1, vec![route("/v1/", Repeat::Once, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let stay = Duration::from_millis(100);
    let left_at = wave_of("POST", &router, &server, 0, stay).await;
    sleep(Duration::from_millis(4 * WORK_MS)).await;
    let arrivals = server.arrivals_after(left_at + Duration::from_millis(100));
    assert!(arrivals.is_empty(), "{} requests", arrivals.len());
}
