//! Metrics of the daemon, one method for each kind of event.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eelgrassrock_model::table::Outcome;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Upstream};
use eelgrassrock_ownership as ownership;
use eelgrassrock_request as request;
use eelgrassrock_telemetry::metrics::{Counter, Gauge, Metrics, Tag, Timer};
use http::{Response, StatusCode};

use crate::exchange::body::Body;
use crate::exchange::header;

/// Sends the metrics of the daemon.
pub(crate) struct Recorder {
    metrics: Metrics,
    /// Time of the last answer of the table, in microseconds of the daemon's clock.
    table_contact: AtomicU64,
}

/// State that is reported as gauges once per period.
pub(crate) struct State {
    /// State of the request machine.
    pub(crate) requests: request::Snapshot,
    /// Number of upstreams whose home this router is.
    pub(crate) homes: usize,
    /// Number of live routers, as this router sees them.
    pub(crate) peers: usize,
    /// Version of the bundle in force, 0 if there is none.
    pub(crate) bundle: u64,
    /// Time at which the state was read.
    pub(crate) now: Instant,
}

impl Recorder {
    /// Creates a recorder. Until the table has answered, the silence of the table is counted
    /// from the start of the daemon.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            table_contact: AtomicU64::new(0),
        }
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, counter: Counter) {
        self.metrics.count(counter, 1, &[]);
    }

    /// Counts a response by its outcome if this router created it. Relayed responses and
    /// those that send a request back to its entry router aren't counted.
    pub(crate) fn count_answer(&self, response: &Response<Body>) {
        let is_own = matches!(response.body(), Body::Buffered(_));
        let is_not_home = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let outcome = response.headers().get(header::OUTCOME);
        let Some(outcome) = outcome.filter(|_| is_own && !is_not_home) else {
            return;
        };
        match outcome.as_bytes() {
            b"not-run" => self.count(Counter::RequestsNotRun),
            b"unknown" => self.count(Counter::RequestsUnknown),
            _ => self.count(Counter::Duplicates),
        }
    }

    /// Records a decision on a request: queueing time, retry or completion.
    pub(crate) fn record_request_decision(&self, decision: &request::Decision) {
        let waited = Duration::from_micros(decision.waited_us);
        let tags = [Tag::Upstream(decision.upstream.as_str())];
        match (decision.step, decision.reason) {
            (request::Step::Send, _) => self.metrics.time(Timer::QueueWait, waited, &tags),
            (request::Step::Retry, _) => self.count(Counter::Retries),
            (request::Step::Finish, request::Reason::Answered(_)) => {
                self.count(Counter::RequestsDone);
                self.metrics.time(Timer::Request, waited, &tags);
            }
            _ => {}
        }
    }

    /// Records a decision on ownership: takeover, shard moves or malformed row.
    pub(crate) fn record_ownership_decision(&self, decision: &ownership::Decision) {
        match &decision.what {
            ownership::DecisionKind::Home { .. } => self.count(Counter::Takeovers),
            ownership::DecisionKind::Assigned {
                prior: Some(_),
                count,
                ..
            } => {
                self.metrics
                    .count(Counter::ShardsMoved, u64::from(*count), &[]);
            }
            ownership::DecisionKind::BadRow { .. } => self.count(Counter::TableMalformed),
            _ => {}
        }
    }

    /// Counts an order, and records the time until its answer if it was accepted.
    pub(crate) fn record_order(&self, answer: &ownership::grant::Answer, span: Duration) {
        if matches!(answer, ownership::grant::Answer::Accepted(_)) {
            self.count(Counter::OrdersAccepted);
            self.metrics.time(Timer::Order, span, &[]);
        } else {
            self.count(Counter::OrdersFailed);
        }
    }

    /// Records the duration and result of a table read.
    pub(crate) fn record_read(&self, succeeded: bool, span: Duration, now: Instant) {
        self.count(Counter::TableReads);
        self.metrics.time(Timer::TableCall, span, &[]);
        if succeeded {
            self.set_table_contact(now);
        } else {
            self.count(Counter::TableFailed);
        }
    }

    /// Records the duration and outcome of a table transaction. A conflict is an answer of
    /// the table and counts as contact.
    pub(crate) fn record_write(&self, outcome: &Outcome, span: Duration, now: Instant) {
        self.metrics.time(Timer::TableCall, span, &[]);
        let (counter, contact) = match outcome {
            Outcome::Committed(_) => (Counter::TableWrites, true),
            Outcome::Conflict { .. } => (Counter::TableConflicts, true),
            Outcome::NotWritten { .. } => (Counter::TableFailed, false),
            Outcome::Unknown => (Counter::TableUnknown, false),
        };
        self.count(counter);
        if contact {
            self.set_table_contact(now);
        }
    }

    /// Counts a lease of an upstream that expired.
    pub(crate) fn count_lapse(&self, upstream: &Upstream) {
        self.metrics
            .count(Counter::LeasesLost, 1, &[Tag::Upstream(upstream.as_str())]);
    }

    /// Records for how long an upstream had no valid grant.
    pub(crate) fn record_unavailability(&self, upstream: &Upstream, span: Duration) {
        self.metrics.time(
            Timer::Unavailable,
            span,
            &[Tag::Upstream(upstream.as_str())],
        );
    }

    /// Adds to the number of bytes sent in messages to other routers.
    pub(crate) fn count_sent_bytes(&self, bytes: usize) {
        self.metrics
            .count(Counter::PeerBytesSent, bytes as u64, &[]);
    }

    /// Adds to the number of requests that were cut off when the daemon stopped.
    pub(crate) fn count_cut_off(&self, requests: usize) {
        self.metrics
            .count(Counter::RequestsCutOff, requests as u64, &[]);
    }

    /// Reports the state as gauges.
    pub(crate) fn report(&self, state: &State) {
        let upstreams = state.requests.upstreams.values();
        let queued: usize = upstreams.map(|upstream| upstream.queued).sum();
        let contact = Instant::from_micros(self.table_contact.load(Ordering::Relaxed));
        let silence = (state.now - contact).as_millis();
        let gauge = |gauge, value: u64| self.metrics.gauge(gauge, value, &[]);
        gauge(Gauge::InFlight, state.requests.requests as u64);
        gauge(Gauge::Queued, queued as u64);
        gauge(Gauge::Homes, state.homes as u64);
        gauge(Gauge::PeersAlive, state.peers as u64);
        gauge(Gauge::BundleVersion, state.bundle);
        gauge(
            Gauge::TableSilence,
            u64::try_from(silence).unwrap_or(u64::MAX),
        );
    }

    /// Sends the buffered metrics.
    pub(crate) fn flush(&self) {
        self.metrics.flush();
    }

    fn set_table_contact(&self, now: Instant) {
        self.table_contact.store(now.as_micros(), Ordering::Relaxed);
    }
}
