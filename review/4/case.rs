//! All instances of a sharded service end together, and come back under new names.

#[path = "../standin/harness.rs"]
mod harness;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Instances of each service.
const INSTANCES: u8 = 6;
/// Consumers of the first route and of the route that was added later.
const FIRST: usize = 30;
const LATER: usize = 30;
/// Time for which the instances are down (`for_s`), and after which their entries are removed:
/// three intervals of silence.
const DOWN: Duration = Duration::from_millis(1_500);
const SILENCE: Duration = Duration::from_millis(3 * 870);
/// Time limit of all requests.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Traffic on the later route before the disruption, the time after it that isn't judged
/// (`recover`), and the judged one.
const BEFORE: Duration = Duration::from_secs(8);
const RECOVER: Duration = Duration::from_secs(15);
const JUDGED: Duration = Duration::from_secs(30);

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
            .unwrap_or_else(|| "review/4/record.txt".into()),
    );
    let code = play();
    flush_record();
    clean();
    std::process::exit(code);
}

fn get(prefix: &str, key: u16) -> Request {
    let id = request_id();
    Request {
        method: "GET",
        host: "site.example".into(),
        path: format!("{prefix}{id}"),
        key: Some(key),
        limit: LIMIT,
        body: Body::None,
        id,
    }
}

/// Instance of the sharded service, `life` counting its starts.
fn start(number: u8, life: u8, store: &Arc<Store>, runs: &Arc<Mutex<Vec<Run>>>) -> Arc<Instance> {
    let plan = Plan {
        id: format!("i-{life:04x}{number:04x}"),
        service: "later".into(),
        zone: ["kig-a", "kig-b"][usize::from(number) % 2].into(),
        slots: 2,
        work: ms(100),
        is_sharded: true,
    };
    Instance::start(plan, address(20 + life, number + 1), store, runs)
}

fn play() -> i32 {
    let zones = ["kig-a", "kig-b"];
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _first: Vec<Arc<Instance>> = (0..INSTANCES)
        .map(|number| {
            let plan = Plan {
                id: format!("i-first{number:03x}"),
                service: "first".into(),
                zone: zones[usize::from(number) % 2].into(),
                slots: 2,
                work: ms(100),
                is_sharded: false,
            };
            Instance::start(plan, address(10, number + 1), &store, &runs)
        })
        .collect();
    let mut later: Vec<Arc<Instance>> = (0..INSTANCES)
        .map(|number| start(number, 0, &store, &runs))
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
    let services = [("first", false, 110), ("later", true, 110)];
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
    for number in 0..FIRST + LATER {
        let is_later = number >= FIRST;
        let front = routers[number % 2].front;
        let (ends, is_over) = (Arc::clone(&ends), Arc::clone(&is_over));
        consumers.push(thread::spawn(move || {
            let mut random = Random(0x51_7c_c1 + number as u64 * 7_919);
            let mut conn: Option<Conn> = None;
            thread::sleep(ms(random.below(2_000)));
            while !is_over.load(Ordering::SeqCst) {
                let request = get(
                    if is_later { "/later/" } else { "/first/" },
                    random.below(65_536) as u16,
                );
                let Some(mut open) = conn.take().or_else(|| connect(front)) else {
                    continue;
                };
                let sent_ms = now_ms();
                let seen = send(&mut open, &request);
                record!(
                    "GET {} {} to {front}: {} (sent at {sent_ms} ms)",
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
                thread::sleep(ms(500 + random.below(500)));
            }
        }));
    }
    thread::sleep(BEFORE);
    if has_trouble() {
        for instance in &later {
            instance.cut();
            record!("DISRUPTION: {} ends", instance.plan.id);
        }
        let ended_at = Instant::now();
        thread::sleep(DOWN);
        let next: Vec<Arc<Instance>> = (0..INSTANCES)
            .map(|number| start(number, 1, &store, &runs))
            .collect();
        record!("DISRUPTION: all instances are back under new names");
        thread::sleep(SILENCE.saturating_sub(ended_at.elapsed()));
        for instance in std::mem::replace(&mut later, next) {
            store.put("servers", &instance.plan.id, None);
            record!("the entry of {} is removed", instance.plan.id);
        }
    }
    thread::sleep(RECOVER);
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
    let added = share(true, judged_ms, judged_end_ms);
    let before = share(true, 0, judged_ms - 18_000);
    let texts: Vec<&str> = ends
        .iter()
        .filter(|end| end.is_later && end.sent_ms >= judged_ms)
        .map(|end| end.text.as_str())
        .collect();
    let refused = texts.iter().filter(|text| text.starts_with("503")).count();
    let summary = format!(
        "in steady state: route of r1: {} requests, {} served; route added with r2: {} requests, {} served, {refused} refused with 503 (before the instances ended: {} of {})",
        first.0, first.1, added.0, added.1, before.1, before.0
    );
    record!("{summary}");
    println!("{summary}");
    if !are_running || added.0 < 20 || first.0 < 20 {
        eprintln!("the case could not run: routers running: {are_running}");
        return CANNOT_RUN;
    }
    // CONFIG: 20 or more requests on routes that were added later, served less than a quarter as
    // often as those on the first routes.
    let is_broken = 4.0 * added.1 as f64 / (added.0 as f64) < first.1 as f64 / first.0 as f64;
    i32::from(is_broken)
}
