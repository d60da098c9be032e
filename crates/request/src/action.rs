//! Actions that the state machine asks its caller to carry out.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Partner, Upstream, table};
use serde::Serialize;

use crate::event::{Id, Stored};

/// Action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the upstream over a connection that carries no other request.
    Send {
        /// Request to send.
        request: Id,
        /// Upstream to send it to.
        upstream: Upstream,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Time left until the deadline, which is passed on to the upstream.
        left: Duration,
    },
    /// Cancel the attempt: write nothing more and close its connection.
    Cancel {
        /// Request whose attempt is cancelled.
        request: Id,
    },
    /// Give the caller this final answer. The machine forgets the request, unless its run
    /// continues and its outcome still has to be recorded.
    Finish {
        /// Request to answer.
        request: Id,
        /// Final answer.
        verdict: Verdict,
    },
    /// Give the caller the answer that is stored for its idempotency key.
    Replay {
        /// Request to answer.
        request: Id,
        /// Answer of the first run.
        stored: Arc<Stored>,
    },
    /// Route the request again. It is proven not to have run, and its shard is owned by
    /// another upstream or has another home.
    Redirect {
        /// Request to route.
        request: Id,
        /// Number of attempts so far, for [`Arrival::attempts`](crate::Arrival::attempts).
        attempts: u32,
        /// Claim that the request holds, to be passed on in
        /// [`Token::carried`](crate::idempotency::Token::carried).
        claim: Option<table::Check>,
    },
    /// Write a transaction and report its outcome with
    /// [`Event::Written`](crate::Event::Written).
    Write(table::Transaction),
    /// Read a row and report it with [`Event::Read`](crate::Event::Read).
    Read {
        /// Key of the row.
        key: Arc<str>,
    },
    /// Read a page of rows and report it with [`Event::Scanned`](crate::Event::Scanned).
    Scan {
        /// Prefix of the keys of the rows.
        prefix: Arc<str>,
        /// Key after which the page starts.
        after: Arc<str>,
        /// Maximum number of rows in the page.
        limit: usize,
    },
    /// Ask the health endpoint of the upstream and report the answer with
    /// [`Event::Probed`](crate::Event::Probed).
    Probe {
        /// Upstream to probe.
        upstream: Upstream,
    },
    /// Report to the placement that the upstream appears unable to serve.
    Suspect {
        /// Upstream that is suspected.
        upstream: Upstream,
    },
    /// Log a decision.
    Decide(Decision),
    /// All requests are answered and all outcomes are recorded after
    /// [`Event::Drain`](crate::Event::Drain).
    Drained,
}

/// Decision on a request, which is logged as one JSON line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Request that the decision is about.
    pub request: Id,
    /// Upstream that owns the shard of the request.
    pub upstream: Upstream,
    /// Shard of the request.
    pub shard: Shard,
    /// Partner that sent the request.
    pub partner: Partner,
    /// Step that was decided on.
    pub step: Step,
    /// Reason for the decision.
    pub reason: Reason,
    /// Time since the request arrived, in microseconds.
    pub waited_us: u64,
}

/// Step that was decided on for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The request is sent to the upstream.
    Send,
    /// The request is answered without another attempt.
    Finish,
    /// The request is sent again later.
    Retry,
    /// The request is routed again.
    Redirect,
    /// The request is cancelled.
    Cancel,
}

/// Known outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran.
    Done,
    /// The request is proven not to have run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// Final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Known outcome of the request.
    pub outcome: Outcome,
    /// Reason for the answer.
    pub reason: Reason,
    /// Time after which a repeat of the request is expected to be served.
    pub retry_after: Option<Duration>,
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A slot was free.
    Slot,
    /// The upstream answered with this status.
    Answered(u16),
    /// A run with the same idempotency key is known to have ended. Holds the status of its
    /// answer, if that was stored.
    AlreadyRan(Option<u16>),
    /// The request is not expected to start in time.
    Overload,
    /// The partner reached its limit of waiting requests or bytes.
    Bound,
    /// The request didn't start in time: no slot became free, its claim wasn't written, or
    /// its first byte wasn't sent.
    Expired,
    /// The upstream holds no grant.
    NotServing,
    /// This router isn't home of the upstream.
    NotHome,
    /// The router is stopping, or the upstream is leaving.
    Draining,
    /// The class requires an idempotency key and the request has none.
    KeyMissing,
    /// The idempotency key was used before with another method, path or body.
    BodyDiffers,
    /// A request with the same idempotency key is still running.
    Running,
    /// A run with the same idempotency key may have begun, and its outcome isn't known.
    RunUnknown,
    /// The table that holds the claims can't be reached.
    StoreDown,
    /// The upstream sheds load.
    Shed,
    /// The upstream doesn't own the shard.
    NotOwner,
    /// The connection failed during the attempt.
    Broken,
    /// The attempt failed before any byte of the request was written.
    NotSent,
    /// The upstream didn't answer in time.
    TimedOut,
    /// The upstream does not answer, as judged from its traffic.
    Unwell,
    /// The caller closed its connection.
    #[serde(rename = "left")]
    Disconnected,
}

impl Reason {
    /// Returns the HTTP status code that reports this reason to a caller.
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
            Self::Disconnected => 499,
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
