//! Cold upstreams under the load of several routers.

mod support;

use std::time::{Duration, Instant};

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_dispatch::limit::{Limit, Tolerance};
use rstest::rstest;
use support::platform::{Store, route};
use support::upstream::Server;
use support::{Router, eventually, get, sample, send};
use tokio::task::JoinSet;
use tokio::time::sleep;

const HOST: &str = "sheets.example";
const LIMIT_PER_S: f64 = 7.6;
const TOLERANCE: Tolerance = Tolerance {
    factor: 1.5,
    extra: 8.0,
};
/// Time over which a cold upstream counts requests.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests that a window may contain.
const MOST: f64 = LIMIT_PER_S * TOLERANCE.factor + TOLERANCE.extra;
/// Time from the start of a router until it owns limits.
const SETTLING_TIME: Duration = Duration::from_millis(3_500);
const PRESS_INTERVAL: Duration = Duration::from_millis(20);

/// Starts three routers that keep limits of cold upstreams, and waits until they own them.
async fn start(store: &Store, cold_time: Duration, is_keyed: bool) -> Vec<Router> {
    store.warm_up(cold_time, Limit::per_s(LIMIT_PER_S).unwrap());
    let keyed: &[&str] = if is_keyed { &["sheets"] } else { &[] };
    store.configure(1, vec![route("/v1/", Repeat::Idempotent, "sheets")], keyed);
    let start = |last: u8| {
        Router::start_with(&format!("router-{last}"), store, |settings| {
            settings.peer.set_ip([127, 0, 0, last].into());
            settings.cold_tolerance = Some(TOLERANCE);
        })
    };
    let routers: Vec<Router> = (2..5).map(start).collect();
    for router in &routers {
        router.ready().await;
    }
    sleep(SETTLING_TIME).await;
    routers
}

async fn server(store: &Store, is_keyed: bool) -> Server {
    let server = Server::start("up-1").await;
    let server = if is_keyed { server.keyed() } else { server };
    store.register("sheets", &server);
    server
}

/// Registers the upstream as cold.
fn cool(store: &Store, server: &Server, left: Duration) -> Instant {
    store.register_as("sheets", server, |entry| {
        entry.sequence = 2;
        entry.warm_up = left;
    });
    Instant::now()
}

/// Sends a request for another key to each router in turn until `end`. Returns how many were
/// answered with success.
async fn press(routers: &[Router], end: Instant) -> usize {
    let mut requests = JoinSet::new();
    let mut sent = 0;
    while Instant::now() < end {
        let mut request = get("/v1/1", HOST, &format!("r{sent}"), 800);
        let key = (sent * 7_919 % 65_536) as u16;
        request.headers_mut().insert("x-key", key.into());
        let front = routers[sent % routers.len()].settings.front;
        requests.spawn(async move {
            let answer = send(front, request).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        });
        sent += 1;
        sleep(PRESS_INTERVAL).await;
    }
    let answers = requests.join_all().await;
    answers.into_iter().filter(|served| *served).count()
}

fn most_in_a_window(arrivals: &[Instant]) -> usize {
    let counts = arrivals.iter().map(|end| {
        let in_window = |at: &&Instant| **at <= *end && *end <= **at + WINDOW;
        arrivals.iter().filter(in_window).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns how many questions of others a router has answered.
async fn answered(router: &Router) -> f64 {
    let mut total = 0.0;
    for result in ["granted", "denied"] {
        let labels = format!("{{service=\"sheets\",result=\"{result}\"}}");
        let name = format!("eelgrassrock_permits_answered_total{labels}");
        total += sample(router, &name).await.unwrap_or_default();
    }
    total
}

#[rstest]
#[case::interchangeable_upstreams(false)]
#[case::upstreams_that_hold_keys(true)]
#[tokio::test]
async fn routers_together_use_the_limit_of_a_cold_upstream_and_no_more(#[case] is_keyed: bool) {
    const COLD_TIME: Duration = Duration::from_secs(6);
    let store = Store::default();
    let server = server(&store, is_keyed).await;
    let routers = start(&store, COLD_TIME, is_keyed).await;
    let cooled = cool(&store, &server, COLD_TIME);
    let is_cold = || {
        let log = |router: &Router| router.lines.text().contains("\"upstream cold\"");
        routers.iter().all(log)
    };
    eventually("news of the cold upstream", is_cold).await;
    let since = Instant::now();
    press(&routers, cooled + COLD_TIME).await;
    let mut arrivals = server.arrivals_after(since);
    arrivals.retain(|at| *at < cooled + COLD_TIME);
    let most = most_in_a_window(&arrivals) as f64;
    let log = routers[0].lines.text();
    assert!(most <= MOST, "{most} of {MOST}\n{log}");
    let mean = arrivals.len() as f64 / (COLD_TIME.as_secs_f64() - 0.5);
    assert!(mean >= 0.6 * LIMIT_PER_S, "{mean}/s\n{log}");
    let is_warm = || routers[0].lines.text().contains("\"upstream warm\"");
    eventually("end of the cold time", is_warm).await;
    let begun = Instant::now();
    let served = press(&routers, begun + WINDOW).await;
    assert!(served as f64 > MOST, "{served} once it is warm");
}

#[tokio::test]
async fn the_part_of_a_killed_owner_is_not_used_twice_and_the_other_part_goes_on() {
    const COLD_TIME: Duration = Duration::from_secs(10);
    let store = Store::default();
    let server = server(&store, true).await;
    let mut routers = start(&store, COLD_TIME, true).await;
    let cooled = cool(&store, &server, COLD_TIME);
    sleep(Duration::from_millis(500)).await;
    let since = Instant::now();
    press(&routers, since + Duration::from_secs(2)).await;
    let mut owner = 0;
    for (index, router) in routers.iter().enumerate() {
        if answered(router).await > 0.0 {
            owner = index;
        }
    }
    routers.remove(owner).kill();
    let killed = Instant::now();
    press(&routers, cooled + COLD_TIME).await;
    let mut arrivals = server.arrivals_after(since);
    arrivals.retain(|at| *at < cooled + COLD_TIME);
    let log = routers[0].lines.text();
    let most = most_in_a_window(&arrivals) as f64;
    assert!(most <= MOST, "{most} of {MOST}\n{log}");
    arrivals.retain(|at| *at >= killed);
    let mean = arrivals.len() as f64 / (cooled + COLD_TIME - killed).as_secs_f64();
    assert!(mean >= 0.25 * LIMIT_PER_S, "{mean}/s\n{log}");
}
