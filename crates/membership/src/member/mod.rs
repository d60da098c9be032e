//! Failure detection among routers.
//!
//! In every period each router pings its successor on a hash ring, whatever the
//! size of the fleet. A router that doesn't answer is pinged indirectly through
//! other routers, then suspected, and declared dead unless it refutes the
//! suspicion in time. State changes spread by gossip: they are piggybacked as
//! rumours on pings and acknowledgements.

mod event;
mod machine;
mod message;
mod network;
mod probe;
mod receive;
mod roster;
mod rumour;
mod settings;

pub use event::{Action, Decision, Event, Live, Reason};
pub use machine::Machine;
pub use message::{Body, Member, Message, Rumour, State, Tag};
pub use settings::{Builder, Settings};

use std::net::SocketAddr;

use eelgrassrock_model::{DataCentre, Router};

/// Router as it appears in the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of the router.
    pub router: Router,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Address at which the router receives messages of other routers.
    pub address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}
