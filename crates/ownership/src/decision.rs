//! Decisions, each of which becomes one line of the log.

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Router, Service, Term, Upstream};
use serde::{Deserialize, Serialize};

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum What {
    /// This router became the home of an upstream.
    Home {
        /// Upstream.
        upstream: Upstream,
        /// Term.
        term: Term,
    },
    /// This router ceased to be the home of an upstream.
    Ceded {
        /// Upstream.
        upstream: Upstream,
        /// Term that ended.
        term: Term,
        /// Next home, if it is known.
        to: Option<Router>,
    },
    /// Shards were assigned.
    Assigned {
        /// Service.
        service: Service,
        /// First shard.
        first: Shard,
        /// Number of shards that changed.
        count: u32,
        /// New owner.
        upstream: Upstream,
        /// Owner before.
        prior: Option<Upstream>,
        /// Highest epoch of the new assignments.
        epoch: Epoch,
    },
    /// An upstream was found to be alive or lost.
    Upstream {
        /// Upstream.
        upstream: Upstream,
        /// Whether it is alive.
        alive: bool,
    },
    /// A row can't be used.
    BadRow {
        /// Key of the row.
        key: String,
        /// What is wrong and what to do.
        fault: String,
    },
}

/// Why it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Nobody had it yet.
    Unowned,
    /// The one that had it was lost.
    Lost,
    /// The one that has it is leaving or stopping.
    Leaving,
    /// Another one took it over.
    Superseded,
    /// The authority ended without contact to the table.
    Authority,
    /// The number of shards differed too much between upstreams.
    Uneven,
    /// An upstream was too busy.
    Busy,
    /// An upstream answered.
    Answered,
    /// An upstream didn't answer.
    Silent,
    /// The contents are invalid.
    Invalid,
}

/// Decision with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// What was decided.
    #[serde(flatten)]
    pub what: What,
    /// Why.
    pub reason: Reason,
}
