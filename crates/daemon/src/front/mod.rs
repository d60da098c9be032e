//! Path of a request through this router: it is accepted, read, routed, and at its home
//! router owned by a task until its final response.

pub(crate) mod acceptor;
pub(crate) mod routing;
pub(crate) mod service;
mod task;
