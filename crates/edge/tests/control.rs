//! Configuration, registry, relays, leaders, stops and the metrics page.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use support::platform::{Store, route};
use support::upstream::{Behaviour, Server};
use support::{GRACE, Router, eventually, get, sample, send, serving};

const HOST: &str = "sheets.example";

/// Returns the status of the answer, or 0 if there is none.
async fn status(router: &Router, path: &str, id: &str) -> u16 {
    let answer = send(router.settings.front, get(path, HOST, id, 1_500)).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

#[tokio::test]
async fn older_configurations_and_malformed_rows_are_ignored() {
    let store = Store::default();
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    store.configure(5, vec![route("/new/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    store.configure(3, vec![route("/old/", Repeat::Idempotent, "sheets")], &[]);
    // Gives the older configuration time to arrive.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(status(&router, "/new/1", "r0").await, 200);
    store.write_malformed(Table::Configuration, "current");
    store.write_malformed(Table::Registry, "up-9");
    eventually("log lines about the malformed rows", || {
        let lines = router.lines.text();
        lines.matches("row unreadable").count() == 2
    })
    .await;
    assert_eq!(status(&router, "/new/1", "r1").await, 200);
    assert_eq!(status(&router, "/old/1", "r2").await, 404);
}

#[tokio::test]
async fn an_upstream_that_left_the_registry_gets_no_requests() {
    let store = Store::default();
    let servers = [Server::start("up-0").await, Server::start("up-1").await];
    servers
        .iter()
        .for_each(|server| store.register("sheets", server));
    store.configure(1, vec![route("/read/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    store.unregister("up-0");
    eventually("the lapse of the entry", || {
        router.lines.text().contains("upstream lapsed")
    })
    .await;
    for n in 0..10 {
        let id = format!("r{n}");
        assert_eq!(status(&router, "/read/1", &id).await, 200);
        assert_eq!(servers[0].runs(&id), 0);
    }
}

/// Sends requests until a path is served. Panics if that takes longer than `limit`.
async fn served_within(router: &Router, path: &str, limit: Duration) {
    let began = Instant::now();
    while status(router, path, "r1").await != 200 {
        assert!(began.elapsed() < limit, "{}", router.lines.text());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts two routers. Both follow the store at first. Then the first one becomes the relay of the
/// second one.
async fn pair(store: &Store) -> (Router, Router) {
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    let first = Router::start_with("router-1", store, |settings| settings.size = 500);
    let second = Router::start_with("router-2", store, |settings| settings.size = 100);
    first.ready().await;
    second.ready().await;
    // Gives the routers time to learn of each other.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (first, second)
}

#[tokio::test]
async fn a_follower_gets_changes_without_calls_to_the_store() {
    let store = Store::default();
    let (_first, second) = pair(&store).await;
    let before = store.feed_calls("router-2");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&second, "/v2/1", "r1").await, 200);
    assert_eq!(store.feed_calls("router-2"), before);
}

/// Starts `router-2` and `router-3` with their own addresses. The second one follows the first.
async fn relay_and_follower(store: &Store) -> Vec<Router> {
    let mut routers = Vec::new();
    for (last, size) in [(2, 500), (3, 100)] {
        let name = format!("router-{last}");
        let router = Router::start_with(&name, store, |settings| {
            settings.peer.set_ip([127, 0, 0, last].into());
            settings.size = size;
            settings.grace = Duration::from_secs(10);
        });
        router.ready().await;
        routers.push(router);
    }
    // The follower's first call may arrive before the relay has read its row. The follower then
    // skips the relay for 3 s.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    routers
}

/// Guards against a load peak at the store when the feed of a relay stalls. Its followers learn
/// from another data centre that their data is outdated, and all of them would call the store for
/// 2 s.
#[tokio::test]
async fn an_outdated_follower_asks_the_router_that_has_newer_data() {
    let (store, _server) = serving("/v1/").await;
    let mut routers = relay_and_follower(&store).await;
    let far = Router::start_with("router-4", &store, |settings| {
        settings.peer.set_ip([127, 0, 0, 4].into());
        settings.data_centre = "dc-b".into();
    });
    far.ready().await;
    routers.push(far);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.stall_feeds("router-2");
    let before = store.feed_calls("router-3");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    served_within(&routers[1], "/v2/1", Duration::from_millis(1_000)).await;
    assert_eq!(store.feed_calls("router-3"), before);
}

/// Guards against a stopping router that calls the store. It has removed its row and runs on for
/// seconds; if its relay refused it as unrecognized, it would have to follow the store itself.
#[tokio::test]
async fn a_stopping_router_still_follows_its_relay() {
    let (store, _server) = serving("/v1/").await;
    let mut routers = relay_and_follower(&store).await;
    let refused = |router: &Router| router.lines.text().matches("stranger refused").count();
    let refused_before = refused(&routers[0]);
    routers[1].stop();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = store.feed_calls("router-3");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(routers[1].is_running());
    assert_eq!(store.feed_calls("router-3"), before);
    assert_eq!(refused(&routers[0]), refused_before);
}

/// Routers recognize each other by their addresses. Calls must come from the address of the router,
/// also where the system would choose another source address.
#[tokio::test]
async fn routers_call_each_other_from_their_own_addresses() {
    let (store, _server) = serving("/v1/").await;
    let routers = relay_and_follower(&store).await;
    let before = store.feed_calls("router-3");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&routers[1], "/v2/1", "r1").await, 200);
    assert_eq!(store.feed_calls("router-3"), before);
}

#[tokio::test]
async fn a_follower_whose_relay_was_killed_gets_a_new_configuration_within_two_seconds() {
    let store = Store::default();
    let (mut first, second) = pair(&store).await;
    first.kill();
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    served_within(&second, "/v2/1", Duration::from_secs(2)).await;
}

#[tokio::test]
async fn a_relay_without_access_to_the_store_is_skipped() {
    let store = Store::default();
    let (_first, second) = pair(&store).await;
    store.disconnect("router-1");
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    served_within(&second, "/v2/1", Duration::from_millis(3_500)).await;
}

/// An upstream that leaves must be out of use within a few seconds, but a feed call for the
/// registry waits for 20 s.
#[tokio::test]
async fn feeds_that_stall_are_replaced_within_three_seconds() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    // The feeds answer soon after the start. The calls after that wait.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.stall_feeds("router-1");
    let began = Instant::now();
    let other = Server::start("up-1").await;
    store.register("sheets", &other);
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    store.unregister("up-0");
    served_within(&router, "/v2/1", Duration::from_secs(3)).await;
    while !router.lines.text().contains("upstream lapsed") {
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "{}",
            router.lines.text()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status(&router, "/v2/2", "r2").await, 200);
    assert_eq!(server.runs("r2"), 0);
}

/// Starts two upstreams of a sharded service, and this number of routers.
async fn sharded(store: &Store, routers: usize) -> (Vec<Server>, Vec<Router>) {
    let servers = vec![
        Server::start("up-0").await.keyed(),
        Server::start("up-1").await.keyed(),
    ];
    servers
        .iter()
        .for_each(|server| store.register("sheets", server));
    store.configure(
        1,
        vec![route("/read/", Repeat::Idempotent, "sheets")],
        &["sheets"],
    );
    let routers: Vec<Router> = (0..routers)
        .map(|n| Router::start(&format!("router-{n}"), store))
        .collect();
    for router in &routers {
        router.ready().await;
    }
    (servers, routers)
}

/// Returns whether any upstream holds key 7.
fn is_held(servers: &[Server]) -> bool {
    servers.iter().any(|server| server.holds(7))
}

/// Returns whether a router has ever started to grant keys as the leader.
fn has_been_leader(router: &Router) -> bool {
    terms(router) > 0
}

/// Guards against a leader of hundreds of upstreams on a small VM. Of routers that start together,
/// the first one that reads the tables would otherwise become the leader, whatever its size.
#[tokio::test]
async fn the_first_leader_is_on_the_largest_vm() {
    let store = Store::default();
    let server = Server::start("up-0").await.keyed();
    store.register("sheets", &server);
    let routes = vec![route("/read/", Repeat::Idempotent, "sheets")];
    store.configure(1, routes, &["sheets"]);
    let mut routers = Vec::new();
    for last in 2..8 {
        routers.push(Router::start_with(
            &format!("router-{last}"),
            &store,
            |settings| {
                settings.peer.set_ip([127, 0, 0, last].into());
                settings.size = if last == 7 { 500 } else { 100 };
            },
        ));
        // The VMs start within 0.3 s.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    eventually("a holder of key 7", || {
        is_held(std::slice::from_ref(&server))
    })
    .await;
    let leaders: Vec<bool> = routers.iter().map(has_been_leader).collect();
    assert_eq!(leaders, [false, false, false, false, false, true]);
}

async fn read_key(router: &Router, key: u16, id: &str) -> u16 {
    let mut request = get("/read/1", HOST, id, 1_500);
    request.headers_mut().insert("x-key", key.into());
    let answer = send(router.settings.front, request).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

#[tokio::test]
async fn keys_are_granted_and_requests_go_to_their_holders() {
    let store = Store::default();
    let (servers, routers) = sharded(&store, 1).await;
    eventually("the grants", || is_held(&servers)).await;
    for key in [0, 7, 40_000, u16::MAX] {
        assert_eq!(read_key(&routers[0], key, &format!("k{key}")).await, 200);
    }
}

/// Incident inc-f368: requests waited until their timeout for holders that didn't answer, long
/// after the keys had moved to other upstreams.
#[tokio::test]
async fn a_read_is_repeated_at_the_new_holder_while_the_old_one_does_not_answer() {
    let store = Store::default();
    let (servers, routers) = sharded(&store, 1).await;
    eventually("the grants", || is_held(&servers)).await;
    let mut long_route = route("/read/", Repeat::Idempotent, "sheets");
    long_route.timeout = Some(Duration::from_secs(6));
    store.configure(2, vec![long_route], &["sheets"]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let holder = servers.iter().position(|server| server.holds(7)).unwrap();
    servers[holder].enqueue(&[Behaviour::Answer(60_000)]);
    let unresponsive = servers[holder].id.clone();
    let registry = store.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        registry.unregister(&unresponsive);
    });
    // The keys of a lost holder are unavailable until its grant of 3 s has expired.
    let mut request = get("/read/1", HOST, "k1", 6_000);
    request.headers_mut().insert("x-key", 7.into());
    let answer = send(routers[0].settings.front, request).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(servers[holder].runs("k1"), 1);
    assert_eq!(servers[1 - holder].runs("k1"), 1);
}

#[tokio::test]
async fn no_key_loses_its_holder_when_the_leader_is_killed() {
    let store = Store::default();
    let (servers, mut routers) = sharded(&store, 3).await;
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let leader = routers.iter().position(has_been_leader).unwrap();
    routers.remove(leader).kill();
    let end = Instant::now() + Duration::from_secs(5);
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        assert!(is_held(&servers), "key 7 lapsed");
        assert_eq!(read_key(&routers[n % 2], 7, &format!("k{n}")).await, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(routers.iter().any(has_been_leader));
}

/// A leader without access to the store can't change the map, so ranges that are being moved would
/// have no holder for as long as it stays the leader.
#[tokio::test]
async fn a_leader_without_access_to_the_store_is_replaced_by_a_router_with_access() {
    let store = Store::default();
    let (servers, routers) = sharded(&store, 3).await;
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let leader = routers.iter().position(has_been_leader).unwrap();
    store.disconnect(&format!("router-{leader}"));
    let began = Instant::now();
    let other = |at: usize| at != leader && has_been_leader(&routers[at]);
    while !(0..routers.len()).any(other) {
        assert!(began.elapsed() < Duration::from_secs(4), "no successor");
        assert!(is_held(&servers), "key 7 lapsed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..100 {
        assert!(is_held(&servers), "key 7 lapsed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// During an outage of the store no router can become the leader, so no router runs for election
/// and the leader keeps renewing grants.
#[tokio::test]
async fn no_router_runs_for_election_during_an_outage_of_the_store() {
    let store = Store::default();
    let (servers, routers) = sharded(&store, 3).await;
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (0..routers.len()).for_each(|at| store.disconnect(&format!("router-{at}")));
    // A follower relies on its relay's access to the store for 1.6 s, and may itself be the relay
    // of another one.
    tokio::time::sleep(Duration::from_millis(4_900)).await;
    let before = store.leadership_calls();
    for _ in 0..100 {
        assert!(is_held(&servers), "key 7 lapsed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(store.leadership_calls(), before);
}

/// Counts how often a router has started to grant keys as the leader.
fn terms(router: &Router) -> usize {
    let text = router.lines.text();
    let began = |line: &&str| line.contains("\"keeper\"") && line.contains("\"taken\"");
    text.lines().filter(began).count()
}

/// Soak seed 3: two routers replaced each other as leader without end, and no key had a holder. The
/// former leader asked its successor at once, while the successor was still reading the map. It
/// took the successor for idle and ran for election again.
#[tokio::test]
async fn a_leader_that_is_still_reading_the_map_is_not_replaced() {
    let store = Store::default();
    let (servers, mut routers) = sharded(&store, 1).await;
    for (name, data_centre) in [("router-b", "dc-b"), ("router-c", "dc-c")] {
        let router = Router::start_with(name, &store, |settings| {
            settings.data_centre = data_centre.into();
        });
        router.ready().await;
        routers.push(router);
    }
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.delay_maps(Duration::from_millis(400));
    routers.remove(0).kill();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let terms: usize = routers.iter().map(terms).sum();
    assert!((1..=2).contains(&terms), "{terms} leaders within 5 s");
}

#[tokio::test]
async fn a_stopping_router_answers_open_requests_and_refuses_long_ones() {
    let (store, server) = serving("/read/").await;
    let mut router = Router::start("router-1", &store);
    router.ready().await;
    server.enqueue(&[Behaviour::Answer(600)]);
    let front = router.settings.front;
    let open = tokio::spawn(send(front, get("/read/1", HOST, "r1", 2_000)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    router.stop();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let readiness = send(router.settings.readiness, get("/ready", "x", "r", 500))
        .await
        .unwrap();
    assert_eq!(readiness.status(), 503);
    let answer = open.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    // A request that could run longer than the process is refused, so that the caller tries
    // another router.
    tokio::time::sleep(GRACE.mul_f64(0.3)).await;
    let late = send(front, get("/read/1", HOST, "r2", 9_000))
        .await
        .unwrap();
    assert_eq!(late.status(), 503);
    assert!(late.headers().contains_key("retry-after"));
    assert_eq!(server.runs("r2"), 0);
    tokio::time::sleep(GRACE).await;
    assert!(!router.is_running());
}

#[tokio::test]
async fn the_metrics_page_shows_the_age_of_the_inputs() {
    let (store, _server) = serving("/read/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    let age = |input| format!("eelgrassrock_input_age_seconds{{input=\"{input}\"}}");
    store.disconnect("router-1");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let store_age = sample(&router, &age("store")).await.unwrap();
    assert!((0.5..5.0).contains(&store_age), "{store_age}");
    let config_age = sample(&router, &age("configuration")).await.unwrap();
    assert!((1.5..5.0).contains(&config_age), "{config_age}");
    assert!(sample(&router, &age("registry")).await.is_some());
}

#[tokio::test]
async fn the_metrics_page_shows_the_remaining_retry_budget() {
    let (store, _server) = serving("/read/").await;
    let router = Router::start_with("router-1", &store, |settings| {
        settings.repeats.extra = 10.0;
        settings.repeats.ratio = 0.0;
    });
    router.ready().await;
    // Only 70 % of the allowance of 10 repeats may be used.
    let left = sample(&router, "eelgrassrock_repeats_left{service=\"sheets\"}").await;
    assert_eq!(left, Some(7.0));
}

#[tokio::test]
async fn the_metrics_page_and_the_documentation_list_the_same_metrics() {
    let (store, _server) = serving("/read/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    assert_eq!(status(&router, "/read/1", "r1").await, 200);
    let page = send(router.settings.metrics, get("/metrics", "x", "m", 500))
        .await
        .unwrap();
    let page = String::from_utf8(page.into_body().to_vec()).unwrap();
    let served: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .collect();
    let listed = include_str!("../../../docs/METRICS.md");
    for name in &served {
        assert!(
            listed.contains(&format!("`{name}`")),
            "docs/METRICS.md lacks {name}"
        );
    }
    let named = listed
        .split('`')
        .filter(|word| word.starts_with("eelgrassrock_"));
    for name in named {
        assert!(
            served.contains(&name),
            "docs/METRICS.md names {name}, which isn't served"
        );
    }
}
