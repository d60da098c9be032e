//! Errors of the calls to the platform.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrassrock_model::Digest;

/// Error of a call to the platform: the call and why it failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{call}: {kind}")]
pub struct Fault {
    /// Method, path and address of the call.
    pub call: Arc<str>,
    /// Reason for the failure.
    pub kind: Kind,
}

/// Reason why a call failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// No connection could be established, so nothing was sent.
    #[display("cannot connect: {_0}")]
    Unreachable(Arc<str>),
    /// The connection was lost after the request may have been sent.
    #[display("connection lost before the answer was complete: {_0}")]
    Lost(Arc<str>),
    /// No complete answer arrived within this time.
    #[display("no complete answer within {} ms", _0.as_millis())]
    Timeout(Duration),
    /// The service refused the call temporarily.
    #[display("the service is busy, retry after {} ms", retry_after.as_millis())]
    Busy {
        /// Delay before a retry, as the service asked for.
        retry_after: Duration,
    },
    /// The service answered with a status that the protocol doesn't define for the call.
    #[display("unexpected status {_0}")]
    Status(u16),
    /// The answer violates the protocol.
    #[display("malformed answer: {_0}")]
    Malformed(Arc<str>),
    /// The answer is longer than the settings allow.
    #[display("the answer is longer than {limit} bytes")]
    Oversized {
        /// Longest answer that is accepted, in bytes.
        limit: usize,
    },
    /// The contents don't match the requested digest.
    #[display("the contents have digest {actual}, expected {expected}")]
    WrongDigest {
        /// Requested digest.
        expected: Digest,
        /// Digest of the received contents.
        actual: Digest,
    },
}

impl Kind {
    pub(crate) fn malformed(reason: impl Into<Arc<str>>) -> Self {
        Self::Malformed(reason.into())
    }
}
