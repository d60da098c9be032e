//! Communication with other routers: heartbeats in UDP datagrams, other messages over
//! nng, and requests that are forwarded to their home router over HTTP.

mod datagram;
pub(crate) mod hop;
pub(crate) mod message;
mod pull;
mod push;
pub(crate) mod sender;

pub(crate) use datagram::Port;
pub(crate) use pull::Inbox;
pub use pull::InboxError;
pub(crate) use push::Outbox;
