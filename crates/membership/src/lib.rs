//! Decisions on membership, the spreading of news and the adoption of bundles.
//!
//! Nothing here performs I/O, reads a clock or draws from a random source of
//! its own: each machine has `step(now, event)`, which returns actions.
//! Membership is soft state. It chooses whom to ask and whom to tell, and no
//! safety property rests on it.

pub mod member;
pub mod spread;
