//! Client of the platform: transactional table, object store and VM list.
//! [`endpoint`] makes the calls, also those of other platforms.
//!
//! Every call ends within the time that its [`settings::Settings`] allow. A
//! broken answer is a [`Fault`], never a guess. A write whose answer was lost
//! is `Outcome::Unknown`, and [`table::Client::resolve`] reads back whether it
//! took effect.

pub mod endpoint;
mod fault;
pub mod objects;
pub mod settings;
pub mod table;
pub mod vms;
mod wire;

pub use fault::{Fault, Kind};
