//! The admin port and the metrics of the daemon.

pub(crate) mod recorder;
pub(crate) mod status;
