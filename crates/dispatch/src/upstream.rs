//! An upstream as it describes itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifier; another upstream at the same address has another one.
    pub id: Arc<str>,
    /// Start of its process; it differs between two processes with the same identifier.
    pub incarnation: u64,
    /// Number of the self-description, counted from the start of the process.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address that takes requests and grants.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave, and gets no new work.
    pub leaving: bool,
    /// Time for which it is slow after its start.
    pub warm_up: Duration,
}
