//! Dissemination of versioned news to all routers.
//!
//! News are pushed along a tree of bounded fan-out in each data centre. The root
//! depends on the key and the version, which balances the load among the routers.
//! News that a router misses because a push is lost are repaired by anti-entropy:
//! routers compare digests with the peers that they ping anyway. An older version
//! never replaces a newer one.

mod message;
mod replica;
mod tree;

pub use message::{Forward, KeyVersion, Message, News};
pub use tree::{Action, Decision, Event, Path, Settings, Tree};
