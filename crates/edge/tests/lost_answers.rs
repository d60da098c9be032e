//! Answers that are lost between upstream and router: which requests are repeated, and which status
//! the caller gets.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::raw::{answer, field, head, upstream};
use support::upstream::Server;
use support::{Router, get, post, send};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const HOST: &str = "sheets.example";

/// Part of the answer that arrives.
#[derive(Clone, Copy, Debug)]
enum Received {
    Nothing,
    PartialHead,
    Head,
    PartialBody,
}

/// State of the connection after that part.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Close,
    Reset,
    Hang,
}

/// Runs requests, and loses the answer to the first one that reaches either upstream.
async fn serve(
    mut stream: TcpStream,
    runs: Arc<AtomicUsize>,
    received: Received,
    ending: Ending,
) -> Option<()> {
    loop {
        let request = head(&mut stream).await?;
        let id = field(&request, "x-id").to_owned();
        let body = format!("for {id}");
        let complete = answer(Some(&id), &body);
        if runs.fetch_add(1, Ordering::Relaxed) > 0 {
            stream.write_all(complete.as_bytes()).await.ok()?;
            continue;
        }
        let length = match received {
            Received::Nothing => 0,
            Received::PartialHead => 20,
            Received::Head => complete.len() - body.len(),
            Received::PartialBody => complete.len() - 2,
        };
        stream
            .write_all(&complete.as_bytes()[..length])
            .await
            .ok()?;
        stream.flush().await.ok()?;
        match ending {
            Ending::Close => return None,
            Ending::Reset => {
                // Gives the written bytes time to arrive before the reset.
                sleep(Duration::from_millis(20)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return None;
            }
            Ending::Hang => sleep(Duration::from_secs(20)).await,
        }
    }
}

/// An idempotent request is repeated at the other upstream. Any other request runs once, and its
/// caller gets 502 or 504 without `retry-after`, since the request may have run.
#[rstest]
#[tokio::test]
async fn a_request_whose_answer_is_lost_is_repeated_only_if_it_is_idempotent(
    #[values(
        Received::Nothing,
        Received::PartialHead,
        Received::Head,
        Received::PartialBody
    )]
    received: Received,
    #[values(Ending::Close, Ending::Reset, Ending::Hang)] ending: Ending,
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
) {
    let runs = Arc::new(AtomicUsize::new(0));
    let store = Store::default();
    for name in ["up-0", "up-1"] {
        let runs = Arc::clone(&runs);
        let address =
            upstream(move |stream| serve(stream, Arc::clone(&runs), received, ending)).await;
        store.register("sheets", &Server::at(name, address));
    }
    store.configure(1, vec![route("/v1/", repeat, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let request = match repeat {
        Repeat::Idempotent => get("/v1/1", HOST, "r1", 1_500),
        Repeat::Once => post("/v1/1", "r1", 1_500, ""),
    };
    let response = send(router.settings.front, request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    match repeat {
        Repeat::Idempotent => {
            assert_eq!(response.status(), 200, "{}", router.lines.text());
            assert_eq!(response.body(), "for r1");
            assert_eq!(runs.load(Ordering::Relaxed), 2);
        }
        Repeat::Once => {
            let status = if matches!(ending, Ending::Hang) {
                504
            } else {
                502
            };
            assert_eq!(response.status(), status, "{}", router.lines.text());
            assert!(!response.headers().contains_key("retry-after"));
            assert_eq!(runs.load(Ordering::Relaxed), 1);
        }
    }
    // Later requests are answered.
    let next = send(router.settings.front, get("/v1/2", HOST, "r2", 1_500));
    let next = next.await.unwrap();
    assert_eq!(
        (next.status().as_u16(), &next.body()[..]),
        (200, &b"for r2"[..])
    );
}
