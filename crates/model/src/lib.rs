//! Names, time, shards, counters and table rows shared by every crate of eelgrassrock.
//!
//! Nothing in this crate performs I/O or reads a clock. The caller always passes the
//! [`time::Instant`], so that every decision can be replayed.

mod counter;
mod digest;
pub mod fleet;
mod name;
pub mod process;
mod revision;
pub mod shard;
pub mod table;
pub mod time;

pub use counter::{Epoch, Sequence, Term, Version};
pub use digest::Digest;
pub use name::{Approver, DataCentre, Name, NameError, Partner, Route, Router, Service, Upstream};
pub use revision::Revision;
