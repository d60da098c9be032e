//! Messages about ownership between routers.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::Row;
use eelgrassrock_model::{Epoch, Router, Sequence, Service, Term, Upstream, Version};
use serde::{Deserialize, Serialize};

/// Shards of one service that moved away from one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Service of the shards.
    pub service: Service,
    /// Prior owner of the shards.
    pub prior: Upstream,
    /// Shards, each with the epoch of the assignment that moved it away.
    pub shards: Vec<(Shard, Epoch)>,
}

/// Notice that the authority of a home has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Upstream whose home ended.
    pub upstream: Upstream,
    /// Term that ended. All earlier terms have ended with it.
    pub term: Term,
    /// Router and nonce of the process whose authority ended, as in the home row.
    pub holder: (Router, Arc<str>),
    /// Time within which all orders of the sender expire, counted from the arrival of
    /// this message.
    pub lapses_in: Duration,
    /// Time within which earlier homes lose their authority, counted from the arrival of
    /// this message. Only a successor under the same term needs it.
    pub settles_in: Duration,
    /// Identifier of the acceptance that this message answers, zero if there is none.
    #[serde(rename = "question")]
    pub request_id: u64,
    /// State for a receiver that continues the same term without access to the table.
    pub succession: Option<Succession>,
}

/// State that the next home needs to continue the same term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// Time for which the successor may give orders, counted from when it sent its
    /// acceptance.
    pub authority: Duration,
    /// Incarnation of the upstream for which the term was proven.
    pub incarnation: Option<Arc<str>>,
    /// Sequence of the last order.
    pub sequence: Sequence,
    /// Version of the home row.
    pub version: Version,
    /// Home row, and the rows of all shards of the service.
    pub rows: Vec<Row>,
}

/// State of one upstream, reported by its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Whether the upstream answers and may receive shards.
    pub alive: bool,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Busy share of the slots, in parts per million.
    pub busy_ppm: u32,
}

/// Message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the home of the prior owner whether shards were released.
    AskRelease(Release),
    /// Tells the home of the owner that shards were released permanently.
    Released(Release),
    /// Asks an earlier home to end its authority over an upstream.
    AskHandover {
        /// Upstream that the sender took over.
        upstream: Upstream,
        /// Nonce of the process that is asked.
        nonce: Arc<str>,
        /// Term of the sender.
        term: Term,
    },
    /// Offers the authority over an upstream to another router.
    OfferHandover {
        /// Upstream that is offered.
        upstream: Upstream,
        /// Term that the receiver continues.
        term: Term,
    },
    /// Accepts an offer of a handover.
    AcceptHandover {
        /// Upstream that was offered.
        upstream: Upstream,
        /// Term of the offer.
        term: Term,
        /// Identifier that the answer repeats, at least 1.
        #[serde(rename = "question")]
        request_id: u64,
    },
    /// Tells that the authority of the sender has ended.
    Handover(Handover),
    /// Confirms that the sender is home after a succession.
    HandoverDone {
        /// Upstream that was handed over.
        upstream: Upstream,
        /// Term that the sender continues.
        term: Term,
    },
    /// Asks whether an upstream is ready to receive shards.
    AskReady {
        /// Upstream that shall receive shards.
        upstream: Upstream,
    },
    /// Tells that an upstream is ready to receive shards.
    Ready {
        /// Upstream that is ready.
        upstream: Upstream,
    },
    /// Reports the states of the upstreams whose home is the sender.
    Reports(Vec<Report>),
    /// Sends rows that the receiver may lack.
    Rows(Vec<Row>),
    /// Asks for all rows after a start.
    AskRows,
    /// Sends all rows that the sender knows.
    AllRows {
        /// Known rows.
        rows: Vec<Row>,
        /// Whether the rows are complete: the sender read the whole table, or got it from
        /// a router that did.
        complete: bool,
    },
    /// Declines an offer, because the sender stops as well.
    DeclineHandover {
        /// Upstream that was offered.
        upstream: Upstream,
        /// Term of the offer.
        term: Term,
    },
}
