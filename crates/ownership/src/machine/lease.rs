//! Leases: tickets, orders and the answers of the upstreams of this router.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrassrock_model::Upstream;

use super::Machine;
use crate::action::Action;
use crate::decision::{Reason, What};
use crate::grant::{Answer, Grant, Refusal, Ticket};
use crate::held::{Held, Taken};
use crate::life::{Happening, State};
use crate::row::Key;

/// Next request to an upstream.
enum Next {
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

    /// Notes that the rows of the shards were read after the takeover.
    pub(super) fn finish_loading(&mut self, upstream: &Upstream) {
        if let Some(held) = self.held.get_mut(upstream) {
            held.handle(Happening::Loaded);
            held.grants_stale = true;
            held.next_beat = self.now;
            let since = held.since;
            held.gained = self.view.owned(upstream).map(|it| (it, since)).collect();
        }
    }

    pub(super) fn on_ticket(&mut self, upstream: &Upstream, id: u64, ticket: Option<Ticket>) {
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let was_alive = held.is_alive();
        let counts = match ticket {
            Some(ticket) => held.take_ticket(id, &ticket, now),
            None => {
                held.fail_ticket(id);
                false
            }
        };
        if counts {
            held.next_beat = now;
            self.note_alive(upstream, was_alive);
        }
    }

    pub(super) fn on_answered(&mut self, upstream: &Upstream, id: u64, answer: &Answer) {
        let checks_orders = self.checks_orders(upstream);
        let now = self.now;
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let was_alive = held.is_alive();
        let taken = held.take_answer(id, answer, checks_orders, now, &self.settings);
        match answer {
            // The answer to an order that this router gave under an earlier
            // term says nothing of this one.
            Answer::Accepted(_) if checks_orders && taken != Taken::Foreign => {
                held.settles_at = held.settles_at.min(now);
            }
            Answer::Refused {
                reason: Refusal::Term,
                ..
            } => self.read(Key::Home(upstream.clone()).text()),
            _ => {}
        }
        if taken == Taken::Current && *answer != Answer::Unknown {
            self.note_alive(upstream, was_alive);
            self.out.push(Action::RoutesChanged);
        }
    }

    fn note_alive(&mut self, upstream: &Upstream, was_alive: bool) {
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        let receives = held.is_granting();
        if std::mem::replace(&mut held.received, receives) != receives {
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
        let what = What::Upstream {
            upstream: upstream.clone(),
            alive,
        };
        self.decide(what, reason);
    }

    pub(super) fn poll_leases(&mut self) {
        let upstreams: Vec<Upstream> = self.held.keys().cloned().collect();
        for upstream in upstreams {
            self.refresh_grants(&upstream);
            self.poll_lease(&upstream);
        }
    }

    /// Computes again what an upstream is granted, after rows or releases
    /// changed.
    pub(super) fn refresh_grants(&mut self, upstream: &Upstream) {
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        if !held.grants_stale || held.is_loading() {
            return;
        }
        let grants = self.grants(upstream, held);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.grants_stale = false;
        if held.grants != grants {
            held.grants = grants;
            held.order_due = true;
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
        let lease = self.settings.longer(self.settings.lease);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.ledger.expire(now);
        let was_alive = held.is_alive();
        let overdue = held
            .request
            .as_ref()
            .is_some_and(|request| now >= request.sent_at + heartbeat);
        if overdue {
            held.give_up();
            held.next_beat = now;
        }
        if held.ledger.is_empty() && now >= held.answered_at + lease {
            held.handle(Happening::Lapsed);
        }
        self.note_alive(upstream, was_alive);
        match self.next_request(upstream) {
            Next::Nothing => {}
            Next::Ticket => self.ask_ticket(upstream),
            Next::Order => self.order(upstream),
        }
    }

    fn next_request(&self, upstream: &Upstream) -> Next {
        let Some(held) = self.held.get(upstream) else {
            return Next::Nothing;
        };
        let due = self.now >= held.next_beat;
        if held.request.is_some() {
            return Next::Nothing;
        }
        match held.state() {
            State::Granting {} if self.may_order(upstream, held) => {
                if due || held.order_due {
                    Next::Order
                } else {
                    Next::Nothing
                }
            }
            _ if due => Next::Ticket,
            _ => Next::Nothing,
        }
    }

    /// Returns whether this router has the authority to give an order.
    fn may_order(&self, upstream: &Upstream, held: &Held) -> bool {
        let proven = !self.checks_orders(upstream) || held.is_incarnation_proven();
        let authority = self.now < held.authority_until;
        proven && authority && held.reassigning == 0
    }

    fn ask_ticket(&mut self, upstream: &Upstream) {
        let id = self.take_id();
        let address = self.address_of(upstream);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.next_beat = self.now + self.settings.heartbeat;
        let Some(address) = address else {
            return;
        };
        held.start_ticket(id, self.now);
        self.out.push(Action::AskTicket {
            upstream: upstream.clone(),
            address,
            id,
        });
    }

    fn order(&mut self, upstream: &Upstream) {
        let id = self.take_id();
        let address = self.address_of(upstream);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.next_beat = self.now + self.settings.heartbeat;
        let Some(address) = address else {
            return;
        };
        match held.start_order(id, self.now, &self.settings) {
            Some(order) => self.out.push(Action::Order {
                upstream: upstream.clone(),
                address,
                id,
                order,
            }),
            None => self.ask_ticket(upstream),
        }
    }
}
