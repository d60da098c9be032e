//! Stand-in for an instance of a service that is divided by key.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json;
use crate::record::Record;

/// Number of keys.
const KEYS: usize = 65_536;

/// What an instance knows of one key.
#[derive(Clone, Copy)]
struct Key {
    /// Highest fence number seen.
    fence: u64,
    held_until: Option<Instant>,
}

pub struct Holder {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    keys: Mutex<Vec<Key>>,
    record: Record,
}

impl Holder {
    pub fn start(
        id: &str,
        address: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let free = Key {
            fence: 0,
            held_until: None,
        };
        let holder = Arc::new(Self {
            id: id.to_owned(),
            address,
            work,
            keys: Mutex::new(vec![free; KEYS]),
            record: record.clone(),
        });
        let shared = Arc::clone(&holder);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let holder = Arc::clone(&shared);
                thread::spawn(move || holder.serve(stream));
            }
        });
        Ok(holder)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = http::read(&mut reader) {
            let written = match request.path() {
                "/api/grant" => self.grant(&request, &stream),
                "/api/release" => self.release(&request, &stream),
                _ => self.answer(&request, &stream),
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn grant(&self, request: &Message, stream: &TcpStream) -> std::io::Result<()> {
        let Some(call) = json::parse(&request.body) else {
            return http::write(stream, "HTTP/1.1 400 Bad Request", &[], b"");
        };
        let fence = call.number("fence");
        let hold: u64 = call
            .text("hold_time")
            .trim_end_matches("ms")
            .parse()
            .unwrap_or(0);
        let held_until = Some(Instant::now() + Duration::from_millis(hold));
        let (from, to) = (call.number("from") as usize, call.number("to") as usize);
        let mut keys = self.keys.lock().unwrap();
        let range = &mut keys[from..=to];
        let is_old = range.iter().any(|key| key.fence > fence);
        if !is_old {
            range.fill(Key { fence, held_until });
        }
        drop(keys);
        let status = if is_old { "409 Conflict" } else { "200 OK" };
        self.record
            .line(&format!("grant   {from}-{to} at {}: {status}", self.id));
        http::write(stream, &format!("HTTP/1.1 {status}"), &[], b"")
    }

    fn release(&self, request: &Message, stream: &TcpStream) -> std::io::Result<()> {
        if let Some(call) = json::parse(&request.body) {
            let (from, to) = (call.number("from") as usize, call.number("to") as usize);
            let fence = call.number("fence");
            let mut keys = self.keys.lock().unwrap();
            for key in keys[from..=to].iter_mut().filter(|key| key.fence <= fence) {
                *key = Key {
                    fence,
                    held_until: None,
                };
            }
            drop(keys);
            self.record
                .line(&format!("release {from}-{to} at {}", self.id));
        }
        // The work that was running on these keys has ended.
        thread::sleep(self.work);
        let headers = [("Handover", "5c0e7a21d94b36f8")];
        http::write(stream, "HTTP/1.1 200 OK", &headers, b"")
    }

    fn answer(&self, request: &Message, stream: &TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default();
        let is_other = request
            .header("target-instance")
            .is_some_and(|target| target != self.id);
        let key = request.header("shard-key").and_then(|key| key.parse().ok());
        let held_until =
            key.and_then(|key: u16| self.keys.lock().unwrap()[usize::from(key)].held_until);
        let holds = held_until.is_some_and(|until| Instant::now() < until);
        if is_other || !holds {
            let headers = [
                ("Request-Id", id),
                ("Instance-Id", &*self.id),
                ("Not-Executed", "1"),
            ];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        thread::sleep(self.work);
        self.record.line(&format!("ran     {id} at {}", self.id));
        let headers = [
            ("Request-Id", id),
            ("Response-Signature", "3e1b.07.5a2"),
            ("Instance-Id", &*self.id),
        ];
        http::write(stream, "HTTP/1.1 200 OK", &headers, b"done")
    }
}
