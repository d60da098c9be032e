//! At-most-once execution: claims idempotency keys on arrival and records the outcome of
//! runs.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::fleet::{Patience, Repeat};
use eelgrassrock_model::table;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::{Phase, Request};
use crate::action::{Action, Outcome, Reason, Step, Verdict};
use crate::claim::{Intent, Record, State};
use crate::event::{Arrival, Grant, Id, Stored};

const MAX_FOLLOWERS: usize = 8;

/// Result of a request that is removed, for the record of its idempotency key.
#[derive(Clone, Debug)]
pub(crate) enum RunResult {
    /// The request is proven not to have run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and ended with this answer.
    Done(Arc<Stored>),
    /// The request is redirected to another home together with its claim.
    Moved,
}

/// Answer to an arriving request that the records allow.
#[derive(Clone, Debug)]
enum Lookup {
    Undecided,
    BodyDiffers,
    Running,
    Replay(Arc<Stored>),
    Unknown,
}

impl Machine {
    /// Returns the row key of the claim that a request needs, if it needs one.
    pub(crate) fn claim_row(&self, arrival: &Arrival) -> Option<Arc<str>> {
        if arrival.class.repeat != Repeat::Once {
            return None;
        }
        let token = arrival.idempotency.as_ref()?;
        let upstream = self.fleet.upstreams.get(&arrival.upstream)?;
        Some(token.key.row(&upstream.service, &arrival.partner))
    }

    /// Answers a request from the records of this home, if they suffice. Returns whether
    /// they did.
    pub(crate) fn answer_from_record(&mut self, now: Instant, id: Id) -> bool {
        match self.look_up_record(id) {
            Lookup::Undecided => return false,
            Lookup::BodyDiffers => self.refuse(now, id, Reason::BodyDiffers, None),
            Lookup::Running => self.follow_run(now, id),
            Lookup::Replay(stored) => self.replay(now, id, &stored),
            Lookup::Unknown => self.finish_unknown(now, id, Reason::RunUnknown),
        }
        true
    }

    fn look_up_record(&self, id: Id) -> Lookup {
        let request = &self.requests[&id];
        let (Some(key), Some(token)) = (&request.claim, &request.arrival.idempotency) else {
            return Lookup::Undecided;
        };
        let Some(record) = self.records.get(key) else {
            return Lookup::Undecided;
        };
        if record.body != token.body {
            return Lookup::BodyDiffers;
        }
        match &record.state {
            State::Claiming(_) | State::Running(_) => Lookup::Running,
            State::Free | State::Foreign(_) => Lookup::Undecided,
            State::Done(stored) => Lookup::Replay(stored.clone()),
            State::Unknown => Lookup::Unknown,
        }
    }

    pub(crate) fn replay(&mut self, now: Instant, id: Id, stored: &Arc<Stored>) {
        if stored.content.is_none() {
            let verdict = Verdict {
                outcome: Outcome::Done,
                reason: Reason::AlreadyRan(Some(stored.status)),
                retry_after: None,
            };
            return self.finish(now, id, verdict);
        }
        let status = stored.status;
        let stored = stored.clone();
        let request = self.requests.get_mut(&id).expect("the request is known");
        if !std::mem::replace(&mut request.is_answered, true) {
            self.actions.push(Action::Replay {
                request: id,
                stored,
            });
            self.log_decision(now, id, Step::Finish, Reason::AlreadyRan(Some(status)));
        }
        self.forget(now, id, &RunResult::NotRun);
    }

    pub(crate) fn finish_unknown(&mut self, now: Instant, id: Id, reason: Reason) {
        let verdict = Verdict {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        };
        self.finish(now, id, verdict);
    }

    /// Lets a request wait for the outcome of another request with the same key.
    pub(crate) fn follow_run(&mut self, now: Instant, id: Id) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        let key = request.claim.clone().expect("a follower has a claim row");
        let record = self.records.get_mut(&key).expect("the record is known");
        if record.followers.len() >= MAX_FOLLOWERS {
            return self.refuse_running(now, id);
        }
        record.followers.push(id);
        request.phase = Phase::Following;
        let until = match request.arrival.class.patience {
            Patience::Wait => request.arrival.deadline,
            Patience::Prompt(limit) => request.arrival.deadline.min(now + limit),
        };
        self.set_timer(id, Some(until));
    }

    pub(crate) fn refuse_running(&mut self, now: Instant, id: Id) {
        let retry_after = self.service_time(&self.requests[&id].arrival);
        let retry_after = self.add_jitter(retry_after);
        let verdict = Verdict {
            outcome: Outcome::Unknown,
            reason: Reason::Running,
            retry_after: Some(retry_after),
        };
        self.finish(now, id, verdict);
    }

    /// Takes the claim of an admitted request, or queues the request if it needs no claim.
    pub(crate) fn claim(&mut self, now: Instant, id: Id) {
        let Some(key) = self.requests[&id].claim.clone() else {
            return self.enqueue(now, id);
        };
        let carried = self.carried(id);
        if let Some(record) = self.records.get_mut(&key) {
            match record.state {
                State::Free if record.is_held() => {
                    record.state = State::Running(id);
                    record.intent = None;
                    return self.enqueue(now, id);
                }
                State::Foreign(_) if carried == Version(0) => {
                    return self.read_foreign_claim(now, id, key);
                }
                _ => {}
            }
        }
        if let Some(down) = self.writer.remaining_outage(now) {
            return self.claim_without_table(now, id, &key, down);
        }
        self.start_claim(id, key);
    }

    fn start_claim(&mut self, id: Id, key: Arc<str>) {
        let carried = self.carried(id);
        match self.records.get_mut(&key) {
            Some(record) => {
                record.expected_version = record.expected_version.max(carried);
                record.claim_again(id);
            }
            None => {
                let record = self.new_record(id);
                self.records.insert(key.clone(), record);
            }
        }
        self.await_claim(id, key);
    }

    /// Lets a request wait until its claim is written.
    pub(crate) fn await_claim(&mut self, id: Id, key: Arc<str>) {
        let start_by = self.requests[&id].start_by;
        self.count_claim(id);
        self.set_timer(id, Some(start_by));
        self.writer.push_claim(key);
    }

    /// Counts a request and its bytes among those that wait for their claims.
    fn count_claim(&mut self, id: Id) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.phase = Phase::Claiming;
        if request.is_counted_as_claiming {
            return;
        }
        let arrival = &request.arrival;
        let state = self.upstreams.get_mut(&arrival.upstream);
        let flow = state.and_then(|state| state.flow_or_insert(arrival, &self.settings));
        if let Some(flow) = flow {
            flow.claiming += 1;
            flow.bytes += u64::from(arrival.bytes);
            request.is_counted_as_claiming = true;
        }
    }

    /// Removes a request from the count of those that wait for their claims.
    pub(crate) fn uncount_claim(&mut self, request: &mut Request) {
        if !std::mem::replace(&mut request.is_counted_as_claiming, false) {
            return;
        }
        let arrival = &request.arrival;
        let state = self.upstreams.get_mut(&arrival.upstream);
        let flow = state.and_then(|state| state.queue.flow_mut(&arrival.partner));
        if let Some(flow) = flow {
            flow.claiming -= 1;
            flow.bytes -= u64::from(arrival.bytes);
        }
    }

    /// Returns the version of the claim that was passed on with a request, zero if there is
    /// none.
    fn carried(&self, id: Id) -> Version {
        let token = self.requests[&id].arrival.idempotency.as_ref();
        let carried = token.and_then(|token| token.carried.as_ref());
        carried.map_or(Version(0), |check| check.version)
    }

    fn new_record(&self, id: Id) -> Record {
        let request = &self.requests[&id];
        let token = request.arrival.idempotency.as_ref();
        let token = token.expect("a claim needs a token");
        let expected_version = self.carried(id);
        let within = request.arrival.deadline - request.arrived_at + self.settings.completion_grace;
        Record::claiming(id, token.body, expected_version, within)
    }

    /// Refuses a request whose claim can't be written, unless its upstream itself runs each
    /// key at most once and this home has no record of the key.
    fn claim_without_table(&mut self, now: Instant, id: Id, key: &Arc<str>, down: Duration) {
        let upstream = &self.requests[&id].arrival.upstream;
        let declared = self.fleet.upstreams.get(upstream);
        let checks = declared.is_some_and(|declared| declared.checks_idempotency);
        if !checks || self.records.get(key).is_some() {
            return self.refuse(now, id, Reason::StoreDown, Some(down));
        }
        let mut record = self.new_record(id);
        record.state = State::Running(id);
        record.intent = None;
        self.records.insert(key.clone(), record);
        self.enqueue(now, id);
    }

    /// Queues a request whose claim is held, or redirects it if its upstream was released.
    pub(crate) fn claimed(&mut self, now: Instant, id: Id) {
        let arrival = &self.requests[&id].arrival;
        let state = self.upstreams.get(&arrival.upstream);
        match state.map(|state| state.grant) {
            None | Some(Grant::Released) => self.redirect(now, id, Reason::NotHome),
            Some(_) => self.enqueue(now, id),
        }
    }

    /// Updates the record of a request that is removed.
    pub(crate) fn settle_claim(&mut self, now: Instant, request: &Request, result: &RunResult) {
        let Some(key) = &request.claim else {
            return;
        };
        let id = request.arrival.request;
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.followers.retain(|follower| *follower != id);
        match record.state {
            State::Claiming(holder) if holder == id => self.abandon_claim(now, key),
            State::Running(holder) if holder == id => self.settle_run(now, key, result),
            _ => {}
        }
    }

    fn settle_run(&mut self, now: Instant, key: &Arc<str>, result: &RunResult) {
        match result {
            RunResult::NotRun => self.hand_claim_over(now, key),
            RunResult::Unknown => self.end_run(now, key, State::Unknown),
            RunResult::Done(stored) => {
                self.end_run(now, key, State::Done(stored.clone()));
                self.records.keep_answer(key, stored);
            }
            RunResult::Moved => {
                let record = self.records.remove(key).expect("the record is known");
                for follower in record.followers {
                    self.redirect(now, follower, Reason::NotHome);
                }
            }
        }
    }

    fn end_run(&mut self, now: Instant, key: &Arc<str>, state: State) {
        let record = self.records.get_mut(key).expect("the record is known");
        record.state = state.clone();
        record.intent = Some(Intent::Record);
        let followers = std::mem::take(&mut record.followers);
        self.writer.push_update(now, key.clone());
        self.answer_followers(now, followers, &state);
    }

    pub(crate) fn answer_followers(&mut self, now: Instant, followers: Vec<Id>, state: &State) {
        for follower in followers {
            match state {
                State::Done(stored) => self.replay(now, follower, stored),
                State::Unknown => self.finish_unknown(now, follower, Reason::RunUnknown),
                _ => self.refuse_running(now, follower),
            }
        }
    }

    /// Lets the next follower run under a claim that wasn't used, or frees the claim.
    fn hand_claim_over(&mut self, now: Instant, key: &Arc<str>) {
        let record = self.records.get_mut(key).expect("the record is known");
        if record.followers.is_empty() {
            return self.free_claim(now, key);
        }
        let next = record.followers.remove(0);
        record.state = State::Running(next);
        self.claimed(now, next);
    }

    /// Marks a held claim as free and schedules the deletion of its row.
    pub(crate) fn free_claim(&mut self, now: Instant, key: &Arc<str>) {
        let record = self.records.get_mut(key).expect("the record is known");
        record.state = State::Free;
        if record.expected_version == Version(0) {
            record.intent = None;
            return self.records.mark_idle(key);
        }
        record.intent = Some(Intent::Delete);
        self.writer.push_update(now, key.clone());
    }

    /// Ends a claim that is still being written. The next follower takes it over, if there
    /// is one.
    fn abandon_claim(&mut self, now: Instant, key: &Arc<str>) {
        let record = self.records.get_mut(key).expect("the record is known");
        if !record.followers.is_empty() {
            let next = record.followers.remove(0);
            record.state = State::Claiming(next);
            let start_by = self.requests[&next].start_by.max(now);
            self.count_claim(next);
            return self.set_timer(next, Some(start_by));
        }
        if record.was_submitted() || record.expected_version != Version(0) {
            record.state = State::Free;
            record.intent = None;
            return self.records.mark_idle(key);
        }
        self.records.remove(key);
    }

    /// Returns the claim that a request holds, to be passed on when the request is
    /// redirected.
    pub(crate) fn held_claim(&self, request: &Request) -> Option<table::Check> {
        let key = request.claim.as_ref()?;
        let record = self.records.get(key)?;
        let id = request.arrival.request;
        let holds = matches!(record.state, State::Running(holder) if holder == id);
        let version = record.expected_version;
        (holds && version != Version(0)).then(|| table::Check {
            key: key.clone(),
            version,
        })
    }
}
