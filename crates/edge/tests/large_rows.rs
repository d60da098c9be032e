//! Rows of hundreds of kilobytes, at routers whose links carry little beside the requests.

mod support;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::{Repeat, Route};
use support::link::Link;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, get, relay_and_follower, send};

const HOST: &str = "sheets.example";
/// Number of routes in a large configuration.
const ROUTES: usize = 4_200;
/// What requests leave of a link of 10 Mbit/s.
const BYTES_PER_S: u32 = 250_000;
/// Time from the write of a configuration, or of the end of an upstream, until it counts.
const LIMIT: Duration = Duration::from_secs(2);

async fn status(router: &Router, path: &str) -> u16 {
    let answer = send(router.settings.front, get(path, HOST, "r1", 1_500)).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Returns a large set of routes with names of their own, and one more.
fn many_routes(last: &str) -> Vec<Route> {
    let name = |number: usize| {
        let mut hasher = DefaultHasher::new();
        number.hash(&mut hasher);
        format!("/{:x}/", hasher.finish())
    };
    let many = (0..ROUTES).map(|number| route(&name(number), Repeat::Idempotent, "sheets"));
    many.chain([route(last, Repeat::Idempotent, "sheets")])
        .collect()
}

/// Starts a relay, and a follower that reaches nothing but the relay, over a slow link.
async fn relay_behind_slow_link(store: &Store) -> [Router; 2] {
    let [relay, follower] = relay_and_follower(store).await;
    let client = follower.settings.peer.ip();
    let link = Link::start(relay.settings.peer, client, BYTES_PER_S).await;
    store.move_router(&relay.settings, link.address);
    // Gives the follower time to learn of the address, and to end the call that is under way.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.disconnect(&follower.settings.router);
    [relay, follower]
}

async fn store_with(servers: &[Server]) -> Store {
    let store = Store::default();
    servers
        .iter()
        .for_each(|server| store.register("sheets", server));
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    store
}

#[tokio::test]
async fn a_large_configuration_is_in_force_in_time_behind_a_busy_link() {
    let store = store_with(&[Server::start("up-0").await]).await;
    let [_relay, follower] = relay_behind_slow_link(&store).await;
    for (version, path) in [(2, "/v2/"), (3, "/v3/")] {
        store.configure(version, many_routes(path), &[]);
        let written_at = Instant::now();
        while status(&follower, &format!("{path}1")).await != 200 {
            assert!(written_at.elapsed() < LIMIT, "{}", follower.lines.text());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn an_upstream_that_leaves_is_noticed_while_a_large_configuration_arrives() {
    let servers = [Server::start("up-0").await, Server::start("up-1").await];
    let store = store_with(&servers).await;
    let [_relay, follower] = relay_behind_slow_link(&store).await;
    store.configure(2, many_routes("/v2/"), &[]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.unregister("up-0");
    let left_at = Instant::now();
    while !follower.lines.text().contains("upstream lapsed") {
        assert!(left_at.elapsed() < LIMIT, "{}", follower.lines.text());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
