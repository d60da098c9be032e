//! The router daemon: sockets and timers around the decision crates.
//!
//! `eelgrassrock-ownership`, `eelgrassrock-request` and
//! `eelgrassrock-membership` decide; this crate turns sockets and timers into
//! their events, and their actions into I/O.

mod account;
mod admin;
mod alarm;
mod attempt;
mod body;
mod chores;
mod clock;
mod daemon;
mod desk;
mod doors;
mod errands;
mod flags;
mod header;
mod hold;
mod hop;
mod inbound;
mod judge;
mod keeper;
mod kept;
mod link;
mod links;
mod load;
mod mesh;
mod message;
mod node;
mod orders;
mod peer;
mod post;
mod problem;
mod reason;
mod request_id;
mod serve;
mod server;
mod store;

pub use daemon::{Daemon, StartError, Stopped};
pub use flags::{Flags, command};
pub use peer::InboxError;
