//! Messages between the routers about ownership.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::Row;
use eelgrassrock_model::{Epoch, Router, Sequence, Service, Term, Upstream, Version};
use serde::{Deserialize, Serialize};

/// Shards of one service that moved away from one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Service.
    pub service: Service,
    /// Upstream that owned them before.
    pub prior: Upstream,
    /// Shards with the epoch of the assignment that took them away.
    pub shards: Vec<(Shard, Epoch)>,
}

/// End of the authority of a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Upstream.
    pub upstream: Upstream,
    /// Term that ended, and with it all terms before.
    pub term: Term,
    /// Router and start of the process whose authority ended, as the row of
    /// the home names them.
    pub holder: (Router, Arc<str>),
    /// Time within which all orders of the sender have expired, from the
    /// arrival of this message.
    pub lapses_in: Duration,
    /// Time within which earlier homes lose their authority, from the arrival
    /// of this message. It matters to a successor under the same term only.
    pub settles_in: Duration,
    /// Question that this answers, zero if none.
    pub question: u64,
    /// Rows that the sender knows, if the receiver shall go on under the same
    /// term without the table.
    pub succession: Option<Succession>,
}

/// What the next home needs to go on under the same term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// Time for which the home may give orders, from the question.
    pub authority: Duration,
    /// Incarnation of the upstream for which the term was proven.
    pub incarnation: Option<Arc<str>>,
    /// Last sequence that was used.
    pub sequence: Sequence,
    /// Version of the row of the home.
    pub version: Version,
    /// Row of the home, and rows of all shards of the service.
    pub rows: Vec<Row>,
}

/// State of one upstream as its home sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Upstream.
    pub upstream: Upstream,
    /// Whether it answers and may get shards.
    pub alive: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Busy share of its slots, in parts per million.
    pub busy_ppm: u32,
}

/// Message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the home of the prior owner whether shards were released.
    AskRelease(Release),
    /// Tells the home of the owner that shards were released for good.
    Released(Release),
    /// Asks an earlier home to end its authority over an upstream.
    AskHandover {
        /// Upstream.
        upstream: Upstream,
        /// Start of the process that is asked.
        nonce: Arc<str>,
        /// Term of the asker.
        term: Term,
    },
    /// Offers the authority over an upstream to the next home.
    OfferHandover {
        /// Upstream.
        upstream: Upstream,
        /// Term.
        term: Term,
    },
    /// Accepts an offer.
    AcceptHandover {
        /// Upstream.
        upstream: Upstream,
        /// Term.
        term: Term,
        /// Identifier for the answer, at least 1.
        question: u64,
    },
    /// Ends the authority of the sender.
    Handover(Handover),
    /// The receiver of a succession is home now.
    HandoverDone {
        /// Upstream.
        upstream: Upstream,
        /// Term.
        term: Term,
    },
    /// Asks whether an upstream is ready to get shards.
    AskReady {
        /// Upstream.
        upstream: Upstream,
    },
    /// An upstream is ready to get shards.
    Ready {
        /// Upstream.
        upstream: Upstream,
    },
    /// States of the upstreams of the sender.
    Reports(Vec<Report>),
    /// Rows that the receiver lacks.
    Rows(Vec<Row>),
    /// Asks for all rows, after a start.
    AskRows,
    /// All rows that the sender knows.
    AllRows {
        /// Rows.
        rows: Vec<Row>,
        /// Whether the sender has read the whole table or got it from another.
        complete: bool,
    },
    /// Declines an offer: the sender stops as well.
    DeclineHandover {
        /// Upstream.
        upstream: Upstream,
        /// Term.
        term: Term,
    },
}
