//! What the machine is told.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::fleet::{Class, Fleet};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Partner, Upstream, table};
use serde::{Deserialize, Serialize};

use crate::idempotency;

/// Identifier that the daemon gives a request, unique during its life.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id(pub u64);

/// What the machine is told. Each event is one call of
/// [`Machine::step`](crate::Machine::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A bundle was adopted.
    Fleet(Fleet),
    /// The grant of an upstream changed, as seen by its home.
    Serving {
        /// Upstream concerned.
        upstream: Upstream,
        /// State of its grant.
        grant: Grant,
    },
    /// A shard was taken from an upstream that this router is home of.
    Moved {
        /// Upstream that lost the shard.
        upstream: Upstream,
        /// Shard that was lost.
        shard: Shard,
    },
    /// A request came in for an upstream that this router is home of.
    Arrive(Arrival),
    /// The first byte of the request is about to be written to the upstream.
    ///
    /// This is stepped before the byte is written. If the answer holds
    /// [`Action::Cancel`](crate::Action::Cancel) for the request, nothing may
    /// be written. A request without this event is proven not to have run.
    Began {
        /// Request concerned.
        request: Id,
        /// Attempt as numbered by [`Action::Send`](crate::Action::Send).
        attempt: u32,
    },
    /// The head of the answer arrived and is passed on: the deadline for the
    /// beginning of the answer is met.
    Responding {
        /// Request concerned.
        request: Id,
        /// Attempt as numbered by [`Action::Send`](crate::Action::Send).
        attempt: u32,
    },
    /// An attempt ended.
    Answered {
        /// Request concerned.
        request: Id,
        /// Attempt as numbered by [`Action::Send`](crate::Action::Send). What
        /// comes in for an earlier attempt is ignored.
        attempt: u32,
        /// How the attempt ended.
        answer: Answer,
    },
    /// The caller closed its connection.
    Left {
        /// Request concerned.
        request: Id,
    },
    /// A transaction that [`Action::Write`](crate::Action::Write) asked for ended.
    Written {
        /// Transaction concerned.
        operation: table::Operation,
        /// How it ended.
        outcome: table::Outcome,
    },
    /// A row that [`Action::Read`](crate::Action::Read) asked for was read, or
    /// couldn't be read.
    Read {
        /// Key of the row.
        key: Arc<str>,
        /// Row as it is, `Ok(None)` if it is absent, `Err` if it can't be read.
        row: Result<Option<table::Row>, Unreadable>,
    },
    /// A page that [`Action::Scan`](crate::Action::Scan) asked for was read, or
    /// couldn't be read.
    Scanned {
        /// Rows in the order of their keys.
        rows: Result<Vec<table::Row>, Unreadable>,
        /// Whether more rows follow.
        more: bool,
    },
    /// Time of day, given at the start and now and then. It serves only to
    /// delete claims whose retention is over.
    TimeOfDay {
        /// Time since the Unix epoch.
        unix: Duration,
    },
    /// The table is known to be out of reach.
    StoreDown,
    /// The table answers again.
    StoreUp,
    /// A probe that [`Action::Probe`](crate::Action::Probe) asked for ended.
    Probed {
        /// Upstream concerned.
        upstream: Upstream,
        /// Whether the upstream answered that it is well.
        well: bool,
    },
    /// The upstream started anew: it has a new incarnation, and begins with few
    /// requests.
    Restarted {
        /// Upstream concerned.
        upstream: Upstream,
    },
    /// This router stops: nothing new is admitted.
    Drain,
}

/// A row could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// State of the grant of an upstream, as its home knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The upstream accepted a grant that hasn't expired. Its requests are sent.
    Held,
    /// The grant may have expired. Nothing is sent until it is held again.
    Lapsed,
    /// The upstream is leaving: what is queued is sent, nothing new is admitted.
    Leaving,
    /// Another router is home now, or the upstream is gone.
    Released,
}

/// Request that came in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier, unique during the life of the request.
    pub request: Id,
    /// Upstream that owns the shard.
    pub upstream: Upstream,
    /// Shard of the key.
    pub shard: Shard,
    /// Partner that sent it.
    pub partner: Partner,
    /// Class of its route.
    pub class: Arc<Class>,
    /// Time by which its answer must have begun.
    pub deadline: Instant,
    /// Attempts that were made before a [`Action::Redirect`](crate::Action::Redirect),
    /// zero for a request that is new.
    pub attempts: u32,
    /// Memory that it takes while it waits, in bytes.
    pub bytes: u32,
    /// Idempotency key and what belongs to it, if the caller gave one.
    pub idempotency: Option<idempotency::Token>,
}

/// Answer that is kept for repeats of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Status code.
    pub status: u16,
    /// Head and body as the daemon encodes them, `None` if they weren't kept.
    pub content: Option<Arc<[u8]>>,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer was received.
    Done(Stored),
    /// The upstream refused before the request began, since it doesn't own the
    /// shard at that epoch (421 with `eelgrassrock-outcome: not-run`).
    NotOwner,
    /// The upstream refused before the request began, since it sheds load or
    /// drains (503 with `eelgrassrock-outcome: not-run`).
    Shed {
        /// Time after which the upstream wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The attempt failed before any byte was written.
    NotSent,
    /// The attempt failed after the first byte was written, or the answer
    /// ended short.
    Broken,
    /// The upstream didn't answer within the time of the attempt.
    TimedOut,
}
