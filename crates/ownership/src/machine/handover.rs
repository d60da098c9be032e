//! End of the authority of a home: superseded by a later term, or handed over
//! under the same term when the router stops.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::Row;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Router, Sequence, Term, Upstream, Version};

use super::Machine;
use crate::action::Action;
use crate::decision::{Reason, What};
use crate::held::Earlier;
use crate::message::{Handover, Message, Succession};
use crate::row;

/// Time between two questions about one handover.
pub(super) const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// End of the authority of this router over an upstream.
#[derive(Clone, Debug)]
pub(super) struct Ceded {
    pub(super) term: Term,
    /// Router and start of the process in the row of the home.
    pub(super) holder: (Router, Arc<str>),
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
        // The router that handed over answers for what was done under its term.
        if let Some((delegator, _)) = held.holder {
            self.tell_handover(upstream, &delegator, 0);
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
    pub(super) fn process(&self) -> (Router, Arc<str>) {
        (
            self.settings.router.clone(),
            self.settings.nonce.as_str().into(),
        )
    }

    /// Returns the earlier homes that a new home waits for. What an earlier
    /// term of this process granted is known, unless another router went on
    /// under it.
    pub(super) fn wait_for(&self, upstream: &Upstream, home: &row::Home) -> Vec<Earlier> {
        let (router, nonce) = self.process();
        let own = self
            .ceded
            .get(upstream)
            .map_or(self.now, |ceded| ceded.lapses_at);
        let alone = !self.delegates.contains_key(upstream);
        let is_own = |prior: &row::Prior| alone && prior.router == router && prior.nonce == nonce;
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
        let term = held.term;
        let open = held.priors.iter().filter(|it| it.ended_at.is_none());
        let open: Vec<row::Prior> = open.map(|it| it.prior.clone()).collect();
        let rows: Vec<Row> = row.into_iter().collect();
        if let Some((delegate, _)) = self.delegates.get(upstream).cloned() {
            let nonce = self.settings.nonce.as_str().into();
            let upstream = upstream.clone();
            self.tell(&delegate, Message::Rows(rows.clone()));
            self.tell(
                &delegate,
                Message::AskHandover {
                    upstream,
                    nonce,
                    term,
                },
            );
        }
        for prior in open {
            let ask = Message::AskHandover {
                upstream: upstream.clone(),
                nonce: Arc::clone(&prior.nonce),
                term,
            };
            for message in [Message::Rows(rows.clone()), ask] {
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
        if self.held.contains_key(upstream) {
            return;
        }
        if self.acted_for(from, nonce, upstream, term) {
            return self.tell_handover(upstream, from, 0);
        }
        if nonce != self.settings.nonce {
            return;
        }
        let known = self.view.home(upstream).map(|home| home.term);
        if known.is_none_or(|known| known < term) {
            return;
        }
        if let Some((delegate, _)) = self.delegates.get(upstream).cloned() {
            let home = self.view.homes.get(upstream).map(|it| it.row.clone());
            return self.tell(&delegate, Message::Rows(home.into_iter().collect()));
        }
        let ceded = self.ceded.get(upstream);
        let lapses_at = ceded.map_or(self.now, |ceded| ceded.lapses_at);
        self.tell_ended(from, upstream, term, lapses_at);
    }

    /// Returns whether this router went on under a term of the asker and has
    /// ended since.
    fn acted_for(&self, asker: &Router, nonce: &str, upstream: &Upstream, term: Term) -> bool {
        let ended = |it: &Ceded| {
            let (router, holder) = &it.holder;
            let for_asker = router == asker && &**holder == nonce;
            for_asker && it.term < term && it.successor.is_none()
        };
        self.ceded.get(upstream).is_some_and(ended)
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

    pub(super) fn on_handover(&mut self, from: &Router, handover: Handover) {
        match &handover.succession {
            Some(succession) => self.succeed(from, &handover, succession.clone()),
            None => self.settle(from, handover),
        }
    }

    /// Notes that an earlier home has ended, and settles when all have.
    fn settle(&mut self, from: &Router, handover: Handover) {
        let delegate = self.delegates.get(&handover.upstream);
        if delegate.is_some_and(|(router, term)| router == from && *term <= handover.term) {
            self.delegates.swap_remove(&handover.upstream);
        }
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
}
