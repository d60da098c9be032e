//! The router daemon: network I/O and timers around the state machines.
//!
//! The state machines of `eelgrassrock-ownership`, `eelgrassrock-request` and
//! `eelgrassrock-membership` make the decisions and do no I/O. This crate feeds
//! them events from sockets and timers, and executes the actions that they return.
//!
//! `front` accepts and routes requests, and `exchange` holds the HTTP types. A
//! request is sent to an `upstream`, or through `peer` to the home router of its
//! upstream. `control` holds the adapters of the state machines, and `node` holds
//! the state that all tasks share.

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

pub use daemon::{Daemon, Shutdown, StartError};
pub use flags::{Flags, command};
pub use peer::InboxError;
