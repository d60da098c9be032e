//! Services, upstreams, partners and classes of routes: the part of a bundle that the
//! decisions depend on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::shard::Count;
use crate::{DataCentre, Version};

/// Services, upstreams and partners that a bundle declares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Version of the bundle that declares the fleet.
    pub version: Version,
    /// Services by name.
    pub services: IndexMap<crate::Service, Service>,
    /// Upstreams by name.
    pub upstreams: IndexMap<crate::Upstream, Upstream>,
    /// Partners by name.
    pub partners: IndexMap<crate::Partner, Partner>,
}

/// Goal of the placement of a service's shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Goal {
    /// Minimize the time during which shards are unavailable. Shards move only when they
    /// must.
    #[default]
    Availability,
    /// Balance the load. Shards also move to relieve a busy upstream.
    Balance,
}

/// Service: a set of keys that is divided among the upstreams of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Number of shards, constant during the lifetime of the service.
    pub shards: Count,
    /// Goal of the placement of the shards.
    pub goal: Goal,
}

/// Upstream: a server that owns the keys of its shards exclusively.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that the upstream belongs to.
    pub service: crate::Service,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// IP address and port.
    pub address: SocketAddr,
    /// Maximum number of requests that the upstream processes at the same time.
    pub slots: u32,
    /// Maximum number of connections that the upstream accepts from all routers
    /// together.
    pub connections: u32,
    /// Whether the upstream refuses orders of an earlier term, which fences off a router
    /// that is no longer its home.
    pub checks_orders: bool,
    /// Whether the upstream itself deduplicates requests by `Idempotency-Key`, so that a
    /// request with a key that it has seen doesn't run again.
    pub checks_idempotency: bool,
}

/// Partner: a customer whose requests share a credential.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Partner {
    /// Weight of the partner's share of the slots relative to other partners, at least 1.
    pub weight: u32,
}

/// Number of times that a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may run more than once, and may be retried.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// Preference of the callers between waiting in the queue and a prompt refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Patience {
    /// The request waits in the queue for as long as its deadline allows.
    Wait,
    /// The request is refused on arrival if it can't start within the given time.
    Prompt(Duration),
}

/// Class of routes: rules for the requests that match them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class in logs and metrics.
    pub name: Arc<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether a request waits in the queue or is refused promptly.
    pub patience: Patience,
    /// Time within which the answer to a request must begin.
    pub deadline: Duration,
    /// Whether a request without an `Idempotency-Key` header is refused.
    pub needs_idempotency_key: bool,
}
