//! What operators see: the status port and the metrics.

pub(crate) mod recorder;
pub(crate) mod status;
