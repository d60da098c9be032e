//! Events that a machine reacts to.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Operation, Outcome, Row};
use eelgrassrock_model::{DataCentre, Router, Upstream};
use serde::{Deserialize, Serialize};

use crate::grant::{Answer, Ticket};
use crate::message::Message;

/// Router that is alive as far as membership knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
}

/// Busy time of one local upstream since the last such event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Upstream.
    pub upstream: Upstream,
    /// Time over which it was measured.
    pub window: Duration,
    /// Busy time of each shard that was in use, summed over slots.
    pub shards: Vec<(Shard, Duration)>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The routers that are alive, this one included. Replaces the list before.
    Members(Vec<Member>),
    /// A bundle is in force.
    Fleet(Fleet),
    /// The upstreams that are leaving. Replaces the list before.
    Leaving(Vec<Upstream>),
    /// All rows that a scan found, after it was read to its end.
    Scanned {
        /// Identifier from the action.
        scan: u64,
        /// All rows with the prefix.
        rows: Vec<Row>,
    },
    /// A scan failed.
    ScanFailed {
        /// Identifier from the action.
        scan: u64,
    },
    /// A row was read, `None` if it is absent.
    Read {
        /// Identifier from the action.
        id: u64,
        /// Row.
        row: Option<Row>,
    },
    /// A read failed.
    ReadFailed {
        /// Identifier from the action.
        id: u64,
    },
    /// Rows that another router read or wrote.
    Rows(Vec<Row>),
    /// A transaction ended.
    Written {
        /// Identifier of the transaction.
        operation: Operation,
        /// What is known of it.
        outcome: Outcome,
    },
    /// An upstream answered a request for a ticket.
    Ticket {
        /// Upstream.
        upstream: Upstream,
        /// Identifier from the action.
        id: u64,
        /// Ticket, `None` if the request failed.
        ticket: Option<Ticket>,
    },
    /// An upstream answered an order.
    Answered {
        /// Upstream.
        upstream: Upstream,
        /// Identifier from the action.
        id: u64,
        /// Answer.
        answer: Answer,
    },
    /// Another router sent a message.
    Told {
        /// Sender.
        from: Router,
        /// Message.
        message: Message,
    },
    /// Load of local upstreams.
    Load(Vec<Load>),
    /// This router stops: hand over everything.
    Drain,
}
