//! Actions that a machine returns to its caller.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrassrock_model::table::{Row, Transaction};
use eelgrassrock_model::{Router, Upstream};

use crate::decision::Decision;
use crate::grant::Order;
use crate::message::Message;

/// Side effect that the caller executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read all rows with a prefix. Answer with `Event::Scanned` or `Event::ScanFailed`.
    Scan {
        /// Identifier that the answer repeats.
        scan: u64,
        /// Prefix of the keys to read.
        prefix: Arc<str>,
    },
    /// Read one row. Answer with `Event::Read` or `Event::ReadFailed`.
    Read {
        /// Identifier that the answer repeats.
        id: u64,
        /// Key of the row to read.
        key: Arc<str>,
    },
    /// Write a transaction to the table once, without retries. Answer with
    /// `Event::Written`.
    Write(Transaction),
    /// Send changed rows to all routers.
    Broadcast(Vec<Row>),
    /// Ask an upstream for a ticket. Answer with `Event::Ticket`.
    AskTicket {
        /// Upstream to ask.
        upstream: Upstream,
        /// Address of the upstream.
        address: SocketAddr,
        /// Identifier that the answer repeats.
        id: u64,
    },
    /// Send an order to an upstream once, without retries. Answer with
    /// `Event::Answered`.
    Order {
        /// Upstream that receives the order.
        upstream: Upstream,
        /// Address of the upstream.
        address: SocketAddr,
        /// Identifier that the answer repeats.
        id: u64,
        /// Order to send.
        order: Order,
    },
    /// Open connections to an upstream that is about to receive shards.
    Warm {
        /// Upstream to connect to.
        upstream: Upstream,
    },
    /// Send a message to another router.
    Send {
        /// Router that receives the message.
        router: Router,
        /// Address of the receiver.
        address: SocketAddr,
        /// Message to send.
        message: Message,
    },
    /// The results of `Machine::route` may have changed.
    RoutesChanged,
    /// Log a decision.
    Decide(Decision),
    /// Let the router stop: the drain is complete, timed out, or found no router that
    /// takes over.
    Drained,
}
