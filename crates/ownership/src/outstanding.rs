//! Orders that an upstream may still follow.

use std::sync::Arc;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Sequence};

use crate::grant::Grant;

#[derive(Debug)]
struct OutstandingOrder {
    sequence: Sequence,
    incarnation: Arc<str>,
    shards: Arc<[Grant]>,
    sent_at: Instant,
    expires_at: Instant,
    answered_at: Option<Instant>,
}

/// Orders of one home that its upstream follows or may still accept.
///
/// An order is removed when it was refused, has certainly been replaced, or has certainly
/// expired. An order whose answer was lost stays until it expires.
#[derive(Debug, Default)]
pub(crate) struct OutstandingOrders {
    entries: Vec<OutstandingOrder>,
}

impl OutstandingOrders {
    /// Adds an order that is about to be sent. The order has certainly expired at
    /// `expires_at`.
    pub(crate) fn add(
        &mut self,
        sequence: Sequence,
        incarnation: Arc<str>,
        shards: Arc<[Grant]>,
        sent_at: Instant,
        expires_at: Instant,
    ) {
        self.entries.push(OutstandingOrder {
            sequence,
            incarnation,
            shards,
            sent_at,
            expires_at,
            answered_at: None,
        });
    }

    /// Records that an order was accepted, and removes the orders that it certainly
    /// replaced. `checks_orders` tells whether the upstream refuses earlier orders from
    /// now on.
    pub(crate) fn accept(&mut self, sequence: Sequence, checks_orders: bool, now: Instant) {
        let Some(accepted) = self.entries.iter_mut().find(|it| it.sequence == sequence) else {
            return;
        };
        accepted.answered_at = Some(now);
        let sent_at = accepted.sent_at;
        self.entries.retain(|it| {
            let answered_before = it.answered_at.is_some_and(|at| at < sent_at);
            let earlier = it.sequence < sequence;
            !(earlier && (checks_orders || answered_before))
        });
    }

    /// Records that an order was refused.
    pub(crate) fn refuse(&mut self, sequence: Sequence) {
        self.entries.retain(|it| it.sequence != sequence);
    }

    /// Removes the orders for other incarnations of the upstream.
    pub(crate) fn retain_incarnation(&mut self, incarnation: &str) {
        self.entries
            .retain(|it| it.incarnation.as_ref() == incarnation);
    }

    /// Removes the orders that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.entries.retain(|it| it.expires_at > now);
    }

    /// Returns whether the upstream may follow an order that grants `shard` at
    /// an epoch before `epoch`.
    pub(crate) fn may_hold(&self, shard: Shard, epoch: Epoch) -> bool {
        self.entries.iter().any(|it| {
            let found = it.shards.binary_search_by_key(&shard, |grant| grant.shard);
            found.is_ok_and(|index| it.shards[index].epoch < epoch)
        })
    }

    /// Returns whether no order is outstanding.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns when the last order has expired, `None` if no order is outstanding.
    pub(crate) fn expires_at(&self) -> Option<Instant> {
        self.entries.iter().map(|it| it.expires_at).max()
    }
}
