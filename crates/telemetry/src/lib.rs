//! Structured logs and metrics.
//!
//! Neither may delay a request: log lines and metrics go into bounded queues,
//! and separate threads send them. A log line that doesn't fit into its queue is
//! dropped and counted; a metric that doesn't fit is dropped.

pub mod log;
pub mod metrics;
mod queue;
