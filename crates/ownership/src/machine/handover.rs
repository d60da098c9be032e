//! End of the authority of a home: a later term superseded it, or the router handed it
//! over under the same term because it stops or has too many homes.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::Row;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Router, Sequence, Term, Upstream, Version};

use super::Machine;
use crate::action::Action;
use crate::decision::{DecisionKind, Reason};
use crate::held::EarlierHome;
use crate::message::{Handover, Message, Succession};
use crate::row;

/// Time after which an unanswered handover message is sent again. Requests to earlier
/// homes use a multiple of it.
pub(super) const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Ended authority of this router over an upstream.
#[derive(Clone, Debug)]
pub(super) struct CededHome {
    pub(super) term: Term,
    /// Router and nonce of the process in the home row.
    pub(super) holder: (Router, Arc<str>),
    pub(super) expires_at: Instant,
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
    pub(super) is_done: bool,
}

/// Offer of a handover that this router made or accepted.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) router: Router,
    pub(super) term: Term,
    pub(super) offered_at: Instant,
    pub(super) asked_at: Instant,
    /// Identifier of the acceptance, zero if this router made the offer.
    pub(super) request_id: u64,
}

impl Machine {
    /// Ends the authority over an upstream after a later term was seen.
    pub(super) fn cede(&mut self, upstream: &Upstream, next: Option<&row::Home>) {
        let Some(held) = self.held.swap_remove(upstream) else {
            return;
        };
        self.offers.swap_remove(upstream);
        let ceded = CededHome {
            term: held.term,
            holder: held
                .holder
                .clone()
                .unwrap_or_else(|| self.process_identity()),
            expires_at: held.outstanding.expires_at().unwrap_or(self.now),
            settles_at: held.settles_at,
            successor: None,
        };
        self.ceded.insert(upstream.clone(), ceded);
        let what = DecisionKind::Ceded {
            upstream: upstream.clone(),
            term: held.term,
            to: next.map(|home| home.router.clone()),
        };
        self.record_decision(what, Reason::Superseded);
        if let Some(next) = next {
            self.send_handover(upstream, &next.router.clone(), 0);
        }
        // The router that handed over its term can report the end of its authority only
        // after this router has ended.
        if let Some((delegator, _)) = held.holder {
            self.send_handover(upstream, &delegator, 0);
        }
    }

    /// Tells a router that this router no longer gives orders.
    pub(super) fn send_handover(&mut self, upstream: &Upstream, to: &Router, request_id: u64) {
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
            lapses_in: ceded.expires_at - self.now,
            settles_in: ceded.settles_at - self.now,
            request_id,
            succession,
        };
        self.send(to, Message::Handover(handover));
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

    /// Returns the router and the nonce of this process.
    pub(super) fn process_identity(&self) -> (Router, Arc<str>) {
        (
            self.settings.router.clone(),
            self.settings.nonce.as_str().into(),
        )
    }

    /// Returns the earlier homes that a new home waits for. The end of an earlier term of
    /// this process is known, unless another router continued that term.
    pub(super) fn earlier_homes(&self, upstream: &Upstream, home: &row::Home) -> Vec<EarlierHome> {
        let (router, nonce) = self.process_identity();
        let own = self
            .ceded
            .get(upstream)
            .map_or(self.now, |ceded| ceded.expires_at);
        let alone = !self.delegates.contains_key(upstream);
        let is_own = |prior: &row::Prior| alone && prior.router == router && prior.nonce == nonce;
        let priors = home.priors.iter().cloned();
        let earlier = |prior: row::Prior| EarlierHome {
            ended_at: is_own(&prior).then_some(own),
            prior,
        };
        priors.map(earlier).collect()
    }

    /// Asks earlier homes to end their authority.
    fn request_handovers(&mut self, upstream: &Upstream) {
        let row = self.view.homes.get(upstream).map(|home| home.row.clone());
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let due = held
            .handovers_requested_at
            .is_none_or(|at| now >= at + HANDOVER_RETRY_INTERVAL * 5);
        if !due || now >= held.settles_at {
            return;
        }
        held.handovers_requested_at = Some(now);
        let term = held.term;
        let open = held.priors.iter().filter(|it| it.ended_at.is_none());
        let open: Vec<row::Prior> = open.map(|it| it.prior.clone()).collect();
        let rows: Vec<Row> = row.into_iter().collect();
        if let Some((delegate, _)) = self.delegates.get(upstream).cloned() {
            let nonce = self.settings.nonce.as_str().into();
            let upstream = upstream.clone();
            self.send(&delegate, Message::Rows(rows.clone()));
            self.send(
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
                self.actions.push(Action::Send {
                    router: prior.router.clone(),
                    address: prior.address,
                    message,
                });
            }
        }
    }

    /// Answers a later home that asks for a handover. The home row that it sent first has
    /// ended any authority of this process. A process that was never home of the upstream
    /// can no longer become home under an earlier term.
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
        if self.has_acted_for(from, nonce, upstream, term) {
            return self.send_handover(upstream, from, 0);
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
            return self.send(&delegate, Message::Rows(home.into_iter().collect()));
        }
        let ceded = self.ceded.get(upstream);
        let expires_at = ceded.map_or(self.now, |ceded| ceded.expires_at);
        self.send_ended_authority(from, upstream, term, expires_at);
    }

    /// Returns whether this router continued a term of the asking process and has ended
    /// since.
    fn has_acted_for(&self, asker: &Router, nonce: &str, upstream: &Upstream, term: Term) -> bool {
        let ended = |it: &CededHome| {
            let (router, holder) = &it.holder;
            let for_asker = router == asker && &**holder == nonce;
            for_asker && it.term < term && it.successor.is_none()
        };
        self.ceded.get(upstream).is_some_and(ended)
    }

    /// Tells that this process gives no orders under a term before `term`.
    fn send_ended_authority(
        &mut self,
        to: &Router,
        upstream: &Upstream,
        term: Term,
        expires_at: Instant,
    ) {
        let handover = Handover {
            upstream: upstream.clone(),
            term: Term(term.0.saturating_sub(1)),
            holder: self.process_identity(),
            lapses_in: expires_at - self.now,
            settles_in: Duration::ZERO,
            request_id: 0,
            succession: None,
        };
        self.send(to, Message::Handover(handover));
    }

    pub(super) fn poll_handovers(&mut self) {
        let asking = self.held.iter().filter(|(_, held)| !held.priors.is_empty());
        let asking: Vec<Upstream> = asking.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in asking {
            self.request_handovers(&upstream);
        }
        self.retry_acceptances();
        match self.draining_since {
            Some(since) if !self.is_drained => self.poll_drain(since),
            None => self.rebalance_homes(),
            _ => {}
        }
    }

    pub(super) fn on_handover(&mut self, from: &Router, handover: Handover) {
        match &handover.succession {
            Some(succession) => self.become_successor(from, &handover, succession.clone()),
            None => self.record_ended_authority(from, handover),
        }
    }

    /// Records that an earlier home has ended, and updates when this home is settled.
    fn record_ended_authority(&mut self, from: &Router, handover: Handover) {
        let delegate = self.delegates.get(&handover.upstream);
        if delegate.is_some_and(|(router, term)| router == from && *term <= handover.term) {
            self.delegates.swap_remove(&handover.upstream);
        }
        let ended_at = self.now + self.settings.upper_bound(handover.lapses_in);
        let Some(held) = self.held.get_mut(&handover.upstream) else {
            return;
        };
        if handover.term >= held.term {
            return;
        }
        let (router, nonce) = handover.holder;
        for EarlierHome {
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
