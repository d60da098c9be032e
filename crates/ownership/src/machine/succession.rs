//! Handover under the same term: the router that continues the term.

use std::time::Duration;

use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Router, Term, Upstream, Version};

use super::Machine;
use super::handover::{HANDOVER_RETRY_INTERVAL, Offer};
use crate::action::Action;
use crate::decision::{DecisionKind, Reason};
use crate::held::Held;
use crate::message::{Handover, Message, Succession};
use crate::row::Key;

/// Time after which an accepted offer without a handover is dropped.
const OFFER_LIFETIME: Duration = Duration::from_secs(5);

/// Number of low bits in the version of an acting home that count the handovers under one
/// term.
const HANDOVER_COUNT_BITS: u32 = 16;

impl Machine {
    /// Sends acceptances again whose answer is overdue.
    pub(super) fn retry_acceptances(&mut self) {
        let now = self.now;
        self.offers
            .retain(|_, offer| offer.request_id == 0 || now < offer.offered_at + OFFER_LIFETIME);
        let overdue =
            |it: &Offer| it.request_id != 0 && now >= it.asked_at + HANDOVER_RETRY_INTERVAL;
        let offers = self.offers.iter().filter(|(_, offer)| overdue(offer));
        let overdue: Vec<_> = offers
            .map(|(upstream, offer)| (upstream.clone(), offer.clone()))
            .collect();
        for (upstream, offer) in overdue {
            self.accept_offer(&offer.router, &upstream, offer.term, offer.offered_at);
        }
    }

    pub(super) fn accept_offer(
        &mut self,
        from: &Router,
        upstream: &Upstream,
        term: Term,
        offered_at: Instant,
    ) {
        let request_id = self.allocate_id();
        let offer = Offer {
            router: from.clone(),
            term,
            offered_at,
            asked_at: self.now,
            request_id,
        };
        self.offers.insert(upstream.clone(), offer);
        let message = Message::AcceptHandover {
            upstream: upstream.clone(),
            term,
            request_id,
        };
        self.send(from, message);
    }

    pub(super) fn on_offer(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        if self.draining_since.is_some() {
            let message = Message::DeclineHandover {
                upstream: upstream.clone(),
                term,
            };
            return self.send(from, message);
        }
        if self.held.contains_key(upstream) {
            return;
        }
        self.accept_offer(from, upstream, term, self.now);
    }

    /// Becomes home under the same term after a handover.
    pub(super) fn become_successor(
        &mut self,
        from: &Router,
        handover: &Handover,
        succession: Succession,
    ) {
        let upstream = &handover.upstream;
        let accepted = self.offers.get(upstream).filter(|it| {
            it.router == *from && it.request_id != 0 && it.request_id == handover.request_id
        });
        let Some(accepted) = accepted.cloned() else {
            self.confirm_handover(from, upstream, handover.term);
            return;
        };
        self.offers.swap_remove(upstream);
        self.apply_rows(succession.rows);
        if self.view.home_version(upstream) != succession.version
            || self.held.contains_key(upstream)
        {
            return;
        }
        let now = self.now;
        let asked_at = accepted.asked_at;
        let mut held = Held::new(
            handover.term,
            succession.version,
            asked_at,
            now,
            &self.settings,
        );
        held.authority_until = asked_at + self.settings.lower_bound(succession.authority);
        let bound = handover.lapses_in.max(handover.settles_in);
        held.settles_at = now + self.settings.upper_bound(bound);
        held.proven_incarnation = succession.incarnation;
        held.sequence = succession.sequence;
        held.is_acting = true;
        held.holder = Some(handover.holder.clone());
        self.held.insert(upstream.clone(), held);
        self.broadcast_acting(upstream, succession.version);
        self.finish_loading(upstream);
        self.confirm_handover(from, upstream, handover.term);
        let what = DecisionKind::Home {
            upstream: upstream.clone(),
            term: handover.term,
        };
        self.record_decision(what, Reason::Leaving);
    }

    /// Tells all routers that this router continues the term of another router.
    pub(super) fn broadcast_acting(&mut self, upstream: &Upstream, base: Version) {
        let Some(mut home) = self.view.home(upstream).cloned() else {
            return;
        };
        home.router = self.settings.router.clone();
        home.nonce = self.settings.nonce.as_str().into();
        home.address = self.settings.address;
        let known = self.view.acting.get(upstream);
        let known = known.map_or(Version(0), |it| it.row.version);
        let version = known.max(Version(base.0 << HANDOVER_COUNT_BITS)).next();
        let row = Row {
            key: Key::Acting(upstream.clone()).text(),
            version,
            operation: Operation(format!("{}-{}-acting", home.router, home.nonce).into()),
            value: home.encode(),
        };
        self.apply_rows(vec![row.clone()]);
        self.actions.push(Action::Broadcast(vec![row]));
    }

    pub(super) fn confirm_handover(&mut self, to: &Router, upstream: &Upstream, term: Term) {
        if self.held.get(upstream).is_some_and(|it| it.term >= term) {
            let message = Message::HandoverDone {
                upstream: upstream.clone(),
                term,
            };
            self.send(to, message);
        }
    }
}
