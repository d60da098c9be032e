//! Upstreams that stop at any byte of an answer and close or reset the connection. A caller gets
//! the whole body or no answer that looks complete.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::raw::{field, head, upstream};
use support::upstream::Server;
use support::{Router, post, send};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const BODY: &str = "the whole body";

/// How an answer tells the end of its body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    /// Two chunks.
    Chunked,
    /// The end of the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Close,
    Reset,
}

/// Returns the head and the body of a complete answer.
fn complete(framing: Framing, id: &str, body: &str) -> (String, String) {
    let head = |rest: &str| format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{rest}\r\n");
    match framing {
        Framing::Length => {
            let length = body.len();
            (head(&format!("content-length: {length}\r\n")), body.into())
        }
        Framing::Chunked => {
            let (first, second) = body.split_at(body.len() / 2);
            let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
            let chunks = [chunk(first), chunk(second), chunk("")].concat();
            (head("transfer-encoding: chunked\r\n"), chunks)
        }
        Framing::Close => (head("connection: close\r\n"), body.into()),
    }
}

/// Answers the first requests of a connection, and cuts the next answer.
async fn serve(
    mut stream: TcpStream,
    whole_answers: usize,
    cut: String,
    ending: Ending,
) -> Option<()> {
    for _ in 0..whole_answers {
        let request = head(&mut stream).await?;
        let (head, body) = complete(Framing::Length, field(&request, "x-id"), "before");
        stream
            .write_all(format!("{head}{body}").as_bytes())
            .await
            .ok()?;
    }
    head(&mut stream).await?;
    stream.write_all(cut.as_bytes()).await.ok()?;
    if ending == Ending::Reset {
        // Gives the written bytes time to arrive before the reset.
        sleep(Duration::from_millis(10)).await;
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
    None
}

/// Returns a router with one upstream for each cut, so that none is paused for an earlier one.
async fn cluster(cuts: &[String], whole_answers: usize, ending: Ending) -> Router {
    let store = Store::default();
    let mut routes = Vec::new();
    for (n, cut) in cuts.iter().enumerate() {
        let cut = cut.clone();
        let address =
            upstream(move |stream| serve(stream, whole_answers, cut.clone(), ending)).await;
        let service = format!("sheets-{n}");
        store.register(&service, &Server::at(&format!("up-{n}"), address));
        routes.push(route(&format!("/{n}/"), Repeat::Once, &service));
    }
    store.configure(1, routes, &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    router
}

#[rstest]
#[tokio::test]
async fn an_answer_that_is_cut_at_any_byte_never_looks_complete(
    #[values(Framing::Length, Framing::Chunked, Framing::Close)] framing: Framing,
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
    #[values(0, 1)] whole_answers: usize,
) {
    let (head, body) = complete(framing, "r1", BODY);
    // Without a length, an orderly end of the connection is the end of the body.
    let end = if framing == Framing::Close && ending == Ending::Close {
        head.len()
    } else {
        head.len() + body.len()
    };
    let answer = head + &body;
    let cuts: Vec<String> = (0..end).map(|length| answer[..length].to_owned()).collect();
    let router = cluster(&cuts, whole_answers, ending).await;
    let front = router.settings.front;
    for (n, cut) in cuts.iter().enumerate() {
        let path = format!("/{n}/1");
        if whole_answers == 1 {
            let before = send(front, post(&path, "r0", 1_000, "")).await.unwrap();
            assert_eq!(before.body(), "before");
        }
        let response = send(front, post(&path, "r1", 1_000, "")).await.unwrap();
        // The upstream may have run the request.
        assert_eq!(response.status(), 502, "{cut:?}");
    }
}

/// A large body is passed on as it arrives, so that only its end tells whether it is complete.
#[rstest]
#[case::length_and_close(Framing::Length, Ending::Close)]
#[case::length_and_reset(Framing::Length, Ending::Reset)]
#[case::chunked_and_close(Framing::Chunked, Ending::Close)]
#[case::chunked_and_reset(Framing::Chunked, Ending::Reset)]
#[case::no_length_and_reset(Framing::Close, Ending::Reset)]
#[tokio::test]
async fn a_large_answer_that_is_cut_is_not_passed_on_as_complete(
    #[case] framing: Framing,
    #[case] ending: Ending,
) {
    const LARGE_BYTES: usize = 600 << 10;
    let (head, body) = complete(framing, "r1", &"x".repeat(LARGE_BYTES));
    let answer = head + &body;
    let lengths = [
        answer.len() / 4,
        answer.len() / 2,
        answer.len() / 2 + 10,
        answer.len() - 6,
        answer.len() - 1,
    ];
    let cuts: Vec<String> = lengths
        .into_iter()
        .map(|length| answer[..length].to_owned())
        .collect();
    let router = cluster(&cuts, 0, ending).await;
    for (n, cut) in cuts.iter().enumerate() {
        let request = post(&format!("/{n}/1"), "r1", 1_000, "");
        if let Ok(response) = send(router.settings.front, request).await {
            assert_eq!(response.status(), 502, "cut at {}", cut.len());
        }
    }
}
