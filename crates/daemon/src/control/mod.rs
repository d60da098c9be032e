//! Adapters of the decision machines, and what carries out their actions.

pub(crate) mod approval;
pub(crate) mod effects;
pub(crate) mod membership;
pub(crate) mod news;
pub(crate) mod ownership;
pub(crate) mod scheduler;
mod timer;
