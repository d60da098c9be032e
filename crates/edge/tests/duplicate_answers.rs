//! Upstreams that send an answer twice, late, or followed by other bytes. A caller gets its own
//! answer or an error, and never the answer to another request.

mod support;

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

/// What follows the first answer on a connection.
#[derive(Clone, Copy, Debug)]
enum Extra {
    /// The same answer again, as if it were for the next request.
    Duplicate,
    /// An answer without the identifier of a request.
    WithoutId,
    /// Bytes beyond the announced length that are not an answer.
    Garbage,
    /// The same answer in two writes, the second one 20 ms later.
    TwoWrites,
    /// The same answer after an interim answer.
    AfterInterim,
}

/// Time at which the extra bytes are sent.
#[derive(Clone, Copy, Debug)]
enum When {
    /// This many milliseconds after the answer.
    After(u64),
    /// When the next request on the connection has arrived.
    NextRequest,
}

async fn send_extra(stream: &mut TcpStream, extra: Extra, id: &str) -> std::io::Result<()> {
    let duplicate = answer(Some(id), &format!("for {id}"));
    match extra {
        Extra::Duplicate => stream.write_all(duplicate.as_bytes()).await,
        Extra::WithoutId => stream.write_all(answer(None, "for whom?").as_bytes()).await,
        Extra::Garbage => stream.write_all(b"\x00\x01 bytes of nothing\r\n").await,
        Extra::TwoWrites => {
            let (first, second) = duplicate.as_bytes().split_at(25);
            stream.write_all(first).await?;
            sleep(Duration::from_millis(20)).await;
            stream.write_all(second).await
        }
        Extra::AfterInterim => {
            stream
                .write_all(b"HTTP/1.1 103 Early Hints\r\n\r\n")
                .await?;
            stream.write_all(duplicate.as_bytes()).await
        }
    }
}

/// Answers the requests of one connection, and sends extra bytes after the first answer.
async fn serve(mut stream: TcpStream, extra: Extra, when: When) -> Option<()> {
    let first = head(&mut stream).await?;
    let id = field(&first, "x-id").to_owned();
    let own = answer(Some(&id), &format!("for {id}"));
    stream.write_all(own.as_bytes()).await.ok()?;
    if let When::After(ms) = when {
        sleep(Duration::from_millis(ms)).await;
        send_extra(&mut stream, extra, &id).await.ok()?;
    }
    let mut is_next = true;
    loop {
        let next = head(&mut stream).await?;
        if is_next && matches!(when, When::NextRequest) {
            send_extra(&mut stream, extra, &id).await.ok()?;
        }
        is_next = false;
        let id = field(&next, "x-id");
        let own = answer(Some(id), &format!("for {id}"));
        stream.write_all(own.as_bytes()).await.ok()?;
    }
}

/// Guards against an answer that reaches the caller of another request. The requests follow each
/// other at intervals around the delays of the extra bytes, so that these arrive while the kept
/// connection is idle, as it is reused, and afterwards.
#[rstest]
#[tokio::test]
async fn no_caller_gets_the_duplicate_of_another_answer(
    #[values(
        Extra::Duplicate,
        Extra::WithoutId,
        Extra::Garbage,
        Extra::TwoWrites,
        Extra::AfterInterim
    )]
    extra: Extra,
    #[values(
        When::After(0),
        When::After(1),
        When::After(50),
        When::After(400),
        When::NextRequest
    )]
    when: When,
) {
    let store = Store::default();
    let address = upstream(move |stream| serve(stream, extra, when)).await;
    let server = Server::at("up-0", address);
    store.register("sheets", &server);
    let routes = vec![
        route("/read/", Repeat::Idempotent, "sheets"),
        route("/issue/", Repeat::Once, "sheets"),
    ];
    store.configure(1, routes, &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let mut own = 0;
    for (n, pause_ms) in [0, 0, 1, 2, 5, 45, 51, 60, 395, 405, 0]
        .into_iter()
        .enumerate()
    {
        sleep(Duration::from_millis(pause_ms)).await;
        let id = format!("r{n}");
        let request = if n % 2 == 0 {
            get("/read/1", HOST, &id, 1_000)
        } else {
            post("/issue/1", &id, 1_000, "")
        };
        let answer = send(router.settings.front, request).await.unwrap();
        if answer.status() == 200 {
            assert_eq!(answer.body(), &format!("for {id}"));
            own += 1;
        } else {
            assert_eq!(answer.status(), 502, "{id}");
            assert!(!answer.body().starts_with(b"for "), "{id}");
        }
    }
    assert!(own >= 7, "{own} of 11 answered: {}", router.lines.text());
}
