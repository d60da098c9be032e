//! Messages between routers: datagrams for heartbeats, nng for the rest.

mod datagram;
mod pull;
mod push;

pub(crate) use datagram::Port;
pub(crate) use pull::Inbox;
pub use pull::InboxError;
pub(crate) use push::Outbox;
