//! Guarantees of the routers, and violations of them.

use std::time::Duration;

use derive_more::Display;

/// Guarantee that every run checks.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Guarantee {
    /// A key has at most one holder at a time.
    #[display("single holder")]
    OneHolder,
    /// A key moves to another upstream only with a higher fencing token.
    #[display("fencing token")]
    FencingToken,
    /// A request that isn't idempotent runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// A refused request hasn't run and will not run.
    #[display("no run of a refused request")]
    TrueRefusal,
    /// A caller gets the complete answer to its own request.
    #[display("own complete answer")]
    OwnAnswer,
    /// Upstreams run only requests that callers sent, with an unchanged path.
    #[display("only sent requests")]
    OnlySent,
    /// Requests run only at a service of their route.
    #[display("service of the route")]
    Service,
    /// No request reaches an upstream that has left.
    #[display("drain")]
    Drain,
    /// No request reaches an upstream in an evacuated data centre.
    #[display("evacuation")]
    Evacuation,
    /// An upstream that asks for a pause gets no requests during it.
    #[display("pause")]
    Pause,
    /// All routers together send an upstream that names a limit no more than it tolerates.
    #[display("limit")]
    Limit,
    /// A request that ends the upstreams that run it is sent to few more of them, and no other
    /// request is refused for that reason.
    #[display("quarantine")]
    Quarantine,
    /// A new configuration applies in time, and an old one doesn't come back.
    #[display("configuration")]
    Configuration,
    /// A request runs at no more upstreams than its route allows.
    #[display("attempts")]
    Attempts,
    /// Each request ends soon after its timeout at the latest.
    #[display("answer in time")]
    InTime,
    /// A graceful stop of a router loses no request that it accepted.
    #[display("graceful stop")]
    GracefulStop,
    /// A router exits only when it is stopped.
    #[display("no unexpected exit")]
    NoCrash,
    /// A router that is cut off from all upstreams serves its callers through others.
    #[display("reach")]
    Reach,
    /// While no caller has a request open, no router counts any.
    #[display("counts at rest")]
    Rest,
    /// After the faults, all routers serve all kinds of requests again.
    #[display("recovery")]
    Recovery,
}

/// Observation that violates a guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{:.3} s: {guarantee}: {details}", at.as_secs_f64())]
pub struct Violation {
    /// Time from the start of the run.
    pub at: Duration,
    /// Guarantee that was violated.
    pub guarantee: Guarantee,
    /// Description of the observation.
    pub details: String,
}
