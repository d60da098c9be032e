//! Probes of upstreams that don't answer the leader.
//!
//! An upstream that answers no grant loses its keys, so the leader then sends it nothing that it
//! could answer. Without a probe it would look healthy again, get keys, and keep them from callers
//! each time.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::{Action, Leader, Order};
use crate::lease::{Lease, MIN_FAILURES};
use crate::map::{Instance, Range};

/// Time between two probes of an unresponsive upstream. It bounds how long a recovered upstream
/// waits for keys.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes of an upstream that stopped answering and hasn't answered since.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    instance: Instance,
    is_in_flight: bool,
    due: Instant,
}

impl Leader {
    /// Returns the upstreams that answer no grant, or stopped answering and haven't answered since.
    pub(super) fn unresponsive(&self, now: Instant) -> Vec<Instance> {
        let mut unresponsive = self.unresponsive_to_grants(now);
        unresponsive.extend(self.probes.iter().map(|probe| probe.instance.clone()));
        unresponsive
    }

    fn unresponsive_to_grants(&self, now: Instant) -> Vec<Instance> {
        let limit = self.settings.response_timeout;
        let leases = self.leases.values();
        let mut instances: Vec<Instance> = Vec::new();
        for lease in leases.filter(|lease| lease.is_unresponsive(limit, now)) {
            let instance = &lease.order.instance;
            let answering = |other: &Lease| {
                other.order.instance == *instance
                    && other.is_answered()
                    && !other.is_unresponsive(limit, now)
            };
            if !instances.contains(instance) && !self.leases.values().any(answering) {
                instances.push(instance.clone());
            }
        }
        let detached = self.detachments.iter().filter(|(_, detachment)| {
            detachment.count >= MIN_FAILURES && now - detachment.since >= limit
        });
        for (instance, _) in detached {
            if !instances.contains(instance) {
                instances.push(instance.clone());
            }
        }
        instances
    }

    pub(super) fn is_listed(&self, instance: &Instance) -> bool {
        let upstream = self.upstreams.get(&instance.upstream);
        upstream.is_some_and(|upstream| upstream.instance == *instance)
    }

    /// Sends unresponsive upstreams the order to release a key that they don't hold. Upstreams
    /// never refuse a release, and this one leaves nothing behind.
    pub(super) fn send_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain(|probe| self.is_listed(&probe.instance));
        for instance in self.unresponsive_to_grants(now) {
            let is_known = probes.iter().any(|probe| probe.instance == instance);
            if self.is_listed(&instance) && !is_known {
                probes.push(Probe {
                    instance,
                    is_in_flight: false,
                    due: now,
                });
            }
        }
        self.probes = probes;
        let first_fence = self.first_fence;
        for probe in &mut self.probes {
            if probe.is_in_flight || now < probe.due {
                continue;
            }
            let is_foreign = |range: &&Range| {
                let instance = Some(&probe.instance);
                range.fence >= first_fence
                    && range.holder.is_some()
                    && range.holder.as_ref() != instance
                    && range.sources.is_empty()
            };
            let Some(range) = self.map.ranges.iter().find(is_foreign) else {
                continue;
            };
            probe.is_in_flight = true;
            actions.push(Action::Release(Order {
                instance: probe.instance.clone(),
                from: range.from,
                to: range.from,
                fence: range.fence,
            }));
        }
    }

    /// Records the end of a probe.
    pub(super) fn probe_ended(&mut self, instance: &Instance, now: Instant) {
        if let Some(probe) = self
            .probes
            .iter_mut()
            .find(|other| other.instance == *instance)
        {
            probe.is_in_flight = false;
            probe.due = now + PROBE_INTERVAL;
        }
    }

    /// Records that an upstream answered an order.
    pub(super) fn record_response(&mut self, instance: &Instance) {
        self.probes.retain(|probe| probe.instance != *instance);
        self.detachments.remove(instance);
        let leases = self.leases.values_mut();
        let own = leases.filter(|lease| lease.order.instance == *instance);
        own.for_each(Lease::reset_failures);
    }
}
