//! Messages that routers exchange for failure detection.

use std::net::SocketAddr;

use eelgrassrock_model::{DataCentre, Name, Router};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Upper bound of the encoded size of the fixed fields of a rumour, in bytes.
const RUMOUR_OVERHEAD_BYTES: usize = 18;
/// Bytes by which an IPv6 address is longer than an IPv4 address.
const IPV6_EXTRA_BYTES: usize = 12;

/// Router as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the router.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Address for messages between routers.
    pub address: SocketAddr,
    /// Generation of the description. Only the router itself increments it.
    pub incarnation: u64,
}

/// Digest of a router's name, which tells two routers at one address apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tag(u32);

impl From<&Router> for Tag {
    fn from(router: &Router) -> Self {
        Self(xxh3_64(router.as_str().as_bytes()) as u32)
    }
}

/// What is believed about a router.
///
/// Among rumours of one incarnation the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It didn't answer and may refute the suspicion.
    Suspect,
    /// It didn't answer and didn't refute the suspicion.
    Dead,
    /// It said that it leaves.
    Left,
}

impl State {
    /// Returns whether a router in this state may be given work.
    pub(crate) fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Belief about one router that is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// Router that the rumour is about.
    pub member: Member,
    /// What is believed about it.
    pub state: State,
}

impl Rumour {
    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        let names = self.member.router.as_str().len() + self.member.data_centre.as_str().len();
        let address = if self.member.address.is_ipv6() {
            IPV6_EXTRA_BYTES
        } else {
            0
        };
        RUMOUR_OVERHEAD_BYTES + names + address
    }
}

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to answer with [`Body::Ack`].
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
        /// Router that asks.
        from: Tag,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Answers a ping, directly or through another router.
    Ack {
        /// Number of the ping.
        sequence: u64,
        /// Router that was pinged.
        by: Tag,
        /// Its incarnation.
        incarnation: u64,
        /// Whether it knows the router that pinged it.
        known: bool,
    },
    /// Asks the receiver to ping `target` and to pass its answer on.
    Relay {
        /// Number that the answer repeats.
        sequence: u64,
        /// Address of the router to ping.
        target: SocketAddr,
    },
    /// Asks for the members in the buckets whose digests differ.
    Compare {
        /// Router that asks.
        from: Member,
        /// Digest of each bucket of the sender's members.
        buckets: Vec<u32>,
    },
    /// Carries rumours only.
    Inform,
}

/// One datagram between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Purpose of the message.
    pub body: Body,
    /// Digest of the live members of the sender's data centre.
    pub view: u32,
    /// Digest of the news that the sender has; see [`crate::spread`].
    pub news: u32,
    /// Beliefs about routers.
    pub rumours: Vec<Rumour>,
}
