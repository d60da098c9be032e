//! Tickets, orders and answers, as in `docs/design/PROTOCOL.md`.

use std::sync::Arc;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Router, Sequence, Term};
use serde::{Deserialize, Serialize};

/// Reading of an upstream's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Text that changes when the upstream restarts.
    pub incarnation: Arc<str>,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Highest term that it saw in an order.
    #[serde(default)]
    pub term: Term,
}

/// Shard that an order grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// Shard.
    pub shard: Shard,
    /// Epoch of its assignment.
    pub epoch: Epoch,
}

/// Order: all that an upstream is granted, until it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Router that gives the order.
    pub router: Router,
    /// Term of the router.
    pub term: Term,
    /// Position among the orders of this term.
    pub sequence: Sequence,
    /// Incarnation that may accept it.
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
    /// It arrived after its expiry.
    Expired,
    /// The upstream has restarted.
    Incarnation,
    /// The upstream follows a later order.
    Term,
}

/// What is known of an order after it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The upstream accepted it.
    Accepted(Ticket),
    /// The upstream refused it and never accepts it.
    Refused {
        /// Reason.
        reason: Refusal,
        /// Present state of the upstream.
        ticket: Ticket,
    },
    /// The answer was lost: the upstream may accept it until it expires.
    Unknown,
}
