//! Stand-in for instances: a number of slots, a queue, and a fixed time of work.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// What an instance did with a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trace {
    pub arrived: Option<Instant>,
    pub started: Option<Instant>,
    pub ended: Option<Instant>,
    pub runs: u32,
}

pub type Traces = Arc<Mutex<HashMap<String, Trace>>>;

#[derive(Default)]
struct Load {
    /// Tickets of the requests that wait, and the next ticket that may start.
    issued: u64,
    started: u64,
    running: usize,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    queue: usize,
    work: Duration,
    load: Mutex<Load>,
    freed: Condvar,
    traces: Traces,
    record: Record,
}

impl Upstream {
    pub fn start(
        id: &str,
        address: SocketAddr,
        (slots, queue, work): (usize, usize, Duration),
        traces: &Traces,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            address,
            slots,
            queue,
            work,
            load: Mutex::default(),
            freed: Condvar::new(),
            traces: Arc::clone(traces),
            record: record.clone(),
        });
        let shared = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&shared);
                thread::spawn(move || upstream.serve(stream));
            }
        });
        Ok(upstream)
    }

    /// Returns the registry entry.
    pub fn entry(&self, service: &str, zone: &str, born_ms: u128) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{},"state":"ready","warmup_left":"0ms","seq":1,"born":{born_ms}}}"#,
            self.address, self.slots
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = http::read(&mut reader) {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let is_other = request
                .header("target-instance")
                .is_some_and(|target| target != self.id);
            if is_other {
                let headers = [("Instance-Id", &*self.id), ("Not-Executed", "1")];
                let start = "HTTP/1.1 421 Misdirected Request";
                if http::write(&stream, start, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let limit = request
                .header("deadline-ms")
                .and_then(|text| text.parse().ok());
            let limit = Duration::from_millis(limit.unwrap_or(30_000));
            self.trace(&id, |trace| trace.arrived = Some(Instant::now()));
            self.record.line(&format!("arrived {id} at {}", self.id));
            let has_run = self.run(&id, limit);
            let (start, signature) = if has_run {
                ("HTTP/1.1 200 OK", ("Response-Signature", "3e1b.07.5a2"))
            } else {
                ("HTTP/1.1 503 Service Unavailable", ("Not-Executed", "1"))
            };
            let headers = [("Request-Id", &*id), signature, ("Instance-Id", &self.id)];
            if http::write(&stream, start, &headers, b"done").is_err() {
                return;
            }
        }
    }

    /// Runs a request when a slot is free. Returns `false` if the queue is full or the time is over.
    fn run(&self, id: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        {
            let mut load = self.load.lock().unwrap();
            let waiting = (load.issued - load.started) as usize;
            if load.running >= self.slots && waiting >= self.queue {
                return false;
            }
            let ticket = load.issued;
            load.issued += 1;
            while load.running >= self.slots || load.started != ticket {
                load = self.freed.wait(load).unwrap();
            }
            load.started += 1;
            if Instant::now() >= until {
                self.freed.notify_all();
                return false;
            }
            load.running += 1;
            self.freed.notify_all();
        }
        self.trace(id, |trace| {
            trace.started = Some(Instant::now());
            trace.runs += 1;
        });
        self.record.line(&format!("runs    {id} at {}", self.id));
        thread::sleep(self.work);
        self.trace(id, |trace| trace.ended = Some(Instant::now()));
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_all();
        true
    }

    fn trace(&self, id: &str, change: impl FnOnce(&mut Trace)) {
        change(
            self.traces
                .lock()
                .unwrap()
                .entry(id.to_owned())
                .or_default(),
        );
    }
}
