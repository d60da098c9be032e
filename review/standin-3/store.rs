//! Stand-in for the platform's metadata store: rows, feeds and transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
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

#[derive(Default)]
struct State {
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
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
            thread::sleep(CALL_TIME);
            let (status, body) = match message.path() {
                "/api/rows-get" => (200, self.get(&message)),
                "/api/rows-feed" => (200, self.feed(&message)),
                "/api/rows-tx" => self.transact(&message),
                _ => (404, "{}".to_owned()),
            };
            let start = format!("HTTP/1.1 {status} Answer");
            let headers = [("Content-Type", "application/json")];
            if http::write(&stream, &start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"has_more":{has_more},"ver":{version},"now":"{now}ms"}}"#)
    }

    fn get(&self, message: &Message) -> String {
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
        self.answer(page, rows.len() > limit, state.version)
    }

    fn feed(&self, message: &Message) -> String {
        let text = |name| message.query(name).unwrap_or_default();
        let table = text("table");
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait: u64 = text("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let found = state
                .rows
                .iter()
                .filter(|((a_table, _, _), row)| *a_table == table && row.version > after);
            let mut rows: Vec<_> = found.collect();
            rows.sort_by_key(|(_, row)| row.version);
            let rows: Vec<String> = rows.into_iter().map(encode).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.answer(&rows, false, state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, message: &Message) -> (u16, String) {
        let Some(call) = json::parse(&message.body) else {
            return (400, "{}".to_owned());
        };
        let name = |entry: &Value| (entry.text("table"), entry.text("part"), entry.text("key"));
        let writes = || call.list("put").iter().chain(call.list("remove"));
        if writes().any(|entry| matches!(&*entry.text("table"), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        let mut state = self.state.lock().unwrap();
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
            return (412, self.answer(&rows, false, state.version));
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
        (200, format!(r#"{{"ver":{version},"now":"{now}ms"}}"#))
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
