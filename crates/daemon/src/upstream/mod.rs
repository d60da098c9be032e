//! Connections, attempts and orders to upstreams.

pub(crate) mod attempt;
pub(crate) mod link;
pub(crate) mod links;
pub(crate) mod load;
pub(crate) mod orders;
