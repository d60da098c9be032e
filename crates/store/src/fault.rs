//! Errors of the calls to the platform.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrassrock_model::Digest;

/// Error of a call, with the call that failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{call}: {kind}")]
pub struct Fault {
    /// Method, path and address of the call.
    pub call: Arc<str>,
    /// What went wrong.
    pub kind: Kind,
}

/// What went wrong with a call.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// No connection was established, and nothing was sent.
    #[display("no connection: {_0}")]
    Unreachable(Arc<str>),
    /// The connection broke after the request may have been sent.
    #[display("the connection broke before the answer was whole: {_0}")]
    Lost(Arc<str>),
    /// The answer wasn't whole in time.
    #[display("no whole answer within {} ms", _0.as_millis())]
    Timeout(Duration),
    /// The service refused the call for now.
    #[display("refused for now, to be tried again after {} ms", retry_after.as_millis())]
    Busy {
        /// Time after which a new try is sensible.
        retry_after: Duration,
    },
    /// The service answered with a status that the protocol doesn't know.
    #[display("unexpected status {_0}")]
    Status(u16),
    /// The answer contradicts the protocol.
    #[display("impossible answer: {_0}")]
    Malformed(Arc<str>),
    /// The answer is longer than the settings allow.
    #[display("the answer is longer than {limit} bytes")]
    Oversized {
        /// Longest answer that is accepted, in bytes.
        limit: usize,
    },
    /// The contents don't have the digest that they were asked by.
    #[display("the contents have the digest {actual} instead of {expected}")]
    WrongDigest {
        /// Digest that was asked for.
        expected: Digest,
        /// Digest of the contents.
        actual: Digest,
    },
}

impl Kind {
    pub(crate) fn malformed(reason: impl Into<Arc<str>>) -> Self {
        Self::Malformed(reason.into())
    }
}
