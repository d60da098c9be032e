//! Reading of settings from INI.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{self, Document};
use crate::fault::{Fault, Kind, Report};
use crate::fields::{Fields, missing_section, section_fault};
use crate::rule::{Address, Choice, Named, Number, Parsed, Small, Span, Text};
use crate::secret::{MIN_SECRET_BYTES, Secret, Source, Surroundings};
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

/// Fewest orders that must fit into one lease, so that a lost one costs nothing.
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
    surroundings: &impl Surroundings,
) -> Result<Settings, Report> {
    let mut faults = Vec::new();
    let document = document::read(file, text, &mut faults);
    let mut reader = Reader {
        document: &document,
        faults: &mut faults,
    };
    let settings = reader.settings(surroundings);
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
    fn settings(&mut self, surroundings: &impl Surroundings) -> Option<Settings> {
        self.refuse_unknown_sections();
        let router = self.required("router", read_identity);
        let listen = self.required("listen", read_listen);
        let platform = self.required("platform", read_platform);
        let secret = self.required("secret", |fields| read_secret(fields, surroundings));
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

    fn refuse_unknown_sections(&mut self) {
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
        refuse_same_address(fields, key, addresses[index], &addresses[..index]);
    }
    let [callers, peers, peers_http, admin] = addresses;
    refuse_other_port(fields, peers, peers_http);
    Some(Listen {
        callers: callers?,
        peers: peers?,
        peers_http: peers_http?,
        admin: admin?,
    })
}

/// Other routers know the address of `peers` only, and find that of
/// `peers-http` by this rule.
fn refuse_other_port(
    fields: &mut Fields<'_>,
    peers: Option<SocketAddr>,
    peers_http: Option<SocketAddr>,
) {
    let (Some(peers), Some(found)) = (peers, peers_http) else {
        return;
    };
    let expected = SocketAddr::new(peers.ip(), peers.port().wrapping_add(1));
    if found != expected {
        let reason = "other routers can't find it there".to_owned();
        let allowed = format!("`{expected}`, the port after `peers`");
        fields.conflict("peers-http", reason, &allowed);
    }
}

fn refuse_same_address(
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
    surroundings: &impl Surroundings,
) -> Option<(Source, Secret)> {
    let file = fields.optional("file", Text("a path"));
    let environment = fields.optional("environment", Text("the name of a variable"));
    let (key, source) = match (file, environment) {
        (Some(path), None) => ("file", Source::File(path)),
        (None, Some(name)) => ("environment", Source::Environment(name)),
        (Some(_), Some(_)) => {
            let reason = "`file` is given as well".to_owned();
            fields.conflict("environment", reason, "either `file` or `environment`");
            return None;
        }
        (None, None) if fields.present("file") || fields.present("environment") => return None,
        (None, None) => {
            let reason = "the place of the secret is missing".to_owned();
            fields.conflict("file", reason, "either `file` or `environment`");
            return None;
        }
    };
    match source.load(surroundings) {
        Ok(secret) => Some((source, secret)),
        Err(fault) => {
            let allowed = format!(
                "a secret of at least {MIN_SECRET_BYTES} visible ASCII characters in that place"
            );
            fields.conflict(key, fault.to_string(), &allowed);
            None
        }
    }
}

fn read_limits(fields: &mut Fields<'_>) -> Limits {
    let default = Limits::default();
    let timeouts = Span(millis(100)..=seconds(60));
    Limits {
        header_bytes: fields.or("header-bytes", Small(1_024..=1 << 20), default.header_bytes),
        body_bytes: fields.or("body-bytes", Number(0..=1 << 30), default.body_bytes),
        header_timeout: fields.or("header-timeout", timeouts, default.header_timeout),
        connections: fields.or("connections", Small(1..=100_000), default.connections),
    }
}

fn read_drain(fields: &mut Fields<'_>) -> Drain {
    let limit = Span(seconds(1)..=seconds(3_600));
    Drain {
        limit: fields.or("limit", limit, Drain::default().limit),
    }
}

fn read_log(fields: &mut Fields<'_>) -> Log {
    Log {
        level: fields.or("level", LEVEL, Level::default()),
        output: fields.or("output", OUTPUT, Output::default()),
    }
}

fn read_metrics(fields: &mut Fields<'_>) -> Metrics {
    Metrics {
        statsd: fields.optional("statsd", Address),
        prefix: fields.or("prefix", PREFIX, Metrics::default().prefix),
    }
}

fn read_ownership(fields: &mut Fields<'_>) -> Ownership {
    let default = Ownership::default();
    let read = Ownership {
        lease: fields.or("lease", Span(millis(100)..=seconds(60)), default.lease),
        heartbeat: fields.or(
            "heartbeat",
            Span(millis(10)..=seconds(20)),
            default.heartbeat,
        ),
        drift_ppm: fields.or("drift-ppm", Small(1..=100_000), default.drift_ppm),
        authority: fields.or(
            "authority",
            Span(seconds(1)..=MAX_AUTHORITY),
            default.authority,
        ),
    };
    if read.heartbeat * MIN_HEARTBEATS_PER_LEASE > read.lease {
        let key = if fields.present("heartbeat") {
            "heartbeat"
        } else {
            "lease"
        };
        let reason = format!("a lease holds fewer than {MIN_HEARTBEATS_PER_LEASE} heartbeats");
        fields.conflict(key, reason, "`heartbeat` at most a third of `lease`");
    }
    if read.authority < 2 * read.lease {
        let key = if fields.present("authority") {
            "authority"
        } else {
            "lease"
        };
        let reason = "the authority ends before two leases".to_owned();
        fields.conflict(key, reason, "`authority` at least twice `lease`");
    }
    read
}
