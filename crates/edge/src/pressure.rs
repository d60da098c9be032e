//! Pressure on services for which several kinds of requests compete: what routers tell each other
//! about it, and log lines.

use std::sync::Arc;

use eelgrassrock_dispatch::pressure::Change;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::log::Log;
use crate::node::Node;
use crate::platform::Platform;

/// Pressure that one router sees, as it tells its neighbours.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pressures {
    router: Arc<str>,
    /// Pressure on each service.
    pressures: Vec<(Arc<str>, f32)>,
}

#[derive(Serialize)]
struct PressureLine<'a> {
    service: &'a str,
    /// Longest wait of a request, as a share of the time to its target.
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

impl<P: Platform> Node<P> {
    /// Returns the pressure on services that other routers should know, if there is any.
    pub(crate) fn pressures(&self) -> Option<Pressures> {
        let now = clock::now();
        let mut pressures = Vec::new();
        for (name, service) in &self.state.borrow().services {
            if let Some(pressure) = service.told_pressure(now) {
                pressures.push((Arc::clone(name), pressure as f32));
            }
        }
        (!pressures.is_empty()).then(|| Pressures {
            router: Arc::clone(&self.settings.router),
            pressures,
        })
    }

    /// Records the pressure that another router sees.
    pub(crate) fn record_pressures(&self, message: &Pressures) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        for (name, pressure) in &message.pressures {
            if let Some(service) = state.services.get_mut(name) {
                service.record_peer_pressure(&message.router, f64::from(*pressure), now);
            }
        }
    }
}
