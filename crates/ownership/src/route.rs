//! Where a request for a shard goes.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Router, Upstream};

/// Reason why a shard can't be served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The service or shard isn't known here.
    Unknown,
    /// The shard has no owner.
    Unowned,
    /// The owner has no home.
    NoHome,
    /// The owner holds no valid grant of the shard yet, or no longer.
    NoGrant,
}

/// Where a request for a shard goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To an upstream of this router.
    Local {
        /// Owner.
        upstream: Upstream,
        /// Epoch of the assignment.
        epoch: Epoch,
        /// Time until which the grant is proven to be valid. The caller checks
        /// it right before sending.
        valid_until: Instant,
    },
    /// To another router, the home of the owner.
    Remote {
        /// Home.
        router: Router,
        /// Its address.
        address: SocketAddr,
        /// Owner.
        upstream: Upstream,
        /// Epoch of the assignment.
        epoch: Epoch,
    },
    /// Nowhere for now.
    Unavailable(Absence),
}
