//! Model of an upstream, written only after `docs/design/PROTOCOL.md`.

use std::sync::Arc;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Sequence, Term};
use eelgrassrock_ownership::grant::{Answer, Order, Refusal, Ticket};

/// State of one upstream, including the shards that it believes it owns.
pub(crate) struct Upstream {
    pub(crate) checks_orders: bool,
    pub(crate) leaving: bool,
    pub(crate) is_up: bool,
    pub(crate) paused_until: Instant,
    clock_rate_ppm: i64,
    incarnation: u64,
    pub(crate) term: Term,
    sequence: Sequence,
    valid_until_ms: u64,
    shards: Vec<(Shard, Epoch)>,
}

impl Upstream {
    pub(crate) fn new(checks_orders: bool, clock_rate_ppm: i64) -> Self {
        Self {
            checks_orders,
            leaving: false,
            is_up: true,
            paused_until: Instant::default(),
            clock_rate_ppm,
            incarnation: 1,
            term: Term(0),
            sequence: Sequence(0),
            valid_until_ms: 0,
            shards: Vec::new(),
        }
    }

    /// Restarts the upstream without any grant.
    pub(crate) fn restart(&mut self) {
        self.is_up = true;
        self.incarnation += 1;
        self.term = Term(0);
        self.sequence = Sequence(0);
        self.valid_until_ms = 0;
        self.shards.clear();
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        let micros = i128::from(now.as_micros());
        let micros = micros + micros * i128::from(self.clock_rate_ppm) / 1_000_000;
        7_000 + micros as u64 / 1_000
    }

    pub(crate) fn ticket(&self, now: Instant) -> Ticket {
        Ticket {
            incarnation: Arc::from(self.incarnation.to_string()),
            clock_ms: self.clock_ms(now),
            leaving: self.leaving,
            term: self.term,
        }
    }

    pub(crate) fn handle_order(&mut self, order: &Order, now: Instant) -> Answer {
        let ticket = self.ticket(now);
        let refuse = |reason| Answer::Refused {
            reason,
            ticket: ticket.clone(),
        };
        if order.incarnation != ticket.incarnation {
            return refuse(Refusal::Incarnation);
        }
        if ticket.clock_ms > order.valid_until_ms {
            return refuse(Refusal::Expired);
        }
        let position = (order.term, order.sequence);
        if self.checks_orders && position <= (self.term, self.sequence) {
            return refuse(Refusal::Term);
        }
        (self.term, self.sequence) = position;
        self.valid_until_ms = order.valid_until_ms;
        self.shards = order.shards.iter().map(|it| (it.shard, it.epoch)).collect();
        Answer::Accepted(self.ticket(now))
    }

    /// Returns the shards that the upstream believes it owns, even while it is paused.
    pub(crate) fn owned(&self, now: Instant) -> &[(Shard, Epoch)] {
        if self.is_up && self.clock_ms(now) <= self.valid_until_ms {
            &self.shards
        } else {
            &[]
        }
    }
}
