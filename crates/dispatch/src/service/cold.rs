//! Cold upstreams, and the permits for requests to them.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::directory::WarmUp;
use crate::gate::Gate;
use crate::limit::{Ownership, Tolerance};
use crate::roster::Roster;
use crate::upstream::Upstream;

/// Time after which a router may ask again if it asked one that owns no part of the limit.
const NOT_OWNER_WAIT: Duration = Duration::from_millis(300);

/// How the upstreams of a service warm up, and who owns the limit of cold ones.
#[derive(Clone, Debug)]
pub(super) struct Rule {
    time: Duration,
    ownership: Ownership,
    roster: Arc<Roster>,
}

/// Time until which one process of an upstream is cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    incarnation: u64,
    until: Instant,
}

/// Where the news came from that an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The registry entry of the upstream.
    Entry,
    /// An answer to a health check.
    HealthCheck,
    /// The end of the evacuation of its data centre.
    Evacuation,
    /// A router that asked for a permit.
    Router,
}

impl Source {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "registry",
            Self::HealthCheck => "health-check",
            Self::Evacuation => "evacuation",
            Self::Router => "router",
        }
    }
}

/// Begin or end of the time for which an upstream is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Time for which it is cold and where that is known from, or `None` if it is warm again.
    pub cold: Option<(Duration, Source)>,
}

/// Answer of an owner to a router that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// One request may be sent after this time.
    Granted(Duration),
    /// None may be sent now. The router may ask again after this time.
    Denied(Duration),
}

impl Service {
    /// Sets how the upstreams warm up. Without it, cold upstreams get as many requests as others.
    pub fn set_warm_up(
        &mut self,
        warm_up: Option<(WarmUp, Tolerance)>,
        roster: &Arc<Roster>,
        now: Instant,
    ) {
        self.rule = warm_up.map(|(warm_up, tolerance)| Rule {
            time: warm_up.time,
            ownership: Ownership::new(warm_up.limit, tolerance),
            roster: Arc::clone(roster),
        });
        if self.rule.is_none() {
            self.cold.clear();
            for member in self.members.values_mut() {
                member.gate = None;
            }
        }
        self.settle_owners(now);
    }

    /// Records that an upstream is cold for some time. Returns whether it wasn't known to be.
    ///
    /// The time only ever gets longer: earlier news may arrive after later ones.
    pub fn set_cold(
        &mut self,
        upstream: &Upstream,
        left: Duration,
        source: Source,
        now: Instant,
    ) -> bool {
        let Some(rule) = &self.rule else {
            return false;
        };
        let left = left.min(rule.time);
        let listed = self.members.get(&upstream.id);
        let is_other =
            listed.is_some_and(|member| member.upstream.incarnation != upstream.incarnation);
        if left.is_zero() || is_other {
            return false;
        }
        let known = self
            .cold
            .get(&upstream.id)
            .filter(|entry| entry.incarnation == upstream.incarnation && now < entry.until);
        let is_new = known.is_none();
        let until = known.map_or(now, |entry| entry.until).max(now + left);
        let entry = Entry {
            incarnation: upstream.incarnation,
            until,
        };
        self.cold.insert(Arc::clone(&upstream.id), entry);
        if let Some(member) = self.members.get_mut(&upstream.id) {
            match member.gate.as_mut().filter(|gate| gate.is_shut(now)) {
                Some(gate) => gate.extend(until),
                None => member.gate = Some(rule.gate(upstream, until, now)),
            }
        }
        if is_new {
            self.cold_changes.push(Change {
                upstream: Arc::clone(&upstream.id),
                cold: Some((left, source)),
            });
        }
        is_new
    }

    /// Returns the gate of an upstream that has just been listed, if it is cold.
    pub(super) fn gate(&self, upstream: &Upstream, now: Instant) -> Option<Gate> {
        let entry = self.cold.get(&upstream.id)?;
        let is_cold = entry.incarnation == upstream.incarnation && now < entry.until;
        let rule = self.rule.as_ref().filter(|_| is_cold)?;
        Some(rule.gate(upstream, entry.until, now))
    }

    /// Works out again who owns the limits of the cold upstreams.
    pub(super) fn settle_owners(&mut self, now: Instant) {
        let Some(rule) = &self.rule else {
            return;
        };
        for member in self.members.values_mut() {
            if let Some(gate) = &mut member.gate {
                rule.settle(gate, &member.upstream, now);
            }
        }
    }

    /// Removes what is known of upstreams that are warm again.
    pub(super) fn sweep_cold(&mut self, now: Instant) {
        let changes = &mut self.cold_changes;
        self.cold.retain(|id, entry| {
            let is_cold = now < entry.until;
            if !is_cold {
                changes.push(Change {
                    upstream: Arc::clone(id),
                    cold: None,
                });
            }
            is_cold
        });
        for member in self.members.values_mut() {
            member.gate.take_if(|gate| !gate.is_shut(now));
        }
        self.settle_owners(now);
    }

    /// Takes the changes since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Returns the number of cold upstreams.
    pub fn cold(&self, now: Instant) -> usize {
        let members = self.members.values();
        members.filter(|member| member.is_cold(now)).count()
    }

    /// Returns the time for which an upstream is cold, zero if it is warm.
    pub fn cold_left(&self, upstream: &str, now: Instant) -> Duration {
        let member = self.members.get(upstream);
        let gate = member.and_then(|member| member.gate.as_ref());
        gate.map_or(Duration::ZERO, |gate| gate.left(now))
    }

    /// Returns the requests per second that all routers together may send an upstream because it is
    /// cold.
    pub fn cold_limit_per_s(&self, upstream: &Upstream, now: Instant) -> Option<f64> {
        let rule = self.rule.as_ref()?;
        let member = self.members.get(&upstream.id)?;
        let is_same = member.upstream.incarnation == upstream.incarnation;
        (is_same && member.is_cold(now)).then(|| rule.ownership.total_per_s())
    }

    /// Returns the other routers to ask for a permit, in order. This router asks itself first.
    pub fn owners(&self, upstream: &Upstream, now: Instant) -> Vec<Arc<str>> {
        let rule = self.rule.as_ref();
        rule.map_or_else(Vec::new, |rule| {
            let count = rule.ownership.owners();
            rule.roster.others(upstream, count, now)
        })
    }

    /// Decides on a request of a router to an upstream that is cold for `left`, as that router
    /// knows.
    pub fn permit(
        &mut self,
        upstream: &str,
        incarnation: u64,
        left: Duration,
        now: Instant,
    ) -> Permit {
        let listed = self.members.get(upstream);
        let listed = listed.map(|member| Arc::clone(&member.upstream));
        let Some(listed) = listed.filter(|listed| listed.incarnation == incarnation) else {
            return Permit::Denied(NOT_OWNER_WAIT);
        };
        self.set_cold(&listed, left, Source::Router, now);
        let member = self.members.get_mut(upstream);
        let gate = member.and_then(|member| member.gate.as_mut());
        match gate.and_then(|gate| gate.permit(now)) {
            Some(Ok(delay)) => Permit::Granted(delay),
            Some(Err(wait)) => Permit::Denied(wait),
            None => Permit::Denied(NOT_OWNER_WAIT),
        }
    }

    /// Records the answer of the owners to the question of this router.
    pub fn record_permit(&mut self, upstream: &str, permit: Permit, now: Instant) {
        let member = self.members.get_mut(upstream);
        if let Some(gate) = member.and_then(|member| member.gate.as_mut()) {
            match permit {
                Permit::Granted(_) => gate.answered(Duration::ZERO, now),
                Permit::Denied(wait) => gate.answered(wait, now),
            }
        }
    }
}

impl Rule {
    fn gate(&self, upstream: &Upstream, until: Instant, now: Instant) -> Gate {
        let mut gate = Gate::new(self.ownership, until, now);
        self.settle(&mut gate, upstream, now);
        gate
    }

    fn settle(&self, gate: &mut Gate, upstream: &Upstream, now: Instant) {
        let count = self.ownership.owners();
        let is_own = self.roster.is_owner(upstream, count, now);
        let has_other = !self.roster.others(upstream, count, now).is_empty();
        gate.set_owners(is_own, has_other, now);
    }
}
