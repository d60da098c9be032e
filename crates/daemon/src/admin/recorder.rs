//! Metrics of the daemon: what is counted where.

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

/// Metrics of the daemon.
pub(crate) struct Recorder {
    metrics: Metrics,
    /// Last contact with the table, in microseconds of the daemon's clock.
    table_contact: AtomicU64,
}

/// State that is reported once per period.
pub(crate) struct State {
    /// State of the requests.
    pub(crate) requests: request::Snapshot,
    /// Number of upstreams whose home this router is.
    pub(crate) homes: usize,
    /// Number of live routers.
    pub(crate) peers: usize,
    /// Version of the bundle in force.
    pub(crate) bundle: u64,
    /// Present time.
    pub(crate) now: Instant,
}

impl Recorder {
    /// Creates the recorder.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            table_contact: AtomicU64::new(0),
        }
    }

    /// Counts one event.
    pub(crate) fn count(&self, counter: Counter) {
        self.metrics.count(counter, 1, &[]);
    }

    /// Counts an answer that this router made by itself.
    pub(crate) fn answered(&self, response: &Response<Body>) {
        let own = matches!(response.body(), Body::Whole(_));
        let passed_back = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let outcome = response.headers().get(header::OUTCOME);
        let Some(outcome) = outcome.filter(|_| own && !passed_back) else {
            return;
        };
        match outcome.as_bytes() {
            b"not-run" => self.count(Counter::RequestsNotRun),
            b"unknown" => self.count(Counter::RequestsUnknown),
            _ => self.count(Counter::Duplicates),
        }
    }

    /// Counts a decision on a request.
    pub(crate) fn decided(&self, decision: &request::Decision) {
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

    /// Counts a decision on ownership.
    pub(crate) fn placed(&self, decision: &ownership::Decision) {
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

    /// Counts an order and the time that its answer took.
    pub(crate) fn ordered(&self, answer: &ownership::grant::Answer, span: Duration) {
        if matches!(answer, ownership::grant::Answer::Accepted(_)) {
            self.count(Counter::OrdersAccepted);
            self.metrics.time(Timer::Order, span, &[]);
        } else {
            self.count(Counter::OrdersFailed);
        }
    }

    /// Counts a read of the table.
    pub(crate) fn read(&self, succeeded: bool, span: Duration, now: Instant) {
        self.count(Counter::TableReads);
        self.metrics.time(Timer::TableCall, span, &[]);
        if succeeded {
            self.note_contact(now);
        } else {
            self.count(Counter::TableFailed);
        }
    }

    /// Counts a transaction.
    pub(crate) fn wrote(&self, outcome: &Outcome, span: Duration, now: Instant) {
        self.metrics.time(Timer::TableCall, span, &[]);
        let (counter, contact) = match outcome {
            Outcome::Committed(_) => (Counter::TableWrites, true),
            Outcome::Conflict { .. } => (Counter::TableConflicts, true),
            Outcome::NotWritten { .. } => (Counter::TableFailed, false),
            Outcome::Unknown => (Counter::TableUnknown, false),
        };
        self.count(counter);
        if contact {
            self.note_contact(now);
        }
    }

    /// Counts a lease that ran out.
    pub(crate) fn lapsed(&self, upstream: &Upstream) {
        self.metrics
            .count(Counter::LeasesLost, 1, &[Tag::Upstream(upstream.as_str())]);
    }

    /// Notes the time for which an upstream had no valid grant.
    pub(crate) fn restored(&self, upstream: &Upstream, span: Duration) {
        self.metrics.time(
            Timer::Unavailable,
            span,
            &[Tag::Upstream(upstream.as_str())],
        );
    }

    /// Counts bytes of messages to other routers.
    pub(crate) fn sent(&self, bytes: usize) {
        self.metrics
            .count(Counter::PeerBytesSent, bytes as u64, &[]);
    }

    /// Counts requests that were cut off when the daemon stopped.
    pub(crate) fn cut_off(&self, requests: usize) {
        self.metrics
            .count(Counter::RequestsCutOff, requests as u64, &[]);
    }

    /// Reports the state.
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

    /// Sends what is buffered.
    pub(crate) fn flush(&self) {
        self.metrics.flush();
    }

    fn note_contact(&self, now: Instant) {
        self.table_contact.store(now.as_micros(), Ordering::Relaxed);
    }
}
