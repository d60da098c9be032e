//! Check of requests that end the upstreams that begin to run them.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::{Ending, Request, STABLE, State, Subject};
use crate::guarantee::Guarantee;
use crate::plan::is_deadly;

/// Number of ended upstreams from which a request must not reach others.
const MAX_CRASHES: usize = 3;
/// Number of times that such a request may still reach an upstream.
const MAX_RETRIES: usize = 3;
/// Reason in a router's refusal of such a request.
const REASON: &[u8] = b"quarantined";

/// Request that ends the upstreams that begin to run it.
#[derive(Debug, Default)]
pub(super) struct Deadly {
    /// Incarnations of upstreams that the request has ended.
    ended: HashSet<usize>,
    /// When the last of the upstreams ended that suffice to know the request.
    known: Option<Instant>,
    /// Number of times that the request reached an upstream later than that.
    retries: usize,
}

impl Deadly {
    pub(super) fn crash(&mut self, upstream: usize) {
        self.ended.insert(upstream);
        if self.ended.len() >= MAX_CRASHES {
            self.known.get_or_insert_with(Instant::now);
        }
    }
}

impl Request {
    /// Checks that only a request that ends upstreams is refused for that reason.
    pub(super) fn wrong_quarantine(&self, id: &str) -> Option<(Guarantee, String)> {
        let Some((_, Ending::Answered { body, .. })) = &self.end else {
            return None;
        };
        let is_wrong = body.starts_with(REASON) && !is_deadly(&self.spec.path);
        let details = || format!("{id} of {} was refused as quarantined", self.spec.path);
        is_wrong.then(|| (Guarantee::Quarantine, details()))
    }
}

impl State {
    /// Whether a router is in touch: its process, its links and the store have been without
    /// faults for [`STABLE`].
    fn is_in_touch(&self, router: usize, now: Instant) -> bool {
        let subjects = [
            Subject::Router(router),
            Subject::Process(router),
            Subject::Connections,
            Subject::Store,
        ];
        !self.is_disturbed(&subjects, now, now)
    }

    /// Counts a request that reached an upstream. A fault of the upstream or its link may have
    /// held it up.
    pub(super) fn check_deadly(&mut self, at: Duration, id: Option<&str>, upstream: usize) {
        let now = Instant::now();
        let Some(request) = id.and_then(|id| self.requests.get(id)) else {
            return;
        };
        let (path, router) = (request.spec.path.clone(), request.spec.router);
        let known = self.deadly.get(&path).and_then(|deadly| deadly.known);
        let Some(known) = known.filter(|known| now > *known + STABLE) else {
            return;
        };
        let is_held_up = self.is_disturbed(&[Subject::Upstream(upstream)], now, now);
        if is_held_up || !self.is_in_touch(router, now) {
            return;
        }
        let retries = self.deadly.get_mut(&path).map_or(0, |deadly| {
            deadly.retries += 1;
            deadly.retries
        });
        if retries > MAX_RETRIES {
            let details = format!(
                "{path} from router {router} reached upstream {upstream} {:?} after it had ended \
                 {MAX_CRASHES} upstreams, {retries} times by now",
                now - known
            );
            self.report(at, Guarantee::Quarantine, details);
        }
    }
}
