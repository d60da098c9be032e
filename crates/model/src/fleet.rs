//! The part of a bundle that the decisions need: services, upstreams, partners
//! and the classes of routes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::shard::Count;
use crate::{DataCentre, Version};

/// Everything that a bundle declares about servers and customers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Version of the bundle that declares it.
    pub version: Version,
    /// Services by name.
    pub services: IndexMap<crate::Service, Service>,
    /// Upstreams by name.
    pub upstreams: IndexMap<crate::Upstream, Upstream>,
    /// Partners by name.
    pub partners: IndexMap<crate::Partner, Partner>,
}

/// What the placement of a service values most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Goal {
    /// Short unavailable time: shards move only when they must.
    #[default]
    Availability,
    /// Even load: shards also move to relieve a busy upstream.
    Balance,
}

/// Service: a set of keys that is divided among its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Number of shards. It never changes during the life of a service.
    pub shards: Count,
    /// What the placement values most.
    pub goal: Goal,
}

/// Upstream: a server that holds keys exclusively.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that it belongs to.
    pub service: crate::Service,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Connections that it accepts from all routers together.
    pub connections: u32,
    /// Whether it refuses orders of an earlier term.
    pub checks_orders: bool,
    /// Whether it runs a request with an `Idempotency-Key` that it has seen at
    /// most once by itself.
    pub checks_idempotency: bool,
}

/// Partner: a customer whose requests share a credential.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Partner {
    /// Share of the slots relative to other partners, at least 1.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may be retried.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// Whether callers rather wait or rather get a prompt refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Patience {
    /// Wait in the queue for as long as the deadline allows.
    Wait,
    /// Refuse on arrival what can't start within the given time.
    Prompt(Duration),
}

/// Class of routes: how requests that match are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Whether callers rather wait.
    pub patience: Patience,
    /// Time within which the answer must have begun.
    pub deadline: Duration,
    /// Whether a request without `Idempotency-Key` is refused.
    pub needs_idempotency_key: bool,
}
