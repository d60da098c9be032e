//! Handover under the same term: the router that gives up an upstream.

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router, Term, Upstream};
use indexmap::IndexSet;

use super::Machine;
use super::handover::{CededHome, HANDOVER_RETRY_INTERVAL, Offer, Successor};
use crate::action::Action;
use crate::decision::{DecisionKind, Reason};
use crate::event::Member;
use crate::held::Held;
use crate::message::Message;
use crate::placement;
use crate::row::Key;

/// Time after which a draining router stops waiting for its successors.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Least time between two offers of homes to routers that have fewer.
const HOME_REBALANCE_INTERVAL: Duration = Duration::from_secs(10);

/// Multiple of the mean number of homes per router above which a router gives up homes.
const MAX_HOMES_FACTOR: usize = 2;

impl Machine {
    pub(super) fn on_drain(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
        }
    }

    /// Offers one home to a router that has fewer, if this router has far too many.
    pub(super) fn rebalance_homes(&mut self) {
        let recent = self.now < self.homes_rebalanced_at + HOME_REBALANCE_INTERVAL;
        if recent || self.members.is_empty() {
            return;
        }
        let fair = self.view.fleet.upstreams.len().div_ceil(self.members.len());
        if self.held.len() <= fair * MAX_HOMES_FACTOR {
            return;
        }
        self.homes_rebalanced_at = self.now;
        let settled = self.held.iter().find(|(upstream, held)| {
            held.is_granting() && held.is_settled(self.now) && !self.has_dependent_write(upstream)
        });
        let Some(upstream) = settled.map(|(upstream, _)| upstream.clone()) else {
            return;
        };
        let data_centre = self.data_centre_of(&upstream);
        let homes = |router: &Router| self.view.by_router.get(router).map_or(0, IndexSet::len);
        let me = &self.settings.router;
        let others = self.members.values().filter(|it| it.router != *me);
        let next = others.min_by_key(|member| {
            let near = Some(&member.data_centre) == data_centre;
            let weight = placement::weight(&member.router, upstream.as_str());
            (
                homes(&member.router) > fair,
                near,
                homes(&member.router),
                weight,
            )
        });
        if let Some(next) = next.map(|it| it.router.clone()) {
            self.offer_to(&upstream, &next);
        }
    }

    pub(super) fn poll_drain(&mut self, since: Instant) {
        let upstreams: Vec<Upstream> = self.held.keys().cloned().collect();
        let mut has_no_successor = false;
        for upstream in &upstreams {
            has_no_successor |= !self.offer(upstream);
        }
        let is_handing_over = |it: &CededHome| it.successor.as_ref().is_some_and(|it| !it.is_done);
        let is_handing_over = self.ceded.values().any(is_handing_over);
        let overdue = self.now >= since + DRAIN_TIMEOUT;
        if (upstreams.is_empty() && !is_handing_over) || has_no_successor || overdue {
            self.is_drained = true;
            self.actions.push(Action::Drained);
        }
    }

    /// Offers an upstream to the router that ranks first. Returns whether there is one.
    pub(super) fn offer(&mut self, upstream: &Upstream) -> bool {
        let me = &self.settings.router;
        let is_candidate =
            |it: &&Member| it.router != *me && !self.declined_routers.contains(&it.router);
        let others = self.members.values().filter(is_candidate);
        let data_centre = self.data_centre_of(upstream);
        let Some(next) = placement::preferred_home(upstream, data_centre, others) else {
            return false;
        };
        let next = next.router.clone();
        self.offer_to(upstream, &next);
        true
    }

    pub(super) fn offer_to(&mut self, upstream: &Upstream, next: &Router) {
        let offered = self.offers.get(upstream);
        let recent = offered.is_some_and(|it| self.now < it.asked_at + HANDOVER_RETRY_INTERVAL);
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        if recent || held.is_loading() || self.has_dependent_write(upstream) {
            return;
        }
        let term = held.term;
        let offer = Offer {
            router: next.clone(),
            term,
            offered_at: self.now,
            asked_at: self.now,
            request_id: 0,
        };
        self.offers.insert(upstream.clone(), offer);
        let message = Message::OfferHandover {
            upstream: upstream.clone(),
            term,
        };
        self.send(next, message);
    }

    /// Records that a router declined because it stops as well. The next poll offers the
    /// upstream to another router.
    pub(super) fn on_decline(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        let offer = self.offers.get(upstream);
        let is_answer = |it: &Offer| it.router == *from && it.request_id == 0 && it.term == term;
        if offer.is_some_and(is_answer) && self.draining_since.is_some() {
            self.offers.swap_remove(upstream);
            self.declined_routers.insert(from.clone());
        }
    }

    /// Returns whether a pending transaction depends on this home.
    pub(super) fn has_dependent_write(&self, upstream: &Upstream) -> bool {
        let key = Key::Home(upstream.clone()).text();
        let checks = |it: &crate::write::Pending| {
            let mut checks = it.transaction.checks.iter();
            checks.any(|check| check.key == key)
        };
        self.pending.values().any(checks)
    }

    pub(super) fn on_accept(
        &mut self,
        from: &Router,
        upstream: &Upstream,
        term: Term,
        request_id: u64,
    ) {
        let ready = self
            .offers
            .get(upstream)
            .is_some_and(|it| it.router == *from && it.request_id == 0 && it.term == term);
        let held = self.held.get(upstream).filter(|held| held.term == term);
        if let Some(held) = held
            && ready
            && !self.has_dependent_write(upstream)
        {
            let ceded = self.ceded_to(held, from, self.now);
            self.ceded.insert(upstream.clone(), ceded);
            let delegate = (from.clone(), term);
            self.delegates.insert(upstream.clone(), delegate);
            self.held.swap_remove(upstream);
            self.offers.swap_remove(upstream);
            let what = DecisionKind::Ceded {
                upstream: upstream.clone(),
                term,
                to: Some(from.clone()),
            };
            self.record_decision(what, Reason::Leaving);
        }
        let ceded = self.ceded.get(upstream).filter(|it| it.term == term);
        let successor = ceded.and_then(|it| it.successor.as_ref());
        if successor.is_some_and(|it| it.router == *from) {
            self.send_handover(upstream, from, request_id);
        }
    }

    fn ceded_to(&self, held: &Held, router: &Router, now: Instant) -> CededHome {
        let holder = held
            .holder
            .clone()
            .unwrap_or_else(|| self.process_identity());
        CededHome {
            term: held.term,
            holder,
            expires_at: held.outstanding.expires_at().unwrap_or(now),
            settles_at: held.settles_at,
            successor: Some(Successor {
                router: router.clone(),
                authority_until: held.authority_until,
                incarnation: held.proven_incarnation.clone(),
                sequence: held.sequence,
                version: held.version,
                is_done: false,
            }),
        }
    }

    pub(super) fn on_handover_done(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        if let Some(ceded) = self.ceded.get_mut(upstream)
            && ceded.term == term
            && let Some(successor) = &mut ceded.successor
            && successor.router == *from
        {
            successor.is_done = true;
        }
    }
}
