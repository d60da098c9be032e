//! Claims that another router holds or held.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::Row;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::commit::DOWN_TIME;
use crate::action::{Action, Reason};
use crate::claim::{self, Life, Record, State};
use crate::event::{Id, Stored, Unreadable};

impl Machine {
    /// Answers the claimant by a claim that another router holds or held.
    pub(crate) fn meet_foreign(&mut self, now: Instant, key: &Arc<str>, row: &Row) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        let State::Claiming(id) = record.state else {
            self.ledger.remove(key);
            return;
        };
        record.intent = None;
        record.followers.insert(0, id);
        self.take_foreign(now, key, row, now);
    }

    /// Takes in a claim of another router, first seen at `since`, and answers
    /// all who wait for it.
    fn take_foreign(&mut self, now: Instant, key: &Arc<str>, row: &Row, since: Instant) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        let waiting = std::mem::take(&mut record.followers);
        let claim = claim::Row::decode(&row.value);
        if claim.as_ref().is_ok_and(|claim| claim.body != record.body) {
            self.ledger.remove(key);
            return self.refuse_all(now, waiting, Reason::BodyDiffers, None);
        }
        record.state = foreign_state(now, record, claim.ok().as_ref(), since);
        let state = record.state.clone();
        self.ledger.release(key);
        self.tell_followers(now, waiting, &state);
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

    /// Reads the row of a claim that another router held when it was last seen.
    pub(crate) fn look_elsewhere(&mut self, now: Instant, id: Id, key: Arc<str>) {
        if let Some(down) = self.writer.down_for(now) {
            return self.refuse(now, id, Reason::StoreDown, Some(down));
        }
        self.follow_run(now, id);
        let record = self.ledger.get(&key).expect("the record is known");
        if record.followers.len() == 1 {
            self.actions.push(Action::Read { key });
        }
    }

    pub(crate) fn elsewhere_read(
        &mut self,
        now: Instant,
        key: &Arc<str>,
        row: Result<Option<Row>, Unreadable>,
    ) {
        let Some(record) = self.ledger.get_mut(key) else {
            return;
        };
        let State::Elsewhere(since) = record.state else {
            return;
        };
        match row {
            Err(Unreadable) => {
                let waiting = std::mem::take(&mut record.followers);
                self.refuse_all(now, waiting, Reason::StoreDown, Some(DOWN_TIME));
            }
            Ok(Some(row)) => self.take_foreign(now, key, &row, since),
            Ok(None) if record.followers.is_empty() => {
                self.ledger.remove(key);
            }
            Ok(None) => {
                let next = record.followers.remove(0);
                record.expect = Version(0);
                record.claim_again(next);
                self.await_claim(next, key.clone());
            }
        }
    }
}

/// Judges a claim of another router: a run that should have ended long ago and
/// has left no outcome is unknown.
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
    match claim.life {
        Life::Done(status) => State::Done(Arc::new(Stored {
            status,
            content: None,
        })),
        Life::Running if now - since <= claim.within => State::Elsewhere(since),
        Life::Running | Life::Unknown => State::Unknown,
    }
}
