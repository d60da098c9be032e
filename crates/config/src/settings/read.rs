//! Parsing and validation of settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{self, Document};
use crate::fault::{Fault, Kind, Report};
use crate::fields::{Fields, missing_section, section_fault};
use crate::rule::{Address, Choice, DurationRange, Named, Parsed, Text, U32Range, U64Range};
use crate::secret::{Environment, MIN_SECRET_BYTES, Secret, Source};
use crate::settings::{
    Drain, Identity, Level, Limits, Listen, Log, Metrics, Output, Ownership, Platform, Settings,
};

const SECTIONS: [&str; 9] = [
    "router",
    "listen",
    "platform",
    "secret",
    "limits",
    "drain",
    "log",
    "metrics",
    "ownership",
];

/// Minimum number of orders in one lease, so that the loss of one order has no effect.
const MIN_HEARTBEATS_PER_LEASE: u32 = 3;

const MAX_AUTHORITY: Duration = Duration::from_hours(7 * 24);

const LEVEL: Choice<Level> = Choice(&[
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
]);

const OUTPUT: Choice<Output> = Choice(&[("stderr", Output::Stderr), ("stdout", Output::Stdout)]);

const PREFIX: Parsed<Arc<str>> = Parsed {
    parse: parse_prefix,
    allowed: "words of a-z, 0-9, `_` and `-`, joined by `.`",
};

fn parse_prefix(text: &str) -> Option<Arc<str>> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_-".contains(c);
    let word = |word: &str| !word.is_empty() && word.chars().all(allowed);
    text.split('.').all(word).then(|| Arc::from(text))
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub(super) fn parse(
    file: &str,
    text: &str,
    environment: &impl Environment,
) -> Result<Settings, Report> {
    let mut faults = Vec::new();
    let document = document::read(file, text, &mut faults);
    let mut reader = Reader {
        document: &document,
        faults: &mut faults,
    };
    let settings = reader.settings(environment);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(Report::new(faults)),
    }
}

struct Reader<'a> {
    document: &'a Document,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn settings(&mut self, environment: &impl Environment) -> Option<Settings> {
        self.reject_unknown_sections();
        let router = self.required("router", read_identity);
        let listen = self.required("listen", read_listen);
        let platform = self.required("platform", read_platform);
        let secret = self.required("secret", |fields| read_secret(fields, environment));
        let limits = self.optional("limits", read_limits);
        let drain = self.optional("drain", read_drain);
        let log = self.optional("log", read_log);
        let metrics = self.optional("metrics", read_metrics);
        let ownership = self.optional("ownership", read_ownership);
        let (secret_source, secret) = secret?;
        Some(Settings {
            router: router?,
            listen: listen?,
            platform: platform?,
            secret_source,
            secret,
            limits,
            drain,
            log,
            metrics,
            ownership,
        })
    }

    fn reject_unknown_sections(&mut self) {
        let allowed = SECTIONS.map(|heading| format!("[{heading}]")).join(", ");
        for section in self.document.sections.values() {
            if !SECTIONS.contains(&section.heading.as_str()) {
                let kind = Kind::UnknownSection;
                self.faults
                    .push(section_fault(self.document, section, kind, &allowed));
            }
        }
    }

    fn required<T>(
        &mut self,
        heading: &str,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(section) = self.document.sections.get(heading) else {
            let allowed = "the section with its keys, see `eelgrassrock settings check --help`";
            self.faults
                .push(missing_section(self.document, heading, allowed));
            return None;
        };
        let mut fields = Fields::new(self.document, section, self.faults);
        let value = read(&mut fields);
        fields.finish();
        value
    }

    fn optional<T: Default>(
        &mut self,
        heading: &str,
        read: impl FnOnce(&mut Fields<'_>) -> T,
    ) -> T {
        let Some(section) = self.document.sections.get(heading) else {
            return T::default();
        };
        let mut fields = Fields::new(self.document, section, self.faults);
        let value = read(&mut fields);
        fields.finish();
        value
    }
}

fn read_identity(fields: &mut Fields<'_>) -> Option<Identity> {
    let name = fields.required("name", Named::new());
    let data_centre = fields.required("data-centre", Named::new());
    Some(Identity {
        name: name?,
        data_centre: data_centre?,
    })
}

fn read_listen(fields: &mut Fields<'_>) -> Option<Listen> {
    let keys = ["callers", "peers", "peers-http", "admin"];
    let addresses = keys.map(|key| fields.required(key, Address));
    for (index, key) in keys.into_iter().enumerate() {
        reject_duplicate_address(fields, key, addresses[index], &addresses[..index]);
    }
    let [callers, peers, peers_http, admin] = addresses;
    check_peers_http_port(fields, peers, peers_http);
    Some(Listen {
        callers: callers?,
        peers: peers?,
        peers_http: peers_http?,
        admin: admin?,
    })
}

/// Checks that `peers-http` is the port after `peers`. Other routers know only
/// the address of `peers` and derive that of `peers-http` from it.
fn check_peers_http_port(
    fields: &mut Fields<'_>,
    peers: Option<SocketAddr>,
    peers_http: Option<SocketAddr>,
) {
    let (Some(peers), Some(found)) = (peers, peers_http) else {
        return;
    };
    let expected = SocketAddr::new(peers.ip(), peers.port().wrapping_add(1));
    if found != expected {
        let reason = "other routers expect this listener at another address".to_owned();
        let allowed = format!("`{expected}`, the port after `peers`");
        fields.conflict("peers-http", reason, &allowed);
    }
}

fn reject_duplicate_address(
    fields: &mut Fields<'_>,
    key: &'static str,
    address: Option<SocketAddr>,
    earlier: &[Option<SocketAddr>],
) {
    if address.is_some() && earlier.contains(&address) {
        let reason = "another listener has the same address".to_owned();
        fields.conflict(key, reason, "an address of its own for each listener");
    }
}

fn read_platform(fields: &mut Fields<'_>) -> Option<Platform> {
    let table = fields.required("table", Address);
    let objects = fields.required("objects", Address);
    let vms = fields.required("vms", Address);
    Some(Platform {
        table: table?,
        objects: objects?,
        vms: vms?,
    })
}

fn read_secret(
    fields: &mut Fields<'_>,
    environment: &impl Environment,
) -> Option<(Source, Secret)> {
    let file = fields.optional("file", Text("a path"));
    let variable = fields.optional("environment", Text("the name of a variable"));
    let (key, source) = match (file, variable) {
        (Some(path), None) => ("file", Source::File(path)),
        (None, Some(name)) => ("environment", Source::Variable(name)),
        (Some(_), Some(_)) => {
            let reason = "`file` is set as well".to_owned();
            fields.conflict("environment", reason, "either `file` or `environment`");
            return None;
        }
        (None, None) if fields.contains("file") || fields.contains("environment") => return None,
        (None, None) => {
            let reason = "neither `file` nor `environment` is set".to_owned();
            fields.conflict("file", reason, "either `file` or `environment`");
            return None;
        }
    };
    match source.load(environment) {
        Ok(secret) => Some((source, secret)),
        Err(error) => {
            let allowed = format!(
                "a secret of at least {MIN_SECRET_BYTES} visible ASCII characters in this file \
                 or variable"
            );
            fields.conflict(key, error.to_string(), &allowed);
            None
        }
    }
}

fn read_limits(fields: &mut Fields<'_>) -> Limits {
    let default = Limits::default();
    let timeouts = DurationRange(millis(100)..=seconds(60));
    Limits {
        header_bytes: fields.with_default(
            "header-bytes",
            U32Range(1_024..=1 << 20),
            default.header_bytes,
        ),
        body_bytes: fields.with_default("body-bytes", U64Range(0..=1 << 30), default.body_bytes),
        header_timeout: fields.with_default("header-timeout", timeouts, default.header_timeout),
        connections: fields.with_default("connections", U32Range(1..=100_000), default.connections),
    }
}

fn read_drain(fields: &mut Fields<'_>) -> Drain {
    let limit = DurationRange(seconds(1)..=seconds(3_600));
    Drain {
        limit: fields.with_default("limit", limit, Drain::default().limit),
    }
}

fn read_log(fields: &mut Fields<'_>) -> Log {
    Log {
        level: fields.with_default("level", LEVEL, Level::default()),
        output: fields.with_default("output", OUTPUT, Output::default()),
    }
}

fn read_metrics(fields: &mut Fields<'_>) -> Metrics {
    Metrics {
        statsd: fields.optional("statsd", Address),
        prefix: fields.with_default("prefix", PREFIX, Metrics::default().prefix),
    }
}

fn read_ownership(fields: &mut Fields<'_>) -> Ownership {
    let default = Ownership::default();
    let ownership = Ownership {
        lease: fields.with_default(
            "lease",
            DurationRange(millis(100)..=seconds(60)),
            default.lease,
        ),
        heartbeat: fields.with_default(
            "heartbeat",
            DurationRange(millis(10)..=seconds(20)),
            default.heartbeat,
        ),
        drift_ppm: fields.with_default("drift-ppm", U32Range(1..=100_000), default.drift_ppm),
        authority: fields.with_default(
            "authority",
            DurationRange(seconds(1)..=MAX_AUTHORITY),
            default.authority,
        ),
    };
    if ownership.heartbeat * MIN_HEARTBEATS_PER_LEASE > ownership.lease {
        let key = if fields.contains("heartbeat") {
            "heartbeat"
        } else {
            "lease"
        };
        let reason = format!("a lease holds fewer than {MIN_HEARTBEATS_PER_LEASE} heartbeats");
        fields.conflict(key, reason, "`heartbeat` at most a third of `lease`");
    }
    if ownership.authority < 2 * ownership.lease {
        let key = if fields.contains("authority") {
            "authority"
        } else {
            "lease"
        };
        let reason = "`authority` is shorter than two leases".to_owned();
        fields.conflict(key, reason, "`authority` at least twice `lease`");
    }
    ownership
}
