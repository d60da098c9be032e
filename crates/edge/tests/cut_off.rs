//! Routers that lose the path to all upstreams, while callers, the store and other routers reach them.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use http::Request;
use http_body_util::Full;
use hyper::body::Bytes;
use rstest::rstest;
use support::link::BlackHole;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, eventually, free_address, get, post, send};

const HOST: &str = "sheets.example";
/// Time from the begin of a cut until callers must be served again.
const STABLE: Duration = Duration::from_secs(3);
/// Time between two requests to one router.
const INTERVAL: Duration = Duration::from_millis(40);
/// Number of requests of which the answers are counted.
const REQUESTS: usize = 60;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Read,
    Issue,
    KeyedRead,
}

impl Kind {
    fn request(self, number: usize) -> Request<Full<Bytes>> {
        let id = format!("{self:?}-{number}");
        match self {
            Self::Read => get("/read/1", HOST, &id, 1_500),
            Self::Issue => post("/issue/1", &id, 1_500, "body"),
            Self::KeyedRead => {
                let mut request = get("/keyed/1", HOST, &id, 1_500);
                let key = (number * 7_919 % 65_536) as u16;
                request.headers_mut().insert("x-key", key.into());
                request
            }
        }
    }
}

/// Deployment of three routers, the first of which leads, and three upstreams of each service.
struct Deployment {
    store: Store,
    routers: Vec<Router>,
    servers: Vec<Server>,
}

impl Deployment {
    async fn start() -> Self {
        let store = Store::default();
        let mut servers = Vec::new();
        for (service, is_keyed) in [("sheets", false), ("issuer", false), ("keyed", true)] {
            for number in 0..3 {
                let server = Server::start(&format!("{service}-{number}")).await;
                let server = if is_keyed { server.keyed() } else { server };
                store.register(service, &server);
                servers.push(server);
            }
        }
        let routes = vec![
            route("/read/", Repeat::Idempotent, "sheets"),
            route("/issue/", Repeat::Once, "issuer"),
            route("/keyed/", Repeat::Idempotent, "keyed"),
        ];
        store.configure(1, routes, &["keyed"]);
        let mut routers = Vec::new();
        for (last, size) in [(2, 500), (3, 100), (4, 100)] {
            let router = Router::start_at(last, size, &store);
            router.ready().await;
            routers.push(router);
        }
        let deployment = Self {
            store,
            routers,
            servers,
        };
        eventually("the grants", || deployment.is_held()).await;
        // The last router's calls are refused until the relay has read its row.
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        deployment
    }

    fn is_held(&self) -> bool {
        let keys = [0, 20_000, 40_000, u16::MAX];
        let is_held = |key: u16| self.servers.iter().any(|server| server.holds(key));
        keys.into_iter().all(is_held)
    }

    fn cut_off(&self, router: usize, address: Option<SocketAddr>) {
        let name = &self.routers[router].settings.router;
        self.store.cut_off(name, address);
    }

    /// Sends requests of a kind to a router for a while, then counts how many of the next ones
    /// are served.
    async fn served(&self, router: usize, kind: Kind) -> usize {
        let warm_up = (STABLE.as_millis() / INTERVAL.as_millis()) as usize;
        let address = self.routers[router].settings.front;
        let mut calls = Vec::new();
        for number in 0..warm_up + REQUESTS {
            let request = kind.request(number);
            calls.push(tokio::spawn(async move {
                let answer = send(address, request).await;
                answer.is_ok_and(|answer| answer.status() == 200)
            }));
            tokio::time::sleep(INTERVAL).await;
        }
        let mut served = 0;
        for call in calls.into_iter().skip(warm_up) {
            served += usize::from(call.await.unwrap());
        }
        served
    }

    /// Returns how often a request was run.
    fn runs(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.runs(id)).sum()
    }
}

#[rstest]
#[case::connections_refused(false)]
#[case::connections_hang(true)]
#[tokio::test]
async fn a_router_cut_off_from_all_upstreams_serves_its_callers(#[case] hangs: bool) {
    let deployment = Deployment::start().await;
    let hole = BlackHole::open();
    let address = if hangs { hole.address } else { free_address() };
    deployment.cut_off(2, Some(address));
    let (read, issue, keyed) = tokio::join!(
        deployment.served(2, Kind::Read),
        deployment.served(2, Kind::Issue),
        deployment.served(2, Kind::KeyedRead),
    );
    let least = REQUESTS * 2 / 3;
    assert!(
        read.min(issue).min(keyed) >= least,
        "{read} {issue} {keyed} of {REQUESTS}:\n{}",
        deployment.routers[2].lines.text()
    );
    for number in 0..2 * REQUESTS {
        assert!(deployment.runs(&format!("Issue-{number}")) <= 1);
    }
}

#[tokio::test]
async fn keys_keep_their_holders_while_the_leader_is_cut_off_from_all_upstreams() {
    let deployment = Deployment::start().await;
    let hole = BlackHole::open();
    deployment.cut_off(0, Some(hole.address));
    let served = deployment.served(2, Kind::KeyedRead).await;
    assert!(
        served >= REQUESTS * 2 / 3,
        "{served} of {REQUESTS}:\n{}",
        deployment.routers[2].lines.text()
    );
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_routers_are_cut_off() {
    let deployment = Deployment::start().await;
    let hole = BlackHole::open();
    (0..3).for_each(|router| deployment.cut_off(router, Some(hole.address)));
    let served = tokio::join!(
        deployment.served(1, Kind::Read),
        deployment.served(2, Kind::Read),
    );
    assert_eq!(served, (0, 0));
    let mut waits = Vec::new();
    for number in 0..10 {
        let began = Instant::now();
        let request = Kind::Read.request(1_000 + number);
        let answer = send(deployment.routers[2].settings.front, request)
            .await
            .unwrap();
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
        waits.push(began.elapsed());
    }
    waits.sort();
    // Some requests are sent to find out whether an upstream can be reached again.
    assert!(waits[5] < Duration::from_millis(150), "{waits:?}");
}

#[tokio::test]
async fn a_router_serves_its_callers_by_itself_once_its_cut_is_over() {
    let deployment = Deployment::start().await;
    deployment.cut_off(2, Some(free_address()));
    deployment.served(2, Kind::Read).await;
    deployment.cut_off(2, None);
    deployment.served(2, Kind::Read).await;
    deployment.cut_off(0, Some(free_address()));
    deployment.cut_off(1, Some(free_address()));
    assert!(deployment.served(2, Kind::Read).await >= REQUESTS * 2 / 3);
}
