//! Log lines about the pressure on services for which several kinds of requests compete.

use eelgrassrock_dispatch::pressure::Change;
use serde::Serialize;

use crate::log::Log;

#[derive(Serialize)]
struct PressureLine<'a> {
    service: &'a str,
    /// Longest wait for a slot, as a share of the time to the target.
    pressure: f64,
}

/// Logs that a service has become tight or relaxed.
pub(crate) fn log_change(log: &Log, service: &str, change: Change) {
    let line = PressureLine {
        service,
        pressure: change.pressure,
    };
    let event = if change.is_tight {
        "service tight"
    } else {
        "service relaxed"
    };
    log.info(event, &line);
}
