//! Events that a machine handles.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Operation, Outcome, Row};
use eelgrassrock_model::{DataCentre, Router, Upstream};
use serde::{Deserialize, Serialize};

use crate::grant::{Answer, Ticket};
use crate::message::Message;

/// Router that is alive according to the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the router.
    pub router: Router,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
}

/// Busy time of one local upstream since the previous event of this kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Duration of the measurement.
    pub window: Duration,
    /// Busy time of each shard that was in use, summed over the slots.
    pub shards: Vec<(Shard, Duration)>,
}

/// Input of a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time passed; due at `Machine::next_wake`.
    Tick,
    /// All routers that are alive, including this one. Replaces the previous list.
    Members(Vec<Member>),
    /// A configuration bundle came into force.
    Fleet(Fleet),
    /// All upstreams that are leaving. Replaces the previous list.
    Leaving(Vec<Upstream>),
    /// A scan read all rows with its prefix, up to the last one.
    Scanned {
        /// Identifier from `Action::Scan`.
        scan: u64,
        /// All rows with the prefix.
        rows: Vec<Row>,
    },
    /// A scan failed.
    ScanFailed {
        /// Identifier from `Action::Scan`.
        scan: u64,
    },
    /// A read completed.
    Read {
        /// Identifier from `Action::Read`.
        id: u64,
        /// Row, `None` if it is absent.
        row: Option<Row>,
    },
    /// A read failed.
    ReadFailed {
        /// Identifier from `Action::Read`.
        id: u64,
    },
    /// Another router sent rows that it read or wrote.
    Rows(Vec<Row>),
    /// A write ended.
    Written {
        /// Identifier of the transaction.
        operation: Operation,
        /// What is known about the effect of the transaction.
        outcome: Outcome,
    },
    /// An upstream answered a request for a ticket, or the request failed.
    Ticket {
        /// Upstream that was asked.
        upstream: Upstream,
        /// Identifier from `Action::AskTicket`.
        id: u64,
        /// Ticket, `None` if the request failed.
        ticket: Option<Ticket>,
    },
    /// An upstream answered an order, or the answer was lost.
    Answered {
        /// Upstream that received the order.
        upstream: Upstream,
        /// Identifier from `Action::Order`.
        id: u64,
        /// Result of the order.
        answer: Answer,
    },
    /// Another router sent a message.
    #[serde(rename = "Told")]
    Message {
        /// Router that sent the message.
        from: Router,
        /// Message that was received.
        message: Message,
    },
    /// Load of the local upstreams was measured.
    Load(Vec<Load>),
    /// This router stops and hands over all upstreams.
    Drain,
}
