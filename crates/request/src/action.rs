//! What the machine wants done.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Partner, Upstream, table};
use serde::Serialize;

use crate::event::{Id, Stored};

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the upstream over a connection that carries no other.
    Send {
        /// Request concerned.
        request: Id,
        /// Upstream to send it to.
        upstream: Upstream,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Time left until the deadline, to be passed on.
        left: Duration,
    },
    /// Stop the attempt: write nothing more and close its connection.
    Cancel {
        /// Request concerned.
        request: Id,
    },
    /// Give the caller this final answer. The machine forgets the request,
    /// unless its run goes on to learn its outcome.
    Finish {
        /// Request concerned.
        request: Id,
        /// Final answer.
        verdict: Verdict,
    },
    /// Give the caller the answer that was kept for its idempotency key.
    Replay {
        /// Request concerned.
        request: Id,
        /// Answer of the first run.
        stored: Arc<Stored>,
    },
    /// Route the request again: it is proven not to have run, and its shard is
    /// owned by another upstream or has another home.
    Redirect {
        /// Request concerned.
        request: Id,
        /// Attempts so far, for [`Arrival::attempts`](crate::Arrival::attempts).
        attempts: u32,
        /// Claim that the request holds, to be handed on in
        /// [`Token::carried`](crate::idempotency::Token::carried).
        claim: Option<table::Check>,
    },
    /// Write a transaction and report the outcome by
    /// [`Event::Written`](crate::Event::Written).
    Write(table::Transaction),
    /// Read a row and report it by [`Event::Read`](crate::Event::Read).
    Read {
        /// Key of the row.
        key: Arc<str>,
    },
    /// Read a page of rows and report it by
    /// [`Event::Scanned`](crate::Event::Scanned).
    Scan {
        /// Beginning of the keys of the rows.
        prefix: Arc<str>,
        /// Key after which the page begins.
        after: Arc<str>,
        /// Most rows of the page.
        limit: usize,
    },
    /// Ask the upstream whether it is well and report the answer by
    /// [`Event::Probed`](crate::Event::Probed).
    Probe {
        /// Upstream to ask.
        upstream: Upstream,
    },
    /// Tell the placement that the upstream appears unable to serve.
    Suspect {
        /// Upstream concerned.
        upstream: Upstream,
    },
    /// Log a decision.
    Decide(Decision),
    /// Everything is answered after [`Event::Drain`](crate::Event::Drain).
    Drained,
}

/// Decision for the log: one JSON line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Request concerned.
    pub request: Id,
    /// Upstream concerned.
    pub upstream: Upstream,
    /// Shard of the request.
    pub shard: Shard,
    /// Partner that sent it.
    pub partner: Partner,
    /// What was decided.
    pub step: Step,
    /// Why it was decided.
    pub reason: Reason,
    /// Time since the request arrived, in microseconds.
    pub waited_us: u64,
}

/// What was decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Sent to the upstream.
    Send,
    /// Answered without another attempt.
    Finish,
    /// Sent again later.
    Retry,
    /// Routed again.
    Redirect,
    /// Stopped.
    Cancel,
}

/// What is known of the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran.
    Done,
    /// It is proven not to have run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// Final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// What is known of the run.
    pub outcome: Outcome,
    /// Why this is the answer.
    pub reason: Reason,
    /// Time after which the same request is expected to be served.
    pub retry_after: Option<Duration>,
}

/// Why a decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A slot was free.
    Slot,
    /// The upstream answered with this status.
    Answered(u16),
    /// A run of the same idempotency key is known to have ended; holds its
    /// status if that was kept.
    AlreadyRan(Option<u16>),
    /// The request can't start in time.
    Overload,
    /// The partner has used up its bound on waiting requests or bytes.
    Bound,
    /// No slot became free in time.
    Expired,
    /// The upstream holds no grant.
    NotServing,
    /// This router isn't home of the upstream.
    NotHome,
    /// The router or the upstream is leaving.
    Draining,
    /// The class needs an idempotency key and none was given.
    KeyMissing,
    /// The idempotency key was used with another body.
    BodyDiffers,
    /// A request with the same idempotency key is still running.
    Running,
    /// A run with the same idempotency key may have begun, and its result
    /// isn't known.
    RunUnknown,
    /// The table that holds the claims can't be written.
    StoreDown,
    /// The upstream sheds load.
    Shed,
    /// The upstream doesn't own the shard.
    NotOwner,
    /// The connection failed.
    Broken,
    /// The connection could not be opened.
    NotSent,
    /// The upstream didn't answer in time.
    TimedOut,
    /// The upstream is not answering, judged by its traffic.
    Unwell,
    /// The caller left.
    Left,
}

impl Reason {
    /// Returns the status code that tells a caller of this reason.
    ///
    /// ```
    /// use eelgrassrock_request::Reason;
    ///
    /// assert_eq!(Reason::Overload.status(), 503);
    /// assert_eq!(Reason::BodyDiffers.status(), 422);
    /// ```
    pub const fn status(self) -> u16 {
        match self {
            Self::Answered(status) | Self::AlreadyRan(Some(status)) => status,
            Self::Slot | Self::AlreadyRan(None) => 200,
            Self::KeyMissing => 400,
            Self::Running => 409,
            Self::BodyDiffers => 422,
            Self::Bound => 429,
            Self::Left => 499,
            Self::Broken | Self::RunUnknown => 502,
            Self::TimedOut => 504,
            Self::Overload
            | Self::Expired
            | Self::NotServing
            | Self::NotOwner
            | Self::NotHome
            | Self::Draining
            | Self::StoreDown
            | Self::Shed
            | Self::NotSent
            | Self::Unwell => 503,
        }
    }
}
