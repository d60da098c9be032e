//! Transactions whose outcome isn't known yet.

use std::sync::Arc;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::table::Transaction;
use eelgrassrock_model::time::Instant;

/// Why a transaction is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Become home of an upstream.
    Claim(Upstream),
    /// Assign shards without owner.
    Place,
    /// Move shards away from an upstream, which releases them afterwards.
    Move(Upstream),
    /// Take shards from an upstream that is lost.
    Reassign(Upstream),
    /// Remove earlier homes whose authority has ended.
    Settle,
    /// Clear prior owners that released their shards.
    Clear,
}

/// Progress of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It was sent.
    Sent,
    /// It has to be sent again: it takes effect at most once, since it checks
    /// the version of each row that it writes.
    Retry(Instant),
    /// It can't take effect any more. Whether it did is told by rows.
    Reading {
        /// First read that started after that was known.
        first_read: u64,
        /// Rows that are still missing.
        keys: Vec<Arc<str>>,
    },
}

/// Transaction whose outcome isn't known yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) transaction: Transaction,
    pub(crate) purpose: Purpose,
    pub(crate) first_sent_at: Instant,
    pub(crate) sent_at: Instant,
    pub(crate) tries: u32,
    /// Whether an answer was lost.
    pub(crate) in_doubt: bool,
    pub(crate) phase: Phase,
}

impl Pending {
    pub(crate) fn new(transaction: Transaction, purpose: Purpose, now: Instant) -> Self {
        Self {
            transaction,
            purpose,
            first_sent_at: now,
            sent_at: now,
            tries: 1,
            in_doubt: false,
            phase: Phase::Sent,
        }
    }

    /// Returns whether the transaction writes a row.
    pub(crate) fn writes(&self, key: &str) -> bool {
        self.transaction
            .writes
            .iter()
            .any(|write| write.key.as_ref() == key)
    }
}
