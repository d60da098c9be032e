//! Handles changes of the bundle, of grants and of the owners of shards.

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::Request;
use super::upstream::UpstreamState;
use crate::action::Reason;
use crate::event::Grant;
use crate::health::Observation;

impl Machine {
    pub(crate) fn set_fleet(&mut self, now: Instant, fleet: Fleet) {
        self.fleet = fleet;
        let removed: Vec<Upstream> = self
            .upstreams
            .keys()
            .filter(|name| !self.fleet.upstreams.contains_key(*name))
            .cloned()
            .collect();
        for upstream in removed {
            self.change_grant(now, &upstream, Grant::Released);
        }
        for (name, state) in &mut self.upstreams {
            if let Some(declared) = self.fleet.upstreams.get(name) {
                state.declared = declared.clone();
            }
        }
        self.set_weights();
        self.dispatch_all(now);
    }

    fn set_weights(&mut self) {
        for state in self.upstreams.values_mut() {
            for (partner, declared) in &self.fleet.partners {
                let flow_defaults = state.flow_defaults(&self.settings);
                state
                    .queue
                    .set_weight(partner, declared.weight, flow_defaults);
            }
        }
    }

    pub(crate) fn change_grant(&mut self, now: Instant, upstream: &Upstream, grant: Grant) {
        if !self.upstreams.contains_key(upstream) && !self.add_upstream(upstream) {
            return;
        }
        let state = &mut self.upstreams[upstream];
        let before = std::mem::replace(&mut state.grant, grant);
        match grant {
            Grant::Held if before == Grant::Lapsed => self.restarted(now, upstream),
            Grant::Held | Grant::Leaving => self.dispatch(now, upstream),
            Grant::Lapsed => self.lapse(now, upstream),
            Grant::Released => self.redirect_queued(now, upstream, |_| true),
        }
    }

    /// Limits an upstream that has just started or come back to few concurrent requests.
    pub(crate) fn restarted(&mut self, now: Instant, upstream: &Upstream) {
        self.observe(now, upstream, Observation::Restarted);
        self.dispatch(now, upstream);
    }

    fn lapse(&mut self, now: Instant, upstream: &Upstream) {
        let retry_after = self.settings.unavailable_retry_after;
        self.refuse_prompt(now, upstream, Reason::NotServing, retry_after);
        self.cancel_repeatable(now, upstream);
    }

    fn add_upstream(&mut self, upstream: &Upstream) -> bool {
        let Some(declared) = self.fleet.upstreams.get(upstream) else {
            return false;
        };
        let state = UpstreamState::new(declared.clone(), self.settings.initial_service_time);
        self.upstreams.insert(upstream.clone(), state);
        self.set_weights();
        true
    }

    pub(crate) fn move_shard(&mut self, now: Instant, upstream: &Upstream, shard: Shard) {
        self.redirect_queued(now, upstream, |other| other == shard);
    }

    fn redirect_queued(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        moved: impl Fn(Shard) -> bool,
    ) {
        for id in self.requests_at(upstream, Request::is_waiting) {
            let waits = self
                .requests
                .get(&id)
                .filter(|request| request.is_waiting());
            if waits.is_some_and(|request| moved(request.arrival.shard)) {
                self.redirect(now, id, Reason::NotHome);
            }
        }
    }
}
