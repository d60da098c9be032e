//! Destination of a request for a shard.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Router, Upstream};

/// Reason why a shard is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailability {
    /// The service or shard isn't known to this router.
    Unknown,
    /// The shard has no owner.
    Unowned,
    /// The owner has no home.
    NoHome,
    /// The owner doesn't hold a valid grant of the shard.
    NoGrant,
}

/// Destination of a request for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// An upstream whose home is this router.
    Local {
        /// Upstream that owns the shard.
        upstream: Upstream,
        /// Epoch of the assignment.
        epoch: Epoch,
        /// Time until which the grant is proven to be valid. The caller checks it
        /// immediately before it sends the request.
        valid_until: Instant,
    },
    /// Another router, which is the home of the owner.
    Remote {
        /// Home of the owner.
        router: Router,
        /// Address of the home.
        address: SocketAddr,
        /// Upstream that owns the shard.
        upstream: Upstream,
        /// Epoch of the assignment.
        epoch: Epoch,
    },
    /// No destination at present.
    Unavailable(Unavailability),
}
