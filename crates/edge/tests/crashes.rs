//! Upstreams whose processes end while they run requests.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use support::mortal::{DEADLY_PATH, Mortal};
use support::platform::{Store, route};
use support::upstream::Behaviour;
use support::{Router, eventually, get, sample, send, serving};

const HOST: &str = "sheets.example";
/// Time until an upstream whose process has ended starts again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a broken connection can no longer turn out to be the end of a process.
const EXAMINATION_TIME: Duration = Duration::from_millis(4_500);

fn broken(cause: &str) -> String {
    format!("eelgrassrock_broken_connections_total{{service=\"sheets\",cause=\"{cause}\"}}")
}

#[tokio::test]
async fn an_ended_process_is_logged_with_the_request_that_was_in_flight() {
    let store = Store::default();
    let _upstream = Mortal::start("up-0", &store, false, RESTART_PAUSE).await;
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let _ = send(router.settings.front, get(DEADLY_PATH, HOST, "d1", 500)).await;
    let is_logged = || router.lines.text().contains("\"upstream ended\"");
    eventually("line about the end", is_logged).await;
    let text = router.lines.text();
    assert!(
        text.contains("\"proof\":\"refused\",\"id\":\"d1\""),
        "{text}"
    );
    assert_eq!(sample(&router, &broken("ended")).await, Some(1.0));
}

#[tokio::test]
async fn a_broken_connection_to_a_running_process_is_not_taken_for_its_end() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::Close]);
    let _ = send(router.settings.front, get("/v1/1", HOST, "r1", 500)).await;
    tokio::time::sleep(EXAMINATION_TIME).await;
    assert_eq!(sample(&router, &broken("unproven")).await, Some(1.0));
    let text = router.lines.text();
    assert!(!text.contains("\"upstream ended\""), "{text}");
}
