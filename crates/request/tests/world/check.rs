//! What must hold after every step.

use std::collections::BTreeSet;

use eelgrassrock_request::{Action, Id};

use super::{Exchange, NAMES, QUEUE_BOUND, SLOTS, Stage, World};

impl World {
    pub(super) fn check_done(&self, id: Id) {
        if let Some(key) = self.requests[&id.0].key {
            assert_eq!(self.runs.get(&key), Some(&1), "{id} is done without a run");
        }
    }

    /// A request that was told "not run" has no exchange that ran or may run.
    pub(super) fn check_not_run(&self) {
        for exchange in &self.exchanges {
            let told = self.requests[&exchange.request.0].told_not_run;
            let may_run = exchange.ran || exchange.stage == Stage::Begun;
            assert!(!(told && may_run), "{} was told not run", exchange.request);
        }
    }

    /// What is cancelled for another reason than the caller is answered, or
    /// sent again, in the same step.
    pub(super) fn check_given_up(&self, actions: &[Action], left: bool) {
        let cancelled: BTreeSet<Id> = actions.iter().filter_map(cancelled).collect();
        let settled: BTreeSet<Id> = actions.iter().filter_map(settled).collect();
        for id in cancelled.difference(&settled) {
            let answered = self.requests[&id.0].answers > 0 || self.requests[&id.0].left;
            assert!(left || answered, "{id} was given up without an answer");
        }
    }

    pub(super) fn check_bounds(&self, router: usize) {
        let snapshot = self.machines[router].snapshot();
        for (name, station) in &snapshot.stations {
            for flow in station.partners.values() {
                assert!(
                    flow.queued <= QUEUE_BOUND + SLOTS,
                    "queue of {name} too long"
                );
            }
            assert!(station.busy as usize <= SLOTS, "too many slots of {name}");
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
            let live = request.answers == 0 && !request.left && !request.lost;
            let late = self.now > request.arrival.deadline;
            let due = live && late && !request.responding && request.router == router;
            assert!(!due || self.lags(router), "{id} is past its deadline");
        }
    }

    /// Whether the machine has not yet been told the time.
    pub(super) fn lags(&self, router: usize) -> bool {
        let wake = self.machines[router].next_wake();
        wake.is_some_and(|wake| wake <= self.now)
    }

    pub(super) fn note_answer(&mut self, id: Id) {
        let request = self.requests.get_mut(&id.0).unwrap();
        request.answers += 1;
        assert_eq!(request.answers, 1, "{id} got two final answers");
        assert!(!request.left, "{id} was answered after its caller left");
    }

    pub(super) fn note_run(&mut self, id: Id) {
        let request = &self.requests[&id.0];
        assert!(!request.told_not_run, "{id} ran after it was told not run");
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
