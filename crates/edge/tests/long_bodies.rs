//! Requests whose body is too long to be kept, and whose send is turned away.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use http::Request;
use http_body_util::Full;
use hyper::body::Bytes;
use rstest::rstest;
use support::platform::{Store, route};
use support::raw::{field, head};
use support::upstream::Server;
use support::{Router, eventually, free_address, get, send};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Length of a body, more than a router keeps.
const BODY_BYTES: usize = 400_000;
const UPSTREAMS: usize = 6;
/// Time for which the routers are cut off from half of the upstreams.
const CUT_TIME: Duration = Duration::from_millis(700);
const INTERVAL: Duration = Duration::from_millis(25);

/// How a request gives the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// Sends a request with a long body, and returns the status of its answer.
async fn post(front: SocketAddr, framing: Framing, key: u16) -> Option<String> {
    let mut stream = TcpStream::connect(front).await.ok()?;
    let length = match framing {
        Framing::Length => format!("content-length: {BODY_BYTES}"),
        Framing::Chunks => "transfer-encoding: chunked".to_owned(),
    };
    let request = format!(
        "POST /ask/{key} HTTP/1.1\r\nhost: {HOST}\r\nx-id: {key}\r\nx-key: {key}\r\n\
         x-timeout-ms: 3000\r\n{length}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let body = vec![b'x'; BODY_BYTES];
    let is_sent = match framing {
        Framing::Length => stream.write_all(&body).await,
        Framing::Chunks => {
            let mut chunk = format!("{BODY_BYTES:x}\r\n").into_bytes();
            chunk.extend_from_slice(&body);
            chunk.extend_from_slice(b"\r\n0\r\n\r\n");
            stream.write_all(&chunk).await
        }
    };
    // The router may answer, and close the connection, before it has read the whole body.
    let _ = is_sent;
    let head = head(&mut stream).await?;
    Some(field(&head, "http/1.1").to_owned())
}

fn read(key: u16) -> Request<Full<Bytes>> {
    let mut request = get("/read/1", HOST, "read", 1_000);
    request.headers_mut().insert("x-key", key.into());
    request
}

/// Guards against requests that run with an empty body: one that another router had turned away was
/// sent again after its body had left.
#[rstest]
#[case::with_length(Framing::Length)]
#[case::in_chunks(Framing::Chunks)]
#[tokio::test]
async fn a_long_body_that_another_router_turned_away_is_never_replaced_by_none(
    #[case] framing: Framing,
) {
    let store = Store::default();
    let mut servers = Vec::new();
    for number in 0..UPSTREAMS {
        let server = Server::start(&format!("up-{number}")).await.keyed();
        store.register("sheets", &server);
        servers.push(server);
    }
    let routes = vec![
        route("/ask/", Repeat::Idempotent, "sheets"),
        route("/read/", Repeat::Idempotent, "sheets"),
    ];
    store.configure(1, routes, &["sheets"]);
    // The first one leads, and stays in touch with all upstreams.
    let leader = Router::start_at(2, 500, &store);
    leader.ready().await;
    let routers = [3, 4, 5, 6].map(|last| Router::start_at(last, 100, &store));
    for router in &routers {
        router.ready().await;
    }
    let keys = || (0..64_u16).map(|number| number * 1_024);
    let is_held = |key: u16| servers.iter().any(|server| server.holds(key));
    eventually("the grants", || keys().all(is_held)).await;
    // Calls between routers are refused until each has read the other's row.
    sleep(Duration::from_millis(3_500)).await;

    let mut calls = Vec::new();
    for _ in 0..3 {
        for router in &routers {
            let name = &router.settings.router;
            let is_odd = |id: &str| id.ends_with(['1', '3', '5']);
            store.cut_off_from(name, Some(free_address()), is_odd);
        }
        let began = Instant::now();
        for key in keys() {
            for router in &routers {
                let front = router.settings.front;
                calls.push(tokio::spawn(async move {
                    let _ = send(front, read(key)).await;
                }));
            }
        }
        let mut is_over = false;
        for key in keys().cycle().step_by(11) {
            if began.elapsed() >= CUT_TIME && !is_over {
                is_over = true;
                for router in &routers {
                    store.cut_off(&router.settings.router, None);
                }
            }
            if began.elapsed() >= 2 * CUT_TIME {
                break;
            }
            for router in &routers {
                let front = router.settings.front;
                calls.push(tokio::spawn(async move {
                    let _ = post(front, framing, key).await;
                }));
            }
            sleep(INTERVAL).await;
        }
    }
    for call in calls {
        call.await.unwrap();
    }
    let turned_away = |router: &Router| router.lines.text().contains("\"end\":\"out-of-reach\"");
    assert!(
        routers.iter().any(turned_away),
        "no request was passed on in vain"
    );
    let bodies = servers.iter().flat_map(Server::bodies);
    let asked: Vec<usize> = bodies.map(|body| body.len()).collect();
    let whole = asked.iter().filter(|length| **length == BODY_BYTES).count();
    assert!(whole > 0, "no request ran");
    let reads = servers
        .iter()
        .map(|server| server.runs("read"))
        .sum::<usize>();
    assert_eq!(
        asked.len() - whole,
        reads,
        "requests ran without their body"
    );
}
