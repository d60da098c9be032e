//! Promises, and what breaks them.

use std::time::Duration;

use derive_more::Display;

/// A promise.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A key has one holder at a time.
    #[display("one holder")]
    OneHolder,
    /// A key moves with a higher fencing token.
    #[display("fencing token")]
    Token,
    /// What must not repeat runs at most once.
    #[display("at most once")]
    Once,
    /// A refused request has not run and never runs.
    #[display("refusals are true")]
    Refusal,
    /// Each caller gets its own whole answer.
    #[display("own whole answer")]
    OwnAnswer,
    /// Upstreams run what callers sent.
    #[display("only what was asked")]
    Asked,
    /// Requests run at the service of their route.
    #[display("right service")]
    Service,
    /// No request reaches an upstream that left.
    #[display("drain")]
    Drain,
    /// An upstream that wants a pause gets it.
    #[display("pause")]
    Pause,
    /// A configuration applies in time, and never goes back.
    #[display("configuration")]
    Configuration,
    /// No more upstreams run a request than its route allows.
    #[display("attempts")]
    Attempts,
    /// Each request has an answer in time.
    #[display("answer in time")]
    InTime,
    /// A stop of a router loses no request that it took.
    #[display("graceful stop")]
    GracefulStop,
    /// A router ends only when it is told to.
    #[display("stays up")]
    StaysUp,
    /// Requests are served again after the faults.
    #[display("recovery")]
    Recovery,
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{:.3} s: {promise}: {what}", at.as_secs_f64())]
pub struct Violation {
    /// Time from the start of the run.
    pub at: Duration,
    /// Which promise.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}
