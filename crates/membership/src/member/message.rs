//! Messages that routers exchange for failure detection.

use std::net::SocketAddr;

use eelgrassrock_model::{DataCentre, Name, Router};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Upper bound of the encoded size of the fixed fields of a rumour, in bytes.
const RUMOUR_OVERHEAD_BYTES: usize = 18;
/// Bytes by which an IPv6 address is longer than an IPv4 address.
const IPV6_EXTRA_BYTES: usize = 12;

/// Name, location and incarnation of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the router.
    pub router: Router,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Address at which the router receives messages of other routers.
    pub address: SocketAddr,
    /// Incarnation, which only the router itself increments. 0 if the router is
    /// only known from the platform's list.
    pub incarnation: u64,
}

/// 32-bit hash of a router's name. It distinguishes two routers that use the
/// same address one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tag(u32);

impl From<&Router> for Tag {
    fn from(router: &Router) -> Self {
        Self(xxh3_64(router.as_str().as_bytes()) as u32)
    }
}

/// State that a router believes another one to be in.
///
/// Among rumours about the same incarnation, the state that is declared later
/// in this enum wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The router answers.
    Alive,
    /// The router didn't answer and may still refute the suspicion.
    Suspect,
    /// The router neither answered nor refuted the suspicion in time.
    Dead,
    /// The router announced that it leaves.
    Left,
}

impl State {
    /// Returns whether a router in this state counts as live: it may be given
    /// work.
    pub(crate) fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Belief about one router, as it is spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// Router that the rumour is about.
    pub member: Member,
    /// State that the sender believes the router to be in.
    pub state: State,
}

impl Rumour {
    /// Returns an upper bound of the encoded size, in bytes.
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

/// Kind of a message and its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to answer with [`Body::Ack`].
    Ping {
        /// Sequence number, which the answer repeats.
        sequence: u64,
        /// Router that sends the ping.
        from: Tag,
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// Answers a ping, directly or through another router.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// Router that was pinged.
        by: Tag,
        /// Incarnation of the router that was pinged.
        incarnation: u64,
        /// Whether the router that was pinged knows the one that pinged it.
        known: bool,
    },
    /// Asks the receiver to ping `target` and to forward the answer.
    Relay {
        /// Sequence number, which the forwarded answer repeats.
        sequence: u64,
        /// Address of the router to ping.
        target: SocketAddr,
    },
    /// Asks for the members in the buckets whose digests differ.
    Compare {
        /// Router that sends the message.
        from: Member,
        /// Digest of each bucket of the live members of the sender's data centre.
        buckets: Vec<u32>,
    },
    /// Carries rumours only and isn't answered.
    Inform,
}

/// One datagram between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Kind of the message and its fields.
    pub body: Body,
    /// Digest of the live members of the sender's data centre.
    pub view_digest: u32,
    /// Digest of all news that the sender holds; see [`crate::spread`].
    pub news_digest: u32,
    /// Beliefs about routers, piggybacked on the message.
    pub rumours: Vec<Rumour>,
}
