//! Other routers: messages by datagrams for heartbeats and nng for the rest, and
//! requests that are passed on to their home.

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
