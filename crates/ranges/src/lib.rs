//! Exclusive ownership of ordered key ranges.
//!
//! The map of a service, a row of the store, says which upstream may hold
//! which keys under which fencing token. One router at a time, the *keeper*,
//! changes the map and grants what it says; [`election`] decides when a router
//! stands for that duty. [`keeper`] holds the rules by which keys change
//! hands, [`plan`] decides which should, [`weights`] knows the load.
//!
//! Nothing here performs I/O or reads a clock. Instants must come from a clock
//! that goes on while the machine sleeps.

pub mod edition;
pub mod election;
pub mod keeper;
mod lease;
pub mod map;
mod pace;
pub mod plan;
pub mod weights;
