//! Connections to upstreams, attempts to send requests, and orders.

pub(crate) mod attempt;
pub(crate) mod link;
pub(crate) mod links;
pub(crate) mod load;
pub(crate) mod orders;
