//! An instance sends some bodies without end, through a router whose link has 10 Mbit/s.

use std::io::{self, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::link;
use crate::record::Record;
use crate::router::{BOUNDS, FRONT_PORT, Router, Site};
use crate::store::Store;

/// Time limit of a caller and `timeout` of the route: those of `route-reads`.
const DEADLINE: Duration = Duration::from_millis(5_000);
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after the route's `timeout` at which there must be a final answer.
const SLACK: Duration = Duration::from_millis(500);
/// Link of a small machine of the site, 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Requests per second: those of the site for one machine.
const RATE: f64 = 25.0;
/// Time from the start of traffic to the first disruption; a machine is in touch after 3 s.
const CALM: Duration = Duration::from_secs(5);
/// Disruptions, the time from one to the next, and the length of each: that of `garble` on the site.
const DISRUPTIONS: u32 = 9;
const PERIOD: Duration = Duration::from_secs(9);
const LENGTH: Duration = Duration::from_secs(5);
/// Instances, and those that are in trouble: a share of 0.6, as `garble` has on the site.
const UPSTREAMS: u8 = 5;
const TROUBLED: u8 = 3;
/// One of so many answers of those has no end meanwhile: below the 0.03 of `garble` on the site.
const ENDLESS_INTERVAL: u32 = 34;
/// Work of `route-reads` on the sheet.
const WORK: Duration = Duration::from_millis(190);
const BODY_BYTES: usize = 1_500;

/// Trouble of some instances.
#[derive(Default)]
struct Trouble {
    /// Number of the present disruption, 0 for none.
    present: AtomicU32,
    /// Answers of instances that are in trouble.
    count: AtomicU32,
}

impl Trouble {
    /// Whether the next answer of an instance has no end. Each disruption concerns the next three of
    /// the five instances in turn.
    fn is_next_endless(&self, number: u8) -> bool {
        let present = self.present.load(Ordering::Relaxed);
        let turn = (u32::from(number) + present) % u32::from(UPSTREAMS);
        present > 0
            && turn < u32::from(TROUBLED)
            && (self.count.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(ENDLESS_INTERVAL)
    }
}

/// Serves one connection of an instance. Returns when it ends.
fn serve(
    stream: &TcpStream,
    (number, id): (u8, &str),
    trouble: &Trouble,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let request = http::read(&mut reader)?;
        if request
            .header("target-instance")
            .is_some_and(|target| target != id)
        {
            let headers = [("Instance-Id", id), ("Not-Executed", "1")];
            http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"")?;
            continue;
        }
        let request_id = request.header("request-id").unwrap_or_default();
        thread::sleep(WORK);
        if trouble.is_next_endless(number) {
            record.line(&format!("endless {request_id} at {id}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let mut writer = stream;
            writer.write_all(head.as_bytes())?;
            let mut chunk = b"2000\r\n".to_vec();
            chunk.resize(chunk.len() + 0x2000, b'x');
            chunk.extend_from_slice(b"\r\n");
            loop {
                writer.write_all(&chunk)?;
            }
        }
        let headers = [
            ("Request-Id", request_id),
            ("Response-Signature", "3e1b.07"),
        ];
        http::write(stream, "HTTP/1.1 200 OK", &headers, &[b'x'; BODY_BYTES])?;
    }
}

fn start_upstream(
    number: u8,
    id: &str,
    address: SocketAddr,
    trouble: &Arc<Trouble>,
    record: &Record,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let (id, trouble, record) = (Arc::<str>::from(id), Arc::clone(trouble), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, trouble, record) = (id.clone(), trouble.clone(), record.clone());
            thread::spawn(move || {
                // Any error is the end of the connection.
                let _ = serve(&stream, (number, &id), &trouble, &record);
            });
        }
    });
    Ok(())
}

/// Sends a request and reads until the answer or the connection ends. Returns whether the answer was
/// complete. A caller leaves after its time limit.
fn exchange(address: SocketAddr, id: &str) -> io::Result<(Instant, bool)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let limit = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "routes.example"),
        ("Request-Id", id),
        ("Deadline-Ms", &limit),
    ];
    http::write(&stream, "GET /sheets/7 HTTP/1.1", &headers, b"")?;
    let sent = Instant::now();
    let mut seen = Vec::new();
    let mut bytes = vec![0; 64 << 10];
    while sent.elapsed() < DEADLINE {
        stream.set_read_timeout(Some(
            (DEADLINE - sent.elapsed()).max(Duration::from_millis(1)),
        ))?;
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) if seen.len() < 16 << 10 => seen.extend_from_slice(&bytes[..count]),
            Ok(_) => {}
        }
        if is_complete(&seen) {
            return Ok((sent, true));
        }
    }
    Ok((sent, false))
}

/// Whether an answer with a length is complete.
fn is_complete(seen: &[u8]) -> bool {
    let Some(end) = seen.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&seen[..end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse::<usize>().ok());
    length.is_some_and(|length| seen.len() >= end + 4 + length)
}

pub fn run(record: &Record, folder: &str, has_trouble: bool) -> io::Result<bool> {
    let net = (std::process::id() % 200 + 20) as u8;
    let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, 84, net, host));
    let store_address = SocketAddr::new(ip(1), 8541);
    let store = Store::start(store_address)?;
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let trouble = Arc::new(Trouble::default());
    for number in 0..UPSTREAMS {
        let id = format!("i-board-{number}");
        let address = SocketAddr::new(ip(41 + number), 8224);
        start_upstream(number, &id, address, &trouble, record)?;
        store.put("servers", &id, &format!(
            r#"{{"service":"board","address":"{address}","zone":"zone-a","version":"v1","slots":4,"state":"ready","warmup_left":"0ms","seq":1,"born":{born}}}"#
        ));
    }
    store.put("op", "config", r#"{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeout","target_latency","priority","max_attempts","service"],"rows":[["r-sheets","routes.example","/sheets/","safe","2500ms","800ms",2,2,"board"]]},"services":{"columns":["name","health_path","max_conns","sharded","warm"],"rows":[["board","/healthz",530,null,null]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#);
    let site = Site {
        folder,
        store: store_address.to_string(),
        bounds: BOUNDS,
    };
    let mut router = Router::new(&site, "edge-11", "zone-a", ip(11), 0.1, 10.0)?;
    router.start()?;
    if !router.wait_until_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the router isn't ready"));
    }
    let front = SocketAddr::new(ip(31), FRONT_PORT);
    link::start(front, SocketAddr::new(ip(11), FRONT_PORT), LINK_BYTES_PER_S)?;
    let spans: Arc<Mutex<Vec<(bool, Duration)>>> = Arc::default();
    let open = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut number = 0_u32;
    while started.elapsed() < CALM + PERIOD * DISRUPTIONS {
        let time = started.elapsed().checked_sub(CALM).filter(|_| has_trouble);
        let present = time.map_or(0, |time| {
            let is_present = time.as_millis() % PERIOD.as_millis() < LENGTH.as_millis();
            let number = (time.as_millis() / PERIOD.as_millis()) as u32 + 1;
            if is_present { number } else { 0 }
        });
        if trouble.present.swap(present, Ordering::Relaxed) != present {
            record.line(&format!("disruption {present}"));
        }
        let due = started + Duration::from_secs_f64(f64::from(number) / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let id = format!("{number:016x}");
        let (spans, open, record) = (spans.clone(), open.clone(), record.clone());
        open.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            record.line(&format!("sent    {id}"));
            if let Ok((sent, is_complete)) = exchange(front, &id) {
                let span = sent.elapsed();
                let end = if is_complete { "answer" } else { "cut" };
                record.line(&format!("{end:7} {id} after {} ms", span.as_millis()));
                spans.lock().unwrap().push((is_complete, span));
            }
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
    while open.load(Ordering::Relaxed) > 0 {
        thread::sleep(Duration::from_millis(20));
    }
    let spans = spans.lock().unwrap();
    let complete = spans.iter().filter(|(is_complete, _)| *is_complete).count();
    let long = spans.iter().filter(|(_, span)| *span >= TIMEOUT).count();
    let late = spans
        .iter()
        .filter(|(_, span)| *span >= TIMEOUT + SLACK)
        .count();
    let summary = format!(
        "{} requests, {complete} answered, {long} lasted longer than the route's timeout, {late} of them 0.5 s longer",
        spans.len()
    );
    record.line(&summary);
    if complete < 1_000 {
        return Err(io::Error::other("the router didn't serve"));
    }
    println!("{summary}");
    // CONFIG: eight or more, and over a quarter of those that last longer than the timeout.
    Ok(late < 8 || late * 4 <= long)
}
