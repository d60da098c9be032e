//! View of the machine for operators and metrics.

use eelgrassrock_model::{Partner, Upstream};
use indexmap::IndexMap;
use serde::Serialize;

use crate::event::Grant;

/// State of the machine at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// Upstreams that this router is home of.
    pub stations: IndexMap<Upstream, Station>,
    /// Requests that are waiting or running.
    pub requests: usize,
    /// Whether the router is stopping.
    pub draining: bool,
    /// Claims that wait for a transaction.
    pub claims_waiting: usize,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Station {
    /// State of its grant.
    pub grant: Grant,
    /// Slots that the bundle declares.
    pub slots: u32,
    /// Slots that may be used now.
    pub open_slots: u32,
    /// Slots that are busy.
    pub busy: u32,
    /// Requests that wait.
    pub queued: usize,
    /// Estimated service time, in microseconds.
    pub service_us: u64,
    /// Health as judged from traffic.
    pub health: &'static str,
    /// Partners with their share of the queue.
    pub partners: IndexMap<Partner, Flow>,
}

/// State of one partner at one upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Flow {
    /// Requests that wait.
    pub queued: usize,
    /// Bytes that wait.
    pub bytes: u64,
    /// Slots that are busy.
    pub busy: u32,
    /// Retries that the budget holds.
    pub retries: f64,
}
