//! Upstreams that the keeper doesn't reach.
//!
//! One that answers no grant loses its keys, and then nothing is sent to it any
//! more that it could answer. Without a question of its own it would look as good
//! as new, get keys again, and keep them from callers each time.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Action, Keeper, Order};
use crate::lease::Lease;
use crate::map::{Life, Range};

/// Time between two questions to a silent upstream. It bounds how long one that
/// is back waits for keys.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Upstream that answered nothing, and hasn't answered since.
#[derive(Clone, Debug)]
pub(super) struct Silence {
    life: Life,
    in_flight: bool,
    due: Instant,
}

impl Keeper {
    /// Whether an upstream answers no grant, or hasn't answered since it did so.
    pub(super) fn is_silent(&self, life: &Life, now: Instant) -> bool {
        self.silences.iter().any(|silence| silence.life == *life)
            || self.answers_no_grant(life, now)
    }

    fn answers_no_grant(&self, life: &Life, now: Instant) -> bool {
        let silent = |lease: &Lease| {
            lease.order.life == *life && lease.is_silent(self.settings.silence, now)
        };
        let answering =
            |lease: &Lease| lease.order.life == *life && lease.is_answered() && !silent(lease);
        self.leases.iter().any(silent) && !self.leases.iter().any(answering)
    }

    /// Asks silent upstreams for keys that they don't hold: a release is never
    /// refused and leaves nothing behind.
    pub(super) fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let upstreams = &self.upstreams;
        self.silences
            .retain(|silence| upstreams.iter().any(|other| other.life == silence.life));
        for upstream in &self.upstreams {
            let life = &upstream.life;
            if !self.is_silent(life, now) || self.silences.iter().any(|other| other.life == *life) {
                continue;
            }
            self.silences.push(Silence {
                life: life.clone(),
                in_flight: false,
                due: now,
            });
        }
        let first_fence = self.first_fence;
        for silence in &mut self.silences {
            if silence.in_flight || now < silence.due {
                continue;
            }
            let is_foreign = |range: &&Range| {
                let life = Some(&silence.life);
                range.fence >= first_fence
                    && range.holder.is_some()
                    && range.holder.as_ref() != life
                    && range.sources.is_empty()
            };
            let Some(range) = self.map.ranges.iter().find(is_foreign) else {
                continue;
            };
            silence.in_flight = true;
            actions.push(Action::Release(Order {
                life: silence.life.clone(),
                from: range.from,
                to: range.from,
                fence: range.fence,
            }));
        }
    }

    /// Notes the end of a question to a silent upstream.
    pub(super) fn probed(&mut self, life: &Life, now: Instant) {
        if let Some(silence) = self.silences.iter_mut().find(|other| other.life == *life) {
            silence.in_flight = false;
            silence.due = now + PROBE_INTERVAL;
        }
    }

    /// Notes that an upstream answered an order.
    pub(super) fn heard(&mut self, life: &Life) {
        self.silences.retain(|silence| silence.life != *life);
        let own = self
            .leases
            .iter_mut()
            .filter(|lease| lease.order.life == *life);
        own.for_each(Lease::forget_failures);
    }
}
