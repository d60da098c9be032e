//! Whether this router reaches the upstreams of a service, judged by the connections that it tries to
//! open. An open connection may go on working while new ones are refused, so answers don't count.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::member::Member;

/// Time for which the result of an attempt to connect counts.
const EVIDENCE_TIME: Duration = Duration::from_secs(5);
/// Upstreams that can't be reached until the router itself is suspected, unless there are fewer.
const MIN_UNREACHABLE: usize = 3;

/// Time for which an answer shows that an open connection works.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Time between requests that find out whether an upstream can be reached again. It is short once one
/// could be reached.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
const PROBE_PAUSE_AFTER_SUCCESS: Duration = Duration::from_millis(50);

/// Number of upstreams by the last attempt to connect to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Upstreams to which connections could be opened.
    pub reached: usize,
    /// Upstreams to which they couldn't.
    pub unreachable: usize,
}

/// Whether an upstream may be used while this router is cut off from others: the last connection could
/// be opened, or none was tried lately and an open one works.
pub(super) fn is_usable(member: &Member, now: Instant) -> bool {
    match member.is_reachable(EVIDENCE_TIME, now) {
        Some(is_open) => is_open,
        None => now - member.last_answer() < ANSWER_TIME,
    }
}

impl Service {
    /// Records the result of an attempt to connect to an upstream.
    pub fn record_connect(&mut self, upstream: &str, is_open: bool, now: Instant) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.record_connect(is_open, now);
        }
        if is_open {
            let due = now + PROBE_PAUSE_AFTER_SUCCESS;
            self.probe_due = self.probe_due.map(|planned| planned.min(due));
        } else {
            self.last_failed_connect = Some(now);
        }
    }

    /// Records that a request is sent to an upstream, which may not be reachable.
    pub(super) fn note_probe(&mut self, upstream: &str, now: Instant) {
        if self.is_cut_off(now) && self.is_out_of_reach(upstream, now) {
            self.probe_due = Some(now + PROBE_PAUSE);
        }
    }

    /// Whether the next request may find out whether an upstream can be reached.
    pub(super) fn may_probe(&self, now: Instant) -> bool {
        self.probe_due.is_none_or(|due| now >= due)
    }

    /// Whether an upstream that can be used has answered lately.
    pub(super) fn is_any_usable(&self, now: Instant) -> bool {
        let is_alive = |member: &Member| now - member.last_answer() < ANSWER_TIME;
        let mut members = self.members.values();
        members.any(|member| !member.is_evacuated() && is_usable(member, now) && is_alive(member))
    }

    /// Whether any upstream has answered since an instant, which is less than a second ago.
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answers.last().is_some_and(|at| *at > since)
    }

    /// Whether this router hasn't reached an upstream lately.
    fn is_out_of_reach(&self, upstream: &str, now: Instant) -> bool {
        let member = self.members.get(upstream);
        member.is_some_and(|member| !is_usable(member, now))
    }

    /// Counts the upstreams by whether this router has reached them lately.
    pub fn reach(&self, now: Instant) -> Reach {
        let mut reach = Reach::default();
        for member in self.members.values() {
            match member.is_reachable(EVIDENCE_TIME, now) {
                Some(true) => reach.reached += 1,
                Some(false) => reach.unreachable += 1,
                None => {}
            }
        }
        reach
    }

    /// Whether this router is cut off from at least half of the upstreams that it has tried to reach.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let failed_at = self.last_failed_connect;
        if failed_at.is_none_or(|at| now - at >= EVIDENCE_TIME) {
            return false;
        }
        let reach = self.reach(now);
        let least = MIN_UNREACHABLE.min(self.members.len()).max(1);
        reach.unreachable >= least && reach.unreachable >= reach.reached
    }
}
