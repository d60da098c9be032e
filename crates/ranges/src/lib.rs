//! Exclusive ownership of ordered key ranges.
//!
//! The map of a service is a row of the store. For each range of keys it names the upstream that
//! may hold the range and the fencing token of the grant. One router at a time, the *leader* of the
//! service, changes the map and sends the grants that follow from it.
//!
//! [`election`] decides when a router runs for leadership, [`leader`] implements the rules by which
//! keys change hands, [`plan`] decides which ranges should move, and [`load`] estimates the request
//! rate of each key.
//!
//! Nothing here performs I/O or reads a clock. Callers must pass instants from a clock that keeps
//! running while the machine sleeps.

pub mod election;
pub mod leader;
mod lease;
pub mod load;
pub mod map;
pub mod plan;
mod service_time;
pub mod versioned;
