//! Settings of one daemon.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::{DataCentre, Router};

use crate::fault::{Fault, Kind, Report};
use crate::rule::show_span;
use crate::secret::{Process, Secret, Source, Surroundings};

mod read;

/// Everything that a daemon is told when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Section `[router]`.
    pub router: Identity,
    /// Section `[listen]`.
    pub listen: Listen,
    /// Section `[platform]`.
    pub platform: Platform,
    /// Where the secret was read from.
    pub secret_source: Source,
    /// Secret that the routers of the deployment share.
    pub secret: Secret,
    /// Section `[limits]`.
    pub limits: Limits,
    /// Section `[drain]`.
    pub drain: Drain,
    /// Section `[log]`.
    pub log: Log,
    /// Section `[metrics]`.
    pub metrics: Metrics,
    /// Section `[ownership]`.
    pub ownership: Ownership,
}

/// Name and place of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the deployment.
    pub name: Router,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
}

/// Addresses that the daemon listens on. Other machines reach it at these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP from callers.
    pub callers: SocketAddr,
    /// Messages between routers: heartbeats over UDP, the rest over TCP.
    pub peers: SocketAddr,
    /// Requests that other routers pass on, over HTTP.
    pub peers_http: SocketAddr,
    /// HTTP for operators: status, readiness, liveness.
    pub admin: SocketAddr,
}

/// Services of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Transactional table.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of VMs.
    pub vms: SocketAddr,
}

/// Limits towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of the request line and all headers together, in bytes.
    pub header_bytes: u32,
    /// Size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time within which the headers of a request must have arrived.
    pub header_timeout: Duration,
    /// Connections from callers at the same time.
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            connections: 1_024,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time after which what is still in flight is cut off.
    pub limit: Duration,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            limit: Duration::from_secs(30),
        }
    }
}

/// Least important kind of log lines that is written.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something is lost or refused that should not be.
    #[display("error")]
    Error,
    /// Something failed that may mend itself.
    #[display("warn")]
    Warn,
    /// Decisions and changes of state.
    #[default]
    #[display("info")]
    Info,
    /// Messages between routers.
    #[display("debug")]
    Debug,
}

/// Stream that log lines go to.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Output {
    /// Standard error.
    #[default]
    #[display("stderr")]
    Stderr,
    /// Standard output.
    #[display("stdout")]
    Stdout,
}

/// Log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Least important kind that is written.
    pub level: Level,
    /// Stream that lines go to.
    pub output: Output,
}

/// Metrics over statsd.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// Server that metrics are sent to over UDP; none if there is no server.
    pub statsd: Option<SocketAddr>,
    /// First part of each metric's name.
    pub prefix: Arc<str>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: Arc::from("eelgrassrock"),
        }
    }
}

/// Times that decide how ownership is granted and recovered. They must be the
/// same on all routers of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Time for which one order grants shards to an upstream.
    pub lease: Duration,
    /// Time between two orders to one upstream.
    pub heartbeat: Duration,
    /// Bound on how much faster one clock runs than another, in parts per
    /// million.
    pub drift_ppm: u32,
    /// Time since its last contact with the table after which a router stops
    /// granting.
    pub authority: Duration,
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(500),
            heartbeat: Duration::from_millis(100),
            drift_ppm: 1_000,
            authority: Duration::from_hours(4),
        }
    }
}

impl Settings {
    /// Reads the settings file at `path`, and the secret that it names.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file at once.
    pub fn read(path: &Path) -> Result<Self, Report> {
        let file = path.display().to_string();
        match Process.file(&file) {
            Ok(text) => Self::parse(&file, &text, &Process),
            Err(reason) => Err(Report::new(vec![unreadable(&file, reason)])),
        }
    }

    /// Reads settings from `text`. `file` is its name for reports, and
    /// `surroundings` gives the secret.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text at once.
    ///
    /// ```
    /// use eelgrassrock_config::{secret::Process, settings::Settings};
    ///
    /// let report = Settings::parse("router.ini", "[router]\nname = A", &Process).unwrap_err();
    /// assert!(report.to_string().contains("router.ini:2: [router] name `A`"));
    /// ```
    pub fn parse(file: &str, text: &str, surroundings: &impl Surroundings) -> Result<Self, Report> {
        read::parse(file, text, surroundings)
    }
}

pub(crate) fn unreadable(file: &str, reason: String) -> Fault {
    Fault {
        file: Arc::from(file),
        line: 0,
        section: None,
        key: None,
        value: None,
        kind: Kind::Unreadable(reason),
        allowed: "a readable file in UTF-8".to_owned(),
    }
}

impl fmt::Display for Settings {
    /// Writes the effective settings as INI, with the secret hidden.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (router, listen, platform) = (&self.router, &self.listen, &self.platform);
        section(f, "router")?;
        property(f, "name", &router.name)?;
        property(f, "data-centre", &router.data_centre)?;
        section(f, "listen")?;
        property(f, "callers", listen.callers)?;
        property(f, "peers", listen.peers)?;
        property(f, "peers-http", listen.peers_http)?;
        property(f, "admin", listen.admin)?;
        section(f, "platform")?;
        property(f, "table", platform.table)?;
        property(f, "objects", platform.objects)?;
        property(f, "vms", platform.vms)?;
        section(f, "secret")?;
        match &self.secret_source {
            Source::File(path) => property(f, "file", path)?,
            Source::Environment(name) => property(f, "environment", name)?,
        }
        writeln!(f, "; the secret was found and is hidden")?;
        self.show_defaults(f)
    }
}

impl Settings {
    fn show_defaults(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (limits, ownership) = (&self.limits, &self.ownership);
        section(f, "limits")?;
        property(f, "header-bytes", limits.header_bytes)?;
        property(f, "body-bytes", limits.body_bytes)?;
        property(f, "header-timeout", show_span(limits.header_timeout))?;
        property(f, "connections", limits.connections)?;
        section(f, "drain")?;
        property(f, "limit", show_span(self.drain.limit))?;
        section(f, "log")?;
        property(f, "level", self.log.level)?;
        property(f, "output", self.log.output)?;
        section(f, "metrics")?;
        if let Some(statsd) = self.metrics.statsd {
            property(f, "statsd", statsd)?;
        }
        property(f, "prefix", &self.metrics.prefix)?;
        section(f, "ownership")?;
        property(f, "lease", show_span(ownership.lease))?;
        property(f, "heartbeat", show_span(ownership.heartbeat))?;
        property(f, "drift-ppm", ownership.drift_ppm)?;
        property(f, "authority", show_span(ownership.authority))
    }
}

fn section(f: &mut impl Write, heading: &str) -> fmt::Result {
    writeln!(f, "[{heading}]")
}

fn property(f: &mut impl Write, key: &str, value: impl fmt::Display) -> fmt::Result {
    writeln!(f, "{key} = {value}")
}
