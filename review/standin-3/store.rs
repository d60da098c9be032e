//! Stand-in for the platform's metadata store: rows, feeds and transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Value};

/// Time of a transaction and of a read.
const CALL_TIME: Duration = Duration::from_millis(3);
/// Largest number of rows of one answer.
const PAGE_ROWS: usize = 500;

#[derive(Clone)]
struct Row {
    /// Contents in base64, `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

type Rows = BTreeMap<(String, String, String), Row>;

#[derive(Default)]
struct State {
    /// By table, part and key.
    rows: Rows,
    version: u64,
    /// `Store-Era`, left out while it is 0.
    era: u64,
    /// Contents at earlier times, if a copy may be restored.
    copies: Vec<(Instant, Rows, u64)>,
}

/// Status and body of an answer, and the era in which it was made.
type Answer = (u16, String, u64);

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    /// How many times as long as usual a call takes.
    slowness: AtomicU32,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            slowness: AtomicU32::new(1),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Lets all calls from now on take so many times as long as usual.
    pub fn slow(&self, times: u32) {
        self.slowness.store(times, Ordering::Relaxed);
    }

    /// Names an era from now on, and keeps copies of the rows every 100 ms.
    pub fn keep_copies(self: &Arc<Self>) {
        self.state.lock().unwrap().era = 1;
        let store = Arc::clone(self);
        thread::spawn(move || {
            loop {
                {
                    let mut state = store.state.lock().unwrap();
                    let copy = (Instant::now(), state.rows.clone(), state.version);
                    state.copies.push(copy);
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }

    /// Comes back from a copy that is at least this old.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state.lock().unwrap();
        let old = |(at, _, _): &&(Instant, Rows, u64)| at.elapsed() >= age;
        if let Some((_, rows, version)) = state.copies.iter().rev().find(old).cloned() {
            state.rows = rows;
            state.version = version;
            state.era += 1;
        }
        self.changed.notify_all();
    }

    /// Writes a row as the operator or an instance does. Returns the version of the store.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(table, key, Some(json::base64(value.as_bytes())))
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(name, Row { value, version });
        self.changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(message) = http::read(&mut reader) {
            thread::sleep(CALL_TIME * self.slowness.load(Ordering::Relaxed));
            let (status, body, era) = match message.path() {
                "/api/rows-get" => self.get(&message),
                "/api/rows-feed" => self.feed(&message),
                "/api/rows-tx" => self.transact(&message),
                _ => (404, "{}".to_owned(), 0),
            };
            let start = format!("HTTP/1.1 {status} Answer");
            let era_text = era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", &*era_text),
            ];
            let headers = if era == 0 { &headers[..1] } else { &headers };
            if http::write(&stream, &start, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"has_more":{has_more},"ver":{version},"now":"{now}ms"}}"#)
    }

    fn get(&self, message: &Message) -> Answer {
        let text = |name| message.query(name).unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = message.query("to");
        let limit: usize = text("limit").parse().unwrap_or(PAGE_ROWS);
        let state = self.state.lock().unwrap();
        let found = state.rows.iter().filter(|((a_table, a_part, key), row)| {
            *a_table == table
                && *a_part == part
                && *key >= from
                && to.as_ref().is_none_or(|to| key < to)
                && row.value.is_some()
        });
        let rows: Vec<String> = found.map(encode).collect();
        let limit = limit.min(PAGE_ROWS);
        let page = &rows[..rows.len().min(limit)];
        let body = self.answer(page, rows.len() > limit, state.version);
        (200, body, state.era)
    }

    fn feed(&self, message: &Message) -> Answer {
        let text = |name| message.query(name).unwrap_or_default();
        let table = text("table");
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait: u64 = text("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.version {
                return (410, "{}".to_owned(), state.era);
            }
            let found = state
                .rows
                .iter()
                .filter(|((a_table, _, _), row)| *a_table == table && row.version > after);
            let mut rows: Vec<_> = found.collect();
            rows.sort_by_key(|(_, row)| row.version);
            let rows: Vec<String> = rows.into_iter().map(encode).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.answer(&rows, false, state.version), state.era);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, message: &Message) -> Answer {
        let mut state = self.state.lock().unwrap();
        let Some(call) = json::parse(&message.body) else {
            return (400, "{}".to_owned(), state.era);
        };
        let name = |entry: &Value| (entry.text("table"), entry.text("part"), entry.text("key"));
        let writes = || call.list("put").iter().chain(call.list("remove"));
        if writes().any(|entry| matches!(&*entry.text("table"), "op" | "servers")) {
            return (403, "{}".to_owned(), state.era);
        }
        let expected = call.list("expected_revision");
        let holds = expected.iter().all(|entry| {
            let row = state.rows.get(&name(entry));
            let present = row.filter(|row| row.value.is_some());
            present.map_or(0, |row| row.version) == entry.number("ver")
        });
        if !holds {
            let rows = expected.iter().filter_map(|entry| {
                let name = name(entry);
                let row = state.rows.get(&name)?;
                Some(encode((&name, row)))
            });
            let rows: Vec<String> = rows.collect();
            return (412, self.answer(&rows, false, state.version), state.era);
        }
        state.version += 1;
        let version = state.version;
        for entry in call.list("put") {
            let value = Some(entry.text("value"));
            state.rows.insert(name(entry), Row { value, version });
        }
        for entry in call.list("remove") {
            let value = None;
            state.rows.insert(name(entry), Row { value, version });
        }
        self.changed.notify_all();
        let now = self.started.elapsed().as_millis();
        let body = format!(r#"{{"ver":{version},"now":"{now}ms"}}"#);
        (200, body, state.era)
    }
}

fn encode((name, row): (&(String, String, String), &Row)) -> String {
    let (table, part, key) = name;
    let version = row.version;
    let rest = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}",{rest},"ver":{version}}}"#)
}
