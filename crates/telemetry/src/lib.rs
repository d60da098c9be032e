//! Structured logs and metrics.
//!
//! Neither may delay a request: lines and metrics go into bounded queues, and
//! threads of their own write them out. What doesn't fit into a queue is
//! dropped and counted.

pub mod log;
pub mod metrics;
mod queue;
