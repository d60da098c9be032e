//! Upstreams that asked for no requests for a while.
//!
//! An upstream sheds load by naming a time. It rejects every request that arrives earlier.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::upstream::Upstream;

/// Longest deferral that is stored, which is longer than an upstream process runs.
const MAX_DEFERRAL: Duration = Duration::from_secs(24 * 60 * 60);

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
}
