//! Claims that another router holds or held.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::Row;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::commit::TABLE_DOWN_TIME;
use crate::action::{Action, Reason};
use crate::claim::{self, Record, RunState, State};
use crate::event::{Id, Stored, Unreadable};

impl Machine {
    /// Answers the request that wanted the claim from a claim that another router holds or
    /// held.
    pub(crate) fn handle_foreign_claim(&mut self, now: Instant, key: &Arc<str>, row: &Row) {
        let record = self.records.get_mut(key).expect("the record is known");
        let State::Claiming(id) = record.state else {
            self.records.remove(key);
            return;
        };
        record.intent = None;
        record.followers.insert(0, id);
        self.apply_foreign_claim(now, key, row, now);
    }

    /// Updates the record from a claim of another router, first seen at `since`, and
    /// answers all requests that wait for it.
    fn apply_foreign_claim(&mut self, now: Instant, key: &Arc<str>, row: &Row, since: Instant) {
        let record = self.records.get_mut(key).expect("the record is known");
        let waiting = std::mem::take(&mut record.followers);
        let claim = claim::Row::decode(&row.value);
        if claim.as_ref().is_ok_and(|claim| claim.body != record.body) {
            self.records.remove(key);
            return self.refuse_all(now, waiting, Reason::BodyDiffers, None);
        }
        record.state = foreign_state(now, record, claim.ok().as_ref(), since);
        let state = record.state.clone();
        self.records.mark_idle(key);
        self.answer_followers(now, waiting, &state);
    }

    fn refuse_all(
        &mut self,
        now: Instant,
        ids: Vec<Id>,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        for id in ids {
            self.refuse(now, id, reason, retry_after);
        }
    }

    /// Reads the row of a claim that was last seen held by another router.
    pub(crate) fn read_foreign_claim(&mut self, now: Instant, id: Id, key: Arc<str>) {
        if let Some(down) = self.writer.remaining_outage(now) {
            return self.refuse(now, id, Reason::StoreDown, Some(down));
        }
        self.follow_run(now, id);
        let record = self.records.get(&key).expect("the record is known");
        if record.followers.len() == 1 {
            self.actions.push(Action::Read { key });
        }
    }

    pub(crate) fn foreign_claim_read(
        &mut self,
        now: Instant,
        key: &Arc<str>,
        row: Result<Option<Row>, Unreadable>,
    ) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let State::Foreign(since) = record.state else {
            return;
        };
        match row {
            Err(Unreadable) => {
                let waiting = std::mem::take(&mut record.followers);
                self.refuse_all(now, waiting, Reason::StoreDown, Some(TABLE_DOWN_TIME));
            }
            Ok(Some(row)) => self.apply_foreign_claim(now, key, &row, since),
            Ok(None) if record.followers.is_empty() => {
                self.records.remove(key);
            }
            Ok(None) => {
                let next = record.followers.remove(0);
                record.expected_version = Version(0);
                record.claim_again(next);
                self.await_claim(next, key.clone());
            }
        }
    }
}

/// Returns the state of a claim of another router. A run that exceeded its time without a
/// recorded outcome is unknown.
fn foreign_state(
    now: Instant,
    record: &mut Record,
    claim: Option<&claim::Row>,
    since: Instant,
) -> State {
    let Some(claim) = claim else {
        return State::Unknown;
    };
    record.within = claim.within;
    match claim.run_state {
        RunState::Done(status) => State::Done(Arc::new(Stored {
            status,
            content: None,
        })),
        RunState::Running if now - since <= claim.within => State::Foreign(since),
        RunState::Running | RunState::Unknown => State::Unknown,
    }
}
