//! Leases: tickets, orders, and the answers of the upstreams whose home is this router.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrassrock_model::Upstream;

use super::Machine;
use crate::action::Action;
use crate::decision::{DecisionKind, Reason};
use crate::grant::{Answer, Grant, Refusal, Ticket};
use crate::held::{AnswerMatch, Held};
use crate::liveness::{Signal, State};
use crate::row::Key;

/// Next request to send to an upstream.
enum NextRequest {
    Nothing,
    Ticket,
    Order,
}

impl Machine {
    /// Returns whether an upstream refuses orders of an earlier term.
    pub(super) fn checks_orders(&self, upstream: &Upstream) -> bool {
        let declared = self.view.declared(upstream);
        declared.is_some_and(|it| it.checks_orders)
    }

    fn address_of(&self, upstream: &Upstream) -> Option<SocketAddr> {
        Some(self.view.declared(upstream)?.address)
    }

    /// Records that the rows of the shards were read after the takeover.
    pub(super) fn finish_loading(&mut self, upstream: &Upstream) {
        if let Some(held) = self.held.get_mut(upstream) {
            held.handle(Signal::Loaded);
            held.has_stale_grants = true;
            held.next_heartbeat = self.now;
            let since = held.home_since;
            held.gained_at = self.view.owned(upstream).map(|it| (it, since)).collect();
        }
    }

    pub(super) fn on_ticket(&mut self, upstream: &Upstream, id: u64, ticket: Option<Ticket>) {
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let was_alive = held.is_alive();
        let counts = match ticket {
            Some(ticket) => held.record_ticket(id, &ticket, now),
            None => {
                held.record_ticket_failure(id);
                false
            }
        };
        if counts {
            held.next_heartbeat = now;
            self.record_liveness(upstream, was_alive);
        }
    }

    pub(super) fn on_answered(&mut self, upstream: &Upstream, id: u64, answer: &Answer) {
        let checks_orders = self.checks_orders(upstream);
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let was_alive = held.is_alive();
        let matched = held.record_answer(id, answer, checks_orders, now, &self.settings);
        match answer {
            // An answer to an order under an earlier term of this router proves nothing
            // about the present term.
            Answer::Accepted(_) if checks_orders && matched != AnswerMatch::Unrelated => {
                held.settles_at = held.settles_at.min(now);
            }
            Answer::Refused {
                reason: Refusal::Term,
                ..
            } => self.read_row(Key::Home(upstream.clone()).text()),
            _ => {}
        }
        if matched == AnswerMatch::Current && *answer != Answer::Unknown {
            self.record_liveness(upstream, was_alive);
            self.actions.push(Action::RoutesChanged);
        }
    }

    fn record_liveness(&mut self, upstream: &Upstream, was_alive: bool) {
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let receives = held.is_granting();
        if std::mem::replace(&mut held.is_reported_available, receives) != receives {
            self.next_report = self.now;
        }
        let alive = held.is_alive();
        if alive == was_alive {
            return;
        }
        let reason = if alive {
            Reason::Answered
        } else {
            Reason::Silent
        };
        let what = DecisionKind::Upstream {
            upstream: upstream.clone(),
            alive,
        };
        self.record_decision(what, reason);
    }

    pub(super) fn poll_leases(&mut self) {
        let upstreams: Vec<Upstream> = self.held.keys().cloned().collect();
        for upstream in upstreams {
            self.refresh_grants(&upstream);
            self.poll_lease(&upstream);
        }
    }

    /// Recomputes the grants of an upstream after rows or releases changed.
    pub(super) fn refresh_grants(&mut self, upstream: &Upstream) {
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        if !held.has_stale_grants || held.is_loading() {
            return;
        }
        let grants = self.grants(upstream, held);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.has_stale_grants = false;
        if held.grants != grants {
            held.grants = grants;
            held.is_order_due = true;
        }
    }

    /// Returns the shards that an upstream owns and whose prior owner has
    /// released them.
    fn grants(&self, upstream: &Upstream, held: &Held) -> Arc<[Grant]> {
        let Some(service) = self.view.service_of(upstream) else {
            return Arc::new([]);
        };
        let grant = |shard| {
            let entry = self.view.entry(service, shard)?;
            let released = held.released.get(&shard) == Some(&entry.epoch);
            let epoch = entry.epoch;
            (entry.prior.is_none() || released).then_some(Grant { shard, epoch })
        };
        self.view.owned(upstream).filter_map(grant).collect()
    }

    fn poll_lease(&mut self, upstream: &Upstream) {
        let now = self.now;
        let heartbeat = self.settings.heartbeat;
        let lease = self.settings.upper_bound(self.settings.lease);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.outstanding.expire(now);
        let was_alive = held.is_alive();
        let overdue = held
            .request
            .as_ref()
            .is_some_and(|request| now >= request.sent_at + heartbeat);
        if overdue {
            held.time_out_request();
            held.next_heartbeat = now;
        }
        if held.outstanding.is_empty() && now >= held.answered_at + lease {
            held.handle(Signal::Lapsed);
        }
        self.record_liveness(upstream, was_alive);
        match self.next_request(upstream) {
            NextRequest::Nothing => {}
            NextRequest::Ticket => self.request_ticket(upstream),
            NextRequest::Order => self.send_order(upstream),
        }
    }

    fn next_request(&self, upstream: &Upstream) -> NextRequest {
        let Some(held) = self.held.get(upstream) else {
            return NextRequest::Nothing;
        };
        let due = self.now >= held.next_heartbeat;
        if held.request.is_some() {
            return NextRequest::Nothing;
        }
        match held.state() {
            State::Granting {} if self.may_order(upstream, held) => {
                if due || held.is_order_due {
                    NextRequest::Order
                } else {
                    NextRequest::Nothing
                }
            }
            _ if due => NextRequest::Ticket,
            _ => NextRequest::Nothing,
        }
    }

    /// Returns whether this router has the authority to give an order.
    fn may_order(&self, upstream: &Upstream, held: &Held) -> bool {
        let proven = !self.checks_orders(upstream) || held.is_incarnation_proven();
        let authority = self.now < held.authority_until;
        proven && authority && held.reassignments_in_flight == 0
    }

    fn request_ticket(&mut self, upstream: &Upstream) {
        let id = self.allocate_id();
        let address = self.address_of(upstream);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.next_heartbeat = self.now + self.settings.heartbeat;
        let Some(address) = address else {
            return;
        };
        held.start_ticket(id, self.now);
        self.actions.push(Action::AskTicket {
            upstream: upstream.clone(),
            address,
            id,
        });
    }

    fn send_order(&mut self, upstream: &Upstream) {
        let id = self.allocate_id();
        let address = self.address_of(upstream);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.next_heartbeat = self.now + self.settings.heartbeat;
        let Some(address) = address else {
            return;
        };
        match held.start_order(id, self.now, &self.settings) {
            Some(order) => self.actions.push(Action::Order {
                upstream: upstream.clone(),
                address,
                id,
                order,
            }),
            None => self.request_ticket(upstream),
        }
    }
}
