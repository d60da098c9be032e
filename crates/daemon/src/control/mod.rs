//! Adapters of the state machines, and the tasks that execute their actions.

pub(crate) mod approval;
pub(crate) mod dispatch;
pub(crate) mod effects;
pub(crate) mod membership;
pub(crate) mod ownership;
pub(crate) mod scheduler;
mod timer;
