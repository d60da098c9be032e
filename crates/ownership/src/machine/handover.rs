//! End of the authority of a home: superseded by a later term, or handed over
//! under the same term when the router stops.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router, Sequence, Term, Upstream, Version};

use indexmap::IndexSet;

use super::Machine;
use crate::action::Action;
use crate::decision::{Reason, What};
use crate::held::{Earlier, Held};
use crate::message::{Handover, Message, Succession};
use crate::place;
use crate::row::{self, Key};

/// Time between two questions about one handover.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an accepted offer that led to nothing is dropped.
const OFFER_LIFETIME: Duration = Duration::from_secs(5);

/// Time after which a stopping router no longer waits for its successors.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two homes that are given to routers that have fewer.
const RELIEF_INTERVAL: Duration = Duration::from_secs(10);

/// Multiple of the fair number of homes that a router keeps.
const RELIEF_FACTOR: usize = 2;

/// Bits of the version of an acting home that count handovers of one term.
const HOP_BITS: u32 = 16;

/// End of the authority of this router over an upstream.
#[derive(Clone, Debug)]
pub(super) struct Ceded {
    term: Term,
    /// Router and start of the process in the row of the home.
    holder: (Router, Arc<str>),
    lapses_at: Instant,
    settles_at: Instant,
    /// Next home under the same term, if there is one.
    successor: Option<Successor>,
}

#[derive(Clone, Debug)]
struct Successor {
    router: Router,
    authority_until: Instant,
    incarnation: Option<Arc<str>>,
    sequence: Sequence,
    version: Version,
    done: bool,
}

/// Offer that this router made or accepted.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    router: Router,
    term: Term,
    offered_at: Instant,
    asked_at: Instant,
    /// Identifier of the acceptance, zero if this router made the offer.
    question: u64,
}

impl Machine {
    /// Ends the authority over an upstream after a later term was seen.
    pub(super) fn cede(&mut self, upstream: &Upstream, next: Option<&row::Home>) {
        let Some(held) = self.held.swap_remove(upstream) else {
            return;
        };
        self.offers.swap_remove(upstream);
        let ceded = Ceded {
            term: held.term,
            holder: held.holder.clone().unwrap_or_else(|| self.process()),
            lapses_at: held.ledger.lapses_at().unwrap_or(self.now),
            settles_at: held.settles_at,
            successor: None,
        };
        self.ceded.insert(upstream.clone(), ceded);
        let what = What::Ceded {
            upstream: upstream.clone(),
            term: held.term,
            to: next.map(|home| home.router.clone()),
        };
        self.decide(what, Reason::Superseded);
        if let Some(next) = next {
            self.tell_handover(upstream, &next.router.clone(), 0);
        }
    }

    /// Tells the next home that this router no longer gives orders.
    fn tell_handover(&mut self, upstream: &Upstream, to: &Router, question: u64) {
        let Some(ceded) = self.ceded.get(upstream) else {
            return;
        };
        let succession = ceded
            .successor
            .as_ref()
            .map(|it| self.succession(upstream, it));
        let handover = Handover {
            upstream: upstream.clone(),
            term: ceded.term,
            holder: ceded.holder.clone(),
            lapses_in: ceded.lapses_at - self.now,
            settles_in: ceded.settles_at - self.now,
            question,
            succession,
        };
        self.tell(to, Message::Handover(handover));
    }

    fn succession(&self, upstream: &Upstream, successor: &Successor) -> Succession {
        let home = self.view.homes.get(upstream).map(|home| &home.row);
        let acting = self.view.acting.get(upstream).map(|home| &home.row);
        let service = self.view.service_of(upstream);
        let blocks = service.and_then(|it| self.view.services.get(it));
        let blocks = blocks.into_iter().flat_map(|it| &it.blocks);
        let rows = blocks.filter_map(|block| block.row.as_ref());
        Succession {
            authority: successor.authority_until - self.now,
            incarnation: successor.incarnation.clone(),
            sequence: successor.sequence,
            version: successor.version,
            rows: home
                .into_iter()
                .chain(acting)
                .chain(rows)
                .cloned()
                .collect(),
        }
    }

    /// Router and start of this process.
    fn process(&self) -> (Router, Arc<str>) {
        (
            self.settings.router.clone(),
            self.settings.nonce.as_str().into(),
        )
    }

    /// Returns the earlier homes that a new home waits for. What an earlier
    /// term of this process granted is known.
    pub(super) fn wait_for(&self, upstream: &Upstream, home: &row::Home) -> Vec<Earlier> {
        let (router, nonce) = self.process();
        let own = self
            .ceded
            .get(upstream)
            .map_or(self.now, |ceded| ceded.lapses_at);
        let is_own = |prior: &row::Prior| prior.router == router && prior.nonce == nonce;
        let priors = home.priors.iter().cloned();
        let earlier = |prior: row::Prior| Earlier {
            ended_at: is_own(&prior).then_some(own),
            prior,
        };
        priors.map(earlier).collect()
    }

    /// Asks earlier homes to end their authority.
    fn ask_priors(&mut self, upstream: &Upstream) {
        let row = self.view.homes.get(upstream).map(|home| home.row.clone());
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let due = held
            .priors_asked_at
            .is_none_or(|at| now >= at + ASK_INTERVAL * 5);
        if !due || now >= held.settles_at {
            return;
        }
        held.priors_asked_at = Some(now);
        let open = held.priors.iter().filter(|it| it.ended_at.is_none());
        for Earlier { prior, .. } in open {
            let ask = Message::AskHandover {
                upstream: upstream.clone(),
                nonce: Arc::clone(&prior.nonce),
                term: held.term,
            };
            for message in [Message::Rows(row.iter().cloned().collect()), ask] {
                self.out.push(Action::Tell {
                    router: prior.router.clone(),
                    address: prior.address,
                    message,
                });
            }
        }
    }

    /// Answers a later home. The row that it sent before has ended what this
    /// process held; a process that never held the upstream can't do so under
    /// an earlier term any more.
    pub(super) fn on_ask_handover(
        &mut self,
        from: &Router,
        upstream: &Upstream,
        nonce: &str,
        term: Term,
    ) {
        if nonce != self.settings.nonce || self.held.contains_key(upstream) {
            return;
        }
        let known = self.view.home(upstream).map(|home| home.term);
        if known.is_none_or(|known| known < term) {
            return;
        }
        match self.ceded.get(upstream) {
            Some(Ceded {
                successor: Some(successor),
                ..
            }) => {
                let home = self.view.homes.get(upstream).map(|it| it.row.clone());
                let to = successor.router.clone();
                self.tell(&to, Message::Rows(home.into_iter().collect()));
            }
            ceded => {
                let lapses_at = ceded.map_or(self.now, |ceded| ceded.lapses_at);
                self.tell_ended(from, upstream, term, lapses_at);
            }
        }
    }

    /// Tells that this process gives no orders of a term before `term`.
    fn tell_ended(&mut self, to: &Router, upstream: &Upstream, term: Term, lapses_at: Instant) {
        let handover = Handover {
            upstream: upstream.clone(),
            term: Term(term.0.saturating_sub(1)),
            holder: self.process(),
            lapses_in: lapses_at - self.now,
            settles_in: Duration::ZERO,
            question: 0,
            succession: None,
        };
        self.tell(to, Message::Handover(handover));
    }

    pub(super) fn on_drain(&mut self) {
        if self.draining.is_none() {
            self.draining = Some(self.now);
        }
    }

    pub(super) fn poll_handovers(&mut self) {
        let asking = self.held.iter().filter(|(_, held)| !held.priors.is_empty());
        let asking: Vec<Upstream> = asking.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in asking {
            self.ask_priors(&upstream);
        }
        self.accept_again();
        match self.draining {
            Some(since) if !self.drained => self.poll_drain(since),
            None => self.relieve_homes(),
            _ => {}
        }
    }

    /// Accepts offers again whose answer is overdue.
    fn accept_again(&mut self) {
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

    fn accept(&mut self, from: &Router, upstream: &Upstream, term: Term, offered_at: Instant) {
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

    /// Offers a home to a router that has far fewer, one at a time.
    fn relieve_homes(&mut self) {
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

    fn poll_drain(&mut self, since: Instant) {
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
    fn offer(&mut self, upstream: &Upstream) -> bool {
        let me = &self.settings.router;
        let others = self.members.values().filter(|it| it.router != *me);
        let data_centre = self.data_centre_of(upstream);
        let Some(next) = place::first(upstream, data_centre, others) else {
            return false;
        };
        let next = next.router.clone();
        self.offer_to(upstream, &next);
        true
    }

    fn offer_to(&mut self, upstream: &Upstream, next: &Router) {
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

    /// Returns whether a transaction that depends on this home is under way.
    fn is_changing(&self, upstream: &Upstream) -> bool {
        let key = Key::Home(upstream.clone()).text();
        let checks = |it: &crate::write::Pending| {
            let mut checks = it.transaction.checks.iter();
            checks.any(|check| check.key == key)
        };
        self.pending.values().any(checks)
    }

    pub(super) fn on_offer(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        if self.draining.is_some() || self.held.contains_key(upstream) {
            return;
        }
        self.accept(from, upstream, term, self.now);
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

    pub(super) fn on_handover(&mut self, from: &Router, handover: Handover) {
        match &handover.succession {
            Some(succession) => self.succeed(from, &handover, succession.clone()),
            None => self.settle(handover),
        }
    }

    /// Notes that an earlier home has ended, and settles when all have.
    fn settle(&mut self, handover: Handover) {
        let ended_at = self.now + self.settings.longer(handover.lapses_in);
        let Some(held) = self.held.get_mut(&handover.upstream) else {
            return;
        };
        if handover.term >= held.term {
            return;
        }
        let (router, nonce) = handover.holder;
        for Earlier {
            prior,
            ended_at: ended,
        } in &mut held.priors
        {
            if prior.router == router && prior.nonce == nonce && prior.term <= handover.term {
                *ended = Some(ended.map_or(ended_at, |at| at.min(ended_at)));
            }
        }
        held.settle_when_all_ended();
    }

    /// Becomes home under the same term.
    fn succeed(&mut self, from: &Router, handover: &Handover, succession: Succession) {
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
    fn spread_acting(&mut self, upstream: &Upstream, base: Version) {
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

    fn confirm(&mut self, to: &Router, upstream: &Upstream, term: Term) {
        if self.held.get(upstream).is_some_and(|it| it.term >= term) {
            let message = Message::HandoverDone {
                upstream: upstream.clone(),
                term,
            };
            self.tell(to, message);
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
