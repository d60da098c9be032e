//! Settings of a router process, in terms that don't depend on the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::budget;
use eelgrassrock_dispatch::limit::Tolerance;
pub use eelgrassrock_telemetry::log::Level;

/// Settings of a router process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub router: Arc<str>,
    /// Incarnation of the process, derived from its start time. It distinguishes this process from
    /// earlier ones of the same router.
    pub incarnation: u64,
    /// Whether the whole system starts for the first time, so that no router has led yet.
    pub is_first_start: bool,
    /// Data centre in which the VM runs.
    pub data_centre: Arc<str>,
    /// Size of the VM relative to others, in thousandths of a core.
    pub size: u32,
    /// Memory of the VM, in bytes.
    pub memory: u64,
    /// Rate of the VM's link in each direction, in Mbit/s.
    pub link_mbit_per_s: f64,
    /// Address at which callers send requests.
    pub front: SocketAddr,
    /// Address of the readiness check of the platform.
    pub readiness: SocketAddr,
    /// Address for calls and datagrams of other routers.
    pub peer: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Budget of repeated sends, shared by all routers.
    pub repeats: budget::Limits,
    /// Longest duration of a grant of keys.
    pub max_hold: Duration,
    /// Time from the stop signal until the process must have ended.
    pub grace: Duration,
    /// Time after which an upstream that is leaving receives no more requests.
    pub drain: Duration,
    /// Time from the write of a configuration until it must be in force.
    pub apply: Duration,
    /// Time after the request to evacuate a data centre from which on its upstreams receive no more
    /// requests. `None` if the platform doesn't ask for evacuations.
    pub evacuation: Option<Duration>,
    /// Requests beyond its limit that a cold upstream tolerates. `None` if cold upstreams have no
    /// limits.
    pub cold_tolerance: Option<Tolerance>,
    /// Time for which a removed registry entry may reappear after an outage of the store.
    pub return_time: Duration,
    /// Settings of the logs.
    pub log: Log,
}

/// Log level, sampling and rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
    /// Sampling interval: one in this many requests that were answered without incident is logged.
    pub sample: u64,
    /// Maximum number of lines per second about single requests. Lines beyond it are only counted.
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
