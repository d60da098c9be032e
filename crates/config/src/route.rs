//! Routes: matching of requests to services and classes.

use std::sync::Arc;

use derive_more::{Display, Error};
use eelgrassrock_model::{Service, fleet};
use http::{HeaderMap, Method, Uri};
use indexmap::IndexMap;

use crate::bundle;
use crate::key;

/// Route of a bundle, which selects requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Service that handles the requests.
    pub service: Service,
    /// HTTP method of the requests.
    pub method: Method,
    /// Path prefix, which matches whole segments only.
    pub prefix: Prefix,
    /// Class that sets deadline, retries and queueing of the requests.
    pub class: Arc<fleet::Class>,
}

/// Path prefix of whole segments.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("/{}", _0.join("/"))]
pub struct Prefix(Vec<String>);

/// Route and key that were found for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// Service that handles the request.
    pub service: Service,
    /// Class of the request.
    pub class: Arc<fleet::Class>,
    /// Key of the request, decoded.
    pub key: Vec<u8>,
}

/// Reason why a request has no route or no key. Such a request is never sent to an upstream.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No route has a prefix that matches the path.
    #[display("no route takes this path")]
    Path,
    /// The routes with the longest matching prefix have other methods.
    #[display("no route takes this method; allowed: {}", format_methods(allowed))]
    Method {
        /// Methods of the routes with the longest matching prefix.
        allowed: Vec<Method>,
    },
    /// The request has no usable key.
    #[display("{_0}")]
    Key(#[error(source)] key::Refusal),
}

fn format_methods(methods: &[Method]) -> String {
    let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
    names.join(", ")
}

impl Prefix {
    /// Parses a prefix such as `/sheets/v1`. Returns `None` if it doesn't
    /// start with a slash, or if a segment is empty, `.` or `..`, or has
    /// characters other than letters, digits and `-_.~`.
    ///
    /// ```
    /// use eelgrassrock_config::route::Prefix;
    ///
    /// assert_eq!(Prefix::parse("/sheets").unwrap().to_string(), "/sheets");
    /// assert!(Prefix::parse("/sheets/").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix('/')?;
        if rest.is_empty() {
            return Some(Self(Vec::new()));
        }
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
        let usable = |part: &str| !matches!(part, "" | "." | "..") && part.bytes().all(plain);
        let parts: Vec<String> = rest.split('/').map(str::to_owned).collect();
        parts.iter().all(|part| usable(part)).then_some(Self(parts))
    }

    /// Returns the number of segments.
    pub fn depth(&self) -> usize {
        self.0.len()
    }

    fn matches(&self, segments: &[Vec<u8>]) -> bool {
        let parts = self.0.iter().map(String::as_bytes);
        segments.len() >= self.0.len()
            && parts
                .zip(segments)
                .all(|(part, segment)| part == segment.as_slice())
    }
}

/// Routes of a bundle, sorted by the length of their prefix, longest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Routes(Vec<Route>);

impl Routes {
    pub(crate) fn new(mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.depth()));
        Self(routes)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Route> {
        self.0.iter()
    }

    /// Finds the route with the method and the longest matching prefix, and reads the key.
    pub(crate) fn find(
        &self,
        services: &IndexMap<Service, bundle::Service>,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Match, Refusal> {
        let segments = key::segments(uri.path()).map_err(Refusal::Key)?;
        let route = self.select(method, &segments)?;
        let service = services
            .get(&route.service)
            .expect("a checked bundle has the service of every route");
        let key = service
            .key
            .read(&segments, uri, headers)
            .map_err(Refusal::Key)?;
        Ok(Match {
            service: route.service.clone(),
            class: Arc::clone(&route.class),
            key,
        })
    }

    fn select(&self, method: &Method, segments: &[Vec<u8>]) -> Result<&Route, Refusal> {
        let mut depth = None;
        let mut allowed = Vec::new();
        for route in self.iter().filter(|route| route.prefix.matches(segments)) {
            if depth.is_some_and(|depth| route.prefix.depth() < depth) {
                break;
            }
            if route.method == *method {
                return Ok(route);
            }
            depth = Some(route.prefix.depth());
            allowed.push(route.method.clone());
        }
        match depth {
            Some(_) => Err(Refusal::Method { allowed }),
            None => Err(Refusal::Path),
        }
    }
}
