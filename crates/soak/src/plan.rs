//! Deployment of a run: services, routes, and the number of routers, upstreams and callers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::{Directory, Keyed, Limits, Part, Repeat, Route, Service};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of data centres.
pub(crate) const DATA_CENTRES: usize = 2;
/// Host in the requests of callers.
pub(crate) const HOST: &str = "sheets.example";
/// Timeout of all routes, which is also the deadline of callers.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Target latency of all routes. An answer is worth most within it.
const TARGET_LATENCY: Duration = Duration::from_millis(600);
/// Maximum number of upstreams that one request may be sent to.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Number of further routes of a large configuration, which grows with each version up to a maximum.
const ROUTE_COUNT_STEP: usize = 1_400;
const MAX_ROUTE_COUNT: usize = 4_200;
/// Last part of the path of the request that ends the upstreams that begin to run it.
const DEADLY: &str = "deadly";
/// Maximum number of connections to an upstream.
const MAX_CONNECTIONS: u32 = 110;
/// Time for which a new holder of a key is slow if it got no handover token from the
/// previous holder.
const WARM_UP: Duration = Duration::from_millis(500);

/// Kind of request, with a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Idempotent request.
    Read,
    /// Request that must run at most once.
    Issue,
    /// Idempotent request that only the holder of its key may run.
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

    /// Services that may run the requests. The version of the configuration selects
    /// one of them.
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

    pub(crate) fn is_idempotent(self) -> bool {
        self != Self::Issue
    }

    pub(crate) fn deadly_path(self) -> String {
        format!("{}{DEADLY}", self.prefix())
    }
}

/// Whether the request of a path ends the upstreams that begin to run it.
pub(crate) fn is_deadly(path: &str) -> bool {
    path.ends_with(DEADLY)
}

/// Returns all services, and whether their keys are divided among their upstreams.
fn services() -> impl Iterator<Item = (&'static str, bool)> {
    Kind::ALL.into_iter().flat_map(|kind| {
        let services = kind.services().iter();
        services.map(move |service| (*service, kind.is_keyed()))
    })
}

/// Returns the service of an upstream, and whether its keys are divided. Three of six
/// upstreams hold keys, so that there is always another one to take over.
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

/// Returns a route to a service.
fn route(name: Arc<str>, prefix: Arc<str>, is_idempotent: bool, service: &str) -> Route {
    Route {
        name,
        host: HOST.into(),
        prefix,
        repeat: if is_idempotent {
            Repeat::Idempotent
        } else {
            Repeat::Once
        },
        timeout: Some(TIMEOUT),
        target: Some(TARGET_LATENCY),
        priority: 1,
        max_attempts: MAX_ATTEMPTS,
        parts: vec![Part {
            service: service.into(),
            weight: 1,
        }],
    }
}

/// Returns the routes of a large configuration that no caller uses.
fn large_config(version: u64) -> impl Iterator<Item = Route> {
    let count = MAX_ROUTE_COUNT.min(ROUTE_COUNT_STEP * (1 + version as usize / 2));
    (0..count).map(|number| {
        let mut hasher = DefaultHasher::new();
        number.hash(&mut hasher);
        let name = format!("{:x}", hasher.finish());
        let prefix = format!("/{name}/");
        route(name.into(), prefix.into(), true, "lookup")
    })
}

/// Returns the configuration with a version, and the service of each path prefix.
pub(crate) fn directory(
    version: u64,
    is_large: bool,
) -> (Directory, Vec<(&'static str, &'static str)>) {
    let chosen = Kind::ALL.map(|kind| {
        let services = kind.services();
        (kind, services[version as usize % services.len()])
    });
    let routes = chosen.iter().map(|(kind, service)| {
        let name = kind.prefix().trim_matches('/').into();
        route(name, kind.prefix().into(), kind.is_idempotent(), service)
    });
    let further = is_large.then(|| large_config(version));
    let routes = routes.chain(further.into_iter().flatten());
    let services = services().map(|(name, is_keyed)| {
        let service = Service {
            max_connections: MAX_CONNECTIONS,
            keyed: is_keyed.then_some(Keyed { warm_up: WARM_UP }),
            warm_up: None,
            health_path: None,
        };
        (Arc::from(name), service)
    });
    let directory = Directory::new(version, routes, services.collect(), Limits::default());
    let chosen = chosen.map(|(kind, service)| (kind.prefix(), service));
    (directory, chosen.to_vec())
}

/// Size and duration of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Path of the router binary.
    pub program: PathBuf,
    /// Another version of the router, for some of the starts.
    pub earlier: Option<Earlier>,
    /// Number of routers, each a separate process.
    pub routers: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of callers of each router.
    pub callers: usize,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Folder for the routers' logs.
    pub logs: PathBuf,
}

/// Earlier version of the router, which runs beside the present one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Earlier {
    /// Path of its binary.
    pub program: PathBuf,
    /// Starts that use it.
    pub mix: Mix,
}

/// Starts that use the earlier version of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Any start, at random.
    Any,
    /// The first start of each router, so that each restart is an upgrade.
    First,
}

impl Plan {
    /// Returns the router binary for a start of a router, counted from 0, in the run of a seed.
    ///
    /// ```
    /// use std::path::{Path, PathBuf};
    /// use std::time::Duration;
    /// use eelgrassrock_soak::plan::{Earlier, Mix, Plan};
    ///
    /// let earlier = Earlier { program: PathBuf::from("old"), mix: Mix::First };
    /// let plan = Plan {
    ///     program: PathBuf::from("new"),
    ///     earlier: Some(earlier),
    ///     routers: 4,
    ///     upstreams: 12,
    ///     callers: 10,
    ///     length: Duration::from_secs(20),
    ///     logs: PathBuf::from("logs"),
    /// };
    /// assert_eq!(plan.program_of(1, 0, 0), Path::new("old"));
    /// assert_eq!(plan.program_of(1, 0, 1), Path::new("new"));
    /// ```
    pub fn program_of(&self, seed: u64, router: usize, start: u32) -> &Path {
        let Some(earlier) = &self.earlier else {
            return &self.program;
        };
        let is_earlier = match earlier.mix {
            Mix::First => start == 0,
            Mix::Any => {
                let stream = ((router as u64) << 32) | u64::from(start);
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                random.set_stream(stream);
                random.random_bool(0.5)
            }
        };
        if is_earlier {
            &earlier.program
        } else {
            &self.program
        }
    }
}
