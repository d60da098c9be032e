//! Settings of one daemon, read from its INI file.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::{DataCentre, Router};

use crate::fault::{Fault, Kind, Report};
use crate::rule::format_duration;
use crate::secret::{Environment, Process, Secret, Source};

mod read;

/// Settings that a daemon reads when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Section `[router]`.
    pub router: Identity,
    /// Section `[listen]`.
    pub listen: Listen,
    /// Section `[platform]`.
    pub platform: Platform,
    /// Source that the secret was read from.
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

/// Name and data centre of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the deployment.
    pub name: Router,
    /// Data centre of the VM that the router runs on.
    pub data_centre: DataCentre,
}

/// Addresses that the daemon listens on. Other machines must be able to reach them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP from callers.
    pub callers: SocketAddr,
    /// Messages between routers: heartbeats over UDP, the rest over TCP.
    pub peers: SocketAddr,
    /// Requests that other routers forward, over HTTP.
    pub peers_http: SocketAddr,
    /// HTTP for operators: status, readiness, liveness.
    pub admin: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Transactional table.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of VMs.
    pub vms: SocketAddr,
}

/// Limits for connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and all headers together, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for the headers of a request to arrive completely.
    pub header_timeout: Duration,
    /// Maximum number of simultaneous connections from callers.
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

/// Settings of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time after which requests that are still in flight are aborted.
    pub limit: Duration,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            limit: Duration::from_secs(30),
        }
    }
}

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something was lost or refused that should not have been.
    #[display("error")]
    Error,
    /// A failure that may recover without intervention.
    #[display("warn")]
    Warn,
    /// Decisions and state changes.
    #[default]
    #[display("info")]
    Info,
    /// Messages between routers.
    #[display("debug")]
    Debug,
}

/// Stream that log lines are written to.
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

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Minimum severity of the lines that are written.
    pub level: Level,
    /// Stream that lines are written to.
    pub output: Output,
}

/// Metrics over statsd.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// Server that metrics are sent to over UDP, or `None` to send no metrics.
    pub statsd: Option<SocketAddr>,
    /// Prefix of the name of each metric.
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

/// Times that govern how ownership of shards is granted and recovered. They
/// must be the same on all routers of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Duration of a lease: one order grants shards to an upstream for this time.
    pub lease: Duration,
    /// Interval between two orders to the same upstream.
    pub heartbeat: Duration,
    /// Upper bound on how much faster one clock runs than another, in parts per
    /// million.
    pub drift_ppm: u32,
    /// Time without contact with the table after which a router stops granting
    /// shards.
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
    /// Reads the settings file at `path` and the secret that it refers to.
    ///
    /// # Errors
    ///
    /// Returns a report of all faults in the file.
    pub fn read(path: &Path) -> Result<Self, Report> {
        let file = path.display().to_string();
        match Process.file(&file) {
            Ok(text) => Self::parse(&file, &text, &Process),
            Err(reason) => Err(Report::new(vec![unreadable_file(&file, reason)])),
        }
    }

    /// Parses and validates settings. `file` is the file name that reports show,
    /// and `environment` provides the secret.
    ///
    /// # Errors
    ///
    /// Returns a report of all faults in the text.
    ///
    /// ```
    /// use eelgrassrock_config::{secret::Process, settings::Settings};
    ///
    /// let report = Settings::parse("router.ini", "[router]\nname = A", &Process).unwrap_err();
    /// assert!(report.to_string().contains("router.ini:2: [router] name `A`"));
    /// ```
    pub fn parse(file: &str, text: &str, environment: &impl Environment) -> Result<Self, Report> {
        read::parse(file, text, environment)
    }
}

pub(crate) fn unreadable_file(file: &str, reason: String) -> Fault {
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
        write_section(f, "router")?;
        write_property(f, "name", &router.name)?;
        write_property(f, "data-centre", &router.data_centre)?;
        write_section(f, "listen")?;
        write_property(f, "callers", listen.callers)?;
        write_property(f, "peers", listen.peers)?;
        write_property(f, "peers-http", listen.peers_http)?;
        write_property(f, "admin", listen.admin)?;
        write_section(f, "platform")?;
        write_property(f, "table", platform.table)?;
        write_property(f, "objects", platform.objects)?;
        write_property(f, "vms", platform.vms)?;
        write_section(f, "secret")?;
        match &self.secret_source {
            Source::File(path) => write_property(f, "file", path)?,
            Source::Variable(name) => write_property(f, "environment", name)?,
        }
        writeln!(f, "; the secret was found and is hidden")?;
        self.write_optional_sections(f)
    }
}

impl Settings {
    fn write_optional_sections(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (limits, ownership) = (&self.limits, &self.ownership);
        write_section(f, "limits")?;
        write_property(f, "header-bytes", limits.header_bytes)?;
        write_property(f, "body-bytes", limits.body_bytes)?;
        write_property(f, "header-timeout", format_duration(limits.header_timeout))?;
        write_property(f, "connections", limits.connections)?;
        write_section(f, "drain")?;
        write_property(f, "limit", format_duration(self.drain.limit))?;
        write_section(f, "log")?;
        write_property(f, "level", self.log.level)?;
        write_property(f, "output", self.log.output)?;
        write_section(f, "metrics")?;
        if let Some(statsd) = self.metrics.statsd {
            write_property(f, "statsd", statsd)?;
        }
        write_property(f, "prefix", &self.metrics.prefix)?;
        write_section(f, "ownership")?;
        write_property(f, "lease", format_duration(ownership.lease))?;
        write_property(f, "heartbeat", format_duration(ownership.heartbeat))?;
        write_property(f, "drift-ppm", ownership.drift_ppm)?;
        write_property(f, "authority", format_duration(ownership.authority))
    }
}

fn write_section(f: &mut impl Write, heading: &str) -> fmt::Result {
    writeln!(f, "[{heading}]")
}

fn write_property(f: &mut impl Write, key: &str, value: impl fmt::Display) -> fmt::Result {
    writeln!(f, "{key} = {value}")
}
