//! Upstreams that asked for no requests for a while.
//!
//! An upstream sheds load by naming a time. It rejects every request that arrives earlier, so a
//! request waits only if the upstream accepts requests again early in the time of the request, and
//! is refused at once otherwise.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Request, Service};
use crate::member::Member;
use crate::upstream::Upstream;

/// Longest deferral that is stored, which is longer than an upstream process runs.
const MAX_DEFERRAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest wait of a request, as a share of the time that its caller has.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Deferral by one process of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deferral {
    incarnation: u64,
    pub(super) until: Instant,
}

impl Service {
    /// Sends nothing to this process of an upstream for `pause`, even if its registry entry
    /// disappears and returns meanwhile.
    pub fn defer(&mut self, upstream: &Upstream, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_DEFERRAL);
        let deferral = Deferral {
            incarnation: upstream.incarnation,
            until: until.max(self.deferred_until(upstream).unwrap_or(now)),
        };
        self.deferrals.insert(Arc::clone(&upstream.id), deferral);
        if let Some(member) = self.members.get_mut(&upstream.id)
            && member.upstream.incarnation == upstream.incarnation
        {
            member.defer(until);
        }
    }

    /// Returns the upstreams that asked for no requests, with the time that is left.
    pub fn deferrals(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let deferrals = self.deferrals.iter();
        let left = deferrals.map(move |(id, deferral)| (id, deferral.until - now));
        left.filter(|(_, left)| !left.is_zero())
    }

    pub(super) fn deferred_until(&self, upstream: &Upstream) -> Option<Instant> {
        let deferral = self.deferrals.get(&upstream.id)?;
        (deferral.incarnation == upstream.incarnation).then_some(deferral.until)
    }

    /// Returns the time until one of the upstreams that could take a request accepts requests.
    pub(super) fn deferral_for(&self, request: &Request, now: Instant) -> Duration {
        if self.deferrals.is_empty() {
            return Duration::ZERO;
        }
        if self.spans.is_some() {
            let holder = self.holder(request.key).and_then(|id| self.members.get(id));
            return holder.map_or(Duration::ZERO, |holder| holder.deferral(now));
        }
        let usable = self
            .members
            .values()
            .filter(|member| !member.upstream.leaving);
        let is_tried = |member: &Member| request.tried.contains(&member.upstream.id);
        // Upstreams that have already rejected the request come last.
        let shortest = usable
            .map(|member| (is_tried(member), member.deferral(now)))
            .min();
        shortest.map_or(Duration::ZERO, |(_, deferral)| deferral)
    }

    /// Whether a request would wait too long for an upstream that has deferred requests.
    pub(super) fn is_deferred_too_long(&self, request: &Request, now: Instant) -> bool {
        let deferral = self.deferral_for(request, now);
        if deferral.is_zero() {
            return false;
        }
        let allowed = request.give_up - request.arrived;
        now + deferral >= request.arrived + allowed.mul_f64(MAX_WAIT_SHARE)
    }
}
