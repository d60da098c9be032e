//! Decisions of a machine, each of which the caller logs as one line.

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Router, Service, Term, Upstream};
use serde::{Deserialize, Serialize};

/// Kind of a decision, with its details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum DecisionKind {
    /// This router became the home of an upstream.
    Home {
        /// Upstream whose home this router became.
        upstream: Upstream,
        /// Term of this router as home.
        term: Term,
    },
    /// This router ceased to be the home of an upstream.
    Ceded {
        /// Upstream that was given up.
        upstream: Upstream,
        /// Term that ended.
        term: Term,
        /// Next home, if it is known.
        to: Option<Router>,
    },
    /// Shards were assigned.
    Assigned {
        /// Service of the shards.
        service: Service,
        /// First shard of the run.
        first: Shard,
        /// Number of shards in the run.
        count: u32,
        /// New owner.
        upstream: Upstream,
        /// Prior owner, `None` for a first assignment.
        prior: Option<Upstream>,
        /// Highest epoch of the new assignments.
        epoch: Epoch,
    },
    /// An upstream was found to be alive or lost.
    Upstream {
        /// Upstream whose state changed.
        upstream: Upstream,
        /// Whether it is alive.
        alive: bool,
    },
    /// A row can't be used.
    BadRow {
        /// Key of the row.
        key: String,
        /// What is wrong with the row and how to fix it.
        fault: String,
    },
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The shards or the upstream had no owner or home yet.
    Unowned,
    /// The earlier owner or home was lost.
    Lost,
    /// The present owner or home is leaving or stopping.
    Leaving,
    /// A later home took over.
    Superseded,
    /// The home lost contact to the table for longer than its authority lasts.
    Authority,
    /// The number of shards per upstream differed too much.
    Uneven,
    /// The utilization of an upstream was too high.
    Busy,
    /// An upstream answered.
    Answered,
    /// An upstream didn't answer.
    Silent,
    /// The contents of a row are invalid.
    Invalid,
}

/// Decision with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Kind of the decision, with its details.
    #[serde(flatten)]
    pub what: DecisionKind,
    /// Reason for the decision.
    pub reason: Reason,
}
