//! Everything that one router says to another.

use std::net::SocketAddr;

use eelgrassrock_membership::{adoption, member, spread};
use eelgrassrock_model::Digest;
use serde::{Deserialize, Serialize};

/// Message with the address that its sender is reached at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Address for the answer.
    pub(crate) from: SocketAddr,
    /// What is said.
    pub(crate) message: Message,
}

/// Message from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Heartbeats and rumours, over UDP.
    Member(member::Message),
    /// News and their repair.
    Spread(spread::Message),
    /// Leases, releases and handovers.
    Ownership(eelgrassrock_ownership::Message),
    /// Asks for the bundle in force.
    AskBundle,
    /// The bundle in force, `None` if there is none yet.
    Bundle(Option<adoption::Record>),
    /// Asks for the contents with a digest.
    AskContents(Digest),
    /// The contents with a digest, `None` if they aren't at hand.
    Contents(Digest, Option<Vec<u8>>),
}
