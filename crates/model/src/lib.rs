//! Names, time, shards and counters shared by every crate of eelgrassrock.
//!
//! Nothing here performs I/O or reads a clock. A [`time::Instant`] is always
//! handed in by the caller, which keeps every decision replayable.

mod counter;
mod digest;
pub mod fleet;
mod name;
mod revision;
pub mod shard;
pub mod table;
pub mod time;

pub use counter::{Epoch, Sequence, Term, Version};
pub use digest::Digest;
pub use name::{Approver, DataCentre, Fault, Name, Partner, Route, Router, Service, Upstream};
pub use revision::Revision;
