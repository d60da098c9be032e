//! State for the status command of the operator.

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Router, Service, Term, Upstream};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Home of an upstream, as far as this router knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// Router that is the home.
    pub router: Router,
    /// Term of the home.
    pub term: Term,
    /// Remaining time of the lease in milliseconds, if this router is the home.
    pub lease_ms: Option<u64>,
    /// Whether no earlier home can give orders any more, if this router is the home.
    pub settled: Option<bool>,
}

/// Move of a shard whose prior owner isn't proven to have released it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Service of the shard.
    pub service: Service,
    /// Shard that moves.
    pub shard: Shard,
    /// Owner before the move.
    pub from: Upstream,
    /// Owner after the move.
    pub to: Upstream,
    /// Epoch of the new assignment.
    pub epoch: Epoch,
}

/// State of a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Homes by upstream.
    pub homes: IndexMap<Upstream, Home>,
    /// Number of shards by upstream.
    pub assignments: IndexMap<Upstream, usize>,
    /// Incomplete moves to upstreams whose home is this router.
    pub moves: Vec<Move>,
}
