//! Records of bundles, and the inputs and outputs of the adoption.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::{Digest, Version};
use serde::{Deserialize, Serialize};

use crate::member::Live;

/// Contents of the row that names the current bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the bundle.
    pub version: Version,
    /// Digest of the bundle's contents in the object store.
    pub digest: Digest,
    /// Approvals of the bundle, not interpreted by this crate.
    pub approvals: Arc<str>,
}

/// Source that a record was learned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The row of the table.
    Table,
    /// The router at this address.
    Peer(SocketAddr),
}

/// Result of a read of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The row, `None` if no bundle has been rolled out yet.
    Row(Option<Record>),
    /// The table didn't answer, or refused the read.
    Failed {
        /// Time to wait before the next read, if the table asked for one.
        retry_after: Option<Duration>,
    },
}

/// Result of a fetch of contents.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FetchOutcome {
    /// The contents were fetched and have the expected digest.
    #[display("verified")]
    Verified,
    /// The source doesn't have the contents.
    #[display("missing")]
    Missing,
    /// The fetched contents have another digest.
    #[display("corrupt")]
    Corrupt,
    /// The fetch failed, for example because the source didn't answer.
    #[display("failed")]
    Failed,
}

/// Result of the check of approvals and contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The bundle may be applied.
    Accepted,
    /// The bundle must not be applied.
    Refused {
        /// Reason, for the log.
        reason: Arc<str>,
    },
}

/// Input of [`super::Machine::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A timer is due; see [`super::Machine::next_wake`].
    Tick,
    /// The live routers changed. Holds all of them.
    Members(Vec<Live>),
    /// [`Action::PollTable`] ended with this result.
    Table(Reading),
    /// Another router announced a record without being asked.
    Announced {
        /// Address of the other router.
        from: SocketAddr,
        /// The record.
        record: Record,
    },
    /// Another router answered [`Action::AskPeer`].
    Answered {
        /// Address of the other router.
        from: SocketAddr,
        /// Record of the bundle that the other router has in force, `None` if it has
        /// none yet.
        record: Option<Record>,
    },
    /// A fetch of contents ended.
    Fetched {
        /// Digest of the requested contents.
        digest: Digest,
        /// Result of the fetch.
        outcome: FetchOutcome,
    },
    /// [`Action::Check`] ended.
    Checked {
        /// Digest of the checked contents.
        digest: Digest,
        /// Result of the check.
        verdict: Verdict,
    },
}

/// Output of [`super::Machine::step`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row of the current bundle.
    PollTable,
    /// Ask another router for the record of the bundle that it has in force.
    AskPeer {
        /// Address of the other router.
        peer: SocketAddr,
    },
    /// Fetch contents from the object store.
    FetchObject {
        /// Digest of the contents.
        digest: Digest,
        /// Digest of the bundle in force, so that only the difference is fetched.
        base: Option<Digest>,
    },
    /// Fetch contents from another router.
    FetchFromPeer {
        /// Digest of the contents.
        digest: Digest,
        /// Address of the other router.
        peer: SocketAddr,
        /// Digest of the bundle in force, so that only the difference is fetched.
        base: Option<Digest>,
    },
    /// Check the approvals of a record whose contents are available.
    Check(Record),
    /// Apply the bundle of the record.
    Adopt(Record),
    /// Announce the record to the other routers.
    Announce(Record),
    /// This router may serve from now on.
    Ready,
    /// Write the decision to the log.
    Decide(Decision),
}

/// Decision about one record, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Version of the record.
    pub version: Version,
    /// Digest of the record.
    pub digest: Digest,
    /// The decision itself.
    pub outcome: Outcome,
}

/// Kind of a decision about a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The record is newer than any seen before, and was learned from this source.
    Seen(Source),
    /// The contents couldn't be fetched for this reason. The fetch is retried.
    Retried(FetchOutcome),
    /// The bundle is in force.
    Adopted,
    /// The bundle was refused for this reason. The one in force stays in force.
    Refused(Arc<str>),
    /// The record has the same version as the highest one seen, and another digest.
    Conflicting,
}
