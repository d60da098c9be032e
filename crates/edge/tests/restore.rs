//! The store comes back from an older copy: what routers know better stays in force,
//! keys keep their one holder, and rows of the routers are written again.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, eventually, get, send, serving};
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time in which a router that has just started hears of a change.
const NEWS_TIME: Duration = Duration::from_millis(1_000);
/// Authority of a keeper, and the longest time for which its last grant holds.
const SETTLE_TIME: Duration = Duration::from_millis(6_000 + 300 + 3_360);

fn start(store: &Store, last: u8, size: u32) -> Router {
    Router::start_with(&format!("router-{last}"), store, |settings| {
        settings.peer.set_ip([127, 0, 0, last].into());
        settings.size = size;
    })
}

async fn status(router: &Router, path: &str) -> u16 {
    let answer = send(router.settings.front, get(path, HOST, "r", 600)).await;
    answer.unwrap().status().as_u16()
}

async fn keyed_status(router: &Router, key: u16) -> u16 {
    let mut request = get("/v1/1", HOST, "r", 600);
    request.headers_mut().insert("x-key", key.into());
    let answer = send(router.settings.front, request).await;
    answer.unwrap().status().as_u16()
}

const SAMPLES: [u16; 8] = [0, 9_000, 17_000, 25_000, 33_000, 41_000, 49_000, 65_535];

/// Three upstreams that divide keys, on a store that counts eras.
struct World {
    store: Store,
    servers: Vec<Server>,
}

impl World {
    async fn new() -> Self {
        let store = Store::default();
        store.count_eras();
        let mut servers = Vec::new();
        for n in 0..3 {
            let server = Server::start(&format!("up-{n}")).await.keyed();
            store.register("sheets", &server);
            servers.push(server);
        }
        let routes = vec![route("/v1/", Repeat::Idempotent, "sheets")];
        store.configure(1, routes, &["sheets"]);
        Self { store, servers }
    }

    fn holders(&self, key: u16) -> Vec<&str> {
        let holding = self.servers.iter().filter(|server| server.holds(key));
        holding.map(|server| &*server.id).collect()
    }

    async fn until_all_keys_are_held(&self) {
        eventually("holders of all keys", || {
            SAMPLES.iter().all(|key| self.holders(*key).len() == 1)
        })
        .await;
    }

    /// Watches for a time that no key has two holders. Returns the longest time that
    /// a key had none.
    async fn watch(&self, span: Duration) -> Duration {
        let end = Instant::now() + span;
        let mut held = [Instant::now(); SAMPLES.len()];
        let mut longest = Duration::ZERO;
        while Instant::now() < end {
            for (key, held) in SAMPLES.iter().zip(&mut held) {
                let holders = self.holders(*key);
                assert!(holders.len() <= 1, "key {key} is with {holders:?}");
                if holders.is_empty() {
                    longest = longest.max(held.elapsed());
                } else {
                    *held = Instant::now();
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        longest
    }

    fn highest_token(&self) -> u64 {
        let tokens = self.servers.iter().filter_map(Server::highest_token);
        tokens.max().unwrap_or(0)
    }
}

/// The keeper lives: it takes the duty again, and no key is without its holder. Once all
/// that the store may have forgotten is over, keys move again, under higher tokens.
#[tokio::test]
async fn keys_keep_their_holders_through_two_restores() {
    let world = World::new().await;
    let routers = [start(&world.store, 2, 500), start(&world.store, 3, 100)];
    for router in &routers {
        router.ready().await;
    }
    let copy = world.store.copy();
    world.until_all_keys_are_held().await;
    sleep(Duration::from_millis(500)).await;
    let before = world.highest_token();
    for _ in 0..2 {
        world.store.restore(copy);
        let unheld = world.watch(Duration::from_millis(2_500)).await;
        assert!(unheld < Duration::from_millis(100), "{unheld:?}");
        for key in SAMPLES {
            assert_eq!(keyed_status(&routers[1], key).await, 200, "{key}");
        }
    }
    assert_eq!(world.highest_token(), before, "no key moves yet");
    sleep(SETTLE_TIME).await;
    world
        .store
        .register_as("sheets", &world.servers[0], |upstream| {
            upstream.sequence = 2;
            upstream.leaving = true;
        });
    let moved = || !SAMPLES.iter().any(|key| world.servers[0].holds(*key));
    if tokio::time::timeout(Duration::from_secs(5), eventually("a move", moved))
        .await
        .is_err()
    {
        panic!("{}", routers[0].lines.text());
    }
    world.until_all_keys_are_held().await;
    assert!(world.highest_token() > 3 << 32, "{}", world.highest_token());
    assert!(routers[0].lines.text().contains("taken again"));
    assert!(routers[1].lines.text().contains("store restored"));
}

/// Nobody knows what the lost keeper granted last: nothing is granted before all of it
/// has run out, and then everything is.
#[rstest]
#[case::copy_with_the_duty(true)]
#[case::copy_from_before_the_duty(false)]
#[tokio::test]
async fn a_keeper_lost_with_its_duty_leaves_no_key_with_two(#[case] knows_duty: bool) {
    let world = World::new().await;
    let mut keeper = start(&world.store, 2, 500);
    keeper.ready().await;
    let other = start(&world.store, 3, 100);
    other.ready().await;
    let early = world.store.copy();
    world.until_all_keys_are_held().await;
    sleep(NEWS_TIME).await;
    let copy = if knows_duty {
        world.store.copy()
    } else {
        early
    };
    keeper.kill();
    world.store.restore(copy);
    // One that starts hears from the one that lives that there was a keeper.
    let started = start(&world.store, 4, 900);
    started.ready().await;
    let highest = world.highest_token();
    world.watch(SETTLE_TIME - Duration::from_millis(500)).await;
    assert!(world.highest_token() <= highest);
    eventually("new grants", || world.highest_token() > highest).await;
    world.until_all_keys_are_held().await;
    assert!(world.highest_token() > 2 << 32);
    world.watch(Duration::from_millis(500)).await;
    assert_eq!(keyed_status(&other, 7).await, 200);
}

/// A store that has counted eras from its beginning gives a new service its keeper at
/// once.
#[tokio::test]
async fn the_first_keeper_of_all_does_not_wait() {
    let world = World::new().await;
    let router = start(&world.store, 2, 500);
    router.ready().await;
    let began = Instant::now();
    world.until_all_keys_are_held().await;
    assert!(began.elapsed() < Duration::from_secs(3));
}

/// Until the operator has written it again, the configuration from before the restore
/// stays in force, also in a router that starts.
#[tokio::test]
async fn a_configuration_never_goes_back() {
    let (store, _server) = serving("/old/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    let copy = store.copy();
    let routes = vec![route("/new/", Repeat::Idempotent, "sheets")];
    store.configure(2, routes, &[]);
    sleep(NEWS_TIME).await;
    store.restore(copy);
    sleep(NEWS_TIME).await;
    let follower = start(&store, 3, 100);
    let leader = start(&store, 4, 900);
    for router in [&relay, &follower, &leader] {
        router.ready().await;
        assert_eq!(
            status(router, "/new/1").await,
            200,
            "{}",
            router.lines.text()
        );
        assert_eq!(status(router, "/old/1").await, 404);
    }
    // One that follows the leader, which has read the copy.
    let late = start(&store, 5, 100);
    late.ready().await;
    assert_eq!(status(&late, "/new/1").await, 200);
    let routes = vec![route("/newer/", Repeat::Idempotent, "sheets")];
    store.configure(3, routes, &[]);
    sleep(NEWS_TIME + NEWS_TIME).await;
    for router in [&relay, &follower, &leader, &late] {
        assert_eq!(status(router, "/newer/1").await, 200);
    }
}

/// The copy shows as ready what was leaving or gone by then.
#[rstest]
#[case::gone(false)]
#[case::leaving(true)]
#[tokio::test]
async fn an_upstream_that_has_left_stays_out_of_use(#[case] only_leaving: bool) {
    let (store, left) = serving("/v1/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    sleep(NEWS_TIME).await;
    let copy = store.copy();
    if only_leaving {
        store.register_as("sheets", &left, |upstream| {
            upstream.sequence = 2;
            upstream.leaving = true;
        });
    } else {
        store.unregister(&left.id);
    }
    sleep(NEWS_TIME).await;
    store.restore(copy);
    let restored = Instant::now();
    sleep(NEWS_TIME).await;
    let follower = start(&store, 3, 100);
    let leader = start(&store, 4, 900);
    sleep(NEWS_TIME).await;
    let late = start(&store, 5, 100);
    sleep(NEWS_TIME).await;
    for router in [&relay, &follower, &leader, &late] {
        assert_eq!(
            status(router, "/v1/1").await,
            503,
            "{}",
            router.lines.text()
        );
    }
    assert_eq!(left.arrivals_since(restored), 0);
    // Its next life is another matter.
    store.register_as("sheets", &left, |upstream| upstream.incarnation = 2);
    sleep(NEWS_TIME).await;
    for router in [&relay, &follower, &leader, &late] {
        assert_eq!(
            status(router, "/v1/1").await,
            200,
            "{}",
            router.lines.text()
        );
    }
}

/// Rows that the store has lost are written again, and one that it has found again of a
/// router that stopped is removed.
#[tokio::test]
async fn routers_write_their_rows_again() {
    let (store, _server) = serving("/v1/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    let mut stopped = start(&store, 3, 100);
    stopped.ready().await;
    sleep(NEWS_TIME).await;
    let copy = store.copy();
    stopped.stop();
    let has = |name: &str| {
        store
            .keys(Table::Routers)
            .contains(&format!("router/{name}"))
    };
    eventually("the end of a row", || !has("router-3")).await;
    let started = start(&store, 4, 100);
    started.ready().await;
    sleep(NEWS_TIME).await;
    store.restore(copy);
    eventually("a row that was lost", || has("router-4")).await;
    eventually("the end of a row that is outdated", || !has("router-3")).await;
    assert!(has("router-2"));
    let settled = NEWS_TIME + NEWS_TIME;
    sleep(settled).await;
    assert_eq!(status(&relay, "/v1/1").await, 200);
    assert_eq!(status(&started, "/v1/1").await, 200);
}

/// A relay that the store doesn't answer any more stays in the earlier era; its
/// followers don't.
#[tokio::test]
async fn a_relay_that_is_cut_off_keeps_nobody_in_the_old_era() {
    let (store, _server) = serving("/old/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    sleep(NEWS_TIME).await;
    let follower = start(&store, 3, 100);
    follower.ready().await;
    sleep(NEWS_TIME).await;
    let copy = store.copy();
    store.cut("router-2");
    store.restore(copy);
    let routes = vec![route("/new/", Repeat::Idempotent, "sheets")];
    store.configure(2, routes, &[]);
    sleep(Duration::from_millis(3_500)).await;
    assert_eq!(
        status(&follower, "/new/1").await,
        200,
        "{}",
        follower.lines.text()
    );
}
