//! Measurements of the decisions in virtual time: open-loop arrivals over the
//! machine, against simpler disciplines on the same trace.
//!
//! Requests are due at times that don't depend on the answers, and every wait
//! is counted from the time at which the request was due.
//!
//! ```
//! use eelgrassrock_request::experiment::{Discipline, Load, run};
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

pub use load::{Customer, Fault, Load};
pub use report::{Report, Waits};
pub use table::Table;

/// How requests reach the slots of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// One queue per upstream at its home, by [`Machine`](crate::Machine).
    Home,
    /// A machine at each of this many routers, which divide the slots of each
    /// upstream, at least one for each router.
    Local(u32),
    /// Every request is sent at once over one of the connections of the
    /// upstream; failures and timeouts are retried without a budget.
    Baseline,
}

/// Runs a load and reports what its callers saw.
///
/// ```
/// use eelgrassrock_request::experiment::{Discipline, Load, run};
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
