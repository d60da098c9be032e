//! Implementation of [`Platform`] for tests, with an in-memory store and its own header names.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::directory::{
    Directory, Keyed, Limits, Part, Repeat, Route, Service, WarmUp,
};
use eelgrassrock_dispatch::limit::Limit;
use eelgrassrock_dispatch::load::Load;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_edge::platform::{
    Changes, Commit, Head, Name, Notice, Platform, Row, Rows, Table, Transaction, Unreadable,
    Verdict,
};
use eelgrassrock_edge::settings::Settings;
use eelgrassrock_model::Revision;
use eelgrassrock_ranges::leader::{Grant, Order, Outcome};
use eelgrassrock_store::{Fault, Kind};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Serialize;

use super::upstream::Server;

/// Time that a stalled feed call takes beyond its wait before it fails.
const FEED_MARGIN: Duration = Duration::from_millis(500);

/// Rows by table number and key.
type Content = BTreeMap<(u8, Arc<str>), Row>;

/// In-memory store. Clones share their contents.
#[derive(Clone, Default)]
pub(crate) struct Store(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    era: u64,
    version: u64,
    rows: Content,
    /// Version up to which feeds can't tell what has changed any more.
    forgotten: u64,
    /// Version and rows of each backup.
    backups: Vec<(u64, Content)>,
    configurations: BTreeMap<u64, Directory>,
    upstreams: Vec<Upstream>,
    servers: Vec<Server>,
    /// Routers whose calls the store does not answer.
    disconnected: Vec<String>,
    /// Routers without a path to some upstreams, and the address that they reach in place of each.
    cut_off: BTreeMap<String, (Vec<Arc<str>>, SocketAddr)>,
    /// Number of calls of any kind by router.
    calls: BTreeMap<String, usize>,
    /// Number of feed calls by router.
    feed_calls: BTreeMap<String, usize>,
    /// How often the open feed of a router for a table stalled without an error.
    feed_stalls: BTreeMap<(String, u8), usize>,
    /// Number of transactions of all routers that write the leader of a service.
    leadership_calls: usize,
    /// How the upstreams of all services warm up.
    warm_up: Option<WarmUp>,
    /// Time that a read of a map takes.
    map_delay: Duration,
    /// Routers whose next removal of a row gets no answer, and the time after which it is performed.
    late_removals: BTreeMap<String, Duration>,
    /// Time that rows need to arrive at a router on a slow link.
    row_delays: BTreeMap<String, Duration>,
}

fn table_number(table: Table) -> u8 {
    match table {
        Table::Configuration => 0,
        Table::Registry => 1,
        Table::Routers => 2,
        Table::Maps => 3,
    }
}

impl Store {
    fn write(&self, table: Table, key: &str, value: Option<Bytes>) -> Revision {
        self.write_all(&[(&Name::new(table, key), value.as_ref())])
    }

    /// Writes rows in one transaction, all with the same version.
    fn write_all(&self, writes: &[(&Name, Option<&Bytes>)]) -> Revision {
        let mut state = self.0.lock().unwrap();
        state.version += 1;
        let version = Revision::new(state.era, state.version);
        for (name, value) in writes {
            let row = Row {
                key: Arc::clone(&name.key),
                value: value.cloned(),
                version,
            };
            let row_key = (table_number(name.table), Arc::clone(&name.key));
            state.rows.insert(row_key, row);
        }
        version
    }

    /// Sets how the upstreams of all services warm up, for the next configuration.
    pub(crate) fn warm_up(&self, time: Duration, limit: Limit) {
        self.0.lock().unwrap().warm_up = Some(WarmUp { time, limit });
    }

    /// Writes a configuration with these routes and their services. The services named in `keyed`
    /// are sharded.
    pub(crate) fn configure(&self, version: u64, routes: Vec<Route>, keyed: &[&str]) {
        let warm_up = self.0.lock().unwrap().warm_up;
        let services = routes.iter().flat_map(|route| &route.parts).map(|part| {
            let service = Service {
                // The test of idle connections uses this service.
                max_connections: if &*part.service == "narrow" { 1 } else { 50 },
                keyed: keyed.contains(&&*part.service).then_some(Keyed {
                    warm_up: Duration::ZERO,
                }),
                warm_up,
                health_path: None,
            };
            (Arc::clone(&part.service), service)
        });
        let directory = Directory::new(
            version,
            routes.clone(),
            services.collect(),
            Limits::default(),
        );
        self.0
            .lock()
            .unwrap()
            .configurations
            .insert(version, directory);
        // Decoding uses only the first line. The others make up the size.
        let mut text = version.to_string();
        for route in &routes {
            text.push_str(&row_of(route));
        }
        self.write(Table::Configuration, "current", Some(text.into()));
    }

    /// Forgets which rows have changed so far.
    pub(crate) fn forget_history(&self) {
        let mut state = self.0.lock().unwrap();
        state.forgotten = state.version;
    }

    /// Starts to count eras, as a store does that can be restored from a backup.
    pub(crate) fn count_eras(&self) {
        self.0.lock().unwrap().era = 1;
    }

    /// Makes a backup of the store, and returns its index.
    pub(crate) fn back_up(&self) -> usize {
        let mut state = self.0.lock().unwrap();
        let backup = (state.version, state.rows.clone());
        state.backups.push(backup);
        state.backups.len() - 1
    }

    /// Restores the store from a backup. It assigns the same versions again, in the next era.
    pub(crate) fn restore(&self, backup: usize) {
        let mut state = self.0.lock().unwrap();
        state.era += 1;
        (state.version, state.rows) = state.backups[backup].clone();
        let era = state.era;
        for row in state.rows.values_mut() {
            row.version.era = era;
        }
    }

    /// Returns the keys of all rows of a table that were not removed.
    pub(crate) fn keys(&self, table: Table) -> Vec<String> {
        let state = self.0.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((other, _), _)| *other == table_number(table));
        let present = rows.filter(|(_, row)| row.value.is_some());
        present.map(|((_, key), _)| key.to_string()).collect()
    }

    /// Registers an upstream with the default registry entry.
    pub(crate) fn register(&self, service: &str, server: &Server) {
        self.register_as(service, server, |_| ());
    }

    /// Registers an upstream with a registry entry that `change` has modified.
    pub(crate) fn register_as(
        &self,
        service: &str,
        server: &Server,
        change: impl Fn(&mut Upstream),
    ) {
        let mut state = self.0.lock().unwrap();
        let index = state.upstreams.len();
        let mut upstream = Upstream {
            id: server.id.as_str().into(),
            incarnation: 1,
            sequence: 1,
            service: service.into(),
            address: server.address,
            data_centre: "dc-a".into(),
            slots: 2,
            leaving: false,
            warm_up: Duration::ZERO,
        };
        change(&mut upstream);
        state.upstreams.push(upstream);
        state.servers.push(server.clone());
        drop(state);
        self.write(Table::Registry, &server.id, Some(index.to_string().into()));
    }

    pub(crate) fn unregister(&self, id: &str) {
        self.write(Table::Registry, id, None);
    }

    /// Removes a row, as an operator does.
    pub(crate) fn remove(&self, table: Table, key: &str) {
        self.write(table, key, None);
    }

    /// Registers a router that doesn't run, in the data centre of the others.
    pub(crate) fn add_router(&self, name: &str, address: SocketAddr) {
        self.write_router(name, address, 1, 1);
    }

    /// Registers a router of this size that doesn't run.
    pub(crate) fn add_larger_router(&self, name: &str, address: SocketAddr, size: u32) {
        self.write_router(name, address, 1, size);
    }

    /// Makes the others reach a router at another address.
    pub(crate) fn move_router(&self, settings: &Settings, address: SocketAddr) {
        let (incarnation, size) = (settings.incarnation, settings.size);
        self.write_router(&settings.router, address, incarnation, size);
    }

    fn write_router(&self, name: &str, address: SocketAddr, incarnation: u64, size: u32) {
        let row = (address, "dc-a", incarnation, size);
        let value = postcard::to_allocvec(&row).unwrap();
        self.write(
            Table::Routers,
            &format!("router/{name}"),
            Some(value.into()),
        );
    }

    /// Writes a row with this value.
    pub(crate) fn put(&self, table: Table, key: &str, value: &impl Serialize) {
        let value = postcard::to_allocvec(value).unwrap();
        self.write(table, key, Some(value.into()));
    }

    /// Writes a row that can't be decoded.
    pub(crate) fn write_malformed(&self, table: Table, key: &str) {
        self.write(table, key, Some("malformed".into()));
    }

    /// Cuts a router off from all upstreams, so that it reaches `address` in place of each, or ends
    /// that with `None`. The store and other routers still reach it.
    pub(crate) fn cut_off(&self, router: &str, address: Option<SocketAddr>) {
        self.cut_off_from(router, address, |_| true);
    }

    /// Like [`Self::cut_off`], from some of the upstreams.
    pub(crate) fn cut_off_from(
        &self,
        router: &str,
        address: Option<SocketAddr>,
        is_cut_off: impl Fn(&str) -> bool,
    ) {
        let ids: Vec<Arc<str>> = {
            let mut state = self.0.lock().unwrap();
            let ids = state.upstreams.iter();
            let ids: Vec<Arc<str>> = ids.map(|upstream| Arc::clone(&upstream.id)).collect();
            let cut_off = ids.iter().filter(|id| is_cut_off(id)).cloned().collect();
            match address {
                Some(address) => state.cut_off.insert(router.to_owned(), (cut_off, address)),
                None => state.cut_off.remove(router),
            };
            ids
        };
        // Lets the router decode the entries again.
        for (index, id) in ids.iter().enumerate() {
            self.write(Table::Registry, id, Some(index.to_string().into()));
        }
    }

    /// Makes all calls of a router fail.
    pub(crate) fn disconnect(&self, router: &str) {
        self.0.lock().unwrap().disconnected.push(router.to_owned());
    }

    /// Lets all calls of a router succeed again.
    pub(crate) fn reconnect(&self, router: &str) {
        let mut state = self.0.lock().unwrap();
        state.disconnected.retain(|other| other != router);
    }

    /// Stalls the open feed calls of a router: they return nothing until they time out. Calls that
    /// begin later are answered.
    pub(crate) fn stall_feeds(&self, router: &str) {
        for table in [Table::Configuration, Table::Registry, Table::Routers] {
            self.stall_feed(router, table);
        }
    }

    /// Like [`Self::stall_feeds`], for one table.
    pub(crate) fn stall_feed(&self, router: &str, table: Table) {
        let mut state = self.0.lock().unwrap();
        let feed = (router.to_owned(), table_number(table));
        *state.feed_stalls.entry(feed).or_default() += 1;
    }

    /// Lets rows of the configuration need some time to arrive at a router.
    pub(crate) fn delay_rows(&self, router: &str, delay: Duration) {
        let mut state = self.0.lock().unwrap();
        state.row_delays.insert(router.to_owned(), delay);
    }

    /// Leaves the next removal of a row by a router without an answer. It is performed after `delay`,
    /// if its condition still holds.
    pub(crate) fn delay_removal(&self, router: &str, delay: Duration) {
        let mut state = self.0.lock().unwrap();
        state.late_removals.insert(router.to_owned(), delay);
    }

    /// Performs a transaction. Returns the versions of the store before and after it, or `None` if
    /// a row had another version than expected.
    fn perform(&self, transaction: &Transaction) -> Option<[Revision; 2]> {
        let before = {
            let state = self.0.lock().unwrap();
            let current = |name: &Name| {
                let row = state
                    .rows
                    .get(&(table_number(name.table), Arc::clone(&name.key)));
                row.filter(|row| row.value.is_some())
                    .map_or(0, |row| row.version.number)
            };
            let mut expected = transaction.expected.iter();
            if expected.any(|(name, version)| current(name) != version.number) {
                return None;
            }
            Revision::new(state.era, state.version)
        };
        let puts = transaction
            .put
            .iter()
            .map(|(name, value)| (name, Some(value)));
        let removes = transaction.remove.iter().map(|name| (name, None));
        let writes: Vec<_> = puts.chain(removes).collect();
        let after = if writes.is_empty() {
            before
        } else {
            self.write_all(&writes)
        };
        Some([before, after])
    }

    /// Delays reads of maps.
    pub(crate) fn delay_maps(&self, delay: Duration) {
        self.0.lock().unwrap().map_delay = delay;
    }

    pub(crate) fn leadership_calls(&self) -> usize {
        self.0.lock().unwrap().leadership_calls
    }

    pub(crate) fn calls(&self, router: &str) -> usize {
        let state = self.0.lock().unwrap();
        state.calls.get(router).copied().unwrap_or(0)
    }

    pub(crate) fn feed_calls(&self, router: &str) -> usize {
        self.0
            .lock()
            .unwrap()
            .feed_calls
            .get(router)
            .copied()
            .unwrap_or(0)
    }
}

/// Returns a route in the form in which an operator writes it.
fn row_of(route: &Route) -> String {
    let parts: Vec<_> = route
        .parts
        .iter()
        .map(|part| (&part.service, part.weight))
        .collect();
    let Route { name, host, .. } = route;
    let (prefix, repeat) = (&route.prefix, route.repeat);
    format!("\n[{name:?}, {host:?}, {prefix:?}, {repeat:?}, \"1500ms\", {parts:?}]")
}

pub(crate) fn route(prefix: &str, repeat: Repeat, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "sheets.example".into(),
        prefix: prefix.into(),
        repeat,
        timeout: Some(Duration::from_secs(2)),
        target: Some(Duration::from_millis(500)),
        priority: 1,
        max_attempts: 2,
        parts: vec![Part {
            service: service.into(),
            weight: 1,
        }],
    }
}

/// The platform of one router.
pub(crate) struct FakePlatform {
    store: Store,
    router: String,
    /// Highest era that the store has reported to this router.
    era: Cell<u64>,
    /// Number of answers that are arriving.
    arriving: Cell<usize>,
}

/// Counts an answer as arriving until it is dropped.
struct Arriving<'a>(&'a Cell<usize>);

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl FakePlatform {
    pub(crate) fn new(store: &Store, router: &str) -> Self {
        Self {
            store: store.clone(),
            router: router.to_owned(),
            era: Cell::new(0),
            arriving: Cell::new(0),
        }
    }

    /// Waits until rows have arrived over the link of this router.
    async fn transfer(&self, table: Table) {
        let delay = {
            let state = self.store.0.lock().unwrap();
            state.row_delays.get(&self.router).copied()
        };
        if let Some(delay) = delay.filter(|_| table == Table::Configuration) {
            self.arriving.set(self.arriving.get() + 1);
            let _arriving = Arriving(&self.arriving);
            tokio::time::sleep(delay).await;
        }
    }

    fn count_call(&self) {
        let mut state = self.store.0.lock().unwrap();
        *state.calls.entry(self.router.clone()).or_default() += 1;
    }

    fn check_connection(&self) -> Result<(), Fault> {
        let state = self.store.0.lock().unwrap();
        if state.disconnected.contains(&self.router) {
            return Err(Fault {
                call: "test".into(),
                kind: Kind::Unreachable("disconnected".into()),
            });
        }
        Ok(())
    }

    fn feed_stalls(&self, table: Table) -> usize {
        let state = self.store.0.lock().unwrap();
        let feed = (self.router.clone(), table_number(table));
        state.feed_stalls.get(&feed).copied().unwrap_or(0)
    }

    fn rows_after(&self, table: Table, after: Revision) -> Rows {
        let state = self.store.0.lock().unwrap();
        let of_table = state
            .rows
            .iter()
            .filter(|((other, _), _)| *other == table_number(table));
        let changed = of_table
            .map(|(_, row)| row)
            .filter(|row| row.version.number > after.number);
        let mut rows: Vec<Row> = changed.cloned().collect();
        rows.sort_by_key(|row| row.version);
        Rows {
            rows,
            version: Revision::new(state.era, state.version),
        }
    }
}

fn unreadable(reason: &str) -> Unreadable {
    Unreadable {
        field: "row".into(),
        reason: reason.into(),
    }
}

impl Platform for FakePlatform {
    fn era(&self) -> u64 {
        let reported = self.era.get();
        if self.check_connection().is_ok() {
            self.era.set(self.store.0.lock().unwrap().era);
        }
        self.era.get().max(reported)
    }

    async fn rows(&self, table: Table) -> Result<Rows, Fault> {
        self.count_call();
        self.check_connection()?;
        let mut rows = self.rows_after(table, Revision::default());
        rows.rows.retain(|row| row.value.is_some());
        Ok(rows)
    }

    async fn row(&self, name: &Name) -> Result<Option<Row>, Fault> {
        self.count_call();
        if name.table == Table::Maps {
            let delay = self.store.0.lock().unwrap().map_delay;
            tokio::time::sleep(delay).await;
        }
        self.check_connection()?;
        let state = self.store.0.lock().unwrap();
        let row = state
            .rows
            .get(&(table_number(name.table), Arc::clone(&name.key)));
        Ok(row.filter(|row| row.value.is_some()).cloned())
    }

    async fn changes(
        &self,
        table: Table,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, Fault> {
        self.count_call();
        let give_up = tokio::time::Instant::now() + wait;
        *self
            .store
            .0
            .lock()
            .unwrap()
            .feed_calls
            .entry(self.router.clone())
            .or_default() += 1;
        let stalls = self.feed_stalls(table);
        loop {
            if self.feed_stalls(table) != stalls {
                tokio::time::sleep_until(give_up + FEED_MARGIN).await;
                return Err(Fault {
                    call: "test".into(),
                    kind: Kind::Timeout(FEED_MARGIN),
                });
            }
            self.check_connection()?;
            let rows = self.rows_after(table, after);
            let is_forgotten = after.number < self.store.0.lock().unwrap().forgotten;
            if rows.version.era != after.era || rows.version < after || is_forgotten {
                return Ok(Changes::Reset);
            }
            if !rows.rows.is_empty() || tokio::time::Instant::now() >= give_up {
                if !rows.rows.is_empty() {
                    self.transfer(table).await;
                }
                return Ok(Changes::Rows(rows));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn is_receiving(&self) -> bool {
        self.arriving.get() > 0
    }

    async fn commit(&self, transaction: &Transaction) -> Commit {
        self.count_call();
        let is_leadership = |(name, _): &(Name, Bytes)| name.key.starts_with("duty/");
        if transaction.put.iter().any(is_leadership) {
            self.store.0.lock().unwrap().leadership_calls += 1;
        }
        if let Err(fault) = self.check_connection() {
            return Commit::NotDone(fault);
        }
        let delay = {
            let mut state = self.store.0.lock().unwrap();
            let is_removal = !transaction.remove.is_empty();
            is_removal
                .then(|| state.late_removals.remove(&self.router))
                .flatten()
        };
        if let Some(delay) = delay {
            let (store, transaction) = (self.store.clone(), transaction.clone());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                store.perform(&transaction);
            });
            return Commit::Unknown(Fault {
                call: "test".into(),
                kind: Kind::Timeout(delay),
            });
        }
        let Some([version, last]) = self.store.perform(transaction) else {
            return Commit::Conflict;
        };
        let is_other_era = version.era != transaction.era && !transaction.expected.is_empty();
        if is_other_era {
            return Commit::Unknown(Fault {
                call: "test".into(),
                kind: Kind::Malformed("another era".into()),
            });
        }
        Commit::Done(last)
    }

    fn directory(&self, row: &Row) -> Result<Option<Directory>, Unreadable> {
        let value = row.value.as_ref().ok_or_else(|| unreadable("removed"))?;
        let version: u64 = std::str::from_utf8(value)
            .ok()
            .and_then(|text| text.lines().next())
            .and_then(|line| line.parse().ok())
            .ok_or_else(|| unreadable("not a version"))?;
        Ok(self
            .store
            .0
            .lock()
            .unwrap()
            .configurations
            .get(&version)
            .cloned())
    }

    fn evacuation(&self, row: &Row) -> Option<Arc<str>> {
        row.key.strip_prefix("leave/").map(Arc::from)
    }

    fn upstream(&self, row: &Row) -> Result<Upstream, Unreadable> {
        let value = row.value.as_ref().ok_or_else(|| unreadable("removed"))?;
        let index: usize = std::str::from_utf8(value)
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| unreadable("not an index"))?;
        let state = self.store.0.lock().unwrap();
        let mut upstream = state.upstreams[index].clone();
        if let Some((ids, address)) = state.cut_off.get(&self.router)
            && ids.contains(&upstream.id)
        {
            upstream.address = *address;
        }
        Ok(upstream)
    }

    async fn connect(&self, _address: SocketAddr, _upstream: &str) {}

    async fn grant(&self, address: SocketAddr, grant: &Grant) -> Outcome {
        let servers = self.store.0.lock().unwrap().servers.clone();
        let server = servers.into_iter().find(|server| server.address == address);
        server.map_or(Outcome::NotSent, |server| {
            server.grant(&grant.order, grant.hold)
        })
    }

    async fn release(&self, address: SocketAddr, order: &Order) -> Outcome {
        let servers = self.store.0.lock().unwrap().servers.clone();
        let server = servers.into_iter().find(|server| server.address == address);
        server.map_or(Outcome::NotSent, |server| server.release(order))
    }

    fn head(&self, headers: &HeaderMap) -> Head {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        Head {
            id: text("x-id").map(Into::into),
            timeout: text("x-timeout-ms")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            key: text("x-key").and_then(|text| text.parse().ok()),
        }
    }

    fn set_timeout(&self, headers: &mut HeaderMap, left: Duration) {
        headers.insert("x-timeout-ms", HeaderValue::from(left.as_millis() as u64));
    }

    fn set_request_headers(&self, headers: &mut HeaderMap, upstream: &Upstream, left: Duration) {
        self.set_timeout(headers, left);
        headers.insert("x-for", HeaderValue::from_str(&upstream.id).unwrap());
    }

    fn classify_answer(
        &self,
        request: &Head,
        _upstream: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Verdict {
        let id = headers.get("x-id").and_then(|value| value.to_str().ok());
        let is_refusal =
            status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key("x-not-run");
        let is_other = id != request.id.as_deref();
        // Like on the users' platform, a refusal may lack the identifier.
        if is_other && (id.is_some() || !is_refusal) {
            Verdict::Foreign
        } else if status == StatusCode::MISDIRECTED_REQUEST {
            Verdict::Misdirected
        } else if headers.contains_key("x-not-run") {
            Verdict::Refused
        } else {
            Verdict::Own
        }
    }

    fn has_request_id(&self, headers: &HeaderMap) -> bool {
        headers.contains_key("x-id")
    }

    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice {
        let pause = headers.get("x-pause-ms").and_then(|value| {
            let text = value.to_str().ok()?;
            let pause = text.parse().map(Duration::from_millis);
            Some(pause.map_err(|_| unreadable(&format!("is {text}, expected ms"))))
        });
        let limit = headers.get("x-limit").map(|value| {
            let number = value.to_str().ok().and_then(|text| text.parse().ok());
            let limit = number.and_then(Limit::per_s);
            limit.ok_or_else(|| unreadable(&format!("is {value:?}, expected requests per second")))
        });
        Notice {
            is_leaving: headers.contains_key("x-leaving"),
            pause: pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE),
            limit,
            load: load(headers),
        }
    }

    fn cold_time(&self, headers: &HeaderMap) -> Option<Result<Duration, Unreadable>> {
        let value = headers.get("x-cold")?.to_str().ok();
        let time = value.and_then(|text| text.parse().ok());
        Some(
            time.map(Duration::from_millis)
                .ok_or_else(|| unreadable("expected milliseconds")),
        )
    }

    fn is_readiness_check(&self, method: &Method, path: &str) -> bool {
        *method == Method::GET && path == "/ready"
    }
}

fn load(headers: &HeaderMap) -> Option<Result<Load, Unreadable>> {
    let text = headers.get("x-load")?.to_str().unwrap_or_default();
    let figures: Vec<u32> = text.split('/').flat_map(str::parse).collect();
    let load = match *figures {
        [running, waiting, slots, pace] => Load::new(running, waiting, slots, Some(pace)),
        _ => None,
    };
    Some(load.ok_or_else(|| unreadable(&format!("is {text}, expected four numbers"))))
}
