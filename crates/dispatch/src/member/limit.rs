//! What an upstream has asked for: no requests for a while, or few.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Member;
use crate::gate::Gate;
use crate::limit::Allowance;
use crate::roster::Roster;

impl Member {
    /// Sends it no requests until an instant.
    pub(crate) fn defer(&mut self, until: Instant) {
        self.deferred_until = self.deferred_until.max(until);
    }

    /// Returns the time that is left of its deferral.
    pub(crate) fn deferral(&self, now: Instant) -> Duration {
        self.deferred_until - now
    }

    /// Returns the time until its deferral has ended and its limits allow a request.
    pub(crate) fn unavailable_for(&self, now: Instant) -> Duration {
        let allowance = self.allowance.as_ref();
        let delay = allowance.map_or(Duration::ZERO, |allowance| allowance.delay(now));
        let gate = self.gate.as_ref();
        let cold = gate.map_or(Duration::ZERO, |gate| gate.delay(now));
        self.deferral(now).max(delay).max(cold)
    }

    /// Returns the requests per second that its limits allow, `None` if it has no limit.
    pub(crate) fn limit_per_s(&self, now: Instant) -> Option<f64> {
        let allowance = self.allowance.as_ref().map(Allowance::rate_per_s);
        let gate = self.gate.as_ref().filter(|gate| gate.is_shut(now));
        let rates = allowance.into_iter().chain(gate.map(Gate::rate_per_s));
        rates.reduce(f64::min)
    }

    /// Works out again who owns its limit.
    pub(crate) fn settle_owners(&mut self, roster: &Roster, now: Instant) {
        if let Some(gate) = &mut self.gate {
            let count = gate.owners();
            let is_own = roster.is_owner(&self.upstream, count, now);
            let others = roster.others(&self.upstream, count, now);
            gate.set_owners(is_own, !others.is_empty(), now);
        }
    }

    /// Whether one more request may be sent to it if an owner of its limit permits it.
    pub(crate) fn may_ask(&self, now: Instant) -> bool {
        let gate = self.gate.as_ref();
        gate.is_some_and(|gate| gate.may_ask(now)) && self.could_take(now)
    }
}
