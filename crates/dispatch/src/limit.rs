//! Limits that upstreams in need set to the requests from all routers together.

use std::fmt;

/// Requests per second that an upstream takes from all routers together.
///
/// ```
/// use eelgrassrock_dispatch::limit::Limit;
///
/// assert_eq!(Limit::per_s(6.4).map(Limit::as_per_s), Some(6.4));
/// assert_eq!(Limit::per_s(-1.0), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Limit(f64);

impl Limit {
    /// Creates a limit. Returns `None` unless the number is finite and not negative.
    pub fn per_s(requests: f64) -> Option<Self> {
        (requests.is_finite() && requests >= 0.0).then_some(Self(requests))
    }

    /// Returns the requests per second.
    pub fn as_per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
