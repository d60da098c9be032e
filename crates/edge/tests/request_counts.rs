//! Messages in which routers report the number of their open requests to each other.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use support::platform::{Store, route};
use support::upstream::{Behaviour, Server};
use support::{Router, free_address, get, send};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

const HOST: &str = "sheets.example";

/// Guards against messages that cost more than the requests themselves. That happens on a VM with
/// 0.1 core, 50 requests/s and 20 neighbours if each change of a count is sent on its own: every
/// request changes the counts twice.
#[tokio::test]
async fn request_counts_are_sent_soon_but_at_most_twenty_times_a_second() {
    let store = Store::default();
    let server = Server::start("up-0").await;
    // A request that ends before the changes are collected isn't reported, so the first one takes
    // 60 ms.
    server.enqueue(&[Behaviour::Answer(60)]);
    server.enqueue(&vec![Behaviour::Answer(15); 1_000]);
    store.register("sheets", &server);
    store.configure(1, vec![route("/read/", Repeat::Idempotent, "sheets")], &[]);
    let neighbour = UdpSocket::bind(free_address()).await.unwrap();
    store.add_router("router-2", neighbour.local_addr().unwrap());
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(Duration::from_millis(1_500)).await;
    let front = router.settings.front;
    let mut buffer = [0; 1_024];
    // The first change after a pause is sent at once.
    let began = Instant::now();
    tokio::spawn(send(front, get("/read/1", HOST, "first", 1_000)));
    let first = timeout(Duration::from_secs(1), neighbour.recv(&mut buffer)).await;
    assert!(first.is_ok(), "no message arrived");
    assert!(began.elapsed() < Duration::from_millis(200));
    tokio::spawn(async move {
        for n in 0..200 {
            let request = get("/read/1", HOST, &format!("r{n}"), 1_000);
            tokio::spawn(send(front, request));
            sleep(Duration::from_millis(10)).await;
        }
    });
    let (mut received, end) = (0, Instant::now() + Duration::from_secs(2));
    while let Ok(Ok(_)) = tokio::time::timeout_at(end, neighbour.recv(&mut buffer)).await {
        received += 1;
    }
    assert!(
        (10..=42).contains(&received),
        "{received} messages in two seconds"
    );
}
