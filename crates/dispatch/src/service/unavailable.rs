//! Upstreams that have said when or how often they accept requests.
//!
//! A request waits only if such an upstream accepts it early in the time of the request, and is
//! refused at once otherwise.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Reason, Request, Service};
use crate::member::Member;

/// Longest wait of a request, as a share of the time that its caller has.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Why no upstream that could take a request accepts it now, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unavailable {
    pub(super) reason: Reason,
    pub(super) left: Duration,
}

impl Service {
    /// Returns whether a request has to wait for a deferral or a limit to allow it. Returns `None`
    /// if an upstream that could take it has neither.
    pub(super) fn unavailable(&self, request: &Request, now: Instant) -> Option<Unavailable> {
        if self.deferrals.is_empty() && self.limits.is_empty() && self.cold.is_empty() {
            return None;
        }
        if self.spans.is_some() {
            let holder = self.members.get(self.holder(request.key)?)?;
            return self.unavailable_at(holder, request, now);
        }
        let usable = self.members.values().filter(|member| !member.is_retiring());
        // Upstreams that have already rejected the request come last.
        let is_tried = |member: &Member| request.tried.contains(&member.upstream.id);
        let first = usable.min_by_key(|member| {
            let left = member.unavailable_for(now);
            (is_tried(member), left, member.limit_per_s(now).is_some())
        });
        self.unavailable_at(first?, request, now)
    }

    /// Returns the time until an upstream accepts a request.
    pub(super) fn unavailable_for(&self, request: &Request, now: Instant) -> Duration {
        let unavailable = self.unavailable(request, now);
        unavailable.map_or(Duration::ZERO, |unavailable| unavailable.left)
    }

    fn unavailable_at(
        &self,
        member: &Member,
        request: &Request,
        now: Instant,
    ) -> Option<Unavailable> {
        let deferral = member.deferral(now);
        let left = member.unavailable_for(now);
        let unavailable = match member.limit_per_s(now) {
            Some(per_s) if deferral < left || left.is_zero() => Unavailable {
                reason: Reason::Limited,
                left: left.saturating_add(self.wait_for_limit(per_s, request, now)),
            },
            _ => Unavailable {
                reason: Reason::Deferred,
                left,
            },
        };
        (!unavailable.left.is_zero()).then_some(unavailable)
    }

    /// Returns the time that the limits take for the requests that wait ahead of another one.
    fn wait_for_limit(&self, per_s: f64, request: &Request, now: Instant) -> Duration {
        let rate_per_s = if self.spans.is_some() {
            per_s
        } else {
            let members = self.members.values();
            members.filter_map(|member| member.limit_per_s(now)).sum()
        };
        let ahead = self.ahead(request) as f64;
        Duration::try_from_secs_f64(ahead / rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Whether a request would wait too long for an upstream to accept it.
    pub(super) fn is_unavailable_too_long(&self, request: &Request, now: Instant) -> bool {
        let Some(Unavailable { left, .. }) = self.unavailable(request, now) else {
            return false;
        };
        let allowed = request.give_up - request.arrived;
        now + left >= request.arrived + allowed.mul_f64(MAX_WAIT_SHARE)
    }
}
