//! Long bodies sent in chunks while some instances are cut off from the machines of the system.

#[path = "../standin/harness.rs"]
mod harness;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Instances of the service. `node_cut` cuts off a share of 0.35 of them: 6.
const INSTANCES: u8 = 18;
const CUT: usize = 6;
/// Length of a cut (`for_s`, at most 12 s), number of cuts, and time between the ends and the next
/// beginnings.
const CUT_TIME: Duration = Duration::from_millis(1_000);
const CUTS: usize = 5;
const PAUSE: Duration = Duration::from_secs(6);
/// Time of traffic before the first cut.
const BEFORE: Duration = Duration::from_secs(8);
/// Length of a body, far below `max_body_bytes` (67,108,864).
const BODY_BYTES: usize = 400_000;
/// Consumers of each machine that send a body, and that send none.
const ASKERS: usize = 8;
const READERS: usize = 6;

struct Sent {
    kind: &'static str,
    method: &'static str,
    path: String,
    body_bytes: usize,
    body_hash: u64,
}

fn main() {
    open_record(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "review/2/record.txt".into()),
    );
    let code = play();
    flush_record();
    clean();
    std::process::exit(code);
}

fn play() -> i32 {
    let zones = ["kig-a", "kig-b"];
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let instances: Vec<Arc<Instance>> = (0..INSTANCES)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number:08x}"),
                service: "labels".into(),
                zone: zones[usize::from(number) % 2].into(),
                slots: 2,
                work: ms(80),
                is_sharded: true,
            };
            Instance::start(plan, address(10, number + 1), &store, &runs)
        })
        .collect();
    let route = |name, prefix, kind| Route {
        name,
        host: "labels.example",
        prefix,
        kind,
        timeout_ms: 6_000,
        target_ms: 1_500,
        priority: 2,
        max_attempts: 2,
        service: "labels",
    };
    let routes = [
        route("r-ask", "/ask/", "safe"),
        route("r-read", "/read/", "safe"),
    ];
    configure(&store, 1, &routes, &[("labels", true, 110)]);
    let routers = [
        Router::start(1, "kig-a", &zones, &store),
        Router::start(2, "kig-b", &zones, &store),
    ];
    if !await_ready(&routers, ms(10_000)) {
        eprintln!("the routers don't become ready");
        return CANNOT_RUN;
    }
    // Traffic starts 8 s after the machines.
    thread::sleep(ms(6_000));

    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let ends: Arc<Mutex<HashMap<&'static str, HashMap<String, usize>>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for (machine, router) in routers.iter().enumerate() {
        for number in 0..ASKERS + READERS {
            let (kind, method, prefix) = match number {
                _ if number < ASKERS => ("safe", "POST", "/ask/"),
                _ => ("safe", "GET", "/read/"),
            };
            let front = router.front;
            let (sent, ends, is_over) =
                (Arc::clone(&sent), Arc::clone(&ends), Arc::clone(&is_over));
            consumers.push(thread::spawn(move || {
                let mut random = Random(0x9e37_79b9 + (machine * 100 + number) as u64 * 7_919);
                let mut conn: Option<Conn> = None;
                while !is_over.load(Ordering::SeqCst) {
                    let id = request_id();
                    let body = match method {
                        "POST" => Body::Chunked(id.repeat(BODY_BYTES / id.len()).into_bytes()),
                        _ => Body::None,
                    };
                    let request = Request {
                        path: format!("{prefix}{id}"),
                        method,
                        host: "labels.example".into(),
                        key: Some(random.below(65_536) as u16),
                        limit: ms(6_000),
                        body,
                        id,
                    };
                    let described = Sent {
                        kind,
                        method,
                        path: request.path.clone(),
                        body_bytes: request.body_bytes().len(),
                        body_hash: hash(request.body_bytes()),
                    };
                    sent.lock().unwrap().insert(request.id.clone(), described);
                    let mut open = match conn.take().or_else(|| connect(front)) {
                        Some(open) => open,
                        None => continue,
                    };
                    let at = now_ms();
                    let seen = send(&mut open, &request);
                    record!(
                        "{kind} {method} {} key {} body {} to {}: {} (sent at {at} ms)",
                        request.id,
                        request.key.unwrap_or(0),
                        request.body_bytes().len(),
                        front,
                        seen.text(),
                    );
                    let mut ends = ends.lock().unwrap();
                    let of = ends.entry(prefix).or_default();
                    *of.entry(seen.text()).or_default() += 1;
                    drop(ends);
                    // A connection with an answer before the end of the body is not used again.
                    if seen.is_served() {
                        conn = Some(open);
                    }
                    thread::sleep(ms(40 + random.below(40)));
                }
            }));
        }
    }
    thread::sleep(BEFORE);
    for number in 0..CUTS {
        let cut = (0..CUT).map(|index| &instances[(number * CUT + index) % instances.len()]);
        if has_trouble() {
            for instance in cut.clone() {
                instance.cut();
                record!(
                    "DISRUPTION: {} is cut off from all machines",
                    instance.plan.id
                );
            }
        }
        thread::sleep(CUT_TIME);
        if has_trouble() {
            for instance in cut {
                instance.open();
                record!("DISRUPTION: the cut of {} heals", instance.plan.id);
            }
        }
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let end = Instant::now() + ms(8_000);
    for consumer in consumers {
        while !consumer.is_finished() && Instant::now() < end {
            thread::sleep(ms(20));
        }
    }
    let are_running = routers.iter().all(|router| router.is_running());
    routers.iter().for_each(|router| router.kill());

    for (prefix, ends) in ends.lock().unwrap().iter() {
        record!("answers to {prefix}: {ends:?}");
        println!("answers to {prefix}: {ends:?}");
    }
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    for run in runs.iter() {
        record!("{}", run.text());
    }
    let mut broken = 0;
    for run in runs.iter() {
        let of = sent.get(&run.request);
        let is_same = of.is_some_and(|sent| {
            sent.method == run.method
                && sent.path == run.path
                && sent.body_bytes == run.body_bytes
                && sent.body_hash == run.body_hash
        });
        if is_same {
            continue;
        }
        broken += 1;
        let (kind, bytes) = of.map_or(("unknown", 0), |sent| (sent.kind, sent.body_bytes));
        record!(
            "BROKEN: {} ran the {kind} request {} {} at {} ms with a body of {} bytes, sent were {bytes}; it answered {}",
            run.instance,
            run.method,
            run.request,
            run.began_ms,
            run.body_bytes,
            run.status
        );
    }
    let summary = format!(
        "{} requests, {} runs, {broken} of them with another body than was sent",
        sent.len(),
        runs.len()
    );
    record!("{summary}");
    println!("{summary}");
    if !are_running || runs.len() < 500 {
        eprintln!(
            "the case could not run: routers running: {are_running}, runs: {}",
            runs.len()
        );
        return CANNOT_RUN;
    }
    i32::from(broken > 0)
}
