//! Orders that an upstream may follow.

use std::sync::Arc;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Sequence};

use crate::grant::Grant;

#[derive(Debug)]
struct Entry {
    sequence: Sequence,
    incarnation: Arc<str>,
    shards: Arc<[Grant]>,
    sent_at: Instant,
    lapses_at: Instant,
    answered_at: Option<Instant>,
}

/// Orders of one home that its upstream may follow now or later.
///
/// An order leaves the ledger when it is refused, replaced for certain, or
/// expired for certain. An order whose answer was lost stays until it expires.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    entries: Vec<Entry>,
}

impl Ledger {
    /// Adds an order that is about to be sent. It has expired for certain at
    /// `lapses_at`.
    pub(crate) fn add(
        &mut self,
        sequence: Sequence,
        incarnation: Arc<str>,
        shards: Arc<[Grant]>,
        sent_at: Instant,
        lapses_at: Instant,
    ) {
        self.entries.push(Entry {
            sequence,
            incarnation,
            shards,
            sent_at,
            lapses_at,
            answered_at: None,
        });
    }

    /// Takes in that an order was accepted. `checks_orders` tells whether the
    /// upstream refuses earlier orders from now on.
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

    /// Takes in that an order was refused.
    pub(crate) fn refuse(&mut self, sequence: Sequence) {
        self.entries.retain(|it| it.sequence != sequence);
    }

    /// Takes in that only this incarnation of the upstream is left.
    pub(crate) fn keep_incarnation(&mut self, incarnation: &str) {
        self.entries
            .retain(|it| it.incarnation.as_ref() == incarnation);
    }

    /// Removes the orders that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.entries.retain(|it| it.lapses_at > now);
    }

    /// Returns whether the upstream may follow an order that grants `shard` at
    /// an epoch before `epoch`.
    pub(crate) fn may_hold(&self, shard: Shard, epoch: Epoch) -> bool {
        self.entries.iter().any(|it| {
            let found = it.shards.binary_search_by_key(&shard, |grant| grant.shard);
            found.is_ok_and(|index| it.shards[index].epoch < epoch)
        })
    }

    /// Returns whether no order is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns when the last order has expired.
    pub(crate) fn lapses_at(&self) -> Option<Instant> {
        self.entries.iter().map(|it| it.lapses_at).max()
    }
}
