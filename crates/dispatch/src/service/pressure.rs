//! Refusal of less urgent requests while a service is tight.

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

/// Share of the slots in use from which the rest is kept for more urgent requests.
const MAX_BUSY: f64 = 0.9;
/// Share of more urgent requests from which less urgent ones give way to them in full.
const FULL_CLAIM_SHARE: f64 = 0.25;
/// Requests per slot at a holder of keys up to which less urgent ones are sent there, without and with
/// the whole reserve. Urgent requests can't go to another upstream.
const UNRESERVED: f64 = 1.5;
const RESERVED: f64 = 0.75;
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

    /// Returns the longest wait for a slot, as a share of the time to the target. `None` if no kinds of
    /// different priority compete.
    pub fn pressure(&self, now: Instant) -> Option<f64> {
        let is_contended = self.pressure.is_contended();
        is_contended.then(|| self.longest_wait(|_| true, now))
    }

    /// Takes the last change between tight and relaxed.
    pub fn take_pressure_change(&mut self) -> Option<Change> {
        self.pressure.take_change()
    }

    /// Notes whether the service is tight.
    pub(super) fn note_pressure(&mut self, now: Instant) {
        if let Some(pressure) = self.pressure(now) {
            self.pressure.note(pressure, now);
        }
    }

    /// Returns the longest wait of the requests that `counts` selects, as a share of the time to their
    /// target. Requests for keys on their way from one holder to another don't wait for a slot, and
    /// those that were sent before have waited for an answer.
    fn longest_wait(&self, counts: impl Fn(&Request) -> bool, now: Instant) -> f64 {
        let waits_for_slot = |request: &&Request| {
            let has_holder = self.spans.is_none() || self.holder(request.key).is_some();
            has_holder && !request.is_repeat && !self.is_blocked(request.key, now)
        };
        let queue = self.queue.iter().filter(|request| counts(request));
        let waited = queue.filter(waits_for_slot).map(|request| {
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
        let usable = members.filter(|member| {
            let is_open = !member.is_retiring() && !member.is_paused(now);
            is_open && member.unavailable_for(now).is_zero()
        });
        let (busy, slots) = usable.fold((0, 0), |(busy, slots), member| {
            let most = member.upstream.slots;
            (busy + member.load(now).min(most), slots + most)
        });
        if slots == 0 || f64::from(busy) < MAX_BUSY * f64::from(slots) {
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

    /// Whether an upstream has room for a request. Less urgent requests don't queue there. At a holder
    /// of keys they leave the more room the more of the requests are urgent: a holder that gets more
    /// than it can serve would idle for the few.
    pub(super) fn has_room(&self, member: &Member, request: &Request, now: Instant) -> bool {
        if !self.gives_way(request) {
            return member.has_room(now);
        }
        if self.spans.is_none() {
            return member.has_free_slot(now);
        }
        let claim = self.claim(request.priority);
        let per_slot = UNRESERVED + (RESERVED - UNRESERVED) * claim;
        let scale = 1.0 + (self.unreported_scale() - 1.0) * claim;
        let most = per_slot * f64::from(member.upstream.slots);
        member.has_room(now) && member.estimated_load(scale, now) < most
    }

    /// Returns how far requests of a priority give way, from 0 to 1: the more of the requests are more
    /// urgent, the further.
    fn claim(&self, priority: u8) -> f64 {
        (self.pressure.share_above(priority) / FULL_CLAIM_SHARE).min(1.0)
    }

    /// Returns how many times as many requests the other routers have under way at holders of keys as
    /// the neighbours have reported: all routers send to holders, and only neighbours report.
    fn unreported_scale(&self) -> f64 {
        let others = self.routers.saturating_sub(1).max(1);
        let neighbours = self.place.neighbours().max(1);
        (others as f64 / neighbours as f64).max(1.0)
    }

    /// Whether the pressure on the service admits a request.
    pub(super) fn is_admitted_under_pressure(&mut self, request: &Request, now: Instant) -> bool {
        // The router that has passed a request on has admitted it.
        if !self.gives_way(request) || request.detour == Detour::Forbidden {
            return true;
        }
        // Each holder of keys has its own queue.
        let holder = self.holder(request.key);
        let is_ahead = |other: &Request| {
            other.priority <= request.priority && self.holder(other.key) == holder
        };
        let pressure = self.longest_wait(is_ahead, now) * self.claim(request.priority);
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
