//! Open-loop load generator for routers and upstreams.
//!
//! A [`plan::Plan`] says what to send, [`run`] sends it, and the
//! [`report::Report`] tells what came back. Latencies count from the time at
//! which a request was due.

pub mod flags;
pub mod plan;
pub mod report;
mod send;

pub use send::run;
