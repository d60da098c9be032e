//! Upstreams that send bytes without end in a head, in a body or after a complete answer. The
//! router closes their connections in time, passes on no such answer as complete, and keeps serving
//! other upstreams.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::raw::{answer, field, head, upstream};
use support::upstream::Server;
use support::{Router, eventually, get, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const HOST: &str = "sheets.example";
/// Time that a caller waits.
const TIMEOUT_MS: u64 = 900;
/// Time after the timeout within which the caller's connection ends, and then the connections to
/// the upstream.
const SLACK: Duration = Duration::from_millis(500);
/// Limit of the bytes that a router reads outside of a body.
const MAX_NOISE_BYTES: usize = 8 << 20;

/// Part of the answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    /// The status line.
    StatusLine,
    /// The value of a header field.
    HeaderValue,
    /// A sequence of header fields.
    HeaderFields,
    /// A sequence of interim answers.
    InterimAnswers,
    /// The size of a chunk.
    ChunkSize,
    /// The extension after the size of a chunk.
    ChunkExtension,
    /// The trailer fields.
    Trailer,
    /// A sequence of chunks.
    Chunks,
    /// A body without a length.
    NoLength,
    /// A body with a content length of almost 1 TB.
    HugeLength,
    /// Bytes after a complete answer on a kept connection.
    AfterAnswer,
}

impl Part {
    /// Returns the beginning of the answer, and the bytes that are repeated after it.
    fn bytes(self, id: &str) -> (String, &'static [u8]) {
        let head = |rest: &str| format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{rest}");
        let chunked = |rest: &str| head(&format!("transfer-encoding: chunked\r\n\r\n{rest}"));
        match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), b"OK"),
            Self::HeaderValue => (head("x-noise: "), b"noise"),
            Self::HeaderFields => (head(""), b"x-noise: noise\r\n"),
            Self::InterimAnswers => (String::new(), b"HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::ChunkSize => (chunked(""), b"0"),
            Self::ChunkExtension => (chunked("5;"), b"noise"),
            Self::Trailer => (chunked("4\r\nbody\r\n0\r\n"), b"x-noise: noise\r\n"),
            Self::Chunks => (chunked(""), b"8\r\nno-noise\r\n"),
            Self::NoLength => (head("connection: close\r\n\r\n"), b"noise"),
            Self::HugeLength => (head("content-length: 999999999999\r\n\r\n"), b"noise"),
            Self::AfterAnswer => (answer(Some(id), "own"), b"noise"),
        }
    }

    /// Returns whether the bytes belong to a body, which the router passes on as it arrives.
    fn is_body(self) -> bool {
        matches!(self, Self::Chunks | Self::NoLength | Self::HugeLength)
    }
}

/// Rate at which the bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Speed {
    /// As fast as the connection accepts them.
    Full,
    /// One byte every 40 ms.
    Trickle,
}

#[derive(Default)]
struct Counters {
    /// Number of connections on which bytes are being sent.
    open: AtomicUsize,
    /// Number of bytes sent without end, on all connections.
    sent: AtomicUsize,
}

/// Sends the beginning of an answer, and then bytes until the connection is closed.
async fn flood(
    mut stream: TcpStream,
    part: Part,
    speed: Speed,
    counters: Arc<Counters>,
) -> Option<()> {
    let request = head(&mut stream).await?;
    let (beginning, bytes) = part.bytes(field(&request, "x-id"));
    stream.write_all(beginning.as_bytes()).await.ok()?;
    counters.open.fetch_add(1, Ordering::Relaxed);
    let repeated = bytes.repeat(8_192 / bytes.len());
    loop {
        let written = match speed {
            Speed::Full => stream.write(&repeated).await,
            Speed::Trickle => {
                sleep(Duration::from_millis(40)).await;
                let next = counters.sent.load(Ordering::Relaxed) % bytes.len();
                stream.write(&bytes[next..=next]).await
            }
        };
        match written {
            Ok(length) => counters.sent.fetch_add(length, Ordering::Relaxed),
            Err(_) => break,
        };
    }
    counters.open.fetch_sub(1, Ordering::Relaxed);
    None
}

/// Sends a request. Returns the head of the answer in lower case, and all bytes after it until the
/// connection ended.
async fn call(router: &Router, path: &str) -> (String, Vec<u8>) {
    let mut stream = TcpStream::connect(router.settings.front).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-id: r1\r\nx-timeout-ms: {TIMEOUT_MS}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let beginning = head(&mut stream).await.unwrap_or_default();
    let mut rest = Vec::new();
    // A connection that the router aborts may end with an error.
    let _ = stream.read_to_end(&mut rest).await;
    (beginning, rest)
}

/// Returns whether an answer looks complete to its caller.
fn looks_complete(beginning: &str, rest: &[u8]) -> bool {
    let length = field(beginning, "content-length");
    if beginning.contains("transfer-encoding: chunked") {
        rest.ends_with(b"0\r\n\r\n")
    } else {
        length.parse() == Ok(rest.len())
    }
}

async fn cluster(part: Part, speed: Speed) -> (Router, Arc<Counters>, Server) {
    let store = Store::default();
    let counters = Arc::new(Counters::default());
    let counting = Arc::clone(&counters);
    let address = upstream(move |stream| flood(stream, part, speed, Arc::clone(&counting))).await;
    store.register("sheets", &Server::at("up-0", address));
    let other = Server::start("up-1").await;
    store.register("labels", &other);
    let routes = vec![
        route("/read/", Repeat::Idempotent, "sheets"),
        route("/issue/", Repeat::Once, "sheets"),
        route("/label/", Repeat::Idempotent, "labels"),
    ];
    store.configure(1, routes, &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    (router, counters, other)
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_answer_is_cut_off_in_time(
    #[values(
        Part::StatusLine,
        Part::HeaderValue,
        Part::HeaderFields,
        Part::InterimAnswers,
        Part::ChunkSize,
        Part::ChunkExtension,
        Part::Trailer,
        Part::Chunks,
        Part::NoLength,
        Part::HugeLength,
        Part::AfterAnswer
    )]
    part: Part,
    #[values(Speed::Full, Speed::Trickle)] speed: Speed,
    #[values("/read/1", "/issue/1")] path: &str,
) {
    let (router, counters, _other) = cluster(part, speed).await;
    let began = Instant::now();
    let limit = Duration::from_millis(TIMEOUT_MS) + SLACK;
    let (beginning, rest) = timeout(limit, call(&router, path))
        .await
        .unwrap_or_else(|_| panic!("still open: {}", router.lines.text()));
    if part == Part::AfterAnswer {
        assert!(beginning.starts_with("http/1.1 200"), "{beginning}");
        assert_eq!(rest, b"own");
    } else if beginning.starts_with("http/1.1 200") {
        assert!(part.is_body(), "{beginning}");
        assert!(!looks_complete(&beginning, &rest), "{beginning}");
    } else {
        // The router doesn't know whether the request has run.
        let is_unknown =
            beginning.starts_with("http/1.1 502") || beginning.starts_with("http/1.1 504");
        assert!(is_unknown, "{beginning}");
    }
    eventually("the end of the upstream's connections", || {
        counters.open.load(Ordering::Relaxed) == 0
    })
    .await;
    let span = began.elapsed();
    assert!(span < limit + SLACK, "closed only after {span:?}");
    // The router discards interim answers and the leading zeros of a chunk size as they arrive, so
    // the limit doesn't apply to them.
    let is_kept = !part.is_body() && !matches!(part, Part::InterimAnswers | Part::ChunkSize);
    if is_kept {
        let sent = counters.sent.load(Ordering::Relaxed);
        assert!(sent < MAX_NOISE_BYTES, "{sent} bytes read");
    }
}

/// Ten connections receive bytes without end while another caller sends requests to another
/// upstream.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_do_not_delay_answers_of_other_upstreams(
    #[values(
        Part::HeaderFields,
        Part::InterimAnswers,
        Part::Chunks,
        Part::HugeLength
    )]
    part: Part,
) {
    let (router, _counters, _other) = cluster(part, Speed::Full).await;
    let front = router.settings.front;
    let flooded: Vec<_> = (0..10)
        .map(|n| {
            let request = get("/read/1", HOST, &format!("r{n}"), TIMEOUT_MS);
            tokio::spawn(async move { send(front, request).await.map(|answer| answer.status()) })
        })
        .collect();
    sleep(Duration::from_millis(50)).await;
    let mut spans = Vec::new();
    for n in 0..20 {
        let began = Instant::now();
        let answer = send(front, get("/label/1", HOST, &format!("l{n}"), 1_000)).await;
        assert_eq!(answer.unwrap().status(), 200);
        spans.push(began.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    spans.sort_unstable();
    let median = spans[spans.len() / 2];
    assert!(median < Duration::from_millis(150), "{spans:?}");
    for caller in flooded {
        // Each request ends, with an error answer or an aborted connection.
        let _ = timeout(Duration::from_secs(3), caller)
            .await
            .expect("an end");
    }
}

/// After several answers that were cut off, the router pauses the upstream, so that other upstreams
/// get its requests.
#[tokio::test]
async fn an_upstream_whose_answers_are_cut_off_is_paused() {
    let (router, _counters, _other) = cluster(Part::Chunks, Speed::Full).await;
    for _ in 0..3 {
        call(&router, "/read/1").await;
    }
    eventually("a line", || router.lines.text().contains("answer cut")).await;
    eventually("a pause", || {
        router.lines.text().contains("upstream paused")
    })
    .await;
}

/// Sends three quarters of an answer, and the rest 1.5 s later.
async fn stall(mut stream: TcpStream) -> Option<()> {
    let request = head(&mut stream).await?;
    let body = "x".repeat(LARGE_BYTES);
    let complete = answer(Some(field(&request, "x-id")), &body);
    let (first, rest) = complete.split_at(LARGE_BYTES * 3 / 4);
    stream.write_all(first.as_bytes()).await.ok()?;
    sleep(Duration::from_millis(1_500)).await;
    stream.write_all(rest.as_bytes()).await.ok()
}

const LARGE_BYTES: usize = 200 << 10;

/// Guards against a small VM that runs out of memory when many large answers are open at once. The
/// memory for bodies is bounded, and all answers are still complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_memory_of_large_answers_is_bounded() {
    const MEMORY_BYTES: usize = 8_000_000;
    let store = Store::default();
    let address = upstream(stall).await;
    store.register_as("sheets", &Server::at("up-0", address), |upstream| {
        upstream.slots = 60;
    });
    let routes = vec![route("/read/", Repeat::Idempotent, "sheets")];
    store.configure(1, routes, &[]);
    let router = Router::start_with("router-1", &store, |settings| {
        settings.memory = MEMORY_BYTES as u64;
    });
    router.ready().await;
    let front = router.settings.front;
    let callers: Vec<_> = (0..40)
        .map(|n| {
            let request = get("/read/1", HOST, &format!("r{n}"), 3_000);
            tokio::spawn(async move { send(front, request).await.unwrap() })
        })
        .collect();
    sleep(Duration::from_millis(800)).await;
    let page = send(router.settings.metrics, get("/metrics", HOST, "m", 1_000)).await;
    let page = String::from_utf8(page.unwrap().body().to_vec()).unwrap();
    let used = page
        .lines()
        .find_map(|line| line.strip_prefix("eelgrassrock_body_bytes "));
    let used: usize = used.unwrap().parse().unwrap();
    // A quarter of the memory, and one frame of 16 KiB per answer.
    let limit = MEMORY_BYTES / 4 + 40 * (16 << 10);
    assert!((1..limit).contains(&used), "{used}");
    for caller in callers {
        let answer = caller.await.unwrap();
        assert_eq!(
            (answer.status().as_u16(), answer.body().len()),
            (200, LARGE_BYTES)
        );
    }
}
