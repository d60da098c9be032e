//! Client of the platform: transactional table, object store and VM list.
//! [`endpoint`] makes the HTTP calls, and clients of other platforms use it too.
//!
//! Every call ends within the limits of its [`settings::Settings`]. An
//! incomplete or invalid answer is always a [`Fault`]. A write whose answer was
//! lost is `Outcome::Unknown`, and [`table::Client::resolve`] reads back whether
//! it took effect.

pub mod content;
pub mod custody;
pub mod endpoint;
mod fault;
pub mod objects;
pub mod session;
pub mod settings;
pub mod table;
pub mod vms;
mod wire;

pub use fault::{Fault, Kind};
