//! Snapshot of the state machine for operators and metrics.

use eelgrassrock_model::{Partner, Upstream};
use indexmap::IndexMap;
use serde::Serialize;

use crate::event::Grant;

/// State of the machine at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// Upstreams that this router is home of.
    #[serde(rename = "stations")]
    pub upstreams: IndexMap<Upstream, UpstreamState>,
    /// Requests that are waiting or running.
    pub requests: usize,
    /// Whether the router is stopping.
    pub draining: bool,
    /// Claims that wait for a transaction.
    pub claims_waiting: usize,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamState {
    /// State of its grant.
    pub grant: Grant,
    /// Number of slots that the bundle declares.
    pub slots: u32,
    /// Number of slots that may be in use now.
    pub open_slots: u32,
    /// Number of busy slots.
    pub busy: u32,
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Estimated service time, in microseconds.
    pub service_us: u64,
    /// Health as judged from traffic.
    pub health: &'static str,
    /// State of each partner at this upstream.
    pub partners: IndexMap<Partner, Flow>,
}

/// State of one partner at one upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Flow {
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Bytes of the requests that wait for a claim or a slot.
    pub bytes: u64,
    /// Number of busy slots.
    pub busy: u32,
    /// Number of retries that the budget allows.
    pub retries: f64,
}
