//! Open-loop load generator for routers and upstreams.
//!
//! A [`plan::Plan`] describes the requests, [`run`] sends them, and the
//! [`report::Report`] holds the outcomes. At a given rate, the latency of a
//! request counts from the time at which it was due. At rate zero the loop is
//! closed, and the latency counts from the time of sending.

pub mod flags;
pub mod plan;
pub mod report;
mod send;

pub use send::run;
