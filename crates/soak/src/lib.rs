//! Runs routers as processes, injects faults, and checks what callers and
//! upstreams observe against the router's guarantees.
//!
//! In a run, the store, the upstreams and the callers live in this process, and
//! each router is a separate process. They are connected through loopback proxies
//! that can delay, cut, reset or silence connections. All faults are drawn from a
//! seed.

mod caller;
pub mod checker;
pub mod flags;
pub mod guarantee;
mod mesh;
pub mod partition;
pub mod plan;
pub mod proxy;
mod router;
pub mod run;
pub mod schedule;
mod upstream;
