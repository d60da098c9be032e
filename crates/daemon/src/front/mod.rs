//! The way of a request through this router: accepted, read, routed, and queued
//! at its home until it has its final answer.

pub(crate) mod acceptor;
mod queued;
pub(crate) mod routing;
pub(crate) mod service;
