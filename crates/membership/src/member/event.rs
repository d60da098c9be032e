//! Events and actions of the failure detection.

use std::net::SocketAddr;

use derive_more::Display;
use eelgrassrock_model::{DataCentre, Router};
use serde::{Deserialize, Serialize};

use super::{Listed, Member, Message, State};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed; due at [`super::Machine::next_wake`].
    Tick,
    /// The platform's list of routers was read. It may lag.
    List(Vec<Listed>),
    /// An authenticated message arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The digest of this router's news changed; see [`crate::spread`].
    News(u32),
    /// This router stops soon and tells the others.
    Drain,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The live routers changed.
    Changed(Vec<Live>),
    /// A peer has other news than this router.
    NewsDiffer {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// One line for the log.
    Decide(Decision),
}

/// Live router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Live {
    /// Name of the router.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Address for messages between routers.
    pub address: SocketAddr,
}

/// Change of belief about one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Router that the decision is about.
    pub router: Router,
    /// New belief.
    pub state: State,
    /// Incarnation that the belief is about.
    pub incarnation: u64,
    /// Why the belief changed.
    pub reason: Reason,
}

/// Why a belief changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It answered no ping, directly or through others.
    #[display("no answer")]
    NoAnswer,
    /// It didn't refute a suspicion in time.
    #[display("not refuted")]
    NotRefuted,
    /// Another router said so.
    #[display("rumour")]
    Rumour,
    /// It sent a message itself.
    #[display("message")]
    Message,
    /// The platform's list names it.
    #[display("listed")]
    Listed,
    /// This router refutes what was said about it.
    #[display("refuted")]
    Refuted,
    /// This router was told to stop.
    #[display("drained")]
    Drained,
}

impl From<&Member> for Live {
    fn from(member: &Member) -> Self {
        Self {
            router: member.router.clone(),
            data_centre: member.data_centre.clone(),
            address: member.address,
        }
    }
}
