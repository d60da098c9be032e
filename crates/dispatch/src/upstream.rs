//! An upstream as it describes itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifier; another process at its address has another one.
    pub id: Arc<str>,
    /// Start of its process; differs between two lives under one identifier.
    pub incarnation: u64,
    /// Counts what it has said of itself in this life.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address of its requests and grants.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave, and gets no new work.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub warm_up: Duration,
}
