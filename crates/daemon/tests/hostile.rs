//! Requests that are malformed, oversized, slow or that attempt request smuggling.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use support::{CREDENTIAL, Deployment, Size, WAIT_LIMIT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SIZE: Size = Size {
    daemons: 1,
    upstreams: 1,
    checks_orders: true,
};

/// Sends bytes and returns everything received until the connection closes.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The daemon may refuse the request and close the connection before it has read
    // all bytes.
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let end = timeout(WAIT_LIMIT, stream.read_to_end(&mut bytes)).await;
    assert!(end.is_ok(), "the connection stays open");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the head of a request without the empty line at its end.
fn head(method: &str, target: &str, headers: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nhost: router\r\n\
         authorization: Bearer {CREDENTIAL}\r\n{headers}"
    )
}

fn runs(deployment: &Deployment) -> u64 {
    let servers = deployment.upstreams.iter();
    servers.map(|server| server.runs().started).sum()
}

/// Returns an empty chunked body that is followed by a second request.
fn smuggled_body() -> String {
    let hidden = head("GET", "/sheets/hidden", "");
    format!("0\r\n\r\n{hidden}\r\n")
}

#[rstest]
#[case::two_lengths("content-length: 6\r\ncontent-length: 7\r\n")]
#[case::negative_length("content-length: -6\r\n")]
#[case::length_with_sign("content-length: +6\r\n")]
#[case::chunked_not_last("transfer-encoding: chunked, identity\r\n")]
#[case::unknown_coding("transfer-encoding: xchunked\r\n")]
#[case::folding("x-a: one\r\n two\r\n")]
#[case::space_before_colon("content-length : 6\r\n")]
#[case::no_colon("content-length 6\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_ambiguous_framing_is_refused(#[case] headers: &str) {
    let deployment = Deployment::start(SIZE).await;
    let before = runs(&deployment);
    let head = head("POST", "/sheets/key-1", headers);
    let request = format!("{head}idempotency-key: issue-1\r\n\r\n{}", smuggled_body());
    let answer = exchange(deployment.callers(0), request.as_bytes()).await;
    assert!(
        answer.matches("HTTP/1.1 ").count() <= 1,
        "more than one answer: {answer}"
    );
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    assert_eq!(runs(&deployment), before);
}

/// With both `Content-Length` and `Transfer-Encoding` the body is delimited by the chunks, as
/// RFC 9112, section 6.3 allows. The connection is closed after the response, so that the
/// bytes after the last chunk are never read as a request.
#[rstest]
#[case::length_first("content-length: 6\r\ntransfer-encoding: chunked\r\n")]
#[case::length_last("transfer-encoding: chunked\r\ncontent-length: 6\r\n")]
#[case::keep_alive("connection: keep-alive\r\ncontent-length: 6\r\ntransfer-encoding: chunked\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_smuggled_by_two_lengths_never_runs(#[case] headers: &str) {
    let deployment = Deployment::start(SIZE).await;
    let before = runs(&deployment);
    let head = head("POST", "/sheets/key-1", headers);
    let request = format!("{head}idempotency-key: issue-1\r\n\r\n{}", smuggled_body());
    let answer = exchange(deployment.callers(0), request.as_bytes()).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert_eq!(runs(&deployment) - before, deployment.runs("issue-1"));
}

#[rstest]
#[case::one_long_header(format!("x-a: {}\r\n", "a".repeat(100_000)))]
#[case::many_headers("x-a: b\r\n".repeat(5_000))]
#[tokio::test(flavor = "multi_thread")]
async fn headers_over_the_limit_are_refused_with_431(#[case] headers: String) {
    let deployment = Deployment::start(SIZE).await;
    let request = head("GET", "/sheets/key-1", &headers) + "\r\n";
    let answer = exchange(deployment.callers(0), request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    deployment.until_served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_with_413() {
    let deployment = Deployment::start(SIZE).await;
    let body = vec![b'x'; (1 << 20) + 1];
    let headers = [("idempotency-key", "issue-1")];
    let answer = deployment
        .send(0, Method::POST, "/sheets/key-1", &headers, &body)
        .await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.json()["outcome"], "not-run");
    assert_eq!(deployment.runs("issue-1"), 0);
}

/// The caller sends a byte every 100 ms and never completes the head, which would hold the
/// connection open forever without a header timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_sends_its_head_too_slowly_is_disconnected() {
    let deployment = Deployment::start(SIZE).await;
    let mut stream = TcpStream::connect(deployment.callers(0)).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let trickle = async {
        while writer.write_all(b"G").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let mut answer = Vec::new();
    tokio::select! {
        () = trickle => {}
        end = timeout(WAIT_LIMIT, reader.read_to_end(&mut answer)) => {
            assert!(end.is_ok(), "the connection stays open");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_idle_connections_are_closed_and_block_no_request() {
    const IDLE: usize = 1_000;
    let deployment = Deployment::start(SIZE).await;
    let mut idle = Vec::with_capacity(IDLE);
    for index in 0..IDLE {
        let mut stream = TcpStream::connect(deployment.callers(0)).await.unwrap();
        // One in ten sends a request before it becomes idle.
        if index.is_multiple_of(10) {
            let request = head("GET", "/sheets/key-1", "") + "\r\n";
            stream.write_all(request.as_bytes()).await.unwrap();
        }
        idle.push(stream);
    }
    let answer = deployment
        .send(0, Method::GET, "/sheets/key-1", &[], b"")
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    for mut stream in idle {
        read_to_end(&mut stream).await;
    }
}

/// A caller sends headers that only routers may set. They must not reach the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_set_the_shard_or_the_epoch() {
    let deployment = Deployment::start(SIZE).await;
    let headers = [
        ("eelgrassrock-shard", "4711"),
        ("eelgrassrock-epoch", "4711"),
        ("eelgrassrock-deadline-ms", "0"),
        ("eelgrassrock-partner", "somebody"),
        ("connection", "eelgrassrock-request-id"),
    ];
    let answer = deployment
        .send(0, Method::GET, "/sheets/key-1", &headers, b"")
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_ne!(answer.json()["shard"], 4711);
    assert_ne!(answer.json()["epoch"], 4711);
}
