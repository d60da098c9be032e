//! Cold upstreams, and the permits for requests to them.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::directory::WarmUp;
use crate::gate::Gate;
use crate::limit::{Ownership, Tolerance};
use crate::member::Member;
use crate::roster::Roster;
use crate::upstream::Upstream;

/// Time after which a router may ask again if it asked one that owns no part of the limit.
const NOT_OWNER_WAIT: Duration = Duration::from_millis(300);

/// Shortest time for which an upstream counts as cold because another router asks.
const MIN_NEWS: Duration = Duration::from_millis(250);

/// How the upstreams of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rule {
    time: Duration,
    ownership: Ownership,
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
    /// Sets the routers among which owners of limits are chosen. Without them, each router keeps to
    /// an equal part.
    pub fn set_roster(&mut self, roster: Arc<Roster>, now: Instant) {
        self.roster = Some(roster);
        self.settle_owners(now);
    }

    /// Sets how the upstreams warm up. Without it, cold upstreams get as many requests as others.
    pub fn set_warm_up(&mut self, warm_up: Option<(WarmUp, Tolerance)>, now: Instant) {
        let rule = warm_up.map(|(warm_up, tolerance)| Rule {
            time: warm_up.time,
            ownership: Ownership::new(warm_up.limit, tolerance),
        });
        if rule == self.rule {
            return;
        }
        self.rule = rule;
        if self.rule.is_none() {
            self.cold.clear();
        }
        self.rebuild_gates(now);
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
        self.rebuild_gate(&upstream.id, now);
        if is_new {
            self.cold_changes.push(Change {
                upstream: Arc::clone(&upstream.id),
                cold: Some((left, source)),
            });
        }
        is_new
    }

    /// Works out again what may be sent to an upstream, after a change of its limits.
    pub(super) fn rebuild_gate(&mut self, upstream: &str, now: Instant) {
        let listed = self.members.get(upstream);
        let Some(listed) = listed.map(|member| Arc::clone(&member.upstream)) else {
            return;
        };
        let gate = self.gate(&listed, now);
        if let Some(member) = self.members.get_mut(upstream) {
            let earlier = std::mem::replace(&mut member.gate, gate);
            if let (Some(gate), Some(earlier)) = (&mut member.gate, earlier) {
                gate.inherit(earlier);
            }
            if let Some(roster) = &self.roster {
                member.settle_owners(roster, now);
            }
        }
    }

    pub(super) fn rebuild_gates(&mut self, now: Instant) {
        let ids: Vec<Arc<str>> = self.members.keys().cloned().collect();
        ids.iter().for_each(|id| self.rebuild_gate(id, now));
    }

    /// Returns the gate of an upstream, with the stricter one of its limits.
    pub(super) fn gate(&self, upstream: &Upstream, now: Instant) -> Option<Gate> {
        let entry = self.cold.get(&upstream.id);
        let entry =
            entry.filter(|entry| entry.incarnation == upstream.incarnation && now < entry.until);
        let cold = entry.zip(self.rule);
        let cold = cold.map(|(entry, rule)| (rule.ownership, Some(entry.until)));
        let named = self.limit_of(upstream).filter(|limit| self.owns(*limit));
        let named = named.map(|limit| (Ownership::named(limit), None));
        let both = cold.into_iter().chain(named);
        let stricter =
            both.min_by(|(one, _), (other, _)| one.total_per_s().total_cmp(&other.total_per_s()));
        stricter.map(|(ownership, until)| Gate::new(ownership, until, now))
    }

    /// Works out again who owns limits.
    pub(super) fn settle_owners(&mut self, now: Instant) {
        let Some(roster) = &self.roster else {
            return;
        };
        for member in self.members.values_mut() {
            member.settle_owners(roster, now);
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
        let is_over = |member: &Member| member.gate.as_ref().is_some_and(|gate| !gate.is_shut(now));
        let over = self.members.values().filter(|member| is_over(member));
        let over: Vec<Arc<str>> = over.map(|member| Arc::clone(&member.upstream.id)).collect();
        over.iter().for_each(|id| self.rebuild_gate(id, now));
        self.settle_owners(now);
    }

    /// Takes the changes since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Returns the number of cold upstreams.
    pub fn cold(&self, now: Instant) -> usize {
        let members = self.members.values();
        members
            .filter(|member| !self.cold_left(&member.upstream, now).is_zero())
            .count()
    }

    /// Returns the time for which an upstream is cold, zero if it is warm.
    pub fn cold_left(&self, upstream: &Upstream, now: Instant) -> Duration {
        let entry = self.cold.get(&upstream.id);
        let entry = entry.filter(|entry| entry.incarnation == upstream.incarnation);
        entry.map_or(Duration::ZERO, |entry| entry.until - now)
    }

    /// Returns the requests per second that all routers together may send an upstream because it is
    /// cold.
    pub fn cold_limit_per_s(&self, upstream: &Upstream, now: Instant) -> Option<f64> {
        let rule = self.rule.as_ref()?;
        let is_cold = !self.cold_left(upstream, now).is_zero();
        is_cold.then(|| rule.ownership.total_per_s())
    }

    /// Returns the other routers to ask for a permit, in order, or `None` if none is needed any
    /// more. This router asks itself first.
    pub fn owners(&self, upstream: &Upstream, now: Instant) -> Option<Vec<Arc<str>>> {
        let member = self.members.get(&upstream.id)?;
        let gate = member.gate.as_ref().filter(|gate| gate.is_shut(now))?;
        let roster = self.roster.as_ref()?;
        Some(roster.others(upstream, gate.owners(), now))
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
        // Each message adds its delay to the time, so news count only if nothing is known.
        if left >= MIN_NEWS && self.cold_left(&listed, now).is_zero() {
            self.set_cold(&listed, left, Source::Router, now);
        }
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
