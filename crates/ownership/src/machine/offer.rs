//! Handover under the same term: the router that gives a home away.

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router, Term, Upstream};
use indexmap::IndexSet;

use super::Machine;
use super::handover::{ASK_INTERVAL, Ceded, Offer, Successor};
use crate::action::Action;
use crate::decision::{Reason, What};
use crate::event::Member;
use crate::held::Held;
use crate::message::Message;
use crate::place;
use crate::row::Key;

/// Time after which a stopping router no longer waits for its successors.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two homes that are given to routers that have fewer.
const RELIEF_INTERVAL: Duration = Duration::from_secs(10);

/// Multiple of the fair number of homes that a router keeps.
const RELIEF_FACTOR: usize = 2;

impl Machine {
    pub(super) fn on_drain(&mut self) {
        if self.draining.is_none() {
            self.draining = Some(self.now);
        }
    }

    /// Offers a home to a router that has far fewer, one at a time.
    pub(super) fn relieve_homes(&mut self) {
        let recent = self.now < self.relieved_at + RELIEF_INTERVAL;
        if recent || self.members.is_empty() {
            return;
        }
        let fair = self.view.fleet.upstreams.len().div_ceil(self.members.len());
        if self.held.len() <= fair * RELIEF_FACTOR {
            return;
        }
        self.relieved_at = self.now;
        let settled = self.held.iter().find(|(upstream, held)| {
            held.is_granting() && held.is_settled(self.now) && !self.is_changing(upstream)
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
            let weight = place::weight(&member.router, upstream.as_str());
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
        let mut alone = false;
        for upstream in &upstreams {
            alone |= !self.offer(upstream);
        }
        let handing = |it: &Ceded| it.successor.as_ref().is_some_and(|it| !it.done);
        let handing = self.ceded.values().any(handing);
        let overdue = self.now >= since + DRAIN_TIMEOUT;
        if (upstreams.is_empty() && !handing) || alone || overdue {
            self.drained = true;
            self.out.push(Action::Drained);
        }
    }

    /// Offers an upstream to the next router. Returns whether there is one.
    pub(super) fn offer(&mut self, upstream: &Upstream) -> bool {
        let me = &self.settings.router;
        let willing = |it: &&Member| it.router != *me && !self.declined.contains(&it.router);
        let others = self.members.values().filter(willing);
        let data_centre = self.data_centre_of(upstream);
        let Some(next) = place::first(upstream, data_centre, others) else {
            return false;
        };
        let next = next.router.clone();
        self.offer_to(upstream, &next);
        true
    }

    pub(super) fn offer_to(&mut self, upstream: &Upstream, next: &Router) {
        let offered = self.offers.get(upstream);
        let recent = offered.is_some_and(|it| self.now < it.asked_at + ASK_INTERVAL);
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        if recent || held.is_loading() || self.is_changing(upstream) {
            return;
        }
        let term = held.term;
        let offer = Offer {
            router: next.clone(),
            term,
            offered_at: self.now,
            asked_at: self.now,
            question: 0,
        };
        self.offers.insert(upstream.clone(), offer);
        let message = Message::OfferHandover {
            upstream: upstream.clone(),
            term,
        };
        self.tell(next, message);
    }

    /// Notes that a router stops too, and offers the upstream to the next one.
    pub(super) fn on_decline(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        let offer = self.offers.get(upstream);
        let is_answer = |it: &Offer| it.router == *from && it.question == 0 && it.term == term;
        if offer.is_some_and(is_answer) && self.draining.is_some() {
            self.offers.swap_remove(upstream);
            self.declined.insert(from.clone());
        }
    }

    /// Returns whether a transaction that depends on this home is under way.
    pub(super) fn is_changing(&self, upstream: &Upstream) -> bool {
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
        question: u64,
    ) {
        let ready = self
            .offers
            .get(upstream)
            .is_some_and(|it| it.router == *from && it.question == 0 && it.term == term);
        let held = self.held.get(upstream).filter(|held| held.term == term);
        if let Some(held) = held
            && ready
            && !self.is_changing(upstream)
        {
            let ceded = self.ceded_to(held, from, self.now);
            self.ceded.insert(upstream.clone(), ceded);
            let delegate = (from.clone(), term);
            self.delegates.insert(upstream.clone(), delegate);
            self.held.swap_remove(upstream);
            self.offers.swap_remove(upstream);
            let what = What::Ceded {
                upstream: upstream.clone(),
                term,
                to: Some(from.clone()),
            };
            self.decide(what, Reason::Leaving);
        }
        let ceded = self.ceded.get(upstream).filter(|it| it.term == term);
        let successor = ceded.and_then(|it| it.successor.as_ref());
        if successor.is_some_and(|it| it.router == *from) {
            self.tell_handover(upstream, from, question);
        }
    }

    fn ceded_to(&self, held: &Held, router: &Router, now: Instant) -> Ceded {
        let holder = held.holder.clone().unwrap_or_else(|| self.process());
        Ceded {
            term: held.term,
            holder,
            lapses_at: held.ledger.lapses_at().unwrap_or(now),
            settles_at: held.settles_at,
            successor: Some(Successor {
                router: router.clone(),
                authority_until: held.authority_until,
                incarnation: held.proven_incarnation.clone(),
                sequence: held.sequence,
                version: held.version,
                done: false,
            }),
        }
    }

    pub(super) fn on_handover_done(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        if let Some(ceded) = self.ceded.get_mut(upstream)
            && ceded.term == term
            && let Some(successor) = &mut ceded.successor
            && successor.router == *from
        {
            successor.done = true;
        }
    }
}
