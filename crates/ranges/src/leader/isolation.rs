//! Notices that a leader reaches no upstream.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Leader;
use crate::lease::Outcome;
use crate::map::Instance;

/// Time without any answer after which a leader may be cut off from the upstreams. It covers the
/// interval between renewals, and is shorter than the time after which holders lose their keys.
const ISOLATION_TIME: Duration = Duration::from_millis(1_000);
/// Upstreams whose calls must have failed meanwhile, unless there are fewer.
const MIN_SILENT: usize = 3;

impl Leader {
    /// Whether this leader reaches no upstream, though several were tried. Others may reach them, so
    /// it should resign and take no keys away.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let least = MIN_SILENT.min(self.upstreams.len()).max(2);
        self.silent.len() >= least && now - self.answered_at >= ISOLATION_TIME
    }

    pub(super) fn record_call(&mut self, instance: &Instance, outcome: &Outcome, now: Instant) {
        match outcome {
            Outcome::Done { .. } | Outcome::Fenced => {
                self.answered_at = now;
                self.silent.clear();
            }
            Outcome::NotSent | Outcome::Unknown => {
                self.silent.insert(instance.clone());
            }
            Outcome::Detached => {}
        }
    }
}
