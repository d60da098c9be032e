//! Refusal of less urgent requests while a service is tight.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Detour, Request, Service};
use crate::member::Member;
use crate::pressure::{Change, is_promoted, phase};

/// Part of the time until the target over which refused callers are asked back, so that an answer to
/// the next try may still be in time.
const RETURN_TARGET_SHARE: f64 = 0.5;
/// The same for the time that the caller has. Callers may not wait longer.
const RETURN_TIME_SHARE: f64 = 1.0 / 3.0;

/// Share of the slots in use from which the rest is kept for more urgent requests. A router knows the
/// use of slots with a delay in which about a tenth of them is taken.
const MAX_BUSY: f64 = 0.9;
/// Share of the time until the target for which a request waits for a slot in the router's own data
/// centre, until it may take one elsewhere.
const NEAR_SHARE: f64 = 0.05;

/// Slots that a request leaves to more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Concession {
    None,
    /// Those in the router's data centre.
    Near,
    /// Those everywhere.
    Everywhere,
}

impl Service {
    /// Sets the priorities of the routes whose requests go to this service. Less urgent requests give
    /// way only if there are more urgent ones.
    pub fn set_priorities(&mut self, priorities: &[u8]) {
        self.pressure.set_priorities(priorities, phase(self.rank));
    }

    /// Records the pressure that another router sees.
    pub fn record_peer_pressure(&mut self, router: &Arc<str>, pressure: f64, now: Instant) {
        self.pressure.record_peer(router, pressure, now);
    }

    /// Returns the pressure that this router sees, if other routers should know it.
    pub fn told_pressure(&self, now: Instant) -> Option<f64> {
        let own = self.own_pressure(u8::MAX, None, now);
        self.pressure.is_told(own, now).then_some(own)
    }

    /// Returns the mean pressure that this router and its neighbours see. `None` if no kinds of
    /// different priority compete.
    pub fn pressure(&self, now: Instant) -> Option<f64> {
        let own = self.own_pressure(u8::MAX, None, now);
        let is_contended = self.pressure.is_contended();
        is_contended.then(|| self.pressure.mean(own, now))
    }

    /// Takes the last change between tight and relaxed.
    pub fn take_pressure_change(&mut self) -> Option<Change> {
        self.pressure.take_change()
    }

    /// Notes whether the service is tight.
    pub(super) fn note_pressure(&mut self, now: Instant) {
        if let Some(pressure) = self.pressure(now) {
            self.pressure.note(pressure);
        }
    }

    /// Returns how long requests at least as urgent as `priority` have waited, as a share of the time to
    /// their target.
    fn own_pressure(&self, priority: u8, holder: Option<&Arc<str>>, now: Instant) -> f64 {
        if !self.pressure.is_contended() {
            return 0.0;
        }
        let queue = self.queue.iter();
        let counts = queue.filter(|request| {
            request.priority <= priority && (holder.is_none() || self.holder(request.key) == holder)
        });
        let waited = counts.map(|request| {
            let waited = (now - request.arrived).as_secs_f64();
            waited / (request.target - request.arrived).as_secs_f64().max(0.001)
        });
        waited.fold(0.0, f64::max)
    }

    /// Returns the priority that decides on the place of a request in the queue.
    pub(super) fn precedence(&self, request: &Request) -> u8 {
        let first = self.pressure.yields_to(request.priority);
        first
            .filter(|_| is_promoted(request.ticket))
            .unwrap_or(request.priority)
    }

    /// Returns how a request that isn't among the most urgent ones has to wait for them.
    pub(super) fn concession(&self, request: &Request, now: Instant) -> Concession {
        if self.spans.is_some() || !self.gives_way(request) {
            return Concession::None;
        }
        let members = self.members.values().take(self.subset);
        let usable = members.filter(|member| !member.upstream.leaving);
        let (busy, slots) = usable.fold((0, 0), |(busy, slots), member| {
            let most = member.upstream.slots;
            (busy + member.load(now).min(most), slots + most)
        });
        if f64::from(busy) < MAX_BUSY * f64::from(slots) {
            return Concession::None;
        }
        let allowed = request.target - request.arrived;
        if now - request.arrived < allowed.mul_f64(NEAR_SHARE) {
            Concession::Everywhere
        } else {
            Concession::Near
        }
    }

    /// Whether more urgent requests go before this one.
    fn gives_way(&self, request: &Request) -> bool {
        self.pressure.yields_to(request.priority).is_some() && !is_promoted(request.ticket)
    }

    /// Whether an upstream has room for a request. Less urgent requests don't queue there.
    pub(super) fn has_room(&self, member: &Member, request: &Request, now: Instant) -> bool {
        let yields =
            self.pressure.yields_to(request.priority).is_some() && !is_promoted(request.ticket);
        if yields {
            member.has_free_slot(now)
        } else {
            member.has_room(now)
        }
    }

    /// Whether the pressure on the service admits a request.
    pub(super) fn is_admitted_under_pressure(&mut self, request: &Request, now: Instant) -> bool {
        // The router that has passed a request on has admitted it.
        if !self.gives_way(request) || request.detour == Detour::Forbidden {
            return true;
        }
        let own = self.own_pressure(request.priority, self.holder(request.key), now);
        let pressure = match self.spans {
            // Each holder has its own queue.
            Some(_) => own,
            None => self.pressure.mean(own, now).max(own),
        };
        self.pressure.admits(request.priority, pressure)
    }

    /// Returns when a caller that is refused under pressure is asked back.
    pub(super) fn return_delay(&mut self, request: &Request, now: Instant) -> Duration {
        let until_target = (request.target - now).mul_f64(RETURN_TARGET_SHARE);
        let until_end = (request.give_up - now).mul_f64(RETURN_TIME_SHARE);
        let share = self.pressure.return_share(request.priority);
        until_target.min(until_end).mul_f64(share)
    }
}
