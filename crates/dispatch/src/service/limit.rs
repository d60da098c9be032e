//! Upstreams that have set a limit to the requests from all routers together.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::limit::{self, Allowance, Limit};
use crate::upstream::Upstream;

/// Time after which the limit of an upstream that is no longer listed is dropped. It is longer than
/// outages in which the entries of running upstreams are missing.
const UNLISTED_TIME: Duration = Duration::from_secs(600);

/// Limit that one process of an upstream has set.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    incarnation: u64,
    limit: Limit,
    /// When an answer named the limit last.
    at: Instant,
}

impl Entry {
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        now - self.at >= UNLISTED_TIME
    }
}

impl Service {
    /// Records the limit that an answer names. Returns whether the limit has changed. A limit of
    /// another process than the listed one changes nothing.
    pub fn set_limit(&mut self, upstream: &Upstream, limit: Limit, now: Instant) -> bool {
        let listed = self.members.get(&upstream.id);
        if listed.is_some_and(|member| member.upstream.incarnation != upstream.incarnation) {
            return false;
        }
        let entry = Entry {
            incarnation: upstream.incarnation,
            limit,
            at: now,
        };
        let before = self.limits.insert(Arc::clone(&upstream.id), entry);
        let has_changed = before.is_none_or(|before| {
            before.incarnation != upstream.incarnation || before.limit != limit
        });
        if has_changed {
            self.divide_limit(upstream, now);
        }
        has_changed
    }

    /// Records a success of an upstream that names no limit, for a request that was sent at
    /// `sent_at`. The limit has ended unless another answer has named it since. Returns whether
    /// there was one.
    pub fn lift_limit(&mut self, upstream: &Upstream, sent_at: Instant, now: Instant) -> bool {
        let is_lifted = self
            .limits
            .get(&upstream.id)
            .is_some_and(|entry| entry.incarnation != upstream.incarnation || entry.at < sent_at);
        if is_lifted {
            self.limits.swap_remove(&upstream.id);
            self.divide_limit(upstream, now);
        }
        is_lifted
    }

    /// Divides the limit of an upstream among the routers: in equal parts if they suffice, and among
    /// owners otherwise.
    fn divide_limit(&mut self, upstream: &Upstream, now: Instant) {
        let new = self.allowance(upstream, now);
        if let Some(member) = self.members.get_mut(&upstream.id) {
            member.allowance = match (member.allowance.take(), new) {
                (Some(mut kept), Some(new)) => {
                    kept.update(new.limit(), self.routers, now);
                    Some(kept)
                }
                (_, new) => new,
            };
        }
        self.rebuild_gate(&upstream.id, now);
    }

    /// Divides all limits again, after a change of the routers.
    pub(super) fn divide_limits(&mut self, now: Instant) {
        let limited = self.members.values();
        let limited = limited.filter(|member| self.limits.contains_key(&member.upstream.id));
        let limited: Vec<Arc<Upstream>> =
            limited.map(|member| Arc::clone(&member.upstream)).collect();
        for upstream in &limited {
            self.divide_limit(upstream, now);
        }
    }

    /// Whether a limit is divided among owners.
    pub(super) fn owns(&self, limit: Limit) -> bool {
        self.roster.is_some() && !Allowance::suffices(limit, self.routers)
    }

    /// Returns the limit of an upstream.
    pub fn limit_of(&self, upstream: &Upstream) -> Option<Limit> {
        let entry = self.limits.get(&upstream.id)?;
        (entry.incarnation == upstream.incarnation).then_some(entry.limit)
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        let members = self.members.values();
        members
            .filter(|member| self.limit_of(&member.upstream).is_some())
            .count()
    }

    /// Returns this router's part of the limit of an upstream, if none of it was used yet.
    pub(super) fn allowance(&self, upstream: &Upstream, now: Instant) -> Option<Allowance> {
        let limit = self.limit_of(upstream).filter(|limit| !self.owns(*limit))?;
        let phase = limit::phase(self.rank, self.routers, &upstream.id);
        Some(Allowance::new(limit, self.routers, phase, now))
    }
}
