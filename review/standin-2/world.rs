//! What the cases have in common: a small deployment, its configuration, and callers.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{self, Message};
use crate::platform::{Instance, Store};
use crate::record::Record;
use crate::router::{Fleet, Machine};

pub const HOST: &str = "desk.example";

/// Route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
}

/// Returns a configuration as the operator writes it. Sharded services have names that begin with
/// `keyed`.
pub fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    let route = |route: &Route| {
        format!(
            "[\"{}\",\"{HOST}\",\"{}\",\"{}\",\"1500ms\",\"600ms\",1,2,\"{}\"]",
            route.name, route.prefix, route.kind, route.service
        )
    };
    let service = |service: &&str| {
        let sharded = if service.starts_with("keyed") { "true,\"2s\",\"direct\"" } else { "null,null,null" };
        format!("[\"{service}\",\"/healthz\",110,\"h1\",false,{sharded}]")
    };
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\",\"target_latency\",\"priority\",\"max_attempts\",\"service\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\"sharded\",\"warm\",\"grants\"],\"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}}",
        routes.iter().map(route).collect::<Vec<_>>().join(","),
        services.iter().map(service).collect::<Vec<_>>().join(",")
    )
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Fleet,
    next_request: AtomicU64,
}

impl World {
    pub fn new(path: &str, zones: &[&str]) -> Self {
        let record = Arc::new(Record::new(path));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().unwrap();
        let store = Store::start(listener, &record);
        Self {
            fleet: Fleet::new(address, zones, &record),
            store,
            record,
            next_request: AtomicU64::new(1),
        }
    }

    /// Starts and registers an instance.
    pub fn instance(&self, id: &str, service: &str, zone: &str, work: Duration) -> Arc<Instance> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let sharded = service.starts_with("keyed");
        let instance = Instance::start(listener, (id, service, zone), sharded, work, &self.record);
        self.store.write("servers", id, Some(&instance.entry("ready", 1)));
        instance
    }

    pub fn configure(&self, text: &str) {
        self.store.write("op", "config", Some(text));
    }

    /// Sends a request, and returns its identifier and the answer.
    pub fn send(&self, machine: &Machine, method: &str, path: &str, key: Option<u16>) -> (String, Option<Message>) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let mut headers = vec![
            ("Host", HOST.to_owned()),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", "2500".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        if let Some(key) = key {
            headers.push(("Shard-Key", key.to_string()));
        }
        let line = format!("{method} {path}");
        let sent_at = self.record.now();
        let end = http::call(machine.front(), &line, &headers, b"", Duration::from_millis(2500));
        let answer = end.ok();
        let text = match &answer {
            Some(answer) => format!("{} {}", answer.status(), answer.text()),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("request {id} {line} sent to {} at {:.3}: {text}", machine.name, sent_at.as_secs_f64()));
        (id, answer)
    }
}
