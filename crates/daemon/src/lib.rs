//! The router daemon: sockets and timers around the decision crates.
//!
//! `eelgrassrock-ownership`, `eelgrassrock-request` and
//! `eelgrassrock-membership` decide; this crate turns sockets and timers into
//! their events, and their actions into I/O.
//!
//! A request comes in at `front`, is described by `exchange`, and goes to an
//! `upstream` or, over a `peer`, to the router that is home of its upstream.
//! `control` holds the adapters of the decision machines, and `node` what all
//! share.

mod admin;
mod bundles;
mod clock;
mod control;
mod daemon;
mod exchange;
mod flags;
mod front;
mod node;
mod peer;
mod upstream;

pub use daemon::{Daemon, StartError, Stopped};
pub use flags::{Flags, command};
pub use peer::InboxError;
