//! Metrics of a process, served as text.
//!
//! `cadence`, which the other daemon uses, pushes single values. This process has to serve a page
//! with histograms, so it uses `prometheus-client`.

use std::convert::Infallible;
use std::ops::Deref;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::Reason;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use tokio::net::TcpListener;

use crate::clock;
use crate::front;
use crate::node::Node;
use crate::payload::Payload;
use crate::peer::FOLLOW_PATH;
use crate::platform::Platform;
use crate::relay::TABLES;

/// Upper bounds of the buckets of all histograms, in seconds. They range from latencies within a
/// data centre to the longest timeouts.
const BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    route: Arc<str>,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Service {
    service: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Permit {
    service: Arc<str>,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    service: Arc<str>,
    priority: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cleared {
    service: Arc<str>,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Send {
    service: Arc<str>,
    report: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Break {
    service: Arc<str>,
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LoadReport {
    service: Arc<str>,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Input {
    input: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Direction {
    direction: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Table {
    table: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Received {
    table: String,
    source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerCall {
    call: &'static str,
    result: &'static str,
}

/// Calls that this router has made to other routers, by path and result.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerCalls(Family<PeerCall, Counter>);

impl PeerCalls {
    /// Counts a call that has ended.
    pub(crate) fn record(&self, path: &'static str, result: &'static str) {
        self.count(path, result).inc();
    }

    fn count(&self, path: &'static str, result: &'static str) -> impl Deref<Target = Counter> {
        let call = path.trim_start_matches('/');
        self.0.get_or_create(&PeerCall { call, result })
    }
}

/// Causes of broken connections, the second if the process of the upstream has ended.
const BREAK_CAUSES: [&str; 2] = ["unproven", "ended"];

/// Results of reading a report of an upstream's load, the second if it could be read.
const LOAD_REPORT_RESULTS: [&str; 2] = ["unreadable", "read"];
/// Results of questions for a permit to send to a cold upstream.
const PERMIT_RESULTS: [&str; 4] = ["granted", "denied", "unanswered", "lapsed"];

/// Answers to such questions, the second if the permit is granted.
const PERMIT_ANSWERS: [&str; 2] = ["denied", "granted"];

/// Result of a call to another router that was answered.
pub(crate) const ANSWERED: &str = "answered";

/// Gauge with a fractional value.
type Fraction = Gauge<f64, AtomicU64>;
type Histograms = Family<Service, Histogram, fn() -> Histogram>;

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

/// All metrics of a process, with their registry.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<Outcome, Counter>,
    total: Histograms,
    queued: Histograms,
    upstream: Histograms,
    sends: Family<Send, Counter>,
    broken: Family<Break, Counter>,
    suspects: Gauge,
    reads_store: Gauge,
    skipped_relays: Gauge,
    quarantines: Family<Service, Counter>,
    quarantine_ends: Family<Service, Counter>,
    suppressed_lines: Counter,
    deferred: Counter,
    limited: Family<Service, Gauge>,
    unreachable: Family<Service, Gauge>,
    limited_sends: Family<Service, Counter>,
    load_reports: Family<LoadReport, Counter>,
    cold: Family<Service, Gauge>,
    permits: Family<Permit, Counter>,
    permits_given: Family<Permit, Counter>,
    pressure: Family<Service, Fraction>,
    pressure_refusals: Family<Kind, Counter>,
    cleared_sources: Family<Cleared, Counter>,
    received_bytes: Family<Received, Counter>,
    peer_calls: PeerCalls,
    outdated: Counter,
    restored: Counter,
    registrations_lost: Counter,
    routers_removed: Counter,
    store_era: Gauge,
    open: Gauge,
    body_bytes: Gauge,
    link_wait: Family<Direction, Fraction>,
    evacuated: Gauge,
    evacuated_in_flight: Family<Service, Gauge>,
    configuration: Gauge,
    upstreams: Family<Service, Gauge>,
    waiting: Family<Service, Gauge>,
    in_flight: Family<Service, Gauge>,
    ranges: Family<Service, Gauge>,
    contact: Family<Table, Gauge>,
    leader: Family<Service, Gauge>,
    ages: Family<Input, Fraction>,
    repeats_left: Family<Service, Fraction>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("eelgrassrock"),
            requests: Family::default(),
            total: Family::new_with_constructor(histogram),
            queued: Family::new_with_constructor(histogram),
            upstream: Family::new_with_constructor(histogram),
            sends: Family::default(),
            broken: Family::default(),
            suspects: Gauge::default(),
            reads_store: Gauge::default(),
            skipped_relays: Gauge::default(),
            quarantines: Family::default(),
            quarantine_ends: Family::default(),
            suppressed_lines: Counter::default(),
            deferred: Counter::default(),
            limited: Family::default(),
            unreachable: Family::default(),
            limited_sends: Family::default(),
            load_reports: Family::default(),
            cold: Family::default(),
            permits: Family::default(),
            permits_given: Family::default(),
            pressure: Family::default(),
            pressure_refusals: Family::default(),
            cleared_sources: Family::default(),
            received_bytes: Family::default(),
            peer_calls: PeerCalls::default(),
            outdated: Counter::default(),
            restored: Counter::default(),
            registrations_lost: Counter::default(),
            routers_removed: Counter::default(),
            store_era: Gauge::default(),
            open: Gauge::default(),
            body_bytes: Gauge::default(),
            link_wait: Family::default(),
            evacuated: Gauge::default(),
            evacuated_in_flight: Family::default(),
            configuration: Gauge::default(),
            upstreams: Family::default(),
            waiting: Family::default(),
            in_flight: Family::default(),
            ranges: Family::default(),
            contact: Family::default(),
            leader: Family::default(),
            ages: Family::default(),
            repeats_left: Family::default(),
        };
        metrics.registered()
    }

    fn registered(mut self) -> Self {
        let all = &mut self.registry;
        all.register(
            "requests",
            "Requests by route and outcome",
            self.requests.clone(),
        );
        let seconds = Unit::Seconds;
        let help = "Time from arrival to answer";
        all.register_with_unit("request", help, seconds.clone(), self.total.clone());
        let help = "Time in the queue, for requests that were sent";
        all.register_with_unit("queue", help, seconds.clone(), self.queued.clone());
        let help = "Time at an upstream";
        all.register_with_unit("upstream", help, seconds.clone(), self.upstream.clone());
        let help = "Time since the last change of a table, or the last contact to the store";
        all.register_with_unit("input_age", help, seconds, self.ages.clone());
        all.register(
            "sends",
            "Sends to upstreams by how they ended",
            self.sends.clone(),
        );
        let help = "Connections to upstreams that broke before an answer, by cause";
        all.register("broken_connections", help, self.broken.clone());
        let help = "Requests under which processes of upstreams have ended";
        all.register("suspects", help, self.suspects.clone());
        let help = "1 if this router reads the tables from the store, not from a relay";
        all.register("reads_store", help, self.reads_store.clone());
        let help =
            "Routers that go before this one as the relay and didn't prove contact to the store";
        all.register("skipped_relays", help, self.skipped_relays.clone());
        let help = "Requests that were quarantined";
        all.register("quarantines", help, self.quarantines.clone());
        let help = "Quarantines that have ended";
        all.register("quarantine_ends", help, self.quarantine_ends.clone());
        let help = "Log lines about requests beyond the rate limit";
        all.register("log_lines_left_out", help, self.suppressed_lines.clone());
        let help = "Restores of the store from an older backup";
        all.register("store_restores", help, self.restored.clone());
        let help = "Rows of lost routers that this router removed";
        all.register("routers_removed", help, self.routers_removed.clone());
        let help = "Losses of this router's row in the table of the routers";
        all.register("registrations_lost", help, self.registrations_lost.clone());
        let help = "Era of the store, 0 if it has none";
        all.register("store_era", help, self.store_era.clone());
        let help = "Pauses requested by upstreams";
        all.register("deferrals", help, self.deferred.clone());
        let help = "Upstreams with a limit to the requests from all routers";
        all.register("limited_upstreams", help, self.limited.clone());
        let help = "Upstreams to which the last connection couldn't be opened";
        all.register("unreachable_upstreams", help, self.unreachable.clone());
        let help = "Sends to upstreams with a limit";
        all.register("limited_sends", help, self.limited_sends.clone());
        let help = "Reports of their load that upstreams sent with answers";
        all.register("load_reports", help, self.load_reports.clone());
        let help = "Upstreams that count as cold";
        all.register("cold_upstreams", help, self.cold.clone());
        let help = "Questions to other routers for a permit to send to a cold upstream, by result";
        all.register("permits_asked", help, self.permits.clone());
        let help = "Answers to other routers that asked for such a permit, by result";
        all.register("permits_answered", help, self.permits_given.clone());
        let help = "Longest wait for a slot of a service, as a share of the time to the target";
        all.register("pressure", help, self.pressure.clone());
        let help = "Requests refused because more urgent ones need the slots";
        all.register("pressure_refusals", help, self.pressure_refusals.clone());
        let help = "Earlier holders found not to hold their keys any more, by the proof";
        all.register("cleared_sources", help, self.cleared_sources.clone());
        let help = "Bytes of table rows that were received, by where they came from";
        all.register("table_bytes", help, self.received_bytes.clone());
        let help = "Requests refused because the configuration was outdated";
        all.register("outdated_refusals", help, self.outdated.clone());
        let help = "Calls to other routers by result";
        all.register("peer_calls", help, self.peer_calls.0.clone());
        all.register(
            "open_requests",
            "Requests that have no answer yet",
            self.open.clone(),
        );
        let help = "Queueing delay on the VM's network link";
        let seconds = Unit::Seconds;
        all.register_with_unit("link_wait", help, seconds, self.link_wait.clone());
        let help = "Bytes of request and answer bodies in memory";
        all.register("body_bytes", help, self.body_bytes.clone());
        let help = "Data centres whose upstreams get no more requests";
        all.register("evacuated_data_centres", help, self.evacuated.clone());
        let help = "Requests still under way in evacuated data centres";
        let gauge = self.evacuated_in_flight.clone();
        all.register("evacuated_in_flight", help, gauge);
        let help = "Version of the configuration in force, 0 for none";
        all.register("configuration_version", help, self.configuration.clone());
        all.register("upstreams", "Known upstreams", self.upstreams.clone());
        all.register("waiting", "Requests in the queue", self.waiting.clone());
        let help = "Requests that hold a place at an upstream";
        all.register("in_flight", help, self.in_flight.clone());
        all.register(
            "key_ranges",
            "Ranges of keys in the map",
            self.ranges.clone(),
        );
        let help = "Whether the last call to the store for a table succeeded";
        all.register("store_contact", help, self.contact.clone());
        all.register(
            "keeper",
            "Whether this router leads the service and grants its keys",
            self.leader.clone(),
        );
        all.register(
            "repeats_left",
            "Repeated sends that the budget of this router allows",
            self.repeats_left.clone(),
        );
        self
    }

    pub(crate) fn request(
        &self,
        route: &Arc<str>,
        service: &Arc<str>,
        outcome: &'static str,
        span: Duration,
    ) {
        let route = Arc::clone(route);
        self.requests
            .get_or_create(&Outcome { route, outcome })
            .inc();
        observe(&self.total, service, span);
    }

    pub(crate) fn sent(&self, service: &Arc<str>, arrived: Instant, started: Instant) {
        observe(&self.queued, service, started - arrived);
    }

    pub(crate) fn send_ended(&self, service: &Arc<str>, report: &'static str, span: Duration) {
        let labels = Send {
            service: Arc::clone(service),
            report,
        };
        self.sends.get_or_create(&labels).inc();
        observe(&self.upstream, service, span);
    }

    /// Counts a connection that broke with a request in flight. `has_ended` tells whether the
    /// process of the upstream is known to have ended.
    pub(crate) fn connection_broken(&self, service: &Arc<str>, has_ended: bool) {
        let labels = Break {
            service: Arc::clone(service),
            cause: BREAK_CAUSES[usize::from(has_ended)],
        };
        self.broken.get_or_create(&labels).inc();
    }

    /// Counts a request of a service that is refused from now on.
    pub(crate) fn quarantine_began(&self, service: &Arc<str>) {
        let service = Arc::clone(service);
        self.quarantines.get_or_create(&Service { service }).inc();
    }

    /// Counts a quarantined request of a service that is no longer refused.
    pub(crate) fn quarantine_ended(&self, service: &Arc<str>) {
        let service = Arc::clone(service);
        self.quarantine_ends
            .get_or_create(&Service { service })
            .inc();
    }

    /// Counts a restore of the store from a backup.
    pub(crate) fn store_restored(&self) {
        self.restored.inc();
    }

    /// Counts a loss of this router's row.
    pub(crate) fn registration_lost(&self) {
        self.registrations_lost.inc();
    }

    /// Counts a removed row of a lost router.
    pub(crate) fn router_removed(&self) {
        self.routers_removed.inc();
    }

    /// Counts a pause requested by an upstream.
    pub(crate) fn deferred(&self) {
        self.deferred.inc();
    }

    /// Counts a send to an upstream that has set a limit.
    pub(crate) fn sent_to_limited(&self, service: &Arc<str>) {
        let labels = Service {
            service: Arc::clone(service),
        };
        self.limited_sends.get_or_create(&labels).inc();
    }

    /// Counts a report of its load that an upstream sent with an answer.
    pub(crate) fn load_reported(&self, service: &Arc<str>, is_readable: bool) {
        let labels = LoadReport {
            service: Arc::clone(service),
            result: LOAD_REPORT_RESULTS[usize::from(is_readable)],
        };
        self.load_reports.get_or_create(&labels).inc();
    }

    /// Counts a question to another router for a permit to send to a cold upstream, or a permit that
    /// lapsed.
    pub(crate) fn permit(&self, service: &Arc<str>, result: &'static str) {
        let service = Arc::clone(service);
        let labels = Permit { service, result };
        self.permits.get_or_create(&labels).inc();
    }

    /// Counts an answer to a router that asked for a permit.
    pub(crate) fn permit_given(&self, service: &Arc<str>, is_granted: bool) {
        let result = PERMIT_ANSWERS[usize::from(is_granted)];
        let service = Arc::clone(service);
        let labels = Permit { service, result };
        self.permits_given.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused because more urgent ones need the slots.
    pub(crate) fn refused_under_pressure(&self, service: &Arc<str>, priority: u8) {
        self.refusals(service, priority).inc();
    }

    fn refusals(&self, service: &Arc<str>, priority: u8) -> impl Deref<Target = Counter> {
        let labels = Kind {
            service: Arc::clone(service),
            priority: u32::from(priority),
        };
        self.pressure_refusals.get_or_create(&labels)
    }

    /// Counts an earlier holder that can't hold its keys any more.
    pub(crate) fn source_cleared(&self, service: &Arc<str>, reason: Reason) {
        self.cleared(service, reason).inc();
    }

    fn cleared(&self, service: &Arc<str>, reason: Reason) -> impl Deref<Target = Counter> {
        let labels = Cleared {
            service: Arc::clone(service),
            reason: reason.to_string(),
        };
        self.cleared_sources.get_or_create(&labels)
    }

    /// Counts the bytes of rows of a table that were received from `source`.
    pub(crate) fn table_received(&self, table: String, source: &'static str, bytes: usize) {
        let labels = Received { table, source };
        self.received_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }

    /// Counts a request that was refused because the configuration is outdated.
    pub(crate) fn outdated(&self) {
        self.outdated.inc();
    }

    /// Returns the counters of calls to other routers.
    pub(crate) fn peer_calls(&self) -> PeerCalls {
        self.peer_calls.clone()
    }

    /// Returns the counter of log lines beyond the rate limit.
    pub(crate) fn suppressed_lines(&self) -> Counter {
        self.suppressed_lines.clone()
    }

    fn page<P: Platform>(&self, node: &Node<P>) -> String {
        self.measure(node);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Sets the gauges from the current state.
    fn measure<P: Platform>(&self, node: &Node<P>) {
        let now = clock::now();
        self.reads_store
            .set(i64::from(node.relay_to_follow().is_none()));
        self.skipped_relays.set(node.skipped_relays() as i64);
        let mut guard = node.state.borrow_mut();
        let state = &mut *guard;
        self.open.set(node.open_requests.get() as i64);
        self.suspects
            .set(node.suspects.borrow().records().count() as i64);
        self.store_era.set(node.era.get() as i64);
        {
            let link = node.uplink.borrow();
            let waits = [("in", link.wait_in(now)), ("out", link.wait_out(now))];
            for (direction, wait) in waits {
                let labels = Direction { direction };
                let gauge = self.link_wait.get_or_create(&labels);
                gauge.set(wait.as_secs_f64());
            }
        }
        self.body_bytes.set(node.memory.used() as i64);
        let evacuated = node.evacuations.borrow().all().count();
        self.evacuated.set(evacuated as i64);
        let version = state
            .directory
            .as_ref()
            .map_or(0, |directory| directory.version);
        self.configuration.set(version as i64);
        for (name, service) in &mut state.services {
            let labels = Service {
                service: Arc::clone(name),
            };
            self.upstreams
                .get_or_create(&labels)
                .set(state.registry.of_service(name).len() as i64);
            self.waiting
                .get_or_create(&labels)
                .set(service.waiting() as i64);
            let in_flight = service.in_flight().map(|(_, count)| i64::from(count)).sum();
            self.in_flight.get_or_create(&labels).set(in_flight);
            self.evacuated_in_flight
                .get_or_create(&labels)
                .set(i64::from(service.in_flight_evacuated()));
            self.unreachable
                .get_or_create(&labels)
                .set(service.reach(now).unreachable as i64);
            self.limited
                .get_or_create(&labels)
                .set(service.limited() as i64);
            self.cold
                .get_or_create(&labels)
                .set(service.cold(now) as i64);
            for result in PERMIT_RESULTS {
                let service = Arc::clone(name);
                drop(self.permits.get_or_create(&Permit { service, result }));
            }
            for result in PERMIT_ANSWERS {
                let service = Arc::clone(name);
                drop(
                    self.permits_given
                        .get_or_create(&Permit { service, result }),
                );
            }
            self.pressure
                .get_or_create(&labels)
                .set(service.pressure(now).unwrap_or_default());
            // Shows the counters from the start, so that their rates are known from the first event on.
            drop(self.limited_sends.get_or_create(&labels));
            for result in LOAD_REPORT_RESULTS {
                let service = Arc::clone(name);
                drop(
                    self.load_reports
                        .get_or_create(&LoadReport { service, result }),
                );
            }
            for reason in [Reason::Released, Reason::Expired] {
                drop(self.cleared(name, reason));
            }
            let declared = state.directory.iter();
            for priority in declared.flat_map(|directory| directory.priorities(name)) {
                drop(self.refusals(name, *priority));
            }
            drop(self.quarantines.get_or_create(&labels));
            drop(self.quarantine_ends.get_or_create(&labels));
            for cause in BREAK_CAUSES {
                let service = Arc::clone(name);
                drop(self.broken.get_or_create(&Break { service, cause }));
            }
            self.repeats_left
                .get_or_create(&labels)
                .set(service.repeats_left(now));
            let ranges = state
                .maps
                .get(name)
                .map_or(0, |versioned| versioned.map().ranges.len());
            self.ranges.get_or_create(&labels).set(ranges as i64);
            self.leader
                .get_or_create(&labels)
                .set(i64::from(node.leaderships.is_leader(name)));
        }
        drop(self.peer_calls.count(FOLLOW_PATH, ANSWERED));
        for table in TABLES {
            let contact = state.contact.get(&table).copied().unwrap_or(false);
            let labels = Table {
                table: table.to_string(),
            };
            self.contact.get_or_create(&labels).set(i64::from(contact));
            self.age(table.to_string(), now, node.relay.changed_at(table));
        }
        self.age("store".to_owned(), now, node.relay.last_store_contact());
    }

    /// Sets the age of an input, unless it was never received.
    fn age(&self, input: String, now: Instant, since: Option<Instant>) {
        if let Some(since) = since {
            let age = (now - since).as_secs_f64();
            self.ages.get_or_create(&Input { input }).set(age);
        }
    }
}

fn observe(histograms: &Histograms, service: &Arc<str>, span: Duration) {
    let labels = Service {
        service: Arc::clone(service),
    };
    histograms
        .get_or_create(&labels)
        .observe(span.as_secs_f64());
}

/// Serves the metrics page until the process ends.
pub(crate) async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let (stream, _) = front::next(&node, &listener, "metrics").await;
        let page = node.metrics.page(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| {
                let mut response = Response::new(Payload::whole(page.clone()));
                let text = HeaderValue::from_static(
                    "application/openmetrics-text; version=1.0.0; charset=utf-8",
                );
                response.headers_mut().insert(CONTENT_TYPE, text);
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.keep_alive(false);
            // Errors of a connection concern only its client.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
