//! Handover under the same term: the router that goes on.

use std::time::Duration;

use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Router, Term, Upstream, Version};

use super::Machine;
use super::handover::{ASK_INTERVAL, Offer};
use crate::action::Action;
use crate::decision::{Reason, What};
use crate::held::Held;
use crate::message::{Handover, Message, Succession};
use crate::row::Key;

/// Time after which an accepted offer that led to nothing is dropped.
const OFFER_LIFETIME: Duration = Duration::from_secs(5);

/// Bits of the version of an acting home that count handovers of one term.
const HOP_BITS: u32 = 16;

impl Machine {
    /// Accepts offers again whose answer is overdue.
    pub(super) fn accept_again(&mut self) {
        let now = self.now;
        self.offers
            .retain(|_, offer| offer.question == 0 || now < offer.offered_at + OFFER_LIFETIME);
        let overdue = |it: &Offer| it.question != 0 && now >= it.asked_at + ASK_INTERVAL;
        let offers = self.offers.iter().filter(|(_, offer)| overdue(offer));
        let overdue: Vec<_> = offers
            .map(|(upstream, offer)| (upstream.clone(), offer.clone()))
            .collect();
        for (upstream, offer) in overdue {
            self.accept(&offer.router, &upstream, offer.term, offer.offered_at);
        }
    }

    pub(super) fn accept(
        &mut self,
        from: &Router,
        upstream: &Upstream,
        term: Term,
        offered_at: Instant,
    ) {
        let question = self.take_id();
        let offer = Offer {
            router: from.clone(),
            term,
            offered_at,
            asked_at: self.now,
            question,
        };
        self.offers.insert(upstream.clone(), offer);
        let message = Message::AcceptHandover {
            upstream: upstream.clone(),
            term,
            question,
        };
        self.tell(from, message);
    }

    pub(super) fn on_offer(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        if self.draining.is_some() {
            let message = Message::DeclineHandover {
                upstream: upstream.clone(),
                term,
            };
            return self.tell(from, message);
        }
        if self.held.contains_key(upstream) {
            return;
        }
        self.accept(from, upstream, term, self.now);
    }

    /// Becomes home under the same term.
    pub(super) fn succeed(&mut self, from: &Router, handover: &Handover, succession: Succession) {
        let upstream = &handover.upstream;
        let accepted = self.offers.get(upstream).filter(|it| {
            it.router == *from && it.question != 0 && it.question == handover.question
        });
        let Some(accepted) = accepted.cloned() else {
            self.confirm(from, upstream, handover.term);
            return;
        };
        self.offers.swap_remove(upstream);
        self.learn(succession.rows);
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
        held.authority_until = asked_at + self.settings.shorter(succession.authority);
        let bound = handover.lapses_in.max(handover.settles_in);
        held.settles_at = now + self.settings.longer(bound);
        held.proven_incarnation = succession.incarnation;
        held.sequence = succession.sequence;
        held.is_acting = true;
        held.holder = Some(handover.holder.clone());
        self.held.insert(upstream.clone(), held);
        self.spread_acting(upstream, succession.version);
        self.finish_loading(upstream);
        self.confirm(from, upstream, handover.term);
        let what = What::Home {
            upstream: upstream.clone(),
            term: handover.term,
        };
        self.decide(what, Reason::Leaving);
    }

    /// Tells all routers that this one goes on under the term of another.
    pub(super) fn spread_acting(&mut self, upstream: &Upstream, base: Version) {
        let Some(mut home) = self.view.home(upstream).cloned() else {
            return;
        };
        home.router = self.settings.router.clone();
        home.nonce = self.settings.nonce.as_str().into();
        home.address = self.settings.address;
        let known = self.view.acting.get(upstream);
        let known = known.map_or(Version(0), |it| it.row.version);
        let version = known.max(Version(base.0 << HOP_BITS)).next();
        let row = Row {
            key: Key::Acting(upstream.clone()).text(),
            version,
            operation: Operation(format!("{}-{}-acting", home.router, home.nonce).into()),
            value: home.encode(),
        };
        self.learn(vec![row.clone()]);
        self.out.push(Action::Spread(vec![row]));
    }

    pub(super) fn confirm(&mut self, to: &Router, upstream: &Upstream, term: Term) {
        if self.held.get(upstream).is_some_and(|it| it.term >= term) {
            let message = Message::HandoverDone {
                upstream: upstream.clone(),
                term,
            };
            self.tell(to, message);
        }
    }
}
