//! Decides which upstream owns each shard: homes, terms, leases, grants and placement.
//!
//! The home of an upstream is the router that may grant shards to it. A home has a term,
//! which increases whenever a router claims the upstream. The assignment of a shard has an
//! epoch, which increases with every new owner.
//!
//! A [`Machine`] belongs to one router. It does no I/O, reads no clock and starts no
//! thread: the caller passes in each [`Event`] with the time, and executes the
//! [`Action`]s that it gets back. `docs/design/OWNERSHIP.md` explains why two upstreams
//! never own the same shard.

mod action;
mod balance;
mod decision;
mod event;
pub mod grant;
mod held;
mod liveness;
mod machine;
mod message;
mod outstanding;
mod placement;
pub mod replay;
mod route;
pub mod row;
mod settings;
mod snapshot;
mod view;
mod write;

pub use action::Action;
pub use decision::{Decision, DecisionKind, Reason};
pub use event::{Event, Load, Member};
pub use machine::Machine;
pub use message::{Handover, Message, Release, Report, Succession};
pub use route::{Route, Unavailability};
pub use settings::{Builder, Settings};
pub use snapshot::{Home, Move, Snapshot};
