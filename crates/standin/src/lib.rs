//! Fake servers that imitate the platform's services and the upstreams, for
//! tests and the demo.
//!
//! Each service module has a `Server` that a test can run in its own process,
//! and a small binary that wraps it. Faults are injected with `set_faults`, or
//! as JSON with `POST /faults` on the admin port. No product crate depends on
//! this one.

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
