//! Upstreams that have set a limit to the requests from all routers together.

use std::sync::Arc;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::limit::Limit;
use crate::upstream::Upstream;

/// Limit that one process of an upstream has set.
#[derive(Clone, Copy, Debug)]
pub(super) struct Named {
    incarnation: u64,
    limit: Limit,
    /// When an answer named the limit last.
    at: Instant,
}

impl Service {
    /// Records the limit that an answer names. Returns whether the limit has changed.
    pub fn limit(&mut self, upstream: &Upstream, limit: Limit, now: Instant) -> bool {
        let named = Named {
            incarnation: upstream.incarnation,
            limit,
            at: now,
        };
        let before = self.limits.insert(Arc::clone(&upstream.id), named);
        before.is_none_or(|before| {
            before.incarnation != upstream.incarnation || before.limit != limit
        })
    }

    /// Records a success of an upstream that names no limit, for a request that was sent at
    /// `sent_at`. The limit has ended unless another answer has named it since. Returns whether
    /// there was one.
    pub fn lift_limit(&mut self, upstream: &Upstream, sent_at: Instant) -> bool {
        let is_lifted = self
            .limits
            .get(&upstream.id)
            .is_some_and(|named| named.incarnation != upstream.incarnation || named.at < sent_at);
        if is_lifted {
            self.limits.swap_remove(&upstream.id);
        }
        is_lifted
    }

    /// Returns the limit of an upstream.
    pub fn limit_of(&self, upstream: &Upstream) -> Option<Limit> {
        let named = self.limits.get(&upstream.id)?;
        (named.incarnation == upstream.incarnation).then_some(named.limit)
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        let members = self.members.values();
        members
            .filter(|member| self.limit_of(&member.upstream).is_some())
            .count()
    }
}
