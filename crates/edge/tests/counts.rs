//! What routers tell each other of requests under way, and how often.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use support::platform::{Store, route};
use support::upstream::{Act, Server};
use support::{Router, free_address, get, send};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

const HOST: &str = "sheets.example";

/// Load answered: VMs of 0.1 core with fifty requests a second and twenty neighbours.
/// Each request changes the counts twice; a message for each change cost more than the
/// requests.
#[tokio::test]
async fn counts_are_told_soon_but_no_more_than_twenty_times_a_second() {
    let store = Store::default();
    let server = Server::start("up-0").await;
    // What has ended before changes are gathered isn't told.
    server.next(&[Act::Answer(60)]);
    server.next(&vec![Act::Answer(15); 1_000]);
    store.register("sheets", &server);
    store.configure(1, vec![route("/read/", Repeat::Idempotent, "sheets")], &[]);
    let neighbour = UdpSocket::bind(free_address()).await.unwrap();
    store.add_router("router-2", neighbour.local_addr().unwrap());
    let router = Router::start("router-1", &store);
    router.ready().await;
    sleep(Duration::from_millis(1_500)).await;
    let front = router.settings.front;
    let mut buffer = [0; 1_024];
    // After a pause, the first change is told at once.
    let began = Instant::now();
    tokio::spawn(send(front, get("/read/1", HOST, "first", 1_000)));
    let first = timeout(Duration::from_secs(1), neighbour.recv(&mut buffer)).await;
    assert!(first.is_ok(), "nothing is told");
    assert!(began.elapsed() < Duration::from_millis(200));
    tokio::spawn(async move {
        for n in 0..200 {
            let request = get("/read/1", HOST, &format!("r{n}"), 1_000);
            tokio::spawn(send(front, request));
            sleep(Duration::from_millis(10)).await;
        }
    });
    let (mut told, end) = (0, Instant::now() + Duration::from_secs(2));
    while let Ok(Ok(_)) = tokio::time::timeout_at(end, neighbour.recv(&mut buffer)).await {
        told += 1;
    }
    assert!((10..=42).contains(&told), "{told} messages in two seconds");
}
