//! Callers that leave together while their requests run or wait.

mod support;

use std::time::Duration;

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
    server.enqueue(&[Behaviour::Answer(WORK_MS); CALLERS]);
    let mut streams = Vec::new();
    for caller in 0..CALLERS {
        let mut stream = TcpStream::connect(router.settings.front).await.unwrap();
        let request = format!(
            "GET /v1/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: {number}-{caller}\r\n\
             x-timeout-ms: 3000\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    sleep(stay).await;
    drop(streams);
    sleep(Duration::from_millis(2 * WORK_MS)).await;
    server.forget_behaviours();
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
