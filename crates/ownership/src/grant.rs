//! Tickets, orders and answers, as specified in `docs/design/PROTOCOL.md`.

use std::sync::Arc;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Router, Sequence, Term};
use serde::{Deserialize, Serialize};

/// State of an upstream with a reading of its clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Text that changes with every restart of the upstream.
    pub incarnation: Arc<str>,
    /// Clock of the upstream, in milliseconds.
    pub clock_ms: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Highest term that the upstream saw in an order.
    #[serde(default)]
    pub term: Term,
}

/// Grant of one shard in an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// Shard that is granted.
    pub shard: Shard,
    /// Epoch of the assignment of the shard.
    pub epoch: Epoch,
}

/// Order that lists all shards granted to an upstream until it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Router that sends the order.
    pub router: Router,
    /// Term of the router as home of the upstream.
    pub term: Term,
    /// Position among the orders of this term.
    pub sequence: Sequence,
    /// Incarnation of the upstream that may accept the order.
    pub incarnation: Arc<str>,
    /// Expiry on the clock of the upstream, in milliseconds.
    pub valid_until_ms: u64,
    /// Granted shards, sorted.
    pub shards: Arc<[Grant]>,
}

/// Reason why an upstream refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The order arrived after its expiry.
    Expired,
    /// The upstream has restarted.
    Incarnation,
    /// The upstream follows a later order.
    Term,
}

/// What is known about an order after it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The upstream accepted it.
    Accepted(Ticket),
    /// The upstream refused the order and never accepts it.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// Present state of the upstream.
        ticket: Ticket,
    },
    /// The answer was lost: the upstream may accept the order until it expires.
    Unknown,
}
