//! Invariants that are checked after every step.

use std::collections::BTreeSet;

use eelgrassrock_request::{Action, Id};

use super::{Cluster, Exchange, NAMES, QUEUE_BOUND, SLOTS, Stage};

impl Cluster {
    pub(super) fn check_done(&self, id: Id) {
        if let Some(key) = self.requests[&id.0].key {
            assert_eq!(self.runs.get(&key), Some(&1), "{id} is done without a run");
        }
    }

    /// Checks that no exchange of a request that was reported as not run has run or may
    /// still run.
    pub(super) fn check_not_run(&self) {
        for exchange in &self.exchanges {
            let reported = self.requests[&exchange.request.0].reported_not_run;
            let may_run = exchange.ran || exchange.stage == Stage::Begun;
            assert!(
                !(reported && may_run),
                "{} was reported as not run",
                exchange.request
            );
        }
    }

    /// Checks that a cancelled request is answered or sent again in the same step. `is_exempt`
    /// marks events that may cancel without an answer: a disconnect, and an attempt that must
    /// not begin.
    pub(super) fn check_cancelled(&self, actions: &[Action], is_exempt: bool) {
        let cancelled: BTreeSet<Id> = actions.iter().filter_map(cancelled).collect();
        let settled: BTreeSet<Id> = actions.iter().filter_map(settled).collect();
        for id in cancelled.difference(&settled) {
            let answered =
                self.requests[&id.0].answers > 0 || self.requests[&id.0].has_disconnected;
            assert!(
                is_exempt || answered,
                "{id} was cancelled without an answer"
            );
        }
    }

    pub(super) fn check_bounds(&self, router: usize) {
        let snapshot = self.machines[router].snapshot();
        for (name, state) in &snapshot.upstreams {
            for flow in state.partners.values() {
                assert!(
                    flow.queued <= QUEUE_BOUND + SLOTS,
                    "queue of {name} too long"
                );
            }
            assert!(state.busy as usize <= SLOTS, "too many slots of {name}");
            let open = |exchange: &&Exchange| {
                exchange.open
                    && exchange.router == router
                    && exchange.generation == self.generations[router]
                    && NAMES[exchange.upstream] == String::from(name.clone())
            };
            let open = self.exchanges.iter().filter(open).count();
            assert!(open <= SLOTS, "{open} open exchanges at {name}");
        }
        for (id, request) in &self.requests {
            let live = request.answers == 0 && !request.has_disconnected && !request.lost;
            let late = self.now > request.arrival.deadline;
            let due = live && late && !request.responding && request.router == router;
            assert!(
                !due || self.has_pending_tick(router),
                "{id} is past its deadline"
            );
        }
    }

    /// Returns whether the machine has a timer that is due but not yet handled.
    pub(super) fn has_pending_tick(&self, router: usize) -> bool {
        let wake = self.machines[router].next_wake();
        wake.is_some_and(|wake| wake <= self.now)
    }

    pub(super) fn record_answer(&mut self, id: Id) {
        let request = self.requests.get_mut(&id.0).unwrap();
        request.answers += 1;
        assert_eq!(request.answers, 1, "{id} got two final answers");
        assert!(
            !request.has_disconnected,
            "{id} was answered after its caller disconnected"
        );
    }

    pub(super) fn record_run(&mut self, id: Id) {
        let request = &self.requests[&id.0];
        assert!(
            !request.reported_not_run,
            "{id} ran after it was reported as not run"
        );
        let Some(key) = request.key else {
            return;
        };
        let other = self.runs.get(&(key ^ 1)).copied().unwrap_or(0);
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert_eq!(*runs + other, 1, "key {} ran again as {id}", key / 2);
    }
}

fn cancelled(action: &Action) -> Option<Id> {
    match action {
        Action::Cancel { request } => Some(*request),
        _ => None,
    }
}

fn settled(action: &Action) -> Option<Id> {
    match action {
        Action::Finish { request, .. }
        | Action::Redirect { request, .. }
        | Action::Send { request, .. } => Some(*request),
        Action::Decide(decision) => Some(decision.request),
        _ => None,
    }
}
