//! A planned stop: every accepted request gets its complete answer.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::platform::Store;
use support::upstream::{Behaviour, Server};
use support::{Router, eventually, raw, serving};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const HOST: &str = "sheets.example";
const GRACE: Duration = Duration::from_secs(6);
/// More than the socket buffers of both sides hold.
const LARGE_BYTES: usize = 16 << 20;

async fn cluster() -> (Store, Server, Router) {
    let (store, server) = serving("/read/").await;
    let router = Router::start_with("router-1", &store, |settings| settings.grace = GRACE);
    router.ready().await;
    (store, server, router)
}

/// Connects a caller with a small receive buffer, so that little is buffered while it doesn't read.
async fn slow_caller(router: &Router) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.connect(router.settings.front).await.unwrap()
}

fn request(id: &str, timeout_ms: u64) -> String {
    format!(
        "GET /read/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: {id}\r\nx-timeout-ms: {timeout_ms}\r\n\r\n"
    )
}

/// Reads an answer that starts with `bytes` until the connection ends or `length` bytes of its body
/// have arrived. Returns how many bytes of the body have arrived.
async fn body_length(stream: &mut TcpStream, mut bytes: Vec<u8>, length: usize) -> usize {
    let mut buffer = vec![0; 64 << 10];
    let head_end = |bytes: &[u8]| bytes.windows(4).position(|part| part == b"\r\n\r\n");
    loop {
        // A reset counts as an end of the answer, as a close does.
        let read = stream.read(&mut buffer).await.unwrap_or_default();
        bytes.extend_from_slice(&buffer[..read]);
        let head = head_end(&bytes[..bytes.len().min(4_096)]).map_or(0, |at| at + 4);
        if read == 0 || (head > 0 && bytes.len() - head >= length) {
            return bytes.len() - head;
        }
    }
}

/// Connects a slow caller and sends its request. Returns when the request has reached the upstream.
async fn slow_request(router: &Router, server: &Server) -> TcpStream {
    let mut caller = slow_caller(router).await;
    let request = request("r1", 5_000);
    caller.write_all(request.as_bytes()).await.unwrap();
    eventually("the request", || server.runs("r1") == 1).await;
    caller
}

/// The router is stopped before the upstream answers, before the caller reads, or when the caller
/// has read a part of the answer.
#[rstest]
#[case::before_the_answer(1_500, 0)]
#[case::unread(0, 0)]
#[case::half_read(0, LARGE_BYTES / 2)]
#[tokio::test]
async fn a_large_answer_is_complete_though_its_router_stops(
    #[case] answer_ms: u64,
    #[case] read_first: usize,
) {
    let (_store, server, mut router) = cluster().await;
    server.enqueue(&[Behaviour::Large(answer_ms, LARGE_BYTES)]);
    let mut caller = slow_request(&router, &server).await;
    let mut first = vec![0; read_first];
    caller.read_exact(&mut first).await.unwrap();
    router.stop();
    // The caller continues to read at a time when a router without open requests has ended.
    sleep(GRACE.mul_f64(0.8)).await;
    assert!(router.is_running(), "ended with an open answer");
    let length = timeout(GRACE, body_length(&mut caller, first, LARGE_BYTES)).await;
    assert_eq!(length.expect("the rest of the answer"), LARGE_BYTES);
}

#[tokio::test]
async fn a_caller_that_stops_reading_delays_the_end_no_longer_than_the_grace_period() {
    let (_store, server, mut router) = cluster().await;
    server.enqueue(&[Behaviour::Large(0, LARGE_BYTES)]);
    let _caller = slow_request(&router, &server).await;
    router.stop();
    sleep(GRACE).await;
    assert!(!router.is_running());
}

/// Connections without an open request don't delay the end of the router.
#[tokio::test]
async fn idle_connections_are_closed_before_the_grace_period_ends() {
    let (_store, _server, mut router) = cluster().await;
    let mut fresh = slow_caller(&router).await;
    let mut kept = slow_caller(&router).await;
    kept.write_all(request("r1", 1_000).as_bytes())
        .await
        .unwrap();
    assert!(body_length(&mut kept, Vec::new(), 1).await > 0);
    router.stop();
    let mut late = slow_caller(&router).await;
    sleep(GRACE.mul_f64(0.85)).await;
    assert!(!router.is_running());
    for stream in [&mut fresh, &mut kept, &mut late] {
        let mut rest = Vec::new();
        let end = timeout(Duration::from_secs(1), stream.read_to_end(&mut rest)).await;
        end.expect("the end of the connection").unwrap();
    }
}

/// Outcome of the requests of one caller.
#[derive(Debug, Default)]
struct Tally {
    answered: usize,
    /// Requests that the router accepted and closed without an answer.
    lost: Vec<String>,
}

/// Sends requests one after the other until connections are refused. With `is_keep_alive`, a
/// connection is reused until the router closes it; otherwise each request gets a new one.
async fn send_until_refused(
    front: std::net::SocketAddr,
    name: usize,
    is_keep_alive: bool,
) -> Tally {
    let mut tally = Tally::default();
    let mut open: Option<TcpStream> = None;
    for n in 0.. {
        let mut stream = match open.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(front).await {
                Ok(stream) => stream,
                Err(_) => return tally,
            },
        };
        let id = format!("c{name}-{n}");
        let is_sent = stream.write_all(request(&id, 800).as_bytes()).await.is_ok();
        let head = timeout(Duration::from_secs(3), answer_head(&mut stream)).await;
        match head.expect("an answer or the end of the connection") {
            Some(head) => {
                tally.answered += 1;
                if is_keep_alive && !head.contains("connection: close") {
                    open = Some(stream);
                }
            }
            // Connections that the router has not accepted are reset once it stops listening.
            None if TcpStream::connect(front).await.is_err() => return tally,
            None if is_sent => tally.lost.push(id),
            None => {}
        }
    }
    tally
}

/// Reads one answer and returns its head in lower case, or `None` if the connection ended first.
async fn answer_head(stream: &mut TcpStream) -> Option<String> {
    let head = raw::head(stream).await?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length?.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Callers send requests on new and on kept connections from before the stop until the router has
/// ended. Each accepted request gets an answer.
#[tokio::test]
async fn no_request_is_cut_off_by_a_stop_under_load() {
    let (_store, server, mut router) = cluster().await;
    server.enqueue(&vec![Behaviour::Answer(40); 20_000]);
    let front = router.settings.front;
    let callers: Vec<_> = (0..24)
        .map(|name| tokio::spawn(send_until_refused(front, name, name % 2 == 0)))
        .collect();
    sleep(Duration::from_millis(500)).await;
    router.stop();
    for caller in callers {
        let tally = caller.await.unwrap();
        assert!(tally.answered > 5, "{tally:?}");
        assert_eq!(tally.lost, Vec::<String>::new());
    }
}

/// The rest of the head and the body of a request arrive after the router was asked to stop.
#[tokio::test]
async fn a_request_that_has_partly_arrived_gets_its_answer() {
    let (_store, server, mut router) = cluster().await;
    let mut caller = slow_caller(&router).await;
    let head = "GET /read/1 HTTP/1.1\r\nhost: sheets.example\r\nx-id: r1\r\n";
    let rest = "x-timeout-ms: 2000\r\ncontent-length: 8\r\n\r\nhalf";
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    router.stop();
    sleep(Duration::from_millis(300)).await;
    caller.write_all(rest.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    caller.write_all(b"half").await.unwrap();
    let answer = timeout(Duration::from_secs(2), answer_head(&mut caller)).await;
    let answer = answer.unwrap().expect("an answer");
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(server.runs("r1"), 1);
}

/// Requests come in so late that their time ends about when the process does.
#[tokio::test]
async fn requests_whose_time_ends_with_the_grace_period_are_answered() {
    let (store, server) = serving("/read/").await;
    let mut router = Router::start_with("router-1", &store, |settings| {
        settings.grace = GRACE;
        settings.link_mbit_per_s = 1e6;
    });
    router.ready().await;
    // The process goes on while an answer is on its way to a caller.
    server.enqueue(&[Behaviour::Large(0, LARGE_BYTES)]);
    let _slow = slow_request(&router, &server).await;
    server.enqueue(&[Behaviour::Answer(20_000); 40]);
    router.stop();
    let stopped = std::time::Instant::now();
    // The process ends 400 ms before the grace period does.
    let end = GRACE - Duration::from_millis(400);
    let sends = end - Duration::from_millis(700);
    let mut callers = Vec::new();
    for number in 0..40_u64 {
        let at = sends + Duration::from_millis(number);
        sleep(at.saturating_sub(stopped.elapsed())).await;
        let mut caller = TcpStream::connect(router.settings.front).await.unwrap();
        let left = (end - stopped.elapsed()).as_millis() as u64;
        let request = request(&format!("late-{number}"), left - 10 + number / 2);
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        let mut answer = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(Ok(read)) = timeout(GRACE, caller.read(&mut buffer)).await
            && read > 0
        {
            answer.extend_from_slice(&buffer[..read]);
        }
        let answer = String::from_utf8_lossy(&answer);
        assert!(
            answer.starts_with("HTTP/1.1 50"),
            "request {number}: {answer:?}\n{}",
            router.lines.text()
        );
    }
}
