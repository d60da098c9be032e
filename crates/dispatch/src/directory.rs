//! Routes and services as an operator declares them, with a lookup by host and longest prefix.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

pub use eelgrassrock_model::fleet::Repeat;

use crate::limit::Limit;

/// All declarations of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// Version of the configuration; a router never goes back to a lower one.
    pub version: u64,
    /// Routes of each host, by prefix.
    routes: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<Route>>>,
    /// Priorities of the routes to each service.
    priorities: IndexMap<Arc<str>, Vec<u8>>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

/// Requests to one host whose paths begin with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host name in the request.
    pub host: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth most.
    pub target: Option<Duration>,
    /// Rank among the requests of a service; 0 is the highest.
    pub priority: u8,
    /// Largest number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Services that share its requests by weight; never empty.
    pub parts: Vec<Part>,
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// Service whose upstreams are interchangeable or divide keys among themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one upstream accepts from all routers together.
    pub max_connections: u32,
    /// Division of the keys, `None` if any upstream takes any request.
    pub keyed: Option<Keyed>,
    /// How its upstreams warm up, `None` if cold ones take as many requests as others.
    pub warm_up: Option<WarmUp>,
    /// Path of the health check of its upstreams.
    pub health_path: Option<Arc<str>>,
}

/// How the upstreams of a service warm up after their start, or whenever they become cold again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time for which an upstream stays cold.
    pub time: Duration,
    /// Requests that a cold upstream takes from all routers together.
    pub limit: Limit,
}

/// Properties of a service whose keys are divided among its upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keyed {
    /// Time for which a key is slow at a holder that got it without the handover token of the
    /// previous holder.
    pub warm_up: Duration,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time within which the head must be complete.
    pub header_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits of a router that has no configuration yet.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Directory {
    /// Creates a directory. Of routes with the same host and prefix, the first one counts.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: IndexMap<Arc<str>, Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<Route>>> = IndexMap::new();
        for route in routes {
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.entry(Arc::clone(&route.prefix))
                .or_insert_with(|| Arc::new(route));
        }
        let mut directory = Self {
            version,
            routes: hosts,
            priorities: IndexMap::new(),
            services,
            limits,
        };
        directory.priorities = directory.collect_priorities();
        directory
    }

    fn collect_priorities(&self) -> IndexMap<Arc<str>, Vec<u8>> {
        let mut all: IndexMap<Arc<str>, Vec<u8>> = IndexMap::new();
        for route in self.routes() {
            for part in route.parts.iter().filter(|part| part.weight > 0) {
                let priorities = all.entry(Arc::clone(&part.service)).or_default();
                if !priorities.contains(&route.priority) {
                    priorities.push(route.priority);
                }
            }
        }
        all
    }

    /// Returns the different priorities of the routes that send requests to a service.
    ///
    /// ```
    /// use eelgrassrock_dispatch::directory::Directory;
    ///
    /// assert!(Directory::default().priorities("sheets").is_empty());
    /// ```
    pub fn priorities(&self, service: &str) -> &[u8] {
        self.priorities.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the route of a request: the one with the longest matching prefix among those of its
    /// host. It takes one lookup for each slash in the path, however many routes there are.
    ///
    /// ```
    /// use eelgrassrock_dispatch::directory::Directory;
    ///
    /// let directory = Directory::default();
    /// assert!(directory.route("sheets.example", "/issue/7").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let mut slashes = path.rmatch_indices('/');
        slashes.find_map(|(slash, _)| routes.get(&path[..=slash]))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(IndexMap::values)
    }
}
