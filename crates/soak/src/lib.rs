//! Runs routers as processes under faults from outside, and checks what
//! callers and upstreams see.
//!
//! A run has a store, upstreams and callers in this process, and routers in
//! processes of their own. Between them stands a loopback proxy that delays,
//! cuts, resets or silences connections. All faults are drawn from a seed.

mod caller;
pub mod flags;
pub mod ledger;
pub mod plan;
pub mod promise;
mod proxy;
mod router;
pub mod run;
pub mod schedule;
mod upstream;
