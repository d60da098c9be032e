//! Consumers that leave before their time limit, at the same moment.

#[path = "../standin/harness.rs"]
mod harness;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Instances of each service.
const INSTANCES: u8 = 3;
/// Consumers of the first route and of the route that was added later. `give_up` takes a share of
/// 0.2 of all 200: 40 of those of the later route. Half of them belong to each machine.
const FIRST: usize = 100;
const PATIENT: usize = 60;
const LEAVING: usize = 40;
/// Length of the disruption (`for_s`), and the time after which the consumers leave: half of the
/// objective of 600 ms.
const LEAVE_TIME: Duration = Duration::from_millis(5_500);
const PATIENCE: Duration = Duration::from_millis(300);
/// Time between two requests of a consumer that leaves.
const INTERVAL: Duration = Duration::from_millis(1_800);
/// Time limit of all requests.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Traffic on the later route before the disruption, and the calm time before the judged one.
const BEFORE: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(6);
const JUDGED: Duration = Duration::from_secs(20);

/// End of one request.
struct End {
    is_later: bool,
    sent_ms: u64,
    is_served: bool,
    text: String,
}

fn main() {
    open_record(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "review/3/record.txt".into()),
    );
    let code = play();
    flush_record();
    clean();
    std::process::exit(code);
}

fn get(prefix: &str) -> Request {
    let id = request_id();
    Request {
        method: "GET",
        host: "site.example".into(),
        path: format!("{prefix}{id}"),
        key: None,
        limit: LIMIT,
        body: Body::None,
        id,
    }
}

/// Consumers that send at the same moment, over connections of their own, and leave together.
fn leave(front: std::net::SocketAddr, count: usize, is_leaving: bool) {
    let mut conns = Vec::new();
    for _ in 0..count {
        if let Some(conn) = connect(front) {
            conns.push((conn, get("/later/")));
        }
    }
    for (conn, request) in &mut conns {
        record!("leaving GET {} to {front}: sent", request.id);
        let _ = conn.write(&request.bytes());
    }
    if is_leaving {
        thread::sleep(PATIENCE);
        for (conn, _) in &conns {
            let _ = conn.stream.shutdown(std::net::Shutdown::Both);
        }
        record!("DISRUPTION: {} consumers of {front} leave", conns.len());
    } else {
        let _ = conns
            .iter_mut()
            .map(|(conn, request)| {
                let _ = conn.stream.set_read_timeout(Some(LIMIT));
                let head = conn
                    .read_head()
                    .ok()
                    .flatten()
                    .map_or(0, |head| head.status());
                record!("leaving GET {} to {front}: {head}", request.id);
            })
            .count();
    }
}

fn play() -> i32 {
    let zones = ["kig-a", "kig-b"];
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _instances: Vec<Arc<Instance>> = (0..2 * INSTANCES)
        .map(|number| {
            let service = if number < INSTANCES { "first" } else { "later" };
            let plan = Plan {
                id: format!("i-{number:08x}"),
                service: service.into(),
                zone: zones[usize::from(number) % 2].into(),
                slots: 2,
                work: ms(200),
                is_sharded: false,
            };
            Instance::start(plan, address(10, number + 1), &store, &runs)
        })
        .collect();
    let route = |name, prefix, service| Route {
        name,
        host: "site.example",
        prefix,
        kind: "safe",
        timeout_ms: 2_500,
        target_ms: 600,
        priority: 2,
        max_attempts: 2,
        service,
    };
    let services = [("first", false, 110), ("later", false, 110)];
    configure(
        &store,
        1,
        &[route("r-first", "/first/", "first")],
        &services,
    );
    let routers = [
        Router::start(1, "kig-a", &zones, &store),
        Router::start(2, "kig-b", &zones, &store),
    ];
    if !await_ready(&routers, ms(10_000)) {
        eprintln!("the routers don't become ready");
        return CANNOT_RUN;
    }
    thread::sleep(ms(4_000));
    let both = [
        route("r-first", "/first/", "first"),
        route("r-later", "/later/", "later"),
    ];
    configure(&store, 2, &both, &services);
    record!("the operator adds the route r-later with version r2");
    thread::sleep(ms(3_000));

    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for number in 0..FIRST + PATIENT {
        let is_later = number >= FIRST;
        let front = routers[number % 2].front;
        let (ends, is_over) = (Arc::clone(&ends), Arc::clone(&is_over));
        consumers.push(thread::spawn(move || {
            let mut random = Random(0x51_7c_c1 + number as u64 * 7_919);
            let mut conn: Option<Conn> = None;
            thread::sleep(ms(random.below(5_000)));
            while !is_over.load(Ordering::SeqCst) {
                let request = get(if is_later { "/later/" } else { "/first/" });
                let Some(mut open) = conn.take().or_else(|| connect(front)) else {
                    continue;
                };
                let sent_ms = now_ms();
                let seen = send(&mut open, &request);
                record!(
                    "patient GET {} {} to {front}: {} (sent at {sent_ms} ms)",
                    request.path,
                    request.id,
                    seen.text()
                );
                let is_served = seen.is_served();
                ends.lock().unwrap().push(End {
                    is_later,
                    sent_ms,
                    is_served,
                    text: seen.text(),
                });
                if matches!(seen, Seen::Answer { .. }) {
                    conn = Some(open);
                }
                thread::sleep(ms(4_000 + random.below(2_000)));
            }
        }));
    }
    thread::sleep(BEFORE);
    let begin = Instant::now();
    while begin.elapsed() + PATIENCE < LEAVE_TIME {
        let next = Instant::now() + INTERVAL;
        let waves: Vec<_> = routers
            .iter()
            .map(|router| {
                let front = router.front;
                thread::spawn(move || leave(front, LEAVING / 2, has_trouble()))
            })
            .collect();
        for wave in waves {
            let _ = wave.join();
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    record!("no consumer leaves any more");
    thread::sleep(CALM);
    let judged_ms = now_ms();
    thread::sleep(JUDGED);
    let judged_end_ms = now_ms();
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let are_running = routers.iter().all(|router| router.is_running());
    routers.iter().for_each(|router| router.kill());

    for run in runs.lock().unwrap().iter() {
        record!("{}", run.text());
    }
    let ends = ends.lock().unwrap();
    let share = |is_later: bool, from: u64, to: u64| {
        let of = ends
            .iter()
            .filter(|end| end.is_later == is_later && (from..to).contains(&end.sent_ms));
        let (mut asked, mut served) = (0, 0);
        for end in of {
            asked += 1;
            served += usize::from(end.is_served);
        }
        (asked, served)
    };
    let first = share(false, judged_ms, judged_end_ms);
    let later = share(true, judged_ms, judged_end_ms);
    let before = share(true, 0, judged_ms - 12_000);
    let texts: Vec<&str> = ends
        .iter()
        .filter(|end| end.is_later && end.sent_ms >= judged_ms)
        .map(|end| end.text.as_str())
        .collect();
    let refused = texts.iter().filter(|text| text.starts_with("503")).count();
    let summary = format!(
        "in steady state: route of r1: {} requests, {} served; route added with r2: {} requests, {} served, {refused} refused with 503 (before anyone left: {} of {})",
        first.0, first.1, later.0, later.1, before.1, before.0
    );
    record!("{summary}");
    println!("{summary}");
    if !are_running || later.0 < 20 || first.0 < 20 {
        eprintln!("the case could not run: routers running: {are_running}");
        return CANNOT_RUN;
    }
    // CONFIG: 20 or more requests on routes that were added later, served less than a quarter as
    // often as those on the first routes.
    let is_broken = 4.0 * later.1 as f64 / (later.0 as f64) < first.1 as f64 / first.0 as f64;
    i32::from(is_broken)
}
