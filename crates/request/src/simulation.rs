//! Simulation of the request decisions in virtual time.
//!
//! The simulation feeds open-loop arrivals to the state machine and compares it with
//! simpler disciplines on the same trace. Arrival times don't depend on answers, and every
//! wait is measured from the time at which the request was due.
//!
//! ```
//! use eelgrassrock_request::simulation::{Discipline, Load, run};
//!
//! let load = Load::lookup().at_percent(70).seconds(1);
//! let report = run(&load, Discipline::Home);
//! assert!(report.goodput() > 0.99);
//! ```

mod baseline;
mod driver;
mod load;
mod report;
mod server;
mod table;
mod trace;

pub use load::{Fault, Load, Partner};
pub use report::{PartnerReport, Report};
pub use table::Table;

/// Way in which requests reach the slots of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// One queue per upstream at its home, run by a [`Machine`](crate::Machine).
    Home,
    /// One machine at each of this many routers. The routers divide the slots of each
    /// upstream, with at least one slot for each router.
    Local(u32),
    /// Every request is sent at once over one of the connections of the upstream. Failures
    /// and timeouts are retried without a budget.
    Baseline,
}

/// Simulates a load and returns the results that its callers saw.
///
/// ```
/// use eelgrassrock_request::simulation::{Discipline, Load, run};
///
/// let load = Load::lookup().at_percent(90).seconds(1);
/// let first = run(&load, Discipline::Home);
/// let second = run(&load, Discipline::Home);
/// assert_eq!(first.sent, second.sent);
/// ```
pub fn run(load: &Load, discipline: Discipline) -> Report {
    let trace = trace::Trace::generate(load);
    match discipline {
        Discipline::Home => driver::run(load, &trace, 1),
        Discipline::Local(routers) => driver::run(load, &trace, routers),
        Discipline::Baseline => baseline::run(load, &trace),
    }
}
