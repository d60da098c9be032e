//! Metrics over statsd. `docs/METRICS.md` lists them all.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::panic::RefUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{
    BufferedUdpMetricSink, MetricBuilder, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient,
};
use derive_more::{Display, Error, From};
use eelgrassrock_config::settings;

const QUEUE_METRICS: usize = 65_536;

macro_rules! names {
    ($(#[$doc:meta])* $kind:ident { $($(#[$item_doc:meta])* $item:ident => $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $kind {
            $($(#[$item_doc])* $item,)*
        }

        impl $kind {
            /// All of them.
            pub const ALL: &[Self] = &[$(Self::$item),*];

            /// Returns the name without the prefix.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$item => $name,)*
                }
            }
        }
    };
}

names! {
    /// Number of events since the last report.
    Counter {
        /// Requests whose whole answer came from the upstream.
        RequestsDone => "requests.done",
        /// Requests that were refused with proof that they didn't run.
        RequestsNotRun => "requests.not-run",
        /// Requests that may have run, but whose answer was lost.
        RequestsUnknown => "requests.unknown",
        /// Requests that were cut off at the drain limit.
        RequestsCutOff => "requests.cut-off",
        /// Requests that were passed on to the home router.
        RequestsForwarded => "requests.forwarded",
        /// Second and later tries of idempotent requests.
        Retries => "requests.retries",
        /// Repeated requests that were answered from the record of the first.
        Duplicates => "requests.duplicates",
        /// Callers without a valid credential.
        CredentialsRefused => "requests.credentials-refused",
        /// Orders that an upstream accepted.
        OrdersAccepted => "ownership.orders-accepted",
        /// Orders that an upstream refused or didn't answer.
        OrdersFailed => "ownership.orders-failed",
        /// Shards that changed their owner.
        ShardsMoved => "ownership.shards-moved",
        /// Leases that ran out.
        LeasesLost => "ownership.leases-lost",
        /// Homes that this router took over.
        Takeovers => "ownership.takeovers",
        /// Writes to the table that took effect.
        TableWrites => "table.writes",
        /// Reads of the table.
        TableReads => "table.reads",
        /// Writes that lost against another one.
        TableConflicts => "table.conflicts",
        /// Writes whose answer was lost.
        TableUnknown => "table.unknown",
        /// Calls that the table refused or didn't answer.
        TableFailed => "table.failed",
        /// Rows that couldn't be understood.
        TableMalformed => "table.malformed",
        /// Bundles that came into force on this router.
        BundlesApplied => "bundle.applied",
        /// Bundles that the approval rule refused.
        BundlesRefused => "bundle.refused",
        /// Messages from peers that were refused.
        PeerRefused => "peer.refused",
        /// Bytes of control messages that were sent.
        PeerBytesSent => "peer.bytes-sent",
    }
}

names! {
    /// State at the time of the report.
    Gauge {
        /// Requests in flight.
        InFlight => "requests.in-flight",
        /// Requests that wait for a slot.
        Queued => "requests.queued",
        /// Upstreams whose home this router is.
        Homes => "ownership.homes",
        /// Milliseconds since the last contact with the table.
        TableSilence => "table.silence-ms",
        /// Version of the bundle in force.
        BundleVersion => "bundle.version",
        /// Routers that are taken for alive.
        PeersAlive => "peer.alive",
    }
}

names! {
    /// Distribution of durations.
    Timer {
        /// From the arrival of a request to the end of its answer.
        Request => "requests.time",
        /// From the arrival of a request to its slot.
        QueueWait => "requests.queue-time",
        /// From an order to its acceptance.
        Order => "ownership.order-time",
        /// Time for which an upstream had no valid grant.
        Unavailable => "ownership.unavailable-time",
        /// Calls to the table.
        TableCall => "table.time",
    }
}

/// What a metric is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag<'a> {
    /// A service by name.
    Service(&'a str),
    /// An upstream by name.
    Upstream(&'a str),
    /// A partner by name.
    Partner(&'a str),
    /// A class of routes by name.
    Class(&'a str),
}

impl<'a> Tag<'a> {
    const fn pair(self) -> (&'static str, &'a str) {
        match self {
            Self::Service(name) => ("service", name),
            Self::Upstream(name) => ("upstream", name),
            Self::Partner(name) => ("partner", name),
            Self::Class(name) => ("class", name),
        }
    }
}

/// Error of setting up metrics.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// No local socket.
    #[display("no UDP socket for metrics: {_0}")]
    Socket(io::Error),
    /// The metrics library refused the set-up.
    #[display("metrics can't be set up: {_0}")]
    Library(cadence::MetricError),
}

/// Client that sends metrics. Clones share one queue.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_config::settings;
/// use eelgrassrock_telemetry::metrics::{Counter, Metrics, Tag, Timer};
///
/// let metrics = Metrics::new(&settings::Metrics::default())?;
/// metrics.count(Counter::RequestsDone, 1, &[Tag::Partner("brokers")]);
/// metrics.time(Timer::Request, Duration::from_millis(3), &[]);
/// # Ok::<(), eelgrassrock_telemetry::metrics::Fault>(())
/// ```
#[derive(Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Creates a client as the settings say. Without a server it does nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if no socket can be had.
    pub fn new(settings: &settings::Metrics) -> Result<Self, Fault> {
        let Some(server) = settings.statsd else {
            return Ok(Self::to(&settings.prefix, NopMetricSink));
        };
        let socket = UdpSocket::bind(any_address(server))?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(server, socket)?;
        let queue = QueuingMetricSink::with_capacity(udp, QUEUE_METRICS);
        Ok(Self::to(&settings.prefix, queue))
    }

    /// Creates a client that hands metrics to `sink`.
    pub fn to(prefix: &str, sink: impl MetricSink + Sync + Send + RefUnwindSafe + 'static) -> Self {
        let ignore = |_: cadence::MetricError| {};
        let client = StatsdClient::builder(prefix, sink).with_error_handler(ignore);
        Self(Arc::new(client.build()))
    }

    /// Counts `count` events.
    pub fn count(&self, counter: Counter, count: u64, tags: &[Tag<'_>]) {
        send(self.0.count_with_tags(counter.name(), count), tags);
    }

    /// Reports a state.
    pub fn gauge(&self, gauge: Gauge, value: u64, tags: &[Tag<'_>]) {
        send(self.0.gauge_with_tags(gauge.name(), value), tags);
    }

    /// Reports a duration.
    pub fn time(&self, timer: Timer, span: Duration, tags: &[Tag<'_>]) {
        send(self.0.time_with_tags(timer.name(), span), tags);
    }

    /// Sends what is buffered. Called about once a second.
    pub fn flush(&self) {
        // A server that isn't there loses metrics, and must lose nothing else.
        let _ = self.0.flush();
    }
}

fn send<'a, T>(mut metric: MetricBuilder<'a, '_, T>, tags: &[Tag<'a>])
where
    T: cadence::Metric + From<String>,
{
    for tag in tags {
        let (key, value) = tag.pair();
        metric = metric.with_tag(key, value);
    }
    metric.send();
}

fn any_address(server: SocketAddr) -> SocketAddr {
    match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    }
}
