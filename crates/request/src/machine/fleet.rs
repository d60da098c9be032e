//! Changes of the bundle, of grants and of shards.

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::Request;
use super::station::Station;
use crate::action::Reason;
use crate::event::Grant;
use crate::health::Evidence;

impl Machine {
    pub(crate) fn adopt(&mut self, now: Instant, fleet: Fleet) {
        self.fleet = fleet;
        let gone: Vec<Upstream> = self
            .stations
            .keys()
            .filter(|name| !self.fleet.upstreams.contains_key(*name))
            .cloned()
            .collect();
        for upstream in gone {
            self.change_grant(now, &upstream, Grant::Released);
        }
        for (name, station) in &mut self.stations {
            if let Some(declared) = self.fleet.upstreams.get(name) {
                station.declared = declared.clone();
            }
        }
        self.set_weights();
        self.dispatch_all(now);
    }

    fn set_weights(&mut self) {
        for station in self.stations.values_mut() {
            for (partner, declared) in &self.fleet.partners {
                let fresh = station.fresh(&self.settings);
                station.queue.set_weight(partner, declared.weight, fresh);
            }
        }
    }

    pub(crate) fn change_grant(&mut self, now: Instant, upstream: &Upstream, grant: Grant) {
        if !self.stations.contains_key(upstream) && !self.add_station(upstream) {
            return;
        }
        let station = &mut self.stations[upstream];
        let before = std::mem::replace(&mut station.grant, grant);
        match grant {
            Grant::Held if before == Grant::Lapsed => self.restarted(now, upstream),
            Grant::Held | Grant::Leaving => self.dispatch(now, upstream),
            Grant::Lapsed => self.lapse(now, upstream),
            Grant::Released => self.redirect_queued(now, upstream, |_| true),
        }
    }

    /// Begins with few requests at an upstream that has just started or come back.
    pub(crate) fn restarted(&mut self, now: Instant, upstream: &Upstream) {
        self.observe(now, upstream, Evidence::Restarted);
        self.dispatch(now, upstream);
    }

    fn lapse(&mut self, now: Instant, upstream: &Upstream) {
        let retry_after = self.settings.lapse_retry;
        self.stop_prompt(now, upstream, Reason::NotServing, retry_after);
        self.take_back(now, upstream);
    }

    fn add_station(&mut self, upstream: &Upstream) -> bool {
        let Some(declared) = self.fleet.upstreams.get(upstream) else {
            return false;
        };
        let station = Station::new(declared.clone(), self.settings.service_time);
        self.stations.insert(upstream.clone(), station);
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
