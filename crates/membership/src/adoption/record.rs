//! Records of bundles, and what is done with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::{Digest, Version};
use serde::{Deserialize, Serialize};

use crate::member::Live;

/// Row that names the current bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the bundle.
    pub version: Version,
    /// Digest of the contents in the object store.
    pub digest: Digest,
    /// Approvals, opaque here.
    pub approvals: Arc<str>,
}

/// Where a record was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// From the row of the table.
    Table,
    /// From the router at this address.
    Peer(SocketAddr),
}

/// What a read of the row gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The row, `None` if no bundle was rolled yet.
    Row(Option<Record>),
    /// The table didn't answer, or refused.
    Failed {
        /// Time after which the table wants to be asked again, if it said so.
        retry_after: Option<Duration>,
    },
}

/// What a fetch of contents gave.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Contents {
    /// The contents are at hand and have the right digest.
    #[display("verified")]
    Verified,
    /// The source doesn't have them.
    #[display("missing")]
    Missing,
    /// They have another digest.
    #[display("corrupt")]
    Corrupt,
    /// The source didn't answer.
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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed; due at [`super::Machine::next_wake`].
    Tick,
    /// The live routers changed.
    Members(Vec<Live>),
    /// [`Action::PollTable`] ended.
    Table(Reading),
    /// A router told of a record without being asked.
    Told {
        /// Its address.
        from: SocketAddr,
        /// The record.
        record: Record,
    },
    /// A router answered [`Action::AskPeer`] with the bundle that it has in
    /// force.
    Answered {
        /// Its address.
        from: SocketAddr,
        /// The record, `None` if it has none yet.
        record: Option<Record>,
    },
    /// A fetch of contents ended.
    Contents {
        /// Digest that was asked for.
        digest: Digest,
        /// What it gave.
        contents: Contents,
    },
    /// [`Action::Check`] ended.
    Checked {
        /// Digest that was checked.
        digest: Digest,
        /// The result.
        verdict: Verdict,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row of the current bundle.
    PollTable,
    /// Ask a router for the bundle that it has in force.
    AskPeer {
        /// Its address.
        peer: SocketAddr,
    },
    /// Fetch contents from the object store.
    FetchObject {
        /// Digest of the contents.
        digest: Digest,
        /// Digest of the bundle in force, for a fetch of the difference.
        base: Option<Digest>,
    },
    /// Fetch contents from a router.
    FetchFromPeer {
        /// Digest of the contents.
        digest: Digest,
        /// Address of the router.
        peer: SocketAddr,
        /// Digest of the bundle in force, for a fetch of the difference.
        base: Option<Digest>,
    },
    /// Check the approvals of a record whose contents are at hand.
    Check(Record),
    /// Apply the bundle.
    Adopt(Record),
    /// Tell the other routers of the record.
    Spread(Record),
    /// This router may serve from now on.
    Ready,
    /// One line for the log.
    Decide(Decision),
}

/// Decision about one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Version of the record.
    pub version: Version,
    /// Digest of the record.
    pub digest: Digest,
    /// What was decided.
    pub outcome: Outcome,
}

/// What was decided about a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is newer than any seen before.
    Seen(Source),
    /// Its contents couldn't be fetched, and are tried again.
    Retried(Contents),
    /// It is in force.
    Adopted,
    /// It isn't valid, and what was in force stays so.
    Refused(Arc<str>),
    /// It has the version of a seen record and another digest.
    Conflicting,
}
