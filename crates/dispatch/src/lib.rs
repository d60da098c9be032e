//! Decides which upstream takes a request that is sent directly, without a
//! home router between.
//!
//! Nothing here performs I/O or reads a clock: instants are handed in, and
//! every call returns what is to be done next. A [`service::Service`] is the
//! view that one router has of one service.

pub mod budget;
pub mod directory;
mod member;
mod pace;
pub mod place;
pub mod service;
mod split;
pub mod uplink;
pub mod upstream;

pub use split::Split;
