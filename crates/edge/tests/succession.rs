//! Leaders that take over while the process of their predecessor may still act.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_edge::platform::Table;
use eelgrassrock_ranges::election::Leadership;
use eelgrassrock_ranges::map::{Instance, LAST_KEY, Map, Range};
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, eventually, free_address};
use tokio::time::sleep;

/// Time for which a predecessor may act after its last contact with the store.
const AUTHORITY: Duration = Duration::from_millis(6_000);
/// Time after which keys move if the predecessor has stopped: its last grant, the time after which
/// a holder counts as unresponsive, and some for slow machines.
const HANDOVER: Duration = Duration::from_millis(3_360 + 1_200 + 1_000);
/// Keys that stand for all keys.
const SAMPLES: [u16; 3] = [0, 30_000, LAST_KEY];

/// Three upstreams of a sharded service, of which one holds all keys and can't be reached, and the
/// rows of the leader that granted them.
struct Deployment {
    store: Store,
    servers: Vec<Server>,
}

impl Deployment {
    async fn new(predecessor: SocketAddr) -> Self {
        let store = Store::default();
        let mut servers = Vec::new();
        for number in 0..3 {
            let server = Server::start(&format!("up-{number}")).await.keyed();
            store.register_as("sheets", &server, |upstream| {
                if number == 0 {
                    upstream.address = free_address();
                }
            });
            servers.push(server);
        }
        let leadership = Leadership {
            term: 1,
            router: "router-9".into(),
            incarnation: 7,
            address: predecessor,
            is_released: false,
            predecessors: Vec::new(),
            is_recovering: false,
        };
        store.put(Table::Routers, "duty/0/sheets", &leadership);
        let holder = Instance {
            upstream: "up-0".into(),
            incarnation: 1,
        };
        let range = Range {
            from: 0,
            to: LAST_KEY,
            fence: 1,
            holder: Some(holder),
            sources: Vec::new(),
        };
        let map = Map {
            next_fence: 2,
            ranges: vec![range],
        };
        store.put(Table::Maps, "0/sheets", &map);
        let routes = vec![route("/v1/", Repeat::Idempotent, "sheets")];
        store.configure(1, routes, &["sheets"]);
        Self { store, servers }
    }

    fn have_keys_moved(&self) -> bool {
        let is_held = |key: &u16| self.servers.iter().any(|server| server.holds(*key));
        SAMPLES.iter().any(is_held)
    }
}

/// Guards against two holders of a key while a leader is cut off by a partition that refuses
/// connections: a new leader took the refused connection for the end of its process.
#[tokio::test]
async fn keys_stay_while_the_address_of_the_predecessor_refuses_connections() {
    let deployment = Deployment::new(free_address()).await;
    let router = Router::start_at(2, 500, &deployment.store);
    let taken = || router.lines.text().contains("\"reason\":\"taken\"");
    eventually("a new leader", taken).await;
    let taken_at = Instant::now();
    while taken_at.elapsed() < AUTHORITY {
        let lines = router.lines.text();
        assert!(!deployment.have_keys_moved(), "{lines}");
        sleep(Duration::from_millis(20)).await;
    }
    let lines = router.lines.text();
    assert!(lines.contains("\"sign\":\"refused\""), "{lines}");
    assert!(!lines.contains("earlier leaders have stopped"), "{lines}");
}

/// Guards the fast hand-over: another process at the predecessor's address proves its end.
#[tokio::test]
async fn keys_move_soon_after_another_process_answers_at_the_address_of_the_predecessor() {
    let address = free_address();
    let deployment = Deployment::new(address).await;
    let router = Router::start_at(2, 500, &deployment.store);
    let taken = || router.lines.text().contains("\"reason\":\"taken\"");
    eventually("a new leader", taken).await;
    // A process under the predecessor's name would run for leadership itself.
    let _other = Router::start_with("router-5", &deployment.store, |settings| {
        settings.peer = address;
        settings.size = 100;
    });
    let stopped = || {
        let lines = router.lines.text();
        lines.contains("earlier leaders have stopped")
    };
    eventually("the end of the predecessor", stopped).await;
    let stopped_at = Instant::now();
    eventually("the move of the keys", || deployment.have_keys_moved()).await;
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < HANDOVER, "{elapsed:?}");
    let lines = router.lines.text();
    assert!(lines.contains("\"sign\":\"other-answered\""), "{lines}");
}
