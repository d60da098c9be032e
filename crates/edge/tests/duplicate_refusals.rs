//! Upstreams that send an earlier refusal once more on a kept connection. A caller is told that a
//! request has not run only if that is so, and a request that may have run isn't sent again.

mod support;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
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

/// Whether a refusal repeats the identifier of its request.
#[derive(Clone, Copy, Debug)]
enum Naming {
    WithId,
    WithoutId,
}

/// First refusal on a connection.
#[derive(Clone, Copy, Debug)]
enum Status {
    Full,
    Misdirected,
}

fn refusal(status: Status, naming: Naming, id: &str) -> String {
    let status = match status {
        Status::Full => "503 Service Unavailable",
        Status::Misdirected => "421 Misdirected Request",
    };
    let id = match naming {
        Naming::WithId => format!("x-id: {id}\r\n"),
        Naming::WithoutId => String::new(),
    };
    format!("HTTP/1.1 {status}\r\n{id}x-not-run: 1\r\ncontent-length: 0\r\n\r\n")
}

/// Number of runs of each request, at all upstreams.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// Refuses every other request of a connection, and sends the refusal again as the following
/// request runs.
async fn serve(mut stream: TcpStream, runs: Runs, status: Status, naming: Naming) -> Option<()> {
    loop {
        let refused = head(&mut stream).await?;
        let refusal = refusal(status, naming, field(&refused, "x-id"));
        stream.write_all(refusal.as_bytes()).await.ok()?;
        let next = head(&mut stream).await?;
        let id = field(&next, "x-id");
        *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        stream.write_all(refusal.as_bytes()).await.ok()?;
        sleep(Duration::from_millis(5)).await;
        let own = answer(Some(id), &format!("for {id}"));
        stream.write_all(own.as_bytes()).await.ok()?;
    }
}

#[rstest]
#[tokio::test]
async fn a_refusal_that_is_sent_again_is_no_proof_for_the_next_request(
    #[values(Status::Full, Status::Misdirected)] status: Status,
    #[values(Naming::WithId, Naming::WithoutId)] naming: Naming,
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
    #[values(1, 3)] upstreams: usize,
) {
    let runs = Runs::default();
    let store = Store::default();
    for n in 0..upstreams {
        let runs = Arc::clone(&runs);
        let address =
            upstream(move |stream| serve(stream, Arc::clone(&runs), status, naming)).await;
        store.register("sheets", &Server::at(&format!("up-{n}"), address));
    }
    store.configure(1, vec![route("/v1/", repeat, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    for n in 0..20 {
        let id = format!("r{n}");
        let request = match repeat {
            Repeat::Idempotent => get("/v1/1", HOST, &id, 1_000),
            Repeat::Once => post("/v1/1", &id, 1_000, ""),
        };
        let response = send(router.settings.front, request).await.unwrap();
        let count = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        match response.status().as_u16() {
            200 => assert_eq!(response.body(), &format!("for {id}")),
            503 => assert_eq!(count, 0, "{id}: {}", router.lines.text()),
            other => assert_eq!(other, 502, "{id}: {}", router.lines.text()),
        }
        if repeat == Repeat::Once {
            assert!(count <= 1, "{id} ran {count} times");
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// The holder of a key gets a refused request again, so that its identifier doesn't tell the two
/// refusals apart.
#[rstest]
#[tokio::test]
async fn a_refusal_that_is_sent_again_is_no_proof_for_another_send_of_its_request(
    #[values(Naming::WithId, Naming::WithoutId)] naming: Naming,
) {
    let runs = Runs::default();
    let store = Store::default();
    let counting = Arc::clone(&runs);
    let address =
        upstream(move |stream| serve(stream, Arc::clone(&counting), Status::Full, naming)).await;
    let server = Server::at("up-0", address).keyed();
    store.register("sheets", &server);
    store.configure(1, vec![route("/v1/", Repeat::Once, "sheets")], &["sheets"]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    support::eventually("a holder", || server.holds(7)).await;
    for n in 0..10 {
        let id = format!("r{n}");
        let mut request = post("/v1/1", &id, 1_000, "");
        request
            .headers_mut()
            .insert("x-key", http::HeaderValue::from_static("7"));
        let response = send(router.settings.front, request).await.unwrap();
        let count = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        if response.status() == 503 {
            assert_eq!(count, 0, "{id}: {}", router.lines.text());
        }
        assert!(count <= 1, "{id} ran {count} times");
    }
}
