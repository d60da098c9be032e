//! Router process that sends requests directly to upstreams.
//!
//! The decisions are in `eelgrassrock-dispatch` and `eelgrassrock-ranges`; this
//! crate turns sockets and timers into their inputs and their answers into
//! I/O. What a platform supplies comes in through [`seam::Platform`].
//!
//! Everything runs on one thread: the VMs have a fraction of a core.

mod book;
mod clock;
mod duty;
mod era;
mod exchange;
mod front;
mod gossip;
mod link;
mod log;
mod metrics;
mod node;
mod notice;
mod payload;
mod peer;
mod process;
mod relay;
mod request;
pub mod seam;
pub mod settings;
mod uplink;
mod watch;

pub use process::{Fault, run, serve};
