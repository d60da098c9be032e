//! Stand-ins for the platform and the upstreams, for tests and the demo.
//!
//! Each module has a `Server` that runs in the process of a test, and each has
//! a thin program around it. Faults are set by `set_faults`, or as JSON by
//! `POST /faults` on the admin port. No product crate depends on this one.

mod answer;
pub mod args;
pub mod fault;
pub mod objects;
mod serve;
pub mod table;
mod tamper;
pub mod upstream;
pub mod vms;

pub use serve::Addresses;
