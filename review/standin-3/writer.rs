//! Another writer describes running instances in the registry, under a service that nobody declares.

use std::io::{self, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::router::{BOUNDS, FRONT_PORT, Router, Site};
use crate::store::Store;
use crate::upstream::{Traces, Upstream};

const WORK: Duration = Duration::from_millis(20);
const SLOTS: usize = 4;
const QUEUE: usize = 16;
/// Requests per second to each route at each router.
const RATE: f64 = 10.0;
/// Time without impairment after which a machine is in touch, and then some.
const CALM: Duration = Duration::from_secs(4);
const BEFORE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(25);

const SERVICES: &str = r#"{"columns":["name","health_path","max_conns","sharded","warm"],"rows":[["ledger","/healthz",530,null,null],["intake","/healthz",530,null,null]]}"#;
const LIMITS: &str = r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}"#;
const FIRST_ROUTE: &str =
    r#"["r-first","first.example","/a/","safe","2000ms","800ms",1,2,"ledger"]"#;
const LATER_ROUTE: &str =
    r#"["r-later","later.example","/b/","safe","2000ms","800ms",1,2,"intake"]"#;

fn configuration(version: u32, routes: &str) -> String {
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","max_attempts","service"],"rows":[{routes}]}},"services":{SERVICES},"limits":{LIMITS}}}"#
    )
}

/// Sends one request and returns the status, 0 without a complete answer.
fn exchange(address: SocketAddr, host: &str, path: &str, id: &str) -> u16 {
    let status = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let headers = [("Host", host), ("Request-Id", id), ("Deadline-Ms", "2000")];
        http::write(&stream, &format!("GET {path} HTTP/1.1"), &headers, b"")?;
        Ok(http::read(&mut BufReader::new(stream))?.status())
    };
    status().unwrap_or(0)
}

/// Sends requests to both routes for a time. Returns how many there were to each, and how many of
/// them were served.
fn send(routers: &[Router], number: &mut u32, time: Duration, record: &Record) -> [[u32; 2]; 2] {
    let mut counts = [[0; 2]; 2];
    let until = Instant::now() + time;
    while Instant::now() < until {
        for router in routers {
            let address = SocketAddr::new(router.ip, FRONT_PORT);
            let routes = [("first.example", "/a/1"), ("later.example", "/b/1")];
            for (count, (host, path)) in counts.iter_mut().zip(routes) {
                *number += 1;
                let id = format!("{number:016x}");
                let status = exchange(address, host, path, &id);
                record.line(&format!(
                    "sent    {id} to {} for {host}: {status}",
                    router.name
                ));
                count[0] += 1;
                count[1] += u32::from(status == 200);
            }
        }
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    counts
}

pub fn run(record: &Record, folder: &str, has_trouble: bool) -> io::Result<bool> {
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, 85, net, host));
    let store_address = SocketAddr::new(ip(1), 8541);
    let store = Store::start(store_address)?;
    let now = || {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis()
    };
    let traces = Traces::default();
    let mut upstreams = Vec::new();
    for (id, host, service) in [
        ("i-ledger-1", 41, "ledger"),
        ("i-ledger-2", 42, "ledger"),
        ("i-intake-1", 43, "intake"),
        ("i-intake-2", 44, "intake"),
    ] {
        let address = SocketAddr::new(ip(host), 8224);
        let upstream = Upstream::start(id, address, (SLOTS, QUEUE, WORK), &traces, record)?;
        store.put("servers", id, &upstream.entry(service, "zone-a", now()));
        upstreams.push((upstream, service));
    }
    store.put("op", "config", &configuration(1, FIRST_ROUTE));
    let site = Site {
        folder,
        store: store_address.to_string(),
        bounds: BOUNDS,
    };
    let mut routers = Vec::new();
    for host in 11..14 {
        let mut router = Router::new(
            &site,
            &format!("edge-{host}"),
            "zone-a",
            ip(host),
            0.2,
            200.0,
        )?;
        router.start()?;
        routers.push(router);
    }
    if !routers
        .iter()
        .all(|router| router.wait_until_ready(Duration::from_secs(10)))
    {
        return Err(io::Error::other("a router isn't ready"));
    }
    thread::sleep(CALM);
    record.line("the operator adds a route, r2");
    store.put(
        "op",
        "config",
        &configuration(2, &format!("{FIRST_ROUTE},{LATER_ROUTE}")),
    );
    thread::sleep(CALM);
    let mut number = 0;
    let before = send(&routers, &mut number, BEFORE, record);
    if has_trouble {
        for (upstream, _) in upstreams.iter().filter(|(_, service)| *service == "intake") {
            let key = format!("agent-of-{}", upstream.id);
            record.line(&format!("another writer writes servers/{key}"));
            store.put(
                "servers",
                &key,
                &upstream.entry("host-agent", "zone-a", now()),
            );
        }
    }
    thread::sleep(CALM);
    let after = send(&routers, &mut number, AFTER, record);
    let share = |[sent, served]: [u32; 2]| f64::from(served) / f64::from(sent.max(1));
    let summary = format!(
        "before: first route {} of {} served, later route {} of {}; after: first route {} of {}, later route {} of {}",
        before[0][1],
        before[0][0],
        before[1][1],
        before[1][0],
        after[0][1],
        after[0][0],
        after[1][1],
        after[1][0],
    );
    record.line(&summary);
    println!("{summary}");
    if before[1][1] < 20 || before[0][1] < 20 {
        return Err(io::Error::other("the routes weren't served before"));
    }
    // All requests since the route was added count.
    let [first, later] =
        [0, 1].map(|route| [0, 1].map(|kind| before[route][kind] + after[route][kind]));
    Ok(later[0] < 20 || share(later) >= 0.25 * share(first))
}
