//! Answers that are lost on their way from the upstream: what is sent again, and
//! what the caller is told.

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

/// How much of the answer arrives.
#[derive(Clone, Copy, Debug)]
enum Arrives {
    Nothing,
    PartOfTheHead,
    TheHead,
    PartOfTheBody,
}

/// What happens then.
#[derive(Clone, Copy, Debug)]
enum Then {
    Close,
    Reset,
    Silence,
}

/// Runs requests, and loses the answer to the first of all.
async fn serve(
    mut stream: TcpStream,
    runs: Arc<AtomicUsize>,
    arrives: Arrives,
    then: Then,
) -> Option<()> {
    loop {
        let request = head(&mut stream).await?;
        let id = field(&request, "x-id").to_owned();
        let body = format!("for {id}");
        let whole = answer(Some(&id), &body);
        if runs.fetch_add(1, Ordering::Relaxed) > 0 {
            stream.write_all(whole.as_bytes()).await.ok()?;
            continue;
        }
        let length = match arrives {
            Arrives::Nothing => 0,
            Arrives::PartOfTheHead => 20,
            Arrives::TheHead => whole.len() - body.len(),
            Arrives::PartOfTheBody => whole.len() - 2,
        };
        stream.write_all(&whole.as_bytes()[..length]).await.ok()?;
        stream.flush().await.ok()?;
        match then {
            Then::Close => return None,
            Then::Reset => {
                // What was written arrives before the reset.
                sleep(Duration::from_millis(20)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return None;
            }
            Then::Silence => sleep(Duration::from_secs(20)).await,
        }
    }
}

/// A read is answered by the other upstream; a write runs once, and its caller isn't
/// told that it hasn't run.
#[rstest]
#[tokio::test]
async fn what_has_run_is_not_said_to_have_not(
    #[values(
        Arrives::Nothing,
        Arrives::PartOfTheHead,
        Arrives::TheHead,
        Arrives::PartOfTheBody
    )]
    arrives: Arrives,
    #[values(Then::Close, Then::Reset, Then::Silence)] then: Then,
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
) {
    let runs = Arc::new(AtomicUsize::new(0));
    let store = Store::default();
    for name in ["up-0", "up-1"] {
        let runs = Arc::clone(&runs);
        let address = upstream(move |stream| serve(stream, Arc::clone(&runs), arrives, then)).await;
        store.register("sheets", &Server::at(name, address));
    }
    store.configure(1, vec![route("/v1/", repeat, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let request = match repeat {
        Repeat::Idempotent => get("/v1/1", HOST, "r1", 1_500),
        Repeat::Once => post("/v1/1", "r1", 1_500, ""),
    };
    let told = send(router.settings.front, request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    match repeat {
        Repeat::Idempotent => {
            assert_eq!(told.status(), 200, "{}", router.lines.text());
            assert_eq!(told.body(), "for r1");
            assert_eq!(runs.load(Ordering::Relaxed), 2);
        }
        Repeat::Once => {
            let status = if matches!(then, Then::Silence) {
                504
            } else {
                502
            };
            assert_eq!(told.status(), status, "{}", router.lines.text());
            assert!(!told.headers().contains_key("retry-after"));
            assert_eq!(runs.load(Ordering::Relaxed), 1);
        }
    }
    // The next one finds an upstream that answers.
    let next = send(router.settings.front, get("/v1/2", HOST, "r2", 1_500));
    let next = next.await.unwrap();
    assert_eq!(
        (next.status().as_u16(), &next.body()[..]),
        (200, &b"for r2"[..])
    );
}
