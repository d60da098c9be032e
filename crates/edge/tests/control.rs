//! Configuration, registry, relays, keepers and stops.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use support::platform::{Store, route};
use support::upstream::{Act, Server};
use support::{GRACE, Router, eventually, get, send, serving};

const HOST: &str = "sheets.example";

async fn status(router: &Router, path: &str, id: &str) -> u16 {
    let answer = send(router.settings.front, get(path, HOST, id, 1_500)).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

#[tokio::test]
async fn a_configuration_never_goes_back_and_a_forged_one_changes_nothing() {
    let store = Store::default();
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    store.configure(5, vec![route("/new/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    store.configure(3, vec![route("/old/", Repeat::Idempotent, "sheets")], &[]);
    // Time in which the older configuration arrives.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(status(&router, "/new/1", "r0").await, 200);
    store.forge(Table::Configuration, "current");
    store.forge(Table::Registry, "up-9");
    eventually("reading the forged rows", || {
        let lines = router.lines.text();
        lines.matches("row unreadable").count() == 2
    })
    .await;
    assert_eq!(status(&router, "/new/1", "r1").await, 200);
    assert_eq!(status(&router, "/old/1", "r2").await, 404);
}

#[tokio::test]
async fn an_upstream_that_left_the_registry_gets_nothing() {
    let store = Store::default();
    let servers = [Server::start("up-0").await, Server::start("up-1").await];
    servers
        .iter()
        .for_each(|server| store.register("sheets", server));
    store.configure(1, vec![route("/read/", Repeat::Idempotent, "sheets")], &[]);
    let router = Router::start("router-1", &store);
    router.ready().await;
    store.unregister("up-0");
    eventually("the lapse", || {
        router.lines.text().contains("upstream lapsed")
    })
    .await;
    for n in 0..10 {
        let id = format!("r{n}");
        assert_eq!(status(&router, "/read/1", &id).await, 200);
        assert_eq!(servers[0].runs(&id), 0);
    }
}

/// Asks until a path is served, which must be within a limit from now.
async fn served_within(router: &Router, path: &str, limit: Duration) {
    let began = Instant::now();
    while status(router, path, "r1").await != 200 {
        assert!(began.elapsed() < limit, "{}", router.lines.text());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Both follow the store at first; then one of them reads and tells the other.
async fn pair(store: &Store) -> (Router, Router) {
    let server = Server::start("up-0").await;
    store.register("sheets", &server);
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], &[]);
    let first = Router::start_with("router-1", store, |settings| settings.size = 500);
    let second = Router::start_with("router-2", store, |settings| settings.size = 100);
    first.ready().await;
    second.ready().await;
    // Time in which the routers learn of each other.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (first, second)
}

#[tokio::test]
async fn a_follower_gets_news_without_calls_to_the_store() {
    let store = Store::default();
    let (_first, second) = pair(&store).await;
    let before = store.feed_calls("router-2");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&second, "/v2/1", "r1").await, 200);
    assert_eq!(store.feed_calls("router-2"), before);
}

/// Two routers at addresses of their own, `router-2` and `router-3`, of which the
/// second follows the first.
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
    // The first call may come before the relay has read the new router's row;
    // then the relay is passed over for 3 s.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    routers
}

/// When a relay's feed is dead, its followers hear from another data centre that
/// they are behind. All of them asked the store then, for two seconds.
#[tokio::test]
async fn a_follower_that_is_behind_asks_the_router_that_told_it() {
    let (store, _server) = serving("/v1/").await;
    let mut routers = relay_and_follower(&store).await;
    let far = Router::start_with("router-4", &store, |settings| {
        settings.peer.set_ip([127, 0, 0, 4].into());
        settings.data_centre = "dc-b".into();
    });
    far.ready().await;
    routers.push(far);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.kill_feeds("router-2");
    let before = store.feed_calls("router-3");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    served_within(&routers[1], "/v2/1", Duration::from_millis(1_000)).await;
    assert_eq!(store.feed_calls("router-3"), before);
}

/// A router that stops has removed its row, and goes on for seconds. Refused as a
/// stranger by its relay, it followed the store by itself.
#[tokio::test]
async fn a_stopping_router_goes_on_following_its_relay() {
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

/// Routers know each other by their addresses, so calls must come from there,
/// also where the system would choose another one.
#[tokio::test]
async fn routers_at_addresses_of_their_own_know_each_other() {
    let (store, _server) = serving("/v1/").await;
    let routers = relay_and_follower(&store).await;
    let before = store.feed_calls("router-3");
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(status(&routers[1], "/v2/1", "r1").await, 200);
    assert_eq!(store.feed_calls("router-3"), before);
}

#[tokio::test]
async fn a_follower_whose_relay_is_killed_has_a_new_configuration_within_two_seconds() {
    let store = Store::default();
    let (mut first, second) = pair(&store).await;
    first.kill();
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    served_within(&second, "/v2/1", Duration::from_secs(2)).await;
}

#[tokio::test]
async fn a_relay_that_the_store_turns_away_is_passed_over() {
    let store = Store::default();
    let (_first, second) = pair(&store).await;
    store.cut("router-1");
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.configure(2, vec![route("/v2/", Repeat::Idempotent, "sheets")], &[]);
    served_within(&second, "/v2/1", Duration::from_millis(3_500)).await;
}

/// The bound on an upstream that leaves is a few seconds; the feed of the registry
/// would wait for 20 s.
#[tokio::test]
async fn feeds_that_die_without_a_sign_are_replaced_within_three_seconds() {
    let (store, server) = serving("/v1/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    // The first answers come soon after the start; then the feeds wait.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.kill_feeds("router-1");
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

async fn keyed(store: &Store, routers: usize) -> (Vec<Server>, Vec<Router>) {
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

/// Whether key 7 has a holder.
fn is_held(servers: &[Server]) -> bool {
    servers.iter().any(|server| server.holds(7))
}

/// Whether a router has ever granted keys.
fn is_keeper(router: &Router) -> bool {
    terms(router) > 0
}

/// Load answered: a keeper of hundreds of upstreams. Of routers that start together,
/// the first to read the tables took the duty, on whatever VM it was.
#[tokio::test]
async fn the_first_keeper_is_on_the_largest_vm() {
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
        // Machines of a fleet start within 0.3 s.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    eventually("the grant", || is_held(std::slice::from_ref(&server))).await;
    let keepers: Vec<bool> = routers.iter().map(is_keeper).collect();
    assert_eq!(keepers, [false, false, false, false, false, true]);
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
    let (servers, routers) = keyed(&store, 1).await;
    eventually("the grants", || is_held(&servers)).await;
    for key in [0, 7, 40_000, u16::MAX] {
        assert_eq!(read_key(&routers[0], key, &format!("k{key}")).await, 200);
    }
}

/// Incident inc-f368: requests waited for silent holders until their time was
/// over, long after their keys had gone to others.
#[tokio::test]
async fn a_read_leaves_a_silent_holder_once_another_one_has_its_key() {
    let store = Store::default();
    let (servers, routers) = keyed(&store, 1).await;
    eventually("the grants", || is_held(&servers)).await;
    let mut patient = route("/read/", Repeat::Idempotent, "sheets");
    patient.timeout = Some(Duration::from_secs(6));
    store.configure(2, vec![patient], &["sheets"]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let holder = servers.iter().position(|server| server.holds(7)).unwrap();
    servers[holder].next(&[Act::Answer(60_000)]);
    let silent = servers[holder].id.clone();
    let lost = store.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        lost.unregister(&silent);
    });
    // The keys of a lost holder are away for its grant of 3 s.
    let mut request = get("/read/1", HOST, "k1", 6_000);
    request.headers_mut().insert("x-key", 7.into());
    let answer = send(routers[0].settings.front, request).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(servers[holder].runs("k1"), 1);
    assert_eq!(servers[1 - holder].runs("k1"), 1);
}

#[tokio::test]
async fn no_key_lapses_when_the_keeper_is_killed() {
    let store = Store::default();
    let (servers, mut routers) = keyed(&store, 3).await;
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let keeper = routers.iter().position(is_keeper).unwrap();
    routers.remove(keeper).kill();
    let end = Instant::now() + Duration::from_secs(5);
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        assert!(is_held(&servers), "key 7 lapsed");
        assert_eq!(read_key(&routers[n % 2], 7, &format!("k{n}")).await, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(routers.iter().any(is_keeper));
}

/// A keeper that the store doesn't answer can't change the map, so ranges on their
/// way stay without a holder for as long as it keeps the duty.
#[tokio::test]
async fn a_keeper_that_the_store_does_not_answer_gives_way_to_one_that_hears_it() {
    let store = Store::default();
    let (servers, routers) = keyed(&store, 3).await;
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let keeper = routers.iter().position(is_keeper).unwrap();
    store.cut(&format!("router-{keeper}"));
    let began = Instant::now();
    let other = |at: usize| at != keeper && is_keeper(&routers[at]);
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

/// Without the store nobody can take the duty, so nobody asks for it, and the
/// keeper carries it out.
#[tokio::test]
async fn nobody_stands_while_the_store_answers_nobody() {
    let store = Store::default();
    let (servers, routers) = keyed(&store, 3).await;
    eventually("the grants", || is_held(&servers)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (0..routers.len()).for_each(|at| store.cut(&format!("router-{at}")));
    // A follower takes its relay's word for 1.6 s, and may be the next one's relay.
    tokio::time::sleep(Duration::from_millis(4_900)).await;
    let before = store.duty_calls();
    for _ in 0..100 {
        assert!(is_held(&servers), "key 7 lapsed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(store.duty_calls(), before);
}

/// Times that a router began to grant keys.
fn terms(router: &Router) -> usize {
    let text = router.lines.text();
    let began = |line: &&str| line.contains("\"keeper\"") && line.contains("\"taken\"");
    text.lines().filter(began).count()
}

/// Found by the soak, seed 3: a router that lost the duty asked the next one at
/// once, which was still reading the map, took it for idle and stood again; two
/// of them went on like that for good, and no key had a holder.
#[tokio::test]
async fn routers_do_not_take_the_duty_from_one_that_is_about_to_begin() {
    let store = Store::default();
    let (servers, mut routers) = keyed(&store, 1).await;
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
    assert!((1..=2).contains(&terms), "{terms} terms within 5 s");
}

#[tokio::test]
async fn a_stopping_router_answers_what_is_open_and_sends_callers_away() {
    let (store, server) = serving("/read/").await;
    let mut router = Router::start("router-1", &store);
    router.ready().await;
    server.next(&[Act::Answer(600)]);
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
    // What might outlast the process is refused; another router takes it.
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

/// Reads one sample off the metrics page.
async fn sample(router: &Router, name: &str) -> Option<f64> {
    let page = send(router.settings.metrics, get("/metrics", "x", "m", 500))
        .await
        .unwrap();
    let page = String::from_utf8(page.into_body().to_vec()).unwrap();
    let value = page.lines().find_map(|line| line.strip_prefix(name))?;
    Some(value.trim().parse().unwrap())
}

#[tokio::test]
async fn the_metrics_page_tells_how_old_the_inputs_are() {
    let (store, _server) = serving("/read/").await;
    let router = Router::start("router-1", &store);
    router.ready().await;
    let age = |input| format!("eelgrassrock_input_age_seconds{{input=\"{input}\"}}");
    store.cut("router-1");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let store_age = sample(&router, &age("store")).await.unwrap();
    assert!((0.5..5.0).contains(&store_age), "{store_age}");
    let config_age = sample(&router, &age("configuration")).await.unwrap();
    assert!((1.5..5.0).contains(&config_age), "{config_age}");
    assert!(sample(&router, &age("registry")).await.is_some());
}

#[tokio::test]
async fn the_metrics_page_tells_how_many_repeats_are_left() {
    let (store, _server) = serving("/read/").await;
    let router = Router::start_with("router-1", &store, |settings| {
        settings.repeats.extra = 10.0;
        settings.repeats.ratio = 0.0;
    });
    router.ready().await;
    // Seven tenths of the allowance are used.
    let left = sample(&router, "eelgrassrock_repeats_left{service=\"sheets\"}").await;
    assert_eq!(left, Some(7.0));
}

#[tokio::test]
async fn the_metrics_page_names_what_the_documentation_lists() {
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
