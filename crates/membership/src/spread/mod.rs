//! Spreading of versioned news to all routers.
//!
//! News are pushed along a tree of bounded fan-out in each data centre, whose
//! root depends on the news, so that no router carries more than its share.
//! What a lost push leaves out is repaired by comparing digests with the peers
//! that are pinged anyway. An older version never replaces a newer one.

mod archive;
mod message;
mod tree;

pub use message::{Leaf, Message, News, Route};
pub use tree::{Action, Decision, Event, Path, Settings, Tree};
