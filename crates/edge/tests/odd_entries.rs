//! Registry entries that decode but hold numbers that no upstream has.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, get, send};

#[rstest]
#[tokio::test]
async fn an_entry_with_enormous_numbers_does_not_end_the_router(
    #[values(1 << 31, u32::MAX)] slots: u32,
    #[values(1, 2)] entries: usize,
    #[values(Duration::ZERO, Duration::MAX)] warm_up: Duration,
) {
    let store = Store::default();
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    for n in 0..entries {
        let odd = Server::at(&format!("odd-{n}"), support::free_address());
        store.register_as("sheets", &odd, |upstream| {
            upstream.slots = slots;
            upstream.warm_up = warm_up;
        });
    }
    let routes = vec![route("/v1/", Repeat::Idempotent, "sheets")];
    store.configure(1, routes, &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    let mut answered = 0;
    for n in 0..20 {
        let request = get("/v1/1", "sheets.example", &format!("r{n}"), 1_000);
        if let Ok(response) = send(router.settings.front, request).await {
            answered += usize::from(response.status() == 200);
        }
    }
    assert!(answered >= 15, "{answered} of 20: {}", router.lines.text());
}
