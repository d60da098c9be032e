//! Transactions whose outcome isn't known yet.

use std::sync::Arc;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::table::Transaction;
use eelgrassrock_model::time::Instant;

/// Purpose of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Become the home of an upstream.
    Claim(Upstream),
    /// Assign shards that have no owner.
    Place,
    /// Move shards away from an upstream, which releases them afterwards.
    Move(Upstream),
    /// Reassign the shards of an upstream that is lost.
    Reassign(Upstream),
    /// Remove earlier homes whose authority has ended.
    Settle,
    /// Clear prior owners that released their shards.
    Clear,
}

/// Progress of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The transaction was sent, and the answer is due.
    Sent,
    /// The transaction is sent again at this time. It takes effect at most once, since it
    /// checks the version of each row that it writes.
    Retry(Instant),
    /// The transaction can no longer take effect. Reading its rows tells whether it did
    /// before.
    Reading {
        /// Identifier of the first read that counts: reads with a lower one started too
        /// early.
        first_read: u64,
        /// Keys of the rows that haven't been read yet.
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
    pub(crate) attempts: u32,
    /// Whether the outcome of an earlier attempt is unknown.
    pub(crate) is_in_doubt: bool,
    pub(crate) phase: Phase,
}

impl Pending {
    pub(crate) fn new(transaction: Transaction, purpose: Purpose, now: Instant) -> Self {
        Self {
            transaction,
            purpose,
            first_sent_at: now,
            sent_at: now,
            attempts: 1,
            is_in_doubt: false,
            phase: Phase::Sent,
        }
    }

    /// Returns whether the transaction writes the row with this key.
    pub(crate) fn writes_key(&self, key: &str) -> bool {
        self.transaction
            .writes
            .iter()
            .any(|write| write.key.as_ref() == key)
    }
}
