//! Metrics that are sent to a statsd server. `docs/METRICS.md` lists all of them.

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

const QUEUE_CAPACITY_METRICS: usize = 65_536;

macro_rules! metric_names {
    ($(#[$doc:meta])* $kind:ident { $($(#[$item_doc:meta])* $item:ident => $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $kind {
            $($(#[$item_doc])* $item,)*
        }

        impl $kind {
            /// All variants, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$item),*];

            /// Returns the name of the metric, without the prefix of the settings.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$item => $name,)*
                }
            }
        }
    };
}

metric_names! {
    /// Number of events since the last report.
    Counter {
        /// Requests that got a complete answer from the upstream.
        RequestsDone => "requests.done",
        /// Requests that were refused with proof that they didn't run.
        RequestsNotRun => "requests.not-run",
        /// Requests that may have run, but whose answer was lost.
        RequestsUnknown => "requests.unknown",
        /// Requests that were cut off at the drain limit.
        RequestsCutOff => "requests.cut-off",
        /// Requests that were forwarded to the home router.
        RequestsForwarded => "requests.forwarded",
        /// Second and later attempts of idempotent requests.
        Retries => "requests.retries",
        /// Repeated requests that were answered from the record of the first one.
        Duplicates => "requests.duplicates",
        /// Callers without a valid credential.
        CredentialsRefused => "requests.credentials-refused",
        /// Orders that an upstream accepted.
        OrdersAccepted => "ownership.orders-accepted",
        /// Orders that an upstream refused or didn't answer.
        OrdersFailed => "ownership.orders-failed",
        /// Shards that changed their owner.
        ShardsMoved => "ownership.shards-moved",
        /// Leases that expired.
        LeasesLost => "ownership.leases-lost",
        /// Homes that this router took over.
        Takeovers => "ownership.takeovers",
        /// Writes to the table that took effect.
        TableWrites => "table.writes",
        /// Reads of the table.
        TableReads => "table.reads",
        /// Writes that were rejected because another write came first.
        TableConflicts => "table.conflicts",
        /// Writes whose answer was lost.
        TableUnknown => "table.unknown",
        /// Calls that the table refused or didn't answer.
        TableFailed => "table.failed",
        /// Rows that couldn't be decoded.
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

metric_names! {
    /// Value at the time of the report.
    Gauge {
        /// Requests in flight.
        InFlight => "requests.in-flight",
        /// Requests that wait for a slot.
        Queued => "requests.queued",
        /// Upstreams whose home is this router.
        Homes => "ownership.homes",
        /// Milliseconds since the last contact with the table.
        TableSilence => "table.silence-ms",
        /// Version of the bundle in force.
        BundleVersion => "bundle.version",
        /// Routers that are considered alive.
        PeersAlive => "peer.alive",
    }
}

metric_names! {
    /// Duration of an operation. The statsd server aggregates the durations to a distribution.
    Timer {
        /// From the arrival of a request to the end of its answer.
        Request => "requests.time",
        /// From the arrival of a request until it gets a slot.
        QueueWait => "requests.queue-time",
        /// From an order to an upstream until the upstream accepts it.
        Order => "ownership.order-time",
        /// Time for which an upstream had no valid grant.
        Unavailable => "ownership.unavailable-time",
        /// Calls to the table.
        TableCall => "table.time",
    }
}

/// Tag that is sent with a metric. The key is the variant, the value is a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag<'a> {
    /// Name of a service.
    Service(&'a str),
    /// Name of an upstream.
    Upstream(&'a str),
    /// Name of a partner.
    Partner(&'a str),
    /// Name of a class of routes.
    Class(&'a str),
}

impl<'a> Tag<'a> {
    const fn key_value(self) -> (&'static str, &'a str) {
        match self {
            Self::Service(name) => ("service", name),
            Self::Upstream(name) => ("upstream", name),
            Self::Partner(name) => ("partner", name),
            Self::Class(name) => ("class", name),
        }
    }
}

/// Error that occurs when a metrics client is created.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The local UDP socket can't be opened.
    #[display("can't open a UDP socket for metrics: {_0}")]
    Socket(io::Error),
    /// The metrics library refused the configuration.
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
    /// Creates a client for the statsd server of the settings. If they name no
    /// server, metrics are discarded.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the UDP socket can't be opened.
    pub fn new(settings: &settings::Metrics) -> Result<Self, Fault> {
        let Some(server) = settings.statsd else {
            return Ok(Self::with_sink(&settings.prefix, NopMetricSink));
        };
        let socket = UdpSocket::bind(unspecified_address(server))?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(server, socket)?;
        let queue = QueuingMetricSink::with_capacity(udp, QUEUE_CAPACITY_METRICS);
        Ok(Self::with_sink(&settings.prefix, queue))
    }

    /// Creates a client that passes metrics to `sink`. Errors of the sink are ignored.
    pub fn with_sink(
        prefix: &str,
        sink: impl MetricSink + Sync + Send + RefUnwindSafe + 'static,
    ) -> Self {
        let ignore = |_: cadence::MetricError| {};
        let client = StatsdClient::builder(prefix, sink).with_error_handler(ignore);
        Self(Arc::new(client.build()))
    }

    /// Adds `count` to a counter.
    pub fn count(&self, counter: Counter, count: u64, tags: &[Tag<'_>]) {
        send(self.0.count_with_tags(counter.name(), count), tags);
    }

    /// Reports the present value of a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64, tags: &[Tag<'_>]) {
        send(self.0.gauge_with_tags(gauge.name(), value), tags);
    }

    /// Reports one duration, with a resolution of one millisecond.
    pub fn time(&self, timer: Timer, duration: Duration, tags: &[Tag<'_>]) {
        send(self.0.time_with_tags(timer.name(), duration), tags);
    }

    /// Sends the buffered metrics. The caller does this about once a second.
    pub fn flush(&self) {
        // The error is ignored: an unreachable server loses metrics, but must not disturb anything
        // else.
        let _ = self.0.flush();
    }
}

fn send<'a, T>(mut metric: MetricBuilder<'a, '_, T>, tags: &[Tag<'a>])
where
    T: cadence::Metric + From<String>,
{
    for tag in tags {
        let (key, value) = tag.key_value();
        metric = metric.with_tag(key, value);
    }
    metric.send();
}

fn unspecified_address(server: SocketAddr) -> SocketAddr {
    match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    }
}
