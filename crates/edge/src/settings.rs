//! Settings of a router process, in the product's own terms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::budget;
pub use eelgrassrock_telemetry::log::Level;

/// Settings of a router process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub router: Arc<str>,
    /// Start of the process, which tells its lives apart.
    pub incarnation: u64,
    /// Data centre that the VM stands in.
    pub data_centre: Arc<str>,
    /// Size of the VM relative to others, in thousandths of a core.
    pub size: u32,
    /// Memory of the VM, in bytes.
    pub memory: u64,
    /// Rate of the VM's link in each direction, in Mbit/s.
    pub link_mbit_per_s: f64,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address at which the platform asks whether the router is ready.
    pub readiness: SocketAddr,
    /// Address for other routers.
    pub peer: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Budget of repeated sends of all routers together.
    pub repeats: budget::Limits,
    /// Longest time for which keys may be granted.
    pub max_hold: Duration,
    /// Time from the signal to stop to the end of the process.
    pub grace: Duration,
    /// Time after which an upstream that leaves may get nothing more.
    pub drain: Duration,
    /// Time for which a lapsed entry of the registry may come back after the
    /// store was away.
    pub return_time: Duration,
    /// Logging.
    pub log: Log,
}

/// Settings of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least important level that is written.
    pub level: Level,
    /// One in so many answered requests gets a line.
    pub sample: u64,
    /// Lines a second about single requests, beyond which they are counted.
    pub max_lines_per_s: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::Info,
            sample: 50,
            max_lines_per_s: 50,
        }
    }
}
