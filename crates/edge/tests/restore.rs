//! Restore of the store from an older backup. Newer data that the routers know stays in force, keys
//! keep a single holder, and routers write their rows again.

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
/// Time within which a router that has just started learns of a change.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// Time after which nothing of a lost leader is in force: its authority, and the longest time for
/// which its last grant is valid.
const RECOVERY_TIME: Duration = Duration::from_millis(6_000 + 300 + 3_360);

/// Starts a router with its own loopback address, 127.0.0.`last`.
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

/// Keys that stand for all keys.
const SAMPLES: [u16; 8] = [0, 9_000, 17_000, 25_000, 33_000, 41_000, 49_000, 65_535];

/// Three upstreams of a sharded service, with a store that counts eras.
struct Cluster {
    store: Store,
    servers: Vec<Server>,
}

impl Cluster {
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

    /// Returns the upstreams that hold a key.
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

    /// Checks for a time that no key has two holders. Returns the longest time for which a key had
    /// none.
    async fn watch(&self, span: Duration) -> Duration {
        let end = Instant::now() + span;
        let mut held = [Instant::now(); SAMPLES.len()];
        let mut longest = Duration::ZERO;
        while Instant::now() < end {
            for (key, held) in SAMPLES.iter().zip(&mut held) {
                let holders = self.holders(*key);
                assert!(holders.len() <= 1, "key {key} is held by {holders:?}");
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

/// The leader survives the restores: it becomes the leader again, and every key keeps its holder.
/// Once everything that the store may have lost has expired, keys move again, with higher tokens.
#[tokio::test]
async fn keys_keep_their_holders_through_two_restores() {
    let cluster = Cluster::new().await;
    let routers = [start(&cluster.store, 2, 500), start(&cluster.store, 3, 100)];
    for router in &routers {
        router.ready().await;
    }
    let backup = cluster.store.back_up();
    cluster.until_all_keys_are_held().await;
    sleep(Duration::from_millis(500)).await;
    let before = cluster.highest_token();
    for _ in 0..2 {
        cluster.store.restore(backup);
        let unheld = cluster.watch(Duration::from_millis(2_500)).await;
        assert!(unheld < Duration::from_millis(100), "{unheld:?}");
        for key in SAMPLES {
            assert_eq!(keyed_status(&routers[1], key).await, 200, "{key}");
        }
    }
    assert_eq!(cluster.highest_token(), before, "no key moves yet");
    sleep(RECOVERY_TIME).await;
    cluster
        .store
        .register_as("sheets", &cluster.servers[0], |upstream| {
            upstream.sequence = 2;
            upstream.leaving = true;
        });
    let moved = || !SAMPLES.iter().any(|key| cluster.servers[0].holds(*key));
    if tokio::time::timeout(Duration::from_secs(5), eventually("a move", moved))
        .await
        .is_err()
    {
        panic!("{}", routers[0].lines.text());
    }
    cluster.until_all_keys_are_held().await;
    // The first token of era 3 is exactly `3 << 32`.
    assert!(
        cluster.highest_token() >= 3 << 32,
        "{}",
        cluster.highest_token()
    );
    assert!(routers[0].lines.text().contains("taken again"));
    assert!(routers[1].lines.text().contains("store restored"));
}

/// No router knows the last grants of the lost leader. Nothing is granted until all of them have
/// expired, and then everything is.
#[rstest]
#[case::backup_with_the_leadership(true)]
#[case::backup_from_before_the_leadership(false)]
#[tokio::test]
async fn no_key_has_two_holders_after_a_restore_without_the_leader(#[case] has_leadership: bool) {
    let cluster = Cluster::new().await;
    let mut leader = start(&cluster.store, 2, 500);
    leader.ready().await;
    let other = start(&cluster.store, 3, 100);
    other.ready().await;
    let early_backup = cluster.store.back_up();
    cluster.until_all_keys_are_held().await;
    sleep(PROPAGATION_TIME).await;
    let backup = if has_leadership {
        cluster.store.back_up()
    } else {
        early_backup
    };
    leader.kill();
    cluster.store.restore(backup);
    // A router that starts learns from the running one that there was a leader.
    let started = start(&cluster.store, 4, 900);
    started.ready().await;
    let highest = cluster.highest_token();
    cluster
        .watch(RECOVERY_TIME - Duration::from_millis(500))
        .await;
    assert!(cluster.highest_token() <= highest);
    eventually("new grants", || cluster.highest_token() > highest).await;
    cluster.until_all_keys_are_held().await;
    assert!(cluster.highest_token() > 2 << 32);
    cluster.watch(Duration::from_millis(500)).await;
    assert_eq!(keyed_status(&other, 7).await, 200);
}

/// All routers are killed, and the store comes back from a backup that is older than the first
/// leadership, so nobody remembers the grants that are still in force.
#[tokio::test]
async fn no_key_has_two_holders_if_neither_store_nor_router_remembers_a_leader() {
    let cluster = Cluster::new().await;
    let mut leader = start(&cluster.store, 2, 500);
    leader.ready().await;
    let backup = cluster.store.back_up();
    cluster.until_all_keys_are_held().await;
    leader.kill();
    cluster.store.restore(backup);
    let highest = cluster.highest_token();
    let restarted = Router::start_with("router-3", &cluster.store, |settings| {
        settings.peer.set_ip([127, 0, 0, 3].into());
        settings.is_first_start = false;
    });
    restarted.ready().await;
    cluster
        .watch(RECOVERY_TIME - Duration::from_millis(500))
        .await;
    assert!(cluster.highest_token() <= highest);
    eventually("new grants", || cluster.highest_token() > highest).await;
    cluster.until_all_keys_are_held().await;
}

/// If the store has counted eras from the beginning, a new service gets its leader without a delay.
#[tokio::test]
async fn the_first_leader_of_a_service_grants_keys_at_once() {
    let cluster = Cluster::new().await;
    let router = start(&cluster.store, 2, 500);
    router.ready().await;
    let began = Instant::now();
    cluster.until_all_keys_are_held().await;
    assert!(began.elapsed() < Duration::from_secs(3));
}

/// The configuration from before the restore stays in force until the operator writes it again,
/// also in a router that starts.
#[tokio::test]
async fn a_restore_does_not_bring_back_an_older_configuration() {
    let (store, _server) = serving("/old/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    let backup = store.back_up();
    let routes = vec![route("/new/", Repeat::Idempotent, "sheets")];
    store.configure(2, routes, &[]);
    sleep(PROPAGATION_TIME).await;
    store.restore(backup);
    sleep(PROPAGATION_TIME).await;
    let follower = start(&store, 3, 100);
    let new_relay = start(&store, 4, 900);
    for router in [&relay, &follower, &new_relay] {
        router.ready().await;
        assert_eq!(
            status(router, "/new/1").await,
            200,
            "{}",
            router.lines.text()
        );
        assert_eq!(status(router, "/old/1").await, 404);
    }
    // This router follows the new relay, which has read the restored store.
    let late = start(&store, 5, 100);
    late.ready().await;
    assert_eq!(status(&late, "/new/1").await, 200);
    let routes = vec![route("/newer/", Repeat::Idempotent, "sheets")];
    store.configure(3, routes, &[]);
    sleep(PROPAGATION_TIME + PROPAGATION_TIME).await;
    for router in [&relay, &follower, &new_relay, &late] {
        assert_eq!(status(router, "/newer/1").await, 200);
    }
}

/// The backup lists an upstream as ready that was leaving or had left before the restore.
#[rstest]
#[case::gone(false)]
#[case::leaving(true)]
#[tokio::test]
async fn a_restore_does_not_bring_back_an_upstream_that_has_left(#[case] is_only_leaving: bool) {
    let (store, left) = serving("/v1/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    sleep(PROPAGATION_TIME).await;
    let backup = store.back_up();
    if is_only_leaving {
        store.register_as("sheets", &left, |upstream| {
            upstream.sequence = 2;
            upstream.leaving = true;
        });
    } else {
        store.unregister(&left.id);
    }
    sleep(PROPAGATION_TIME).await;
    store.restore(backup);
    let restored = Instant::now();
    sleep(PROPAGATION_TIME).await;
    let follower = start(&store, 3, 100);
    let new_relay = start(&store, 4, 900);
    sleep(PROPAGATION_TIME).await;
    let late = start(&store, 5, 100);
    sleep(PROPAGATION_TIME).await;
    for router in [&relay, &follower, &new_relay, &late] {
        assert_eq!(
            status(router, "/v1/1").await,
            503,
            "{}",
            router.lines.text()
        );
    }
    assert_eq!(left.arrivals_since(restored), 0);
    // Its next incarnation gets requests.
    store.register_as("sheets", &left, |upstream| upstream.incarnation = 2);
    sleep(PROPAGATION_TIME).await;
    for router in [&relay, &follower, &new_relay, &late] {
        assert_eq!(
            status(router, "/v1/1").await,
            200,
            "{}",
            router.lines.text()
        );
    }
}

/// Routers write their lost rows again, and remove the restored row of a router that has stopped.
#[tokio::test]
async fn routers_repair_their_rows_after_a_restore() {
    let (store, _server) = serving("/v1/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    let mut stopped = start(&store, 3, 100);
    stopped.ready().await;
    sleep(PROPAGATION_TIME).await;
    let backup = store.back_up();
    stopped.stop();
    let has = |name: &str| {
        store
            .keys(Table::Routers)
            .contains(&format!("router/{name}"))
    };
    eventually("the removal of a row", || !has("router-3")).await;
    let started = start(&store, 4, 100);
    started.ready().await;
    sleep(PROPAGATION_TIME).await;
    store.restore(backup);
    eventually("a lost row to be written again", || has("router-4")).await;
    eventually("the removal of an outdated row", || !has("router-3")).await;
    assert!(has("router-2"));
    let settled = PROPAGATION_TIME + PROPAGATION_TIME;
    sleep(settled).await;
    assert_eq!(status(&relay, "/v1/1").await, 200);
    assert_eq!(status(&started, "/v1/1").await, 200);
}

/// A relay that has lost its access to the store stays in the earlier era, but its followers don't.
#[tokio::test]
async fn a_relay_without_access_to_the_store_does_not_keep_its_followers_in_the_old_era() {
    let (store, _server) = serving("/old/").await;
    store.count_eras();
    let relay = start(&store, 2, 500);
    relay.ready().await;
    sleep(PROPAGATION_TIME).await;
    let follower = start(&store, 3, 100);
    follower.ready().await;
    sleep(PROPAGATION_TIME).await;
    let backup = store.back_up();
    store.disconnect("router-2");
    store.restore(backup);
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
