//! State for the operator's status command.

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Router, Service, Term, Upstream};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Home of an upstream, as far as this router knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// Home.
    pub router: Router,
    /// Term.
    pub term: Term,
    /// Time left of the lease in milliseconds, if this router is the home.
    pub lease_ms: Option<u64>,
    /// Whether no earlier home can give orders, if this router is the home.
    pub settled: Option<bool>,
}

/// Move of a shard whose prior owner isn't proven to have released it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Service.
    pub service: Service,
    /// Shard.
    pub shard: Shard,
    /// Owner before.
    pub from: Upstream,
    /// Owner.
    pub to: Upstream,
    /// Epoch.
    pub epoch: Epoch,
}

/// State of a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Homes by upstream.
    pub homes: IndexMap<Upstream, Home>,
    /// Number of shards by upstream.
    pub assignments: IndexMap<Upstream, usize>,
    /// Moves to upstreams of this router that aren't complete.
    pub moves: Vec<Move>,
}
