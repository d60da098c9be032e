//! Upstreams in evacuated data centres.
//!
//! Upstreams without keys get no more requests from the moment at which this router knows of the
//! evacuation. A holder gets requests for its keys a little longer, since no other upstream may serve
//! them until they have moved.

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::evacuation::Evacuation;
use crate::member::Member;
use crate::upstream::Upstream;

impl Service {
    /// Replaces the list of evacuations in force.
    pub fn set_evacuations<'a>(&mut self, evacuations: impl Iterator<Item = &'a Evacuation>) {
        self.evacuations = evacuations.cloned().collect();
        let mut members = std::mem::take(&mut self.members);
        for member in members.values_mut() {
            member.evacuated = self.evacuated_until(&member.upstream);
        }
        self.members = members;
    }

    /// Returns the time until which an upstream gets requests for keys that it holds, if its data centre
    /// is evacuated.
    pub(super) fn evacuated_until(&self, upstream: &Upstream) -> Option<Instant> {
        let mut evacuations = self.evacuations.iter();
        let own = evacuations.find(|evacuation| evacuation.data_centre == upstream.data_centre);
        own.map(|evacuation| evacuation.holders_until)
    }

    /// Whether a request that was assigned to an upstream may still be sent to it. The evacuation of
    /// its data centre may have become known while the request waited for a connection.
    pub fn may_send(&self, upstream: &str, now: Instant) -> bool {
        let Some(until) = self
            .members
            .get(upstream)
            .and_then(|member| member.evacuated)
        else {
            return true;
        };
        self.spans.is_some() && now < until
    }

    /// Returns the number of requests that this router has under way in evacuated data centres.
    pub fn in_flight_evacuated(&self) -> u32 {
        let evacuated = self.members.values().filter(|member| member.is_evacuated());
        evacuated.map(Member::in_flight).sum()
    }

    /// Whether only upstreams in evacuated data centres are left, which get no more requests. A
    /// request that waited for one would wait until its caller gives up.
    pub(super) fn is_evacuated(&self) -> bool {
        let mut staying = self
            .members
            .values()
            .filter(|member| !member.upstream.leaving);
        let mut is_any = false;
        let are_all = staying.all(|member| {
            is_any = true;
            member.is_evacuated()
        });
        is_any && are_all
    }
}
