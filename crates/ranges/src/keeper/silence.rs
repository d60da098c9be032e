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
    /// Returns the upstreams that answer no grant, or haven't answered since they
    /// did so.
    pub(super) fn silent(&self, now: Instant) -> Vec<Life> {
        let mut silent = self.answering_no_grant(now);
        silent.extend(self.silences.iter().map(|silence| silence.life.clone()));
        silent
    }

    fn answering_no_grant(&self, now: Instant) -> Vec<Life> {
        let limit = self.settings.silence;
        let leases = self.leases.values();
        let mut lives: Vec<Life> = Vec::new();
        for lease in leases.filter(|lease| lease.is_silent(limit, now)) {
            let life = &lease.order.life;
            let answering = |other: &Lease| {
                other.order.life == *life && other.is_answered() && !other.is_silent(limit, now)
            };
            if !lives.contains(life) && !self.leases.values().any(answering) {
                lives.push(life.clone());
            }
        }
        lives
    }

    fn is_listed(&self, life: &Life) -> bool {
        let upstream = self.upstreams.get(&life.upstream);
        upstream.is_some_and(|upstream| upstream.life == *life)
    }

    /// Asks silent upstreams for keys that they don't hold: a release is never
    /// refused and leaves nothing behind.
    pub(super) fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut silences = std::mem::take(&mut self.silences);
        silences.retain(|silence| self.is_listed(&silence.life));
        for life in self.answering_no_grant(now) {
            let is_known = silences.iter().any(|silence| silence.life == life);
            if self.is_listed(&life) && !is_known {
                silences.push(Silence {
                    life,
                    in_flight: false,
                    due: now,
                });
            }
        }
        self.silences = silences;
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
        let leases = self.leases.values_mut();
        let own = leases.filter(|lease| lease.order.life == *life);
        own.for_each(Lease::forget_failures);
    }
}
