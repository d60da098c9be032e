//! Chooses the upstream that takes a request.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::pressure::Concession;
use super::reach::is_usable;
use super::{Request, Service, Span, Step};
use crate::member::Member;
use crate::upstream::Upstream;

/// Share of the time until the target within which the router's subset, or else its own data
/// centre, must be expected to answer. Otherwise the upstream with the earliest expected answer is
/// chosen, wherever it runs.
const IN_TIME_SHARE: f64 = 0.7;
/// Delay before a request is hedged, in multiples of the expected response time. Few requests take
/// as long.
const HEDGE_FACTOR: f64 = 2.5;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(60);

/// What can be done with a request now.
pub(super) enum Choice {
    Take(Arc<Upstream>),
    Full,
    NoHolder,
    NoUpstream,
    Evacuated,
    OutOfReach,
}

/// How far away an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// It is in the subset of this router.
    Subset,
    /// It runs in the router's data centre.
    DataCentre,
    Elsewhere,
}

impl Service {
    /// Returns how long a request that was just sent to an upstream may take before it is hedged,
    /// that is, also sent to another one. Returns `None` if there is no other.
    ///
    /// Hedging covers lost answers and upstreams that stop responding: the caller is served while
    /// it still waits.
    pub fn hedge_delay(&self, upstream: &str, now: Instant) -> Option<Duration> {
        if self.spans.is_some() || self.members.len() < 2 {
            return None;
        }
        let expected_ms = HEDGE_FACTOR * self.members.get(upstream)?.expected_ms(now);
        Some(Duration::from_micros((expected_ms * 1e3) as u64).max(MIN_HEDGE_DELAY))
    }

    /// Returns the hedge for a request that has no answer yet, or `None`. A hedge goes only to an
    /// upstream with a free slot, within the budget, and only while no other request waits.
    pub fn hedge(&mut self, request: &Request, now: Instant) -> Option<Step> {
        let may_run = request.runs + 1 < request.max_attempts;
        if !may_run || !self.queue.is_empty() || !self.budget.allows(now, self.routers) {
            return None;
        }
        let left_ms = (request.give_up - now).as_secs_f64() * 1e3;
        let usable = self.members.values().enumerate().filter(|(_, member)| {
            !member.is_retiring()
                && !request.tried.contains(&member.upstream.id)
                && member.has_free_slot(now)
                && member.cost_ms(now) < left_ms
        });
        let cost = |(index, member): &(usize, &Member)| {
            (self.distance(*index), member.cost_ms(now) as u64)
        };
        let chosen = Arc::clone(&usable.min_by_key(cost)?.1.upstream);
        self.budget.take(now);
        Some(self.begin(chosen, None, now))
    }

    pub(super) fn choose(&self, request: &Request, now: Instant) -> Choice {
        if now < request.retry_at {
            return Choice::Full;
        }
        if self.spans.is_some() {
            return self.choose_holder(request, now);
        }
        let concession = self.concession(request, now);
        if concession == Concession::Everywhere {
            return Choice::Full;
        }
        let mut usable = false;
        let is_cut_off = self.is_cut_off(now);
        let may_probe = !is_cut_off || self.may_probe(now);
        // The cheapest upstream of the subset, of the rest of the data centre, and elsewhere.
        let mut best: [Option<(f64, &Member)>; 3] = [None; 3];
        for (index, member) in self.members.values().enumerate() {
            if member.is_retiring() || request.tried.contains(&member.upstream.id) {
                continue;
            }
            usable = true;
            let distance = self.distance(index);
            if concession == Concession::Near && distance != Distance::Elsewhere {
                continue;
            }
            if !self.has_room(member, request, now) || !(may_probe || is_usable(member, now)) {
                continue;
            }
            let cost = member.cost_ms(now);
            let best = &mut best[distance as usize];
            if best.is_none_or(|(least, _)| cost < least) {
                *best = Some((cost, member));
            }
        }
        let left_ms = (request.target - now).as_secs_f64() * 1e3;
        let in_time = |best: &&(f64, &Member)| best.0 <= IN_TIME_SHARE * left_ms;
        let soon = best.iter().flatten().find(in_time);
        let cheapest = || {
            let all = best.iter().flatten();
            all.min_by(|one, other| one.0.total_cmp(&other.0))
        };
        match soon
            .or_else(cheapest)
            .copied()
            .or_else(|| self.cheapest_to_ask(request, now))
        {
            Some((_, member)) => Choice::Take(Arc::clone(&member.upstream)),
            None if is_cut_off && !self.is_any_usable(now) => Choice::OutOfReach,
            None if usable => Choice::Full,
            None if self.is_evacuated() => Choice::Evacuated,
            None => Choice::NoUpstream,
        }
    }

    /// Returns the cheapest cold upstream that an owner may permit a request to. It takes a request
    /// only if no other upstream does.
    fn cheapest_to_ask(&self, request: &Request, now: Instant) -> Option<(f64, &Member)> {
        if (self.cold.is_empty() && self.limits.is_empty()) || self.is_cut_off(now) {
            return None;
        }
        let members = self.members.values().filter(|member| {
            !member.is_retiring()
                && !request.tried.contains(&member.upstream.id)
                && member.may_ask(now)
        });
        let costs = members.map(|member| (member.cost_ms(now), member));
        costs.min_by(|(one, _), (other, _)| one.total_cmp(other))
    }

    /// Returns how far away the member at an index is.
    fn distance(&self, index: usize) -> Distance {
        if index < self.subset {
            Distance::Subset
        } else if index < self.local_count {
            Distance::DataCentre
        } else {
            Distance::Elsewhere
        }
    }

    pub(super) fn choose_holder(&self, request: &Request, now: Instant) -> Choice {
        if request.key.is_none() {
            return Choice::NoUpstream;
        }
        let Some(holder) = self.holder(request.key) else {
            return match self.is_evacuated() {
                true => Choice::Evacuated,
                false => Choice::NoHolder,
            };
        };
        if self.is_blocked(request.key, now) {
            return Choice::NoHolder;
        }
        match self.members.get(holder) {
            Some(member) if member.is_closed(self.drain, now) && self.is_evacuated() => {
                Choice::Evacuated
            }
            Some(member) if member.is_closed(self.drain, now) => Choice::NoHolder,
            Some(member)
                if self.is_cut_off(now)
                    && !is_usable(member, now)
                    && !(self.may_probe(now) && self.has_room(member, request, now)) =>
            {
                Choice::OutOfReach
            }
            Some(member) if self.has_room(member, request, now) || member.may_ask(now) => {
                Choice::Take(Arc::clone(&member.upstream))
            }
            Some(_) => Choice::Full,
            None => Choice::NoHolder,
        }
    }

    pub(super) fn holder(&self, key: Option<u16>) -> Option<&Arc<str>> {
        self.span(key?)?.holder.as_ref()
    }

    /// Whether another upstream than `upstream` holds a key now. Any request for the key that was
    /// sent to `upstream` has then ended or will never be answered.
    ///
    /// If a holder stops responding with requests under way, their callers can still be served by
    /// the next holder.
    pub fn has_moved(&self, key: u16, upstream: &str) -> bool {
        self.holder(Some(key))
            .is_some_and(|holder| **holder != *upstream)
    }

    pub(super) fn span(&self, key: u16) -> Option<&Span> {
        let spans = self.spans.as_ref()?;
        let index = spans.partition_point(|span| span.to < key);
        spans.get(index).filter(|span| span.from <= key)
    }
}
