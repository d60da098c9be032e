//! Decisions on sole ownership: homes, terms, leases, grants and placement.
//!
//! A [`Machine`] belongs to one router. It has no I/O, clock or thread: the
//! caller hands in each [`Event`] with the time, and executes the [`Action`]s
//! that it gets back. `docs/design/OWNERSHIP.md` explains why no two upstreams
//! ever own one shard.

mod action;
mod balance;
mod decision;
mod event;
pub mod grant;
mod held;
mod ledger;
mod life;
mod machine;
mod message;
mod place;
pub mod replay;
mod route;
pub mod row;
mod settings;
mod snapshot;
mod view;
mod write;

pub use action::Action;
pub use decision::{Decision, Reason, What};
pub use event::{Event, Load, Member};
pub use machine::Machine;
pub use message::{Handover, Message, Release, Report, Succession};
pub use route::{Absence, Route};
pub use settings::{Builder, Settings};
pub use snapshot::{Home, Move, Snapshot};
