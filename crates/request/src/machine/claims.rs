//! At most once: claims of idempotency keys, on arrival and after a run.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::fleet::{Patience, Repeat};
use eelgrassrock_model::table;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::request::{Phase, Request};
use crate::action::{Action, Outcome, Reason, Verdict};
use crate::claim::{Intent, Record, State};
use crate::event::{Arrival, Grant, Id, Stored};

const MAX_FOLLOWERS: usize = 8;

/// What is known of a request that is forgotten.
#[derive(Clone, Debug)]
pub(crate) enum Settled {
    /// It is proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and this is its answer.
    Done(Arc<Stored>),
    /// It is handed on to another home together with its claim.
    Moved,
}

/// What the records say about a request that came in.
#[derive(Clone, Debug)]
enum Known {
    Nothing,
    BodyDiffers,
    Running,
    Replay(Arc<Stored>),
    Unknown,
}

impl Machine {
    /// Returns the row of the claim that a request needs, if it needs one.
    pub(crate) fn claim_row(&self, arrival: &Arrival) -> Option<Arc<str>> {
        if arrival.class.repeat != Repeat::Once {
            return None;
        }
        let token = arrival.idempotency.as_ref()?;
        let upstream = self.fleet.upstreams.get(&arrival.upstream)?;
        Some(token.key.row(&upstream.service, &arrival.partner))
    }

    /// Answers a request from the records of this home, if they know enough.
    pub(crate) fn answer_from_record(&mut self, now: Instant, id: Id) -> bool {
        match self.known(id) {
            Known::Nothing => return false,
            Known::BodyDiffers => self.refuse(now, id, Reason::BodyDiffers, None),
            Known::Running => self.follow_run(now, id),
            Known::Replay(stored) => self.replay(now, id, &stored),
            Known::Unknown => self.finish_unknown(now, id, Reason::RunUnknown),
        }
        true
    }

    fn known(&self, id: Id) -> Known {
        let request = &self.requests[&id];
        let (Some(key), Some(token)) = (&request.claim, &request.arrival.idempotency) else {
            return Known::Nothing;
        };
        let Some(record) = self.ledger.get(key) else {
            return Known::Nothing;
        };
        if record.body != token.body {
            return Known::BodyDiffers;
        }
        match &record.state {
            State::Claiming(_) | State::Running(_) => Known::Running,
            State::Free | State::Elsewhere(_) => Known::Nothing,
            State::Done(stored) => Known::Replay(stored.clone()),
            State::Unknown => Known::Unknown,
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
        let stored = stored.clone();
        let request = self.requests.get_mut(&id).expect("the request is known");
        if !std::mem::replace(&mut request.told, true) {
            self.actions.push(Action::Replay {
                request: id,
                stored,
            });
        }
        self.forget(now, id, &Settled::NotRun);
    }

    pub(crate) fn finish_unknown(&mut self, now: Instant, id: Id, reason: Reason) {
        let verdict = Verdict {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        };
        self.finish(now, id, verdict);
    }

    /// Lets a request wait for the outcome of another with the same key.
    pub(crate) fn follow_run(&mut self, now: Instant, id: Id) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        let key = request.claim.clone().expect("a follower has a claim row");
        let record = self.ledger.get_mut(&key).expect("the record is known");
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
        let retry_after = self.spread(retry_after);
        let verdict = Verdict {
            outcome: Outcome::Unknown,
            reason: Reason::Running,
            retry_after: Some(retry_after),
        };
        self.finish(now, id, verdict);
    }

    /// Takes the claim of a request that was admitted, or queues it if it
    /// needs none.
    pub(crate) fn claim(&mut self, now: Instant, id: Id) {
        let Some(key) = self.requests[&id].claim.clone() else {
            return self.enqueue(now, id);
        };
        let carried = self.carried(id);
        if let Some(record) = self.ledger.get_mut(&key) {
            match record.state {
                State::Free if record.is_held() => {
                    record.state = State::Running(id);
                    record.intent = None;
                    return self.enqueue(now, id);
                }
                State::Elsewhere(_) if carried == Version(0) => {
                    return self.look_elsewhere(now, id, key);
                }
                _ => {}
            }
        }
        if let Some(down) = self.writer.down_for(now) {
            return self.claim_without_table(now, id, &key, down);
        }
        self.start_claim(id, key);
    }

    fn start_claim(&mut self, id: Id, key: Arc<str>) {
        let carried = self.carried(id);
        match self.ledger.get_mut(&key) {
            Some(record) => {
                record.expect = record.expect.max(carried);
                record.claim_again(id);
            }
            None => {
                let record = self.new_record(id);
                self.ledger.insert(key.clone(), record);
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

    /// Counts a request, with its bytes, among those that wait for their claims.
    fn count_claim(&mut self, id: Id) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.phase = Phase::Claiming;
        if request.claiming {
            return;
        }
        let arrival = &request.arrival;
        let station = self.stations.get_mut(&arrival.upstream);
        let flow = station.and_then(|station| station.flow_for(arrival, &self.settings));
        if let Some(flow) = flow {
            flow.claiming += 1;
            flow.bytes += u64::from(arrival.bytes);
            request.claiming = true;
        }
    }

    /// Takes a request out of those that wait for their claims.
    pub(crate) fn uncount_claim(&mut self, request: &mut Request) {
        if !std::mem::replace(&mut request.claiming, false) {
            return;
        }
        let arrival = &request.arrival;
        let station = self.stations.get_mut(&arrival.upstream);
        let flow = station.and_then(|station| station.queue.flow_mut(&arrival.partner));
        if let Some(flow) = flow {
            flow.claiming -= 1;
            flow.bytes -= u64::from(arrival.bytes);
        }
    }

    /// Returns the version of the claim that was handed on with a request,
    /// zero if there is none.
    fn carried(&self, id: Id) -> Version {
        let token = self.requests[&id].arrival.idempotency.as_ref();
        let carried = token.and_then(|token| token.carried.as_ref());
        carried.map_or(Version(0), |check| check.version)
    }

    fn new_record(&self, id: Id) -> Record {
        let request = &self.requests[&id];
        let token = request.arrival.idempotency.as_ref();
        let token = token.expect("a claim needs a token");
        let expect = self.carried(id);
        let within = request.arrival.deadline - request.arrived + self.settings.linger;
        Record::claiming(id, token.body, expect, within)
    }

    /// Refuses a request that can't be claimed, unless its upstream itself
    /// runs a key at most once.
    fn claim_without_table(&mut self, now: Instant, id: Id, key: &Arc<str>, down: Duration) {
        let upstream = &self.requests[&id].arrival.upstream;
        let declared = self.fleet.upstreams.get(upstream);
        let checks = declared.is_some_and(|declared| declared.checks_idempotency);
        if !checks || self.ledger.get(key).is_some() {
            return self.refuse(now, id, Reason::StoreDown, Some(down));
        }
        let mut record = self.new_record(id);
        record.state = State::Running(id);
        record.intent = None;
        self.ledger.insert(key.clone(), record);
        self.enqueue(now, id);
    }

    /// Queues a request whose claim is held.
    pub(crate) fn claimed(&mut self, now: Instant, id: Id) {
        let arrival = &self.requests[&id].arrival;
        let station = self.stations.get(&arrival.upstream);
        match station.map(|station| station.grant) {
            None | Some(Grant::Released) => self.redirect(now, id, Reason::NotHome),
            Some(_) => self.enqueue(now, id),
        }
    }

    /// Updates the record of a request that is forgotten.
    pub(crate) fn settle(&mut self, now: Instant, request: &Request, settled: &Settled) {
        let Some(key) = &request.claim else {
            return;
        };
        let id = request.arrival.request;
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        record.followers.retain(|follower| *follower != id);
        match record.state {
            State::Claiming(holder) if holder == id => self.give_claim_up(now, key),
            State::Running(holder) if holder == id => self.settle_run(now, key, settled),
            _ => {}
        }
    }

    fn settle_run(&mut self, now: Instant, key: &Arc<str>, settled: &Settled) {
        match settled {
            Settled::NotRun => self.pass_claim_on(now, key),
            Settled::Unknown => self.end_run(now, key, State::Unknown),
            Settled::Done(stored) => {
                self.end_run(now, key, State::Done(stored.clone()));
                self.ledger.keep(key, stored);
            }
            Settled::Moved => {
                let record = self.ledger.remove(key).expect("the record is known");
                for follower in record.followers {
                    self.redirect(now, follower, Reason::NotHome);
                }
            }
        }
    }

    fn end_run(&mut self, now: Instant, key: &Arc<str>, state: State) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        record.state = state.clone();
        record.intent = Some(Intent::Record);
        let followers = std::mem::take(&mut record.followers);
        self.writer.push_update(now, key.clone());
        self.tell_followers(now, followers, &state);
    }

    pub(crate) fn tell_followers(&mut self, now: Instant, followers: Vec<Id>, state: &State) {
        for follower in followers {
            match state {
                State::Done(stored) => self.replay(now, follower, stored),
                State::Unknown => self.finish_unknown(now, follower, Reason::RunUnknown),
                _ => self.refuse_running(now, follower),
            }
        }
    }

    /// Lets the next follower run under a claim that wasn't used, or frees it.
    fn pass_claim_on(&mut self, now: Instant, key: &Arc<str>) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        if record.followers.is_empty() {
            return self.free_claim(now, key);
        }
        let next = record.followers.remove(0);
        record.state = State::Running(next);
        self.claimed(now, next);
    }

    /// Marks a claim that is held as free, and has its row deleted.
    pub(crate) fn free_claim(&mut self, now: Instant, key: &Arc<str>) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        record.state = State::Free;
        if record.expect == Version(0) {
            record.intent = None;
            return self.ledger.release(key);
        }
        record.intent = Some(Intent::Delete);
        self.writer.push_update(now, key.clone());
    }

    /// Ends a claim that is still being written.
    fn give_claim_up(&mut self, now: Instant, key: &Arc<str>) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        if !record.followers.is_empty() {
            let next = record.followers.remove(0);
            record.state = State::Claiming(next);
            let start_by = self.requests[&next].start_by.max(now);
            self.count_claim(next);
            return self.set_timer(next, Some(start_by));
        }
        if record.was_submitted() || record.expect != Version(0) {
            record.state = State::Free;
            record.intent = None;
            return self.ledger.release(key);
        }
        self.ledger.remove(key);
    }

    /// Returns the claim to hand on with a request that is routed again.
    pub(crate) fn claim_of(&self, request: &Request) -> Option<table::Check> {
        let key = request.claim.as_ref()?;
        let record = self.ledger.get(key)?;
        let id = request.arrival.request;
        let holds = matches!(record.state, State::Running(holder) if holder == id);
        let version = record.expect;
        (holds && version != Version(0)).then(|| table::Check {
            key: key.clone(),
            version,
        })
    }
}
