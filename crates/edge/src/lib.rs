//! Router process that forwards requests directly to upstreams.
//!
//! The decisions are made in `eelgrassrock-dispatch` and `eelgrassrock-ranges`. This crate turns
//! socket and timer events into inputs of those crates and carries out their decisions as I/O.
//! Everything that depends on the platform is supplied through [`platform::Platform`].
//!
//! Everything runs on one thread, since the VMs have only a fraction of a core.

pub mod clock;
mod crash;
mod detour;
mod evacuation;
mod exchange;
mod front;
mod gossip;
mod leadership;
mod limit;
mod link;
mod log;
mod lost;
mod metrics;
mod node;
mod notice;
mod payload;
mod peer;
pub mod platform;
mod pressure;
mod process;
mod quarantine;
mod registration;
mod registry;
mod relay;
mod request;
mod restore;
pub mod settings;
mod uplink;
mod warm_up;
mod watch;

pub use process::{StartError, run, serve};
