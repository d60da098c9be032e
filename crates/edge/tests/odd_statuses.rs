//! Answers whose status is none. An upstream in trouble may send them; a caller must not get one as an
//! answer, and the request may have run.

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use http::Response;
use hyper::body::Bytes;
use rstest::rstest;
use support::platform::{Store, route};
use support::raw::{answer, field, head, upstream};
use support::upstream::Server;
use support::{Router, free_address, get, post, send};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time after which a router knows the others.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a hedge has been sent.
const SLOW_ANSWER: Duration = Duration::from_millis(900);
const EARLY_HINTS_INTERVAL: Duration = Duration::from_millis(20);

/// Answers a request with a status, as the end of an exchange that looks like any other.
async fn answer_oddly(stream: &mut TcpStream, status: &str, id: &str) -> Option<()> {
    let fields = format!("x-id: {id}\r\neelgrassrock-outcome: answered\r\ncontent-length: 3\r\n");
    let answer = format!("HTTP/1.1 {status} Odd\r\n{fields}\r\nodd");
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Starts an upstream that answers all requests with a status, and counts them.
async fn odd(status: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |mut stream| {
        let count = Arc::clone(&count);
        async move {
            loop {
                let request = head(&mut stream).await?;
                count.fetch_add(1, Ordering::Relaxed);
                answer_oddly(&mut stream, status, field(&request, "x-id")).await?;
            }
        }
    })
    .await;
    (address, runs)
}

/// Starts a router in front of these upstreams.
async fn router(addresses: &[SocketAddr], repeat: Repeat) -> (Store, Router) {
    router_beside(None, addresses, repeat).await
}

/// The same, beside another router.
async fn router_beside(
    other: Option<SocketAddr>,
    addresses: &[SocketAddr],
    repeat: Repeat,
) -> (Store, Router) {
    let store = Store::default();
    if let Some(address) = other {
        store.add_router("router-2", address);
    }
    for (n, address) in addresses.iter().enumerate() {
        store.register("sheets", &Server::at(&format!("up-{n}"), *address));
    }
    store.configure(1, vec![route("/v1/", repeat, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    (store, router)
}

async fn call(router: &Router, repeat: Repeat, id: &str) -> Response<Bytes> {
    let request = match repeat {
        Repeat::Idempotent => get("/v1/1", HOST, id, 1_500),
        Repeat::Once => post("/v1/1", id, 1_500, "body"),
    };
    send(router.settings.front, request).await.unwrap()
}

#[rstest]
#[tokio::test]
async fn a_status_that_is_none_is_no_answer(
    #[values("000", "099", "101", "600", "999", "99", "0200")] status: &'static str,
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
) {
    let (address, runs) = odd(status).await;
    let (_store, router) = router(&[address], repeat).await;
    let answer = call(&router, repeat, "r").await;
    assert_eq!(answer.status(), 502, "{}", router.lines.text());
    assert_ne!(answer.body(), "odd");
    assert_eq!(runs.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn interim_answers_without_end_are_no_answer() {
    let address = upstream(|mut stream| async move {
        head(&mut stream).await?;
        loop {
            let hints = b"HTTP/1.1 103 Early Hints\r\n\r\n";
            stream.write_all(hints).await.ok()?;
            sleep(EARLY_HINTS_INTERVAL).await;
        }
    })
    .await;
    let (_store, router) = router(&[address], Repeat::Once).await;
    assert_eq!(call(&router, Repeat::Once, "r").await.status(), 504);
}

#[rstest]
#[tokio::test]
async fn a_read_is_repeated_at_another_upstream(
    #[values("000", "101", "600", "999")] status: &'static str,
) {
    let (bad, runs) = odd(status).await;
    let good = Server::start("good").await;
    let (_store, router) = router(&[bad, good.address], Repeat::Idempotent).await;
    for n in 0..4 {
        let answer = call(&router, Repeat::Idempotent, &format!("r{n}")).await;
        assert_eq!(answer.status(), 200, "{}", router.lines.text());
    }
    assert!(runs.load(Ordering::Relaxed) > 0);
}

/// The first send of each request is answered late, and its hedge oddly.
#[rstest]
#[tokio::test]
async fn a_hedge_without_a_status_does_not_win(
    #[values("000", "101", "600", "999")] status: &'static str,
) {
    let seen = Arc::new(Mutex::new(HashSet::new()));
    let hedges = Arc::new(AtomicUsize::new(0));
    let mut addresses = Vec::new();
    for _ in 0..2 {
        let (seen, hedges) = (Arc::clone(&seen), Arc::clone(&hedges));
        let serve = move |mut stream: TcpStream| {
            let (seen, hedges) = (Arc::clone(&seen), Arc::clone(&hedges));
            async move {
                let request = head(&mut stream).await?;
                let id = field(&request, "x-id").to_owned();
                if seen.lock().unwrap().insert(id.clone()) {
                    sleep(SLOW_ANSWER).await;
                    let answer = answer(Some(&id), "own");
                    return stream.write_all(answer.as_bytes()).await.ok();
                }
                hedges.fetch_add(1, Ordering::Relaxed);
                answer_oddly(&mut stream, status, &id).await
            }
        };
        addresses.push(upstream(serve).await);
    }
    let (_store, router) = router(&addresses, Repeat::Idempotent).await;
    let answer = call(&router, Repeat::Idempotent, "r").await;
    assert_eq!(answer.status(), 200, "{}", router.lines.text());
    assert_eq!(answer.body(), "own");
    assert_eq!(hedges.load(Ordering::Relaxed), 1);
}

/// The router can't reach the upstream, and the other one that it asks answers with an odd status.
#[rstest]
#[tokio::test]
async fn another_router_without_a_status_has_not_answered(
    #[values("000", "101", "600", "999")] status: &'static str,
) {
    let (peer, runs) = odd(status).await;
    let upstreams = [free_address()];
    let (_store, router) = router_beside(Some(peer), &upstreams, Repeat::Once).await;
    sleep(SETTLING_TIME).await;
    runs.store(0, Ordering::Relaxed);
    let mut statuses = HashSet::new();
    for n in 0..4 {
        let answer = call(&router, Repeat::Once, &format!("r{n}")).await;
        statuses.insert(answer.status().as_u16());
        assert_ne!(answer.body(), "odd", "{}", router.lines.text());
    }
    assert!(runs.load(Ordering::Relaxed) > 0, "{}", router.lines.text());
    assert!(statuses.contains(&502), "{statuses:?}");
}
