//! Claims that another router holds or held.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::Row;
use eelgrassrock_model::time::Instant;

use super::Machine;
use super::commit::DOWN_TIME;
use crate::action::{Action, Reason};
use crate::claim::{self, Life, State};
use crate::event::{Id, Stored, Unreadable};

impl Machine {
    /// Answers the claimant by a claim that another router holds or held.
    pub(crate) fn meet_foreign(&mut self, now: Instant, key: &Arc<str>, row: &Row) {
        let record = self.ledger.get_mut(key).expect("the record is known");
        let State::Claiming(id) = record.state else {
            self.ledger.remove(key);
            return;
        };
        let mut waiting = std::mem::take(&mut record.followers);
        waiting.insert(0, id);
        let claim = claim::Row::decode(&row.value);
        let same_body = claim.as_ref().is_ok_and(|claim| claim.body == record.body);
        if claim.is_ok() && !same_body {
            self.ledger.remove(key);
            for id in waiting {
                self.refuse(now, id, Reason::BodyDiffers, None);
            }
            return;
        }
        record.within = claim.as_ref().map_or(Duration::ZERO, |claim| claim.within);
        record.state = match claim.map(|claim| claim.life) {
            Ok(Life::Done(status)) => State::Done(Arc::new(Stored {
                status,
                content: None,
            })),
            Ok(Life::Running) => State::Elsewhere(now),
            Ok(Life::Unknown) | Err(_) => State::Unknown,
        };
        record.intent = None;
        let state = record.state.clone();
        self.ledger.release(key);
        self.tell_followers(now, waiting, &state);
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
        let mut waiting = std::mem::take(&mut record.followers);
        let overdue = now - since > record.within;
        match row {
            Err(Unreadable) => {
                for id in waiting {
                    self.refuse(now, id, Reason::StoreDown, Some(DOWN_TIME));
                }
            }
            Ok(None) if waiting.is_empty() => {
                self.ledger.remove(key);
            }
            Ok(None) => {
                let next = waiting.remove(0);
                record.followers = waiting;
                record.expect = Version(0);
                record.claim_again(next);
                self.await_claim(next, key.clone());
            }
            Ok(Some(row)) => {
                let claim = claim::Row::decode(&row.value);
                record.state = match claim.map(|claim| claim.life) {
                    Ok(Life::Done(status)) => State::Done(Arc::new(Stored {
                        status,
                        content: None,
                    })),
                    Ok(Life::Running) if !overdue => State::Elsewhere(since),
                    Ok(_) | Err(_) => State::Unknown,
                };
                let state = record.state.clone();
                self.tell_followers(now, waiting, &state);
            }
        }
    }
}
