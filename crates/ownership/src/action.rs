//! Actions that a machine asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrassrock_model::table::{Row, Transaction};
use eelgrassrock_model::{Router, Upstream};

use crate::decision::Decision;
use crate::grant::Order;
use crate::message::Message;

/// Something that the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read all rows with a prefix. Answer with `Event::Scanned`.
    Scan {
        /// Identifier for the answer.
        scan: u64,
        /// Prefix of the keys.
        prefix: Arc<str>,
    },
    /// Read one row. Answer with `Event::Read`.
    Read {
        /// Identifier for the answer.
        id: u64,
        /// Key of the row.
        key: Arc<str>,
    },
    /// Write to the table once, without retries. Answer with `Event::Written`.
    Write(Transaction),
    /// Send rows that changed to all routers.
    Spread(Vec<Row>),
    /// Ask an upstream for a ticket. Answer with `Event::Ticket`.
    AskTicket {
        /// Upstream.
        upstream: Upstream,
        /// Its address.
        address: SocketAddr,
        /// Identifier for the answer.
        id: u64,
    },
    /// Send an order to an upstream once, without retries. Answer with
    /// `Event::Answered`.
    Order {
        /// Upstream.
        upstream: Upstream,
        /// Its address.
        address: SocketAddr,
        /// Identifier for the answer.
        id: u64,
        /// Order.
        order: Order,
    },
    /// Open connections to an upstream that is about to get shards.
    Warm {
        /// Upstream.
        upstream: Upstream,
    },
    /// Send a message to another router.
    Tell {
        /// Receiver.
        router: Router,
        /// Its address.
        address: SocketAddr,
        /// Message.
        message: Message,
    },
    /// The results of `route` may have changed.
    RoutesChanged,
    /// Log a decision.
    Decide(Decision),
    /// Everything was handed over: the router may stop.
    Drained,
}
