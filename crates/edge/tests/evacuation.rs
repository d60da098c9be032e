//! Data centres that the operator evacuates: their upstreams get no requests until they are taken back.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use eelgrassrock_edge::settings::Settings;
use http::header::RETRY_AFTER;
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::{Behaviour, Server};
use support::{Router, eventually, get, post, sample, send};
use tokio::time::sleep;

const HOST: &str = "sheets.example";
/// Time after the operator's request from which on no request may arrive.
const BOUND: Duration = Duration::from_secs(2);
/// Time within which a router that has just started learns of a change.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// Row that evacuates the second data centre.
const ROW: &str = "leave/dc-b";

/// Upstreams in three data centres.
struct Deployment {
    store: Store,
    servers: Vec<Server>,
}

impl Deployment {
    async fn start(keyed: &[&str]) -> Self {
        let store = Store::default();
        store.count_eras();
        let mut servers = Vec::new();
        for (index, data_centre) in ["dc-a", "dc-b", "dc-c"].into_iter().enumerate() {
            let server = Server::start(&format!("up-{index}")).await;
            let server = if keyed.is_empty() {
                server
            } else {
                server.keyed()
            };
            store.register_as("sheets", &server, |upstream| {
                upstream.data_centre = data_centre.into();
            });
            servers.push(server);
        }
        let mut once = route("/once/", Repeat::Once, "sheets");
        once.timeout = Some(BOUND * 3);
        let routes = vec![route("/v1/", Repeat::Idempotent, "sheets"), once];
        store.configure(1, routes, keyed);
        Self { store, servers }
    }

    /// Starts a router in the second data centre, which prefers the upstream there.
    async fn router(&self, last: u8) -> Router {
        self.router_with(last, |_| ()).await
    }

    async fn router_with(&self, last: u8, change: impl Fn(&mut Settings)) -> Router {
        let router = Router::start_with(&format!("router-{last}"), &self.store, |settings| {
            settings.peer.set_ip([127, 0, 0, last].into());
            settings.data_centre = "dc-b".into();
            settings.evacuation = Some(BOUND);
            change(settings);
        });
        router.ready().await;
        // Datagrams are ignored until each router has read the other's row.
        sleep(PROPAGATION_TIME).await;
        router
    }

    fn evacuate(&self) {
        self.store.put(Table::Configuration, ROW, &"for a while");
    }

    fn take_back(&self) {
        self.store.remove(Table::Configuration, ROW);
    }

    /// Sends some requests, all of which must be served, and returns how many arrived in the second
    /// data centre.
    async fn arrivals(&self, router: &Router) -> usize {
        let since = Instant::now();
        for number in 0..20_u16 {
            let status = status(router, number * 3_000).await;
            assert_eq!(status, 200, "{}", router.lines.text());
        }
        self.servers[1].arrivals_since(since)
    }

    /// Checks that nothing arrives in the second data centre.
    async fn check_evacuated(&self, router: &Router) {
        assert_eq!(self.arrivals(router).await, 0, "{}", router.lines.text());
    }

    /// Checks that the second data centre is used.
    async fn check_used(&self, router: &Router) {
        assert!(self.arrivals(router).await > 0, "{}", router.lines.text());
    }
}

async fn status(router: &Router, key: u16) -> u16 {
    let mut request = get("/v1/1", HOST, "r", 1_500);
    request.headers_mut().insert("x-key", key.into());
    let answer = send(router.settings.front, request).await;
    answer.unwrap().status().as_u16()
}

/// Returns every 512th key that an upstream holds.
fn held(server: &Server) -> Vec<u16> {
    let keys = (0..=u16::MAX).step_by(512);
    keys.filter(|key| server.holds(*key)).collect()
}

/// The row comes, goes, comes and goes again.
#[tokio::test]
async fn a_data_centre_gets_no_requests_while_its_row_exists() {
    let deployment = Deployment::start(&[]).await;
    let router = deployment.router(2).await;
    deployment.check_used(&router).await;
    for _ in 0..2 {
        // One request is at work there, and ends.
        deployment.servers[1].enqueue(&[Behaviour::Answer(700)]);
        let address = router.settings.front;
        let at_work = tokio::spawn(send(address, post("/once/1", "at-work", 1_500, "")));
        sleep(Duration::from_millis(50)).await;
        deployment.evacuate();
        sleep(PROPAGATION_TIME / 3).await;
        assert_eq!(
            sample(&router, "eelgrassrock_evacuated_data_centres ").await,
            Some(1.0)
        );
        let in_flight = "eelgrassrock_evacuated_in_flight{service=\"sheets\"} ";
        assert_eq!(sample(&router, in_flight).await, Some(1.0));
        assert!(!router.lines.text().contains("data centre not empty"));
        assert_eq!(at_work.await.unwrap().unwrap().status(), 200);
        sleep(PROPAGATION_TIME).await;
        deployment.check_evacuated(&router).await;
        assert_eq!(sample(&router, in_flight).await, Some(0.0));
        deployment.take_back();
        sleep(PROPAGATION_TIME).await;
        deployment.check_used(&router).await;
    }
    let text = router.lines.text();
    for event in ["evacuation began", "data centre empty", "evacuation ended"] {
        assert_eq!(text.matches(event).count(), 2, "{event}\n{text}");
    }
}

/// Keys move to the other data centres in time, nothing is granted there, and the keys spread again
/// when the data centre is taken back.
#[tokio::test]
async fn keys_move_away_and_return() {
    let deployment = Deployment::start(&["sheets"]).await;
    let router = deployment.router(2).await;
    let evacuated = &deployment.servers[1];
    eventually("keys", || !held(evacuated).is_empty()).await;
    for _ in 0..2 {
        deployment.evacuate();
        let began = Instant::now();
        let mut number = 0_u16;
        while began.elapsed() < BOUND {
            assert_eq!(status(&router, number.wrapping_mul(7_919)).await, 200);
            number += 1;
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(held(evacuated), [] as [u16; 0], "{}", router.lines.text());
        assert_eq!(evacuated.arrivals_since(began + BOUND / 2), 0);
        sleep(PROPAGATION_TIME).await;
        deployment.check_evacuated(&router).await;
        assert_eq!(held(evacuated), [] as [u16; 0]);
        deployment.take_back();
        let is_used = || !held(evacuated).is_empty();
        // Load is what makes the leader spread keys.
        for number in 0..400_u16 {
            status(&router, number.wrapping_mul(7_919)).await;
            if is_used() {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert!(is_used(), "{}", router.lines.text());
    }
}

/// A holder that is at work doesn't release its keys, so the operator sees what is left.
#[tokio::test]
async fn what_is_left_after_the_bound_is_logged() {
    let deployment = Deployment::start(&[]).await;
    let router = deployment.router(2).await;
    deployment.servers[1].enqueue(&[Behaviour::Answer(4_000)]);
    let address = router.settings.front;
    let long = post("/once/1", "long", 6_000, "");
    let _at_work = tokio::spawn(send(address, long));
    sleep(Duration::from_millis(100)).await;
    deployment.evacuate();
    let text = || router.lines.text();
    eventually("the line", || text().contains("data centre not empty")).await;
    let text = text();
    let line = text
        .lines()
        .find(|line| line.contains("data centre not empty"));
    let line = line.unwrap();
    assert!(
        line.contains("\"requests\":1") && line.contains("up-1"),
        "{line}"
    );
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_data_centres_are_evacuated() {
    let deployment = Deployment::start(&[]).await;
    let router = deployment.router(2).await;
    for data_centre in ["dc-a", "dc-b", "dc-c"] {
        let key = format!("leave/{data_centre}");
        deployment.store.put(Table::Configuration, &key, &0);
    }
    sleep(PROPAGATION_TIME).await;
    let began = Instant::now();
    let answer = send(router.settings.front, get("/v1/1", HOST, "r", 1_500))
        .await
        .unwrap();
    assert!(began.elapsed() < Duration::from_millis(200));
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key(RETRY_AFTER));
    assert_eq!(&answer.body()[..], b"evacuated");
    for server in &deployment.servers {
        assert_eq!(server.arrivals_since(began), 0);
    }
    deployment.take_back();
    sleep(PROPAGATION_TIME).await;
    deployment.check_used(&router).await;
}

/// Deployments that don't ask for evacuations are served as before.
#[tokio::test]
async fn rows_are_ignored_without_a_bound() {
    let deployment = Deployment::start(&[]).await;
    let router = deployment
        .router_with(2, |settings| settings.evacuation = None)
        .await;
    deployment.evacuate();
    sleep(PROPAGATION_TIME).await;
    deployment.check_used(&router).await;
    let text = router.lines.text();
    assert!(
        !text.contains("unreadable") && !text.contains("evacuation"),
        "{text}"
    );
}

/// The router hears of the row from another one only, in the time of the bound.
#[tokio::test]
async fn a_router_that_the_store_turns_away_knows_of_evacuations() {
    let deployment = Deployment::start(&[]).await;
    let _other = deployment
        .router_with(3, |settings| settings.data_centre = "dc-c".into())
        .await;
    let router = deployment.router(2).await;
    deployment.store.disconnect("router-2");
    for _ in 0..2 {
        deployment.evacuate();
        sleep(BOUND).await;
        deployment.check_evacuated(&router).await;
        deployment.take_back();
        sleep(BOUND).await;
        deployment.check_used(&router).await;
    }
}

/// The other router has started after the row was written, so it has no changes to tell, but the whole
/// table.
#[tokio::test]
async fn a_router_that_the_store_turns_away_learns_from_a_whole_table() {
    let deployment = Deployment::start(&[]).await;
    let start = |peer: Option<SocketAddr>| {
        deployment.router_with(3, move |settings| {
            settings.data_centre = "dc-c".into();
            settings.peer = peer.unwrap_or(settings.peer);
        })
    };
    let mut other = start(None).await;
    let router = deployment.router(2).await;
    deployment.store.disconnect("router-2");
    other.kill();
    deployment.evacuate();
    // At the same address, since the router that is turned away knows no other.
    let other = start(Some(other.settings.peer)).await;
    // The next change is announced.
    let routes = vec![route("/v1/", Repeat::Idempotent, "sheets")];
    deployment.store.configure(2, routes, &[]);
    sleep(BOUND).await;
    deployment.check_evacuated(&router).await;
    deployment.check_evacuated(&other).await;
}

/// The relay ends as the row is written, and a router starts while it stands.
#[rstest]
#[case::relay_lives(false)]
#[case::relay_ends(true)]
#[tokio::test]
async fn followers_and_routers_that_start_know_of_evacuations(#[case] relay_ends: bool) {
    let deployment = Deployment::start(&[]).await;
    let mut relay = deployment
        .router_with(2, |settings| settings.size = 500)
        .await;
    let follower = deployment
        .router_with(3, |settings| settings.size = 100)
        .await;
    deployment.check_used(&follower).await;
    if relay_ends {
        relay.kill();
    }
    deployment.evacuate();
    sleep(BOUND).await;
    deployment.check_evacuated(&follower).await;
    let late = deployment
        .router_with(4, |settings| settings.size = 100)
        .await;
    deployment.check_evacuated(&late).await;
    deployment.take_back();
    sleep(BOUND).await;
    deployment.check_used(&follower).await;
    deployment.check_used(&late).await;
}

/// The store comes back from a copy. What the routers know to be newer stays in force.
#[tokio::test]
async fn a_restore_of_the_store_reverts_no_evacuation() {
    let deployment = Deployment::start(&[]).await;
    let relay = deployment
        .router_with(2, |settings| settings.size = 500)
        .await;
    let follower = deployment
        .router_with(3, |settings| settings.size = 100)
        .await;
    let before = deployment.store.back_up();
    deployment.evacuate();
    sleep(PROPAGATION_TIME).await;
    let with_row = deployment.store.back_up();
    // The copy lacks the row.
    deployment.store.restore(before);
    sleep(BOUND).await;
    let late = deployment
        .router_with(4, |settings| settings.size = 100)
        .await;
    for router in [&relay, &follower, &late] {
        deployment.check_evacuated(router).await;
    }
    // The operator notices, and takes it back.
    deployment.evacuate();
    sleep(PROPAGATION_TIME).await;
    deployment.take_back();
    sleep(BOUND).await;
    for router in [&relay, &follower, &late] {
        deployment.check_used(router).await;
    }
    // The copy has the row, which was removed since.
    deployment.store.restore(with_row);
    sleep(BOUND).await;
    for router in [&relay, &follower] {
        deployment.check_used(router).await;
    }
}
