//! End of the authority of a home: superseded by a later term, or handed over
//! under the same term when the router stops.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Router, Sequence, Term, Upstream, Version};

use super::Machine;
use crate::action::Action;
use crate::decision::{Reason, What};
use crate::message::{Handover, Message, Succession};
use crate::row;

/// Time between two questions about one handover.
pub(super) const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// End of the authority of this router over an upstream.
#[derive(Clone, Debug)]
pub(super) struct Ceded {
    pub(super) term: Term,
    pub(super) lapses_at: Instant,
    pub(super) settles_at: Instant,
    /// Next home under the same term, if there is one.
    pub(super) successor: Option<Successor>,
}

#[derive(Clone, Debug)]
pub(super) struct Successor {
    pub(super) router: Router,
    pub(super) authority_until: Instant,
    pub(super) incarnation: Option<Arc<str>>,
    pub(super) sequence: Sequence,
    pub(super) version: Version,
    pub(super) done: bool,
}

/// Offer that this router made or accepted.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) router: Router,
    pub(super) term: Term,
    pub(super) offered_at: Instant,
    pub(super) asked_at: Instant,
    /// Identifier of the acceptance, zero if this router made the offer.
    pub(super) question: u64,
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
    pub(super) fn tell_handover(&mut self, upstream: &Upstream, to: &Router, question: u64) {
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

    /// Asks earlier homes to end their authority.
    pub(super) fn ask_predecessor(&mut self, upstream: &Upstream, held_term: Term) {
        let row = self.view.homes.get(upstream).map(|home| home.row.clone());
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let Some((router, address)) = held.predecessor.clone() else {
            return;
        };
        let due = held
            .predecessor_asked_at
            .is_none_or(|at| self.now >= at + ASK_INTERVAL * 5);
        if !due || self.now >= held.settles_at || router == self.settings.router {
            return;
        }
        held.predecessor_asked_at = Some(self.now);
        let ask = Message::AskHandover {
            upstream: upstream.clone(),
            term: held_term,
        };
        for message in [Message::Rows(row.into_iter().collect()), ask] {
            self.out.push(Action::Tell {
                router: router.clone(),
                address,
                message,
            });
        }
    }

    pub(super) fn on_ask_handover(&mut self, from: &Router, upstream: &Upstream, term: Term) {
        let Some(ceded) = self.ceded.get(upstream) else {
            return;
        };
        match &ceded.successor {
            None if ceded.term.next() == term => self.tell_handover(upstream, from, 0),
            Some(successor) => {
                let home = self.view.homes.get(upstream).map(|it| it.row.clone());
                let to = successor.router.clone();
                self.tell(&to, Message::Rows(home.into_iter().collect()));
            }
            None => {}
        }
    }

    pub(super) fn poll_handovers(&mut self) {
        let asking: Vec<(Upstream, Term)> = self
            .held
            .iter()
            .filter(|(_, held)| held.predecessor.is_some())
            .map(|(upstream, held)| (upstream.clone(), held.term))
            .collect();
        for (upstream, term) in asking {
            self.ask_predecessor(&upstream, term);
        }
        self.accept_again();
        match self.draining {
            Some(since) if !self.drained => self.poll_drain(since),
            None => self.relieve_homes(),
            _ => {}
        }
    }

    pub(super) fn on_handover(&mut self, from: &Router, handover: Handover) {
        match &handover.succession {
            Some(succession) => self.succeed(from, &handover, succession.clone()),
            None => self.settle(&handover),
        }
    }

    fn settle(&mut self, handover: &Handover) {
        let bound = handover.lapses_in.max(handover.settles_in);
        let settles_at = self.now + self.settings.longer(bound);
        if let Some(held) = self.held.get_mut(&handover.upstream)
            && handover.term.next() == held.term
        {
            held.settles_at = held.settles_at.min(settles_at);
        }
    }
}
