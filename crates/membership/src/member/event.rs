//! Inputs and outputs of the failure detection.

use std::net::SocketAddr;

use derive_more::Display;
use eelgrassrock_model::{DataCentre, Router};
use serde::{Deserialize, Serialize};

use super::{Listed, Member, Message, State};

/// Input of [`super::Machine::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A timer is due; see [`super::Machine::next_wake`].
    Tick,
    /// The platform's list of routers was read. It may be out of date.
    List(Vec<Listed>),
    /// An authenticated message arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The digest of this router's news changed; see [`crate::spread`]. Messages
    /// carry the new digest from now on.
    NewsDigest(u32),
    /// This router stops soon and announces that it leaves.
    Drain,
}

/// Output of [`super::Machine::step`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The live routers changed. Holds all of them.
    Changed(Vec<Live>),
    /// The digest of a peer's news differs from that of this router.
    NewsDiffer {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// Write the decision to the log.
    Decide(Decision),
}

/// Router that is believed to be alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Live {
    /// Name of the router.
    pub router: Router,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Address at which the router receives messages of other routers.
    pub address: SocketAddr,
}

/// Change of belief about one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Router that the decision is about.
    pub router: Router,
    /// New state of the router.
    pub state: State,
    /// Incarnation of the router that the state applies to.
    pub incarnation: u64,
    /// Cause of the change.
    pub reason: Reason,
}

/// Cause of a change of belief.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The router answered neither a direct nor an indirect ping.
    #[display("no answer")]
    NoAnswer,
    /// It didn't refute a suspicion in time.
    #[display("not refuted")]
    NotRefuted,
    /// Another router reported the state.
    #[display("rumour")]
    Rumour,
    /// The router sent a message itself.
    #[display("message")]
    Message,
    /// The router appears in the platform's list.
    #[display("listed")]
    Listed,
    /// This router refutes a rumour about itself.
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
