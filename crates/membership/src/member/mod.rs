//! Failure detection among routers.
//!
//! Each router pings one other router per period, whatever the size of the
//! fleet. A router that doesn't answer is pinged through others, then
//! suspected, and declared dead when it doesn't refute the suspicion. Changes
//! travel as rumours on the pings and their answers.

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

/// Router as the platform's list of VMs names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of the router.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Address for messages between routers.
    pub address: SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}
