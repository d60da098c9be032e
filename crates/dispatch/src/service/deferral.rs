//! Upstreams that asked for no requests for a while.
//!
//! Load answered: upstreams that shed load by name of a time. Whatever reaches one
//! before that time is turned away again, so requests wait for it only if it will be
//! back early in their own time, and are refused at once otherwise.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Request, Service};
use crate::member::Member;
use crate::upstream::Upstream;

/// Longest time that is kept in mind, which is beyond the life of an upstream.
const MAX_DEFERRAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Share of a caller's time for which a request waits at most.
const MAX_WAIT_SHARE: f64 = 0.4;

/// One life of an upstream that asked for no requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deferral {
    incarnation: u64,
    pub(super) until: Instant,
}

impl Service {
    /// Sends nothing to a life of an upstream for `pause`, whether or not it is
    /// listed all the while.
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

    /// Time until one of the upstreams that could take a request wants requests.
    pub(super) fn deferral_of(&self, request: &Request, now: Instant) -> Duration {
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
        // Those that turned it away already come last.
        let shortest = usable
            .map(|member| (is_tried(member), member.deferral(now)))
            .min();
        shortest.map_or(Duration::ZERO, |(_, deferral)| deferral)
    }

    /// Whether a request would wait too long for an upstream that wants none.
    pub(super) fn is_deferred_too_long(&self, request: &Request, now: Instant) -> bool {
        let deferral = self.deferral_of(request, now);
        if deferral.is_zero() {
            return false;
        }
        let allowed = request.give_up - request.arrived;
        now + deferral >= request.arrived + allowed.mul_f64(MAX_WAIT_SHARE)
    }
}
