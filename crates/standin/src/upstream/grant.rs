//! Grants that an upstream has received, and the checks of new orders.

use std::time::SystemTime;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::history::History;

const MICROS_PER_MILLI: u64 = 1_000;

/// Grants and clock of an upstream.
#[derive(Debug)]
pub(crate) struct Grants {
    pub(crate) incarnation: String,
    checks_orders: bool,
    started: Instant,
    clock_offset_ms: u64,
    valid_until_ms: u64,
    term: u64,
    sequence: u64,
    shards: IndexMap<u32, u64>,
    pub(crate) history: History,
}

/// Order of a router. It replaces all earlier grants.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    #[serde(rename = "router")]
    pub(crate) _router: String,
    pub(crate) term: u64,
    pub(crate) sequence: u64,
    pub(crate) incarnation: String,
    pub(crate) valid_until_ms: u64,
    pub(crate) shards: Vec<Grant>,
}

/// Grant of one shard at an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Index of the shard.
    pub shard: u32,
    /// Epoch of the shard's assignment.
    pub epoch: u64,
}

/// Reason why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Refusal {
    /// The order's validity has already ended.
    Expired,
    /// The order is for another incarnation of the upstream.
    Incarnation,
    /// A newer order, by term and then sequence, was accepted before.
    Term,
}

/// An upstream's own view of its grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Random identifier of this run of the process.
    pub incarnation: String,
    /// Present time on the upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// End of the grants on that clock, in milliseconds.
    pub valid_until_ms: u64,
    /// Term of the last accepted order, which is the highest one if orders are checked.
    pub term: u64,
    /// Sequence of the last accepted order.
    pub sequence: u64,
    /// Shards that the upstream owns now.
    pub shards: Vec<Grant>,
    /// Whether the upstream refuses orders older than the last one, by term and sequence.
    pub checks_orders: bool,
}

impl Grants {
    pub(crate) fn new(incarnation: String, checks_orders: bool, clock_offset_ms: u64) -> Self {
        Self {
            incarnation,
            checks_orders,
            started: Instant::now(),
            clock_offset_ms,
            valid_until_ms: 0,
            term: 0,
            sequence: 0,
            shards: IndexMap::new(),
            history: History::default(),
        }
    }

    /// Returns the present time on the upstream's clock, in milliseconds.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_us() / MICROS_PER_MILLI
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn accept(&mut self, order: Order) -> Result<(), Refusal> {
        let clock_us = self.clock_us();
        self.check(&order, clock_us / MICROS_PER_MILLI)?;
        self.term = order.term;
        self.sequence = order.sequence;
        self.valid_until_ms = order.valid_until_ms;
        let left_us = order.valid_until_ms.saturating_mul(MICROS_PER_MILLI) - clock_us;
        self.history
            .replace(&order.shards, SystemTime::now(), left_us);
        let granted = order.shards.iter();
        self.shards = granted.map(|grant| (grant.shard, grant.epoch)).collect();
        Ok(())
    }

    pub(crate) fn owns(&self, grant: Grant) -> bool {
        self.is_valid() && self.shards.get(&grant.shard) == Some(&grant.epoch)
    }

    pub(crate) fn state(&self) -> State {
        let grant = |(&shard, &epoch)| Grant { shard, epoch };
        let shards = if self.is_valid() {
            self.shards.iter().map(grant).collect()
        } else {
            Vec::new()
        };
        State {
            incarnation: self.incarnation.clone(),
            clock_ms: self.clock_ms(),
            valid_until_ms: self.valid_until_ms,
            term: self.term,
            sequence: self.sequence,
            shards,
            checks_orders: self.checks_orders,
        }
    }

    fn clock_us(&self) -> u64 {
        let elapsed_us = self.started.elapsed().as_micros() as u64;
        self.clock_offset_ms * MICROS_PER_MILLI + elapsed_us
    }

    fn is_valid(&self) -> bool {
        self.clock_ms() < self.valid_until_ms
    }

    fn check(&self, order: &Order, clock_ms: u64) -> Result<(), Refusal> {
        if order.incarnation != self.incarnation {
            return Err(Refusal::Incarnation);
        }
        if order.valid_until_ms <= clock_ms {
            return Err(Refusal::Expired);
        }
        let earlier = (order.term, order.sequence) < (self.term, self.sequence);
        if self.checks_orders && earlier {
            return Err(Refusal::Term);
        }
        Ok(())
    }
}
