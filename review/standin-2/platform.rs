//! Stand-ins for the platform's store and for instances, as the pages describe them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Json, Message, Reply, Server, answer, base64};
use crate::record::Record;

/// Write that gets no answer and is done later, if its condition still holds then.
#[derive(Clone, Debug)]
pub struct Late {
    /// The first transaction that puts or removes this row is concerned.
    pub key: String,
    pub removes: bool,
    pub by: Duration,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
    late: Vec<Late>,
    is_down: bool,
    /// Table whose calls get no response.
    silent: Option<String>,
}

/// The platform's store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    record: Arc<Record>,
}

impl Store {
    pub fn start(listener: TcpListener, record: &Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&store);
        let _ = http::serve(listener, move |request| server.handle(request));
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a row as the operator or an instance does. It is acknowledged when this returns.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state();
        state.version += 1;
        let row = (value.map(|value| base64(value.as_bytes())), state.version);
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
        drop(state);
        self.record.line(&format!("store: {table}/{key} {}", if value.is_some() { "written" } else { "removed" }));
    }

    /// Lets the next write of a row go unanswered and be done late.
    pub fn delay(&self, late: Late) {
        self.state().late.push(late);
    }

    /// Whether the write that was to be late has come.
    pub fn has_delayed(&self) -> bool {
        self.state().late.is_empty()
    }

    /// Lets all calls be refused with 503, or ends that.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.changed.notify_all();
        self.record.line(if is_down { "store: refuses all calls with 503" } else { "store: serves again" });
    }

    /// Lets all calls that concern a table go without a response, also those under way, or ends that.
    pub fn set_silent(&self, table: Option<&str>) {
        self.state().silent = table.map(str::to_owned);
        self.changed.notify_all();
        self.record.line(&match table {
            Some(table) => format!("store: gives no response to calls for table {table}"),
            None => "store: serves all tables again".to_owned(),
        });
    }

    fn handle(self: &Arc<Self>, request: &Message) -> Reply {
        thread::sleep(Duration::from_millis(3));
        if self.state().is_down {
            return answer(503, Vec::new(), "");
        }
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|part| part.split_once('=')).collect();
        let field = |name: &str| query.get(name).copied().unwrap_or("");
        if self.state().silent.as_deref() == Some(field("table")) {
            return Reply::Silence;
        }
        match path {
            "/api/rows-get" => {
                let state = self.state();
                let from = field("from").replace("%2F", "/").replace("%00", "\0");
                let limit = field("limit").parse().unwrap_or(500).min(500);
                let table = field("table").to_owned();
                let start = (table.clone(), from);
                let all: Vec<String> = state
                    .rows
                    .range(start..)
                    .take_while(|((other, _), _)| *other == table)
                    .filter(|(_, (value, _))| value.is_some())
                    .map(|((_, key), (value, version))| row(&table, key, value, *version))
                    .collect();
                let has_more = all.len() > limit;
                let page = all.into_iter().take(limit).collect::<Vec<_>>().join(",");
                self.page(&page, has_more, state.version)
            }
            "/api/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait.min(Duration::from_secs(30));
                let table = field("table").to_owned();
                let mut state = self.state();
                loop {
                    if state.is_down {
                        return answer(503, Vec::new(), "");
                    }
                    if state.silent.as_ref() == Some(&table) {
                        return Reply::Silence;
                    }
                    let mut found: Vec<(u64, String)> = state
                        .rows
                        .iter()
                        .filter(|((other, _), (_, version))| *other == table && *version > after)
                        .map(|((_, key), (value, version))| (*version, row(&table, key, value, *version)))
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        found.sort();
                        let rows = found.into_iter().map(|(_, row)| row).collect::<Vec<_>>().join(",");
                        return self.page(&rows, false, state.version);
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/api/rows-tx" => self.transact(&request.text()),
            _ => answer(404, Vec::new(), ""),
        }
    }

    fn page(&self, rows: &str, has_more: bool, version: u64) -> Reply {
        let now = self.started.elapsed().as_millis();
        let body = format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now\":\"{now}ms\"}}");
        answer(200, vec![("content-type", "application/json".into())], body)
    }

    fn transact(self: &Arc<Self>, body: &str) -> Reply {
        let Some(call) = Json::parse(body) else {
            return answer(400, Vec::new(), "");
        };
        let late = {
            let mut state = self.state();
            let concerns = |late: &Late| {
                let list = call.list(if late.removes { "remove" } else { "put" });
                list.iter().any(|row| row.text("key") == late.key)
            };
            let index = state.late.iter().position(concerns);
            index.map(|index| state.late.remove(index))
        };
        let Some(late) = late else {
            return match self.commit(&call) {
                Some(version) => {
                    let now = self.started.elapsed().as_millis();
                    let body = format!("{{\"ver\":{version},\"now\":\"{now}ms\"}}");
                    answer(200, vec![("content-type", "application/json".into())], body)
                }
                None => answer(412, vec![("content-type", "application/json".into())], "{\"rows\":[]}"),
            };
        };
        let store = Arc::clone(self);
        self.record.line(&format!("store: write of {} gets no answer, done {} ms later", late.key, late.by.as_millis()));
        thread::spawn(move || {
            thread::sleep(late.by);
            let done = store.commit(&call).is_some();
            store.record.line(&format!("store: late write of {} {}", late.key, if done { "done" } else { "not done, its condition fails" }));
        });
        Reply::Silence
    }

    /// Returns the version of a transaction whose conditions hold.
    fn commit(&self, call: &Json) -> Option<u64> {
        let mut state = self.state();
        let name = |row: &Json| (row.text("table"), row.text("key"));
        for row in call.list("expected_revision") {
            let present = state.rows.get(&name(row));
            let version = present.filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version);
            if version != row.number("ver") {
                return None;
            }
        }
        state.version += 1;
        let version = state.version;
        for row in call.list("put") {
            self.record.line(&format!("store: {}/{} written by a router", row.text("table"), row.text("key")));
            state.rows.insert(name(row), (Some(row.text("value")), version));
        }
        for row in call.list("remove") {
            self.record.line(&format!("store: {}/{} removed by a router", row.text("table"), row.text("key")));
            state.rows.insert(name(row), (None, version));
        }
        self.changed.notify_all();
        Some(version)
    }
}

fn row(table: &str, key: &str, value: &Option<String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

/// Keys that an instance holds.
#[derive(Clone, Copy)]
struct Hold {
    from: u64,
    to: u64,
    fence: u64,
    until: Instant,
}

/// Instance of a service.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u128,
    sharded: bool,
    work: Duration,
    holds: Mutex<Vec<Hold>>,
    server: OnceLock<Server>,
    record: Arc<Record>,
}

impl Instance {
    pub fn start(
        listener: TcpListener,
        (id, service, zone): (&str, &str, &str),
        sharded: bool,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let instance = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            born,
            sharded,
            work,
            holds: Mutex::default(),
            server: OnceLock::new(),
            record: Arc::clone(record),
        });
        let handler = Arc::clone(&instance);
        let _ = instance.server.set(http::serve(listener, move |request| handler.handle(request)));
        instance
    }

    /// Ends the process of the instance.
    pub fn exit(&self) {
        self.server.get().unwrap().end();
        self.record.line(&format!("{}: exits", self.id));
    }

    /// Entry in the registry.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"warmup_left\":\"0ms\",\"seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn handle(&self, request: &Message) -> Reply {
        let own = |name: &'static str| (name, self.id.clone());
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            return answer(421, vec![own("instance-id")], "");
        }
        match request.target() {
            "/healthz" => return answer(200, vec![own("instance-id")], ""),
            "/api/grant" => return self.grant(&Json::parse(&request.text()).unwrap()),
            "/api/release" => return self.release(&Json::parse(&request.text()).unwrap()),
            _ => {}
        }
        let Some(id) = request.header("request-id") else {
            return answer(400, vec![("not-executed", "1".into())], "");
        };
        let id = ("request-id", id.to_owned());
        if self.sharded {
            let key: u64 = request.header("shard-key").and_then(|key| key.parse().ok()).unwrap_or(0);
            let now = Instant::now();
            let holds = self.holds.lock().unwrap();
            if !holds.iter().any(|hold| hold.from <= key && key <= hold.to && now < hold.until) {
                return answer(421, vec![id, own("instance-id"), ("not-executed", "1".into())], "");
            }
        }
        self.record.run(&id.1, &self.id, &self.service);
        thread::sleep(self.work);
        let headers = vec![id, own("instance-id"), ("response-signature", "s".into()), ("keep-alive", "timeout=10".into())];
        answer(200, headers, format!("ran at {}", self.id))
    }

    fn grant(&self, order: &Json) -> Reply {
        let (from, to, fence) = (order.number("from"), order.number("to"), order.number("fence"));
        let time = order.text("hold_time").trim_end_matches("ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(time);
        let mut holds = self.holds.lock().unwrap();
        let overlaps = |hold: &Hold| hold.from <= to && from <= hold.to;
        if holds.iter().any(|hold| overlaps(hold) && hold.fence > fence) {
            return answer(409, Vec::new(), "");
        }
        holds.retain(|hold| !overlaps(hold) || hold.from < from || to < hold.to);
        holds.push(Hold { from, to, fence, until });
        answer(200, Vec::new(), "")
    }

    fn release(&self, order: &Json) -> Reply {
        let (from, to, fence) = (order.number("from"), order.number("to"), order.number("fence"));
        let mut holds = self.holds.lock().unwrap();
        let now = Instant::now();
        let mut kept = Vec::new();
        for hold in holds.drain(..) {
            if hold.from < from {
                kept.push(Hold { to: hold.to.min(from - 1), ..hold });
            }
            if to < hold.to {
                kept.push(Hold { from: hold.from.max(to + 1), ..hold });
            }
        }
        // An earlier grant of these keys that arrives later is refused.
        kept.push(Hold { from, to, fence, until: now });
        *holds = kept;
        drop(holds);
        thread::sleep(self.work);
        answer(200, vec![("handover", "5c0e7a21d94b36f8".into())], "")
    }
}
