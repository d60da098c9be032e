//! Events that the caller reports to the state machine.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::fleet::{Class, Fleet};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Partner, Upstream, table};
use serde::{Deserialize, Serialize};

use crate::idempotency;

/// Identifier that the daemon assigns to a request, unique during the life of the request.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id(pub u64);

/// Event that the caller reports to the state machine. Each event is one call of
/// [`Machine::step`](crate::Machine::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A new bundle was adopted, which describes this fleet.
    Fleet(Fleet),
    /// The grant of an upstream changed, as seen by its home.
    GrantChanged {
        /// Upstream whose grant changed.
        upstream: Upstream,
        /// New state of the grant.
        grant: Grant,
    },
    /// An upstream that this router is home of lost a shard.
    Moved {
        /// Upstream that lost the shard.
        upstream: Upstream,
        /// Shard that moved away.
        shard: Shard,
    },
    /// A request arrived for an upstream that this router is home of.
    Arrive(Arrival),
    /// The first byte of the request is about to be written to the upstream.
    ///
    /// The caller steps the machine with this event before it writes the byte. If the
    /// returned actions contain [`Action::Cancel`](crate::Action::Cancel) for the request,
    /// nothing may be written. A request without this event is proven not to have run.
    Began {
        /// Request that is about to be written.
        request: Id,
        /// Number of the attempt from [`Action::Send`](crate::Action::Send).
        attempt: u32,
    },
    /// The head of the answer arrived and is passed on to the caller. This meets the
    /// deadline, which applies to the start of the answer.
    Responding {
        /// Request that is being answered.
        request: Id,
        /// Number of the attempt from [`Action::Send`](crate::Action::Send).
        attempt: u32,
    },
    /// An attempt ended.
    Answered {
        /// Request that the attempt was made for.
        request: Id,
        /// Number of the attempt from [`Action::Send`](crate::Action::Send). The machine
        /// ignores events of earlier attempts.
        attempt: u32,
        /// How the attempt ended.
        answer: Answer,
    },
    /// The caller closed its connection.
    Disconnected {
        /// Request of that caller.
        request: Id,
    },
    /// A transaction from [`Action::Write`](crate::Action::Write) ended.
    Written {
        /// Operation that identifies the transaction.
        operation: table::Operation,
        /// Result of the transaction.
        outcome: table::Outcome,
    },
    /// A row from [`Action::Read`](crate::Action::Read) was read, or could not be read.
    Read {
        /// Key of the row.
        key: Arc<str>,
        /// Current row, `Ok(None)` if it is absent, `Err` if it could not be read.
        row: Result<Option<table::Row>, Unreadable>,
    },
    /// A page from [`Action::Scan`](crate::Action::Scan) was read, or could not be read.
    Scanned {
        /// Rows of the page, ordered by key.
        rows: Result<Vec<table::Row>, Unreadable>,
        /// Whether more rows follow.
        more: bool,
    },
    /// The current time of day, reported at the start and periodically. It is used only for
    /// the retention of claims.
    TimeOfDay {
        /// Time since the Unix epoch.
        unix: Duration,
    },
    /// The table is known to be unreachable.
    StoreDown,
    /// The table is reachable again.
    StoreUp,
    /// A probe from [`Action::Probe`](crate::Action::Probe) ended.
    Probed {
        /// Upstream that was probed.
        upstream: Upstream,
        /// Whether the upstream reported that it is healthy.
        well: bool,
    },
    /// The upstream restarted with a new incarnation. It gets few requests at first.
    Restarted {
        /// Upstream that restarted.
        upstream: Upstream,
    },
    /// This router is stopping. No new request is admitted.
    Drain,
}

/// Error for a row or page of the table that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// State of the grant of an upstream, as known by its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The upstream accepted a grant that hasn't expired. Requests are sent to it.
    Held,
    /// The grant may have expired. Nothing is sent until the grant is held again.
    Lapsed,
    /// The upstream is leaving. Queued requests are sent, and no new request is admitted.
    Leaving,
    /// Another router is home now, or the upstream was removed.
    Released,
}

/// Request that arrives at the home of its upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier, unique during the life of the request.
    pub request: Id,
    /// Upstream that owns the shard.
    pub upstream: Upstream,
    /// Shard of the key.
    pub shard: Shard,
    /// Partner that sent the request.
    pub partner: Partner,
    /// Class of the route of the request.
    pub class: Arc<Class>,
    /// Time by which the answer must begin.
    pub deadline: Instant,
    /// Number of attempts before an [`Action::Redirect`](crate::Action::Redirect), zero for
    /// a new request.
    pub attempts: u32,
    /// Memory that the request takes while it waits, in bytes.
    pub bytes: u32,
    /// Idempotency key with its digest and claim, if the caller sent a key.
    pub idempotency: Option<idempotency::Token>,
}

/// Answer that is stored for repeats of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Head and body as encoded by the daemon, `None` if they weren't stored.
    pub content: Option<Arc<[u8]>>,
}

/// Result of an attempt at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The complete answer was received.
    Done(Stored),
    /// The upstream refused the request before it began, because it doesn't own the shard
    /// at that epoch (421 with `eelgrassrock-outcome: not-run`).
    NotOwner,
    /// The upstream refused the request before it began, because it sheds load or drains
    /// (503 with `eelgrassrock-outcome: not-run`).
    Shed {
        /// Time after which the upstream asks for the request to be sent again.
        retry_after: Option<Duration>,
    },
    /// The attempt failed before any byte was written.
    NotSent,
    /// The attempt failed after the first byte was written, or the answer was cut short.
    Broken,
    /// The upstream didn't answer within the time of the attempt.
    TimedOut,
}
