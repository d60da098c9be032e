//! Notices that a leader reaches no upstream, and decides whether it should resign.
//!
//! A leader that gets no answer may be cut off, or all upstreams may have ended together. Only in the
//! first case can another router do better. If every leader resigned for mere silence, none would
//! last until its first grant, because a new leader has to wait for the grants of earlier ones.

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
/// Age of the answers that another router reports. Later reports may still be of answers from
/// before the silence.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// What a leader knows of other routers and other services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Surroundings {
    /// When another router last reported answers of upstreams of the service.
    pub answered_elsewhere_at: Option<Instant>,
    /// Whether upstreams of other services have answered this router since the silence began.
    pub is_in_touch: bool,
}

/// Orders that got no answer since the last answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence {
    /// Upstreams whose orders have failed.
    instances: Vec<Instance>,
    since: Option<Instant>,
}

impl Leader {
    /// Whether this leader reaches no upstream, though several were tried.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let least = MIN_SILENT.min(self.upstreams.len()).max(2);
        // An order to an upstream that has left the registry says nothing about the others.
        let silent = self.silence.instances.iter();
        let silent = silent.filter(|instance| self.is_listed(instance)).count();
        silent >= least && now - self.answered_at >= ISOLATION_TIME
    }

    /// Returns when the present silence of the upstreams began.
    pub fn silent_since(&self) -> Option<Instant> {
        self.silence.since
    }

    /// Whether this leader should resign, because it reaches no upstream and another router does, or
    /// may. It should take no keys away before.
    ///
    /// Without word of another router, a leader resigns only if it has lost the path to upstreams that
    /// answered it before, and to those of all other services. So the second of two leaders lasts.
    pub fn should_resign(&self, surroundings: &Surroundings, now: Instant) -> bool {
        let Some(since) = self.silence.since.filter(|_| self.is_isolated(now)) else {
            return false;
        };
        let answers_elsewhere = surroundings.answered_elsewhere_at;
        let is_served_elsewhere = answers_elsewhere.is_some_and(|at| at >= since + REPORT_LAG);
        is_served_elsewhere || (self.has_been_answered && !surroundings.is_in_touch)
    }

    pub(super) fn record_call(&mut self, instance: &Instance, outcome: &Outcome, now: Instant) {
        match outcome {
            Outcome::Done { .. } | Outcome::Fenced => {
                self.answered_at = now;
                self.has_been_answered = true;
                self.silence = Silence::default();
            }
            Outcome::NotSent | Outcome::Unknown => {
                self.silence.since.get_or_insert(now);
                if !self.silence.instances.contains(instance) {
                    self.silence.instances.push(instance.clone());
                }
            }
            Outcome::Detached => {}
        }
    }
}
