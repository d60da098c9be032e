//! Decides which upstream takes a request that is sent directly, without a home router in between.
//!
//! Nothing here performs I/O or reads a clock: callers pass instants, and every call returns what
//! the caller has to do next. A [`service::Service`] is one router's view of one service.

pub mod budget;
pub mod detour;
pub mod directory;
pub mod evacuation;
mod gate;
pub mod limit;
pub mod load;
mod member;
pub mod observation;
pub mod place;
pub mod pressure;
pub mod resend;
pub mod roster;
pub mod service;
mod service_time;
pub mod silence;
pub mod source;
mod split;
pub mod suspect;
pub mod transfer;
pub mod uplink;
pub mod upstream;

pub use split::Split;
