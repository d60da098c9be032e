//! Messages between routers.

use std::net::SocketAddr;

use eelgrassrock_membership::{adoption, member, spread};
use eelgrassrock_model::Digest;
use serde::{Deserialize, Serialize};

/// Message with the address at which its sender takes messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Address to which an answer is sent.
    pub(crate) from: SocketAddr,
    /// Contents of the envelope.
    pub(crate) message: Message,
}

/// Message from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Heartbeat with rumours, sent over UDP.
    Member(member::Message),
    /// News, or a message for their anti-entropy repair.
    Spread(spread::Message),
    /// Message of the ownership machine: leases, releases and handovers.
    Ownership(eelgrassrock_ownership::Message),
    /// Request for the record of the bundle in force.
    AskBundle,
    /// Record of the bundle in force, `None` if there is none yet.
    Bundle(Option<adoption::Record>),
    /// Request for the bundle contents with a digest.
    AskContents(Digest),
    /// Bundle contents with a digest, `None` if the sender hasn't cached them.
    Contents(Digest, Option<Vec<u8>>),
}
