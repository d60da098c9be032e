//! Checks that routers that are cut off from all upstreams serve their callers.

use std::time::Duration;

use tokio::time::Instant;

use super::{Ending, Request, STABLE, State, Subject};
use crate::guarantee::Guarantee;

/// Requests on each side from which they are compared.
const MIN_REQUESTS: usize = 30;
/// Share of what the other routers serve that a cut router must serve.
const MIN_SHARE: f64 = 2.0 / 3.0;
/// Requests that may fail at cut routers, and the share of all requests that may fail besides.
const MAX_FAILED: usize = 10;
const MAX_FAILED_SHARE: f64 = 0.02;

/// Time in which a router is cut off from all upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutOff {
    router: usize,
    from: Instant,
    until: Instant,
}

impl CutOff {
    pub(super) fn new(router: usize, span: Duration) -> Self {
        let from = Instant::now();
        let until = from + span;
        Self {
            router,
            from,
            until,
        }
    }

    fn covers(&self, at: Instant) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// Number of requests, and of those that were served.
#[derive(Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

impl State {
    fn is_cut_off(&self, router: usize, at: Instant) -> bool {
        let mut cuts = self.cut_offs.iter();
        cuts.any(|cut| cut.router == router && cut.covers(at))
    }

    /// Whether a router has been cut off for so long that it must serve its callers.
    fn must_serve(&self, router: usize, at: Instant) -> bool {
        let mut cuts = self.cut_offs.iter();
        cuts.any(|cut| cut.router == router && cut.covers(at) && at >= cut.from + STABLE)
    }

    fn is_calm(&self, router: usize, request: &Request) -> bool {
        let subjects = [
            Subject::Router(router),
            Subject::Process(router),
            Subject::Store,
            Subject::Connections,
        ];
        !self.is_disturbed(&subjects, request.at, request.at + request.spec.timeout)
    }

    /// Compares what cut routers served with what the others did at the same time.
    pub(super) fn check_reach(&mut self, at: Duration, routers: usize) {
        let (mut cut, mut others, mut all) = (Count::default(), Count::default(), 0);
        for request in self.requests.values() {
            let router = request.spec.router;
            let is_served = match &request.end {
                Some((_, Ending::Answered { status, .. })) => status.is_success(),
                Some((_, Ending::Broken)) | None => false,
                Some((_, Ending::Cancelled)) => continue,
            };
            let is_cut_off = self.is_cut_off(router, request.at);
            let some_must_serve = (0..routers).any(|other| self.must_serve(other, request.at));
            if !some_must_serve || !self.is_calm(router, request) {
                continue;
            }
            let mut rest = (0..routers).filter(|other| *other != router);
            let has_help = rest
                .any(|other| !self.is_cut_off(other, request.at) && self.is_calm(other, request));
            all += 1;
            let count = match (is_cut_off, self.must_serve(router, request.at) && has_help) {
                (true, true) => &mut cut,
                (true, false) => continue,
                (false, _) => &mut others,
            };
            count.sent += 1;
            count.served += usize::from(is_served);
        }
        let failed = cut.sent - cut.served;
        let is_enough = cut.sent >= MIN_REQUESTS && others.sent >= MIN_REQUESTS;
        let may_fail = MAX_FAILED + (f64::from(all) * MAX_FAILED_SHARE) as usize;
        if is_enough && cut.share() < MIN_SHARE * others.share() && failed > may_fail {
            let details = format!(
                "routers cut off from all upstreams served {} of {} requests, the others {} of {}",
                cut.served, cut.sent, others.served, others.sent
            );
            self.report(at, Guarantee::Reach, details);
        }
    }
}
