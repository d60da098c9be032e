//! What is deployed in a run: services, routes, and how many of each part.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::{Directory, Keyed, Limits, Part, Repeat, Route, Service};

/// Host that callers name.
pub(crate) const HOST: &str = "sheets.example";
/// Longest time that a caller waits.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which an answer is worth most.
const TARGET: Duration = Duration::from_millis(600);
/// Upstreams that one request may be sent to.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Connections that an upstream accepts.
const CONNECTIONS: u32 = 110;
/// Time for which a key is slow at a holder without the earlier one's token.
const WARM_UP: Duration = Duration::from_millis(500);

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// May be repeated.
    Read,
    /// Runs once at most.
    Issue,
    /// May be repeated, and needs the holder of its key.
    Preview,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Read, Self::Issue, Self::Preview];

    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Issue => "/issue/",
            Self::Preview => "/preview/",
        }
    }

    /// Services whose upstreams the requests may go to; which one is a matter of
    /// the configuration.
    pub(crate) fn services(self) -> &'static [&'static str] {
        match self {
            Self::Read => &["lookup", "lookup-next"],
            Self::Issue => &["issuer"],
            Self::Preview => &["preview"],
        }
    }

    pub(crate) fn is_keyed(self) -> bool {
        self == Self::Preview
    }

    pub(crate) fn may_repeat(self) -> bool {
        self != Self::Issue
    }
}

/// All services, and whether their keys are divided.
fn services() -> impl Iterator<Item = (&'static str, bool)> {
    Kind::ALL.into_iter().flat_map(|kind| {
        let services = kind.services().iter();
        services.map(move |service| (*service, kind.is_keyed()))
    })
}

/// Returns the service of an upstream, and whether its keys are divided. Of six
/// upstreams three hold keys, so that there is always one to take them over.
pub(crate) fn service_of(upstream: usize) -> (&'static str, bool) {
    let kinds = [
        Kind::Preview,
        Kind::Read,
        Kind::Preview,
        Kind::Issue,
        Kind::Preview,
        Kind::Read,
    ];
    let kind = kinds[upstream % kinds.len()];
    let services = kind.services();
    (services[upstream / 3 % services.len()], kind.is_keyed())
}

/// Returns the configuration of a version, and the service of each prefix.
pub(crate) fn directory(version: u64) -> (Directory, Vec<(&'static str, &'static str)>) {
    let chosen = Kind::ALL.map(|kind| {
        let services = kind.services();
        (kind, services[version as usize % services.len()])
    });
    let routes = chosen.iter().map(|(kind, service)| Route {
        name: kind.prefix().trim_matches('/').into(),
        host: HOST.into(),
        prefix: kind.prefix().into(),
        repeat: if kind.may_repeat() {
            Repeat::Idempotent
        } else {
            Repeat::Once
        },
        timeout: Some(TIMEOUT),
        target: Some(TARGET),
        priority: 1,
        max_attempts: MAX_ATTEMPTS,
        parts: vec![Part {
            service: (*service).into(),
            weight: 1,
        }],
    });
    let services = services().map(|(name, is_keyed)| {
        let service = Service {
            max_connections: CONNECTIONS,
            keyed: is_keyed.then_some(Keyed { warm_up: WARM_UP }),
        };
        (Arc::from(name), service)
    });
    let directory = Directory::new(version, routes, services.collect(), Limits::default());
    let chosen = chosen.map(|(kind, service)| (kind.prefix(), service));
    (directory, chosen.to_vec())
}

/// Size and length of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The router's program.
    pub program: PathBuf,
    /// Routers, each a process.
    pub routers: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Callers of each router.
    pub callers: usize,
    /// Time in which faults come.
    pub length: Duration,
    /// Where the routers' lines are written.
    pub logs: PathBuf,
}
