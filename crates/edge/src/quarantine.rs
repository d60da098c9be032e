//! Refuses requests that end each process which runs them, together with the other routers.
//!
//! Suspects are shared as rows of the table of the routers, which every router follows and reads
//! before it serves. The rows therefore outlast the routers, and a change of one is made under the
//! condition that no other router has changed it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::suspect::{Change, Decision, Fingerprint, Record};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use http::header::HOST;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::exchange::{Content, Message};
use crate::node::Node;
use crate::platform::{Commit, Name, Platform, Row, Table, Transaction};

/// Prefix of the keys of rows about suspects.
const PREFIX: &str = "suspect/";
/// Pause between two writes of rows, and after one that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(50);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which outdated suspicions are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Value of `retry-after` while another router tries the request.
const CONTENDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason for which a suspicion ends.
const ANSWERED: &str = "answered";

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Pass,
    Refuse {
        outcome: &'static str,
        retry_after: Duration,
    },
}

#[derive(Serialize)]
struct QuarantineLine<'a> {
    service: &'a str,
    fingerprint: String,
    /// Upstreams whose processes have ended.
    upstreams: Vec<&'a str>,
    trials: u32,
}

#[derive(Serialize)]
struct EndLine<'a> {
    service: &'a str,
    fingerprint: String,
    reason: &'static str,
}

#[derive(Serialize)]
struct UnreadableLine<'a> {
    key: &'a Arc<str>,
    reason: String,
}

impl<'a> QuarantineLine<'a> {
    fn new(fingerprint: &Fingerprint, record: &'a Record) -> Self {
        Self {
            service: record.service(),
            fingerprint: fingerprint.to_string(),
            upstreams: record.upstreams().map(|id| &**id).collect(),
            trials: record.trials(),
        }
    }
}

impl Message {
    /// Returns the fingerprint of the request, or `None` if its body isn't held completely.
    pub(crate) fn fingerprint(&self, key: Option<u16>) -> Option<Fingerprint> {
        let Content::Whole(body) = &self.body else {
            return None;
        };
        let host = self.parts.headers.get(HOST);
        let path = self.parts.uri.path_and_query();
        let key = key.map(u16::to_be_bytes);
        Some(Fingerprint::new([
            self.parts.method.as_str().as_bytes(),
            host.map_or(&[][..], |host| host.as_bytes()),
            path.map_or(&[][..], |path| path.as_str().as_bytes()),
            key.as_ref().map_or(&[][..], |key| key),
            body,
        ]))
    }
}

/// Returns the era and the fingerprint from the key of a row about a suspect.
pub(crate) fn parse_row_key(key: &str) -> Option<(u64, Fingerprint)> {
    let (era, fingerprint) = key.strip_prefix(PREFIX)?.split_once('/')?;
    Some((era.parse().ok()?, fingerprint.parse().ok()?))
}

impl<P: Platform> Node<P> {
    fn suspect_row(&self, fingerprint: &Fingerprint) -> Name {
        let era = self.era.get();
        Name::new(Table::Routers, format!("{PREFIX}{era}/{fingerprint}"))
    }

    /// Returns the fingerprint of a request if it may be suspected.
    pub(crate) fn suspect(&self, message: &Message, key: Option<u16>) -> Option<Fingerprint> {
        if self.suspects.borrow().is_empty() {
            return None;
        }
        let fingerprint = message.fingerprint(key)?;
        let is_suspect = self.suspects.borrow().contains(&fingerprint);
        is_suspect.then_some(fingerprint)
    }

    /// Decides on a request that has arrived.
    pub(crate) fn admit(&self, fingerprint: Option<Fingerprint>) -> Admission {
        let decision = fingerprint.map(|fingerprint| {
            let suspects = self.suspects.borrow();
            suspects.decide(&fingerprint, clock::now())
        });
        match decision {
            None | Some(Decision::Pass | Decision::Try) => Admission::Pass,
            Some(Decision::Refuse { retry_after }) => self.refuse(fingerprint, retry_after),
        }
    }

    /// Decides on a request that is about to be sent. Takes care that no other router sends a
    /// suspect at the same time.
    pub(crate) async fn admit_send(self: &Rc<Self>, fingerprint: Option<Fingerprint>) -> Admission {
        let Some(fingerprint) = fingerprint else {
            return Admission::Pass;
        };
        let decision = self.suspects.borrow().decide(&fingerprint, clock::now());
        match decision {
            Decision::Pass => Admission::Pass,
            Decision::Refuse { retry_after } => self.refuse(Some(fingerprint), retry_after),
            Decision::Try => self.take_turn(fingerprint).await,
        }
    }

    fn refuse(&self, fingerprint: Option<Fingerprint>, retry_after: Duration) -> Admission {
        let suspects = self.suspects.borrow();
        let record = fingerprint.and_then(|fingerprint| suspects.record(&fingerprint));
        let is_quarantined = record.is_some_and(Record::is_quarantined);
        Admission::Refuse {
            outcome: if is_quarantined {
                "quarantined"
            } else {
                "suspected"
            },
            retry_after,
        }
    }

    async fn take_turn(self: &Rc<Self>, fingerprint: Fingerprint) -> Admission {
        let contended = self.refuse(Some(fingerprint), CONTENDED_RETRY_AFTER);
        let next = self.suspects.borrow().next_send(&fingerprint);
        let Some((record, version)) = next else {
            // It has just been cleared.
            return Admission::Pass;
        };
        let Commit::Done(version) = self.write_suspect(&fingerprint, &record, version).await else {
            return contended;
        };
        if record.is_quarantined() {
            let line = QuarantineLine::new(&fingerprint, &record);
            self.log.info("quarantine trial", &line);
        }
        self.learn_suspect(fingerprint, &record, version);
        Admission::Pass
    }

    /// Records that the process of an upstream ended while a request was in flight there.
    pub(crate) fn record_crash(
        &self,
        fingerprint: Fingerprint,
        upstream: &Upstream,
        sent_at: Instant,
    ) {
        let mut suspects = self.suspects.borrow_mut();
        let change = suspects.record_crash(fingerprint, upstream, sent_at, clock::now());
        drop(suspects);
        self.handle_change(&fingerprint, change);
        self.suspects_changed.notify_one();
    }

    /// Records an upstream's own answer to a request that was sent at `sent_at`.
    pub(crate) fn record_suspect_answer(
        self: &Rc<Self>,
        message: &Message,
        key: Option<u16>,
        upstream: &Upstream,
        sent_at: Instant,
    ) {
        let is_examining = self.breaks.disprove(upstream, sent_at);
        if !is_examining && self.suspects.borrow().is_empty() {
            return;
        }
        if let Some(fingerprint) = message.fingerprint(key) {
            self.breaks.forget(&fingerprint);
            self.clear_suspect(&fingerprint, ANSWERED);
        }
        let disproved = self.suspects.borrow_mut().disprove(upstream, sent_at);
        for fingerprint in disproved {
            self.clear_suspect(&fingerprint, "process still runs");
        }
    }

    fn clear_suspect(self: &Rc<Self>, fingerprint: &Fingerprint, reason: &'static str) {
        let Some((_, version)) = self.remove_suspect(fingerprint, reason) else {
            return;
        };
        if version.is_none() {
            return;
        }
        let (node, name) = (Rc::clone(self), self.suspect_row(fingerprint));
        let transaction = Transaction {
            era: version.era,
            // An answer says more than any crash, so a later version of the row is removed as well.
            expected: if reason == ANSWERED {
                Vec::new()
            } else {
                vec![(name.clone(), version)]
            },
            put: Vec::new(),
            remove: vec![name],
        };
        tokio::task::spawn_local(async move {
            // If this fails, the next answer removes the row.
            let _ = node.write_rows(&transaction).await;
        });
    }

    /// Forgets a suspect. Returns its record and the version of its row.
    fn remove_suspect(
        &self,
        fingerprint: &Fingerprint,
        reason: &'static str,
    ) -> Option<(Record, Revision)> {
        let removed = self.suspects.borrow_mut().remove(fingerprint);
        let (record, _) = removed.as_ref()?;
        if record.is_quarantined() {
            self.metrics.quarantine_ended(record.service());
            let line = EndLine {
                service: record.service(),
                fingerprint: fingerprint.to_string(),
                reason,
            };
            self.log.info("quarantine ended", &line);
        }
        removed
    }

    fn learn_suspect(&self, fingerprint: Fingerprint, record: &Record, version: Revision) {
        let mut suspects = self.suspects.borrow_mut();
        let change = suspects.learn(fingerprint, record, version, clock::now());
        drop(suspects);
        self.handle_change(&fingerprint, change);
    }

    fn handle_change(&self, fingerprint: &Fingerprint, change: Change) {
        if change != Change::Quarantined {
            return;
        }
        let suspects = self.suspects.borrow();
        if let Some(record) = suspects.record(fingerprint) {
            self.metrics.quarantine_began(record.service());
            let line = QuarantineLine::new(fingerprint, record);
            self.log.warn("request quarantined", &line);
        }
    }

    /// Applies a row about a suspect. Rows of other eras are outdated.
    pub(crate) fn apply_suspect(&self, era: u64, fingerprint: Fingerprint, row: &Row) {
        if era != self.era.get() {
            return;
        }
        match row.value.as_ref().map(|value| postcard::from_bytes(value)) {
            Some(Ok(record)) => self.learn_suspect(fingerprint, &record, row.version),
            Some(Err(error)) => {
                let line = UnreadableLine {
                    key: &row.key,
                    reason: error.to_string(),
                };
                self.log.warn("row unreadable", &line);
            }
            None => {
                self.remove_suspect(&fingerprint, "row removed");
            }
        }
    }

    /// Forgets the suspects whose rows are not among all rows of the table.
    pub(crate) fn retain_suspects(&self, rows: &[Row]) {
        let era = self.era.get();
        let present = |fingerprint: &Fingerprint| {
            let mut keys = rows.iter().filter_map(|row| parse_row_key(&row.key));
            keys.any(|key| key == (era, *fingerprint))
        };
        let absent = self.suspects.borrow().absent(present);
        for fingerprint in absent {
            self.remove_suspect(&fingerprint, "row removed");
        }
    }

    /// Shares all suspects again after the store was restored from a backup.
    pub(crate) fn renew_suspects(&self) {
        // The relay of each data centre is enough.
        let saves = self.relay_to_follow().is_none();
        let mut suspects = self.suspects.borrow_mut();
        suspects.enter_era(saves, clock::now());
        drop(suspects);
        self.suspects_changed.notify_one();
    }

    async fn write_suspect(
        self: &Rc<Self>,
        fingerprint: &Fingerprint,
        record: &Record,
        version: Revision,
    ) -> Commit {
        let name = self.suspect_row(fingerprint);
        let Ok(value) = postcard::to_allocvec(record) else {
            return Commit::Conflict;
        };
        let transaction = Transaction {
            era: self.era.get(),
            expected: vec![(name.clone(), version)],
            put: vec![(name, value.into())],
            remove: Vec::new(),
        };
        self.write_rows(&transaction).await
    }

    /// Shares suspects with the other routers until the process ends.
    pub(crate) async fn share_suspects(self: Rc<Self>) {
        loop {
            let next = self.suspects.borrow().next_save();
            let pause = next.map_or(EXPIRY_INTERVAL, |at| at - clock::now());
            let _ = timeout(pause, self.suspects_changed.notified()).await;
            let unsaved = self.suspects.borrow().unsaved(clock::now());
            for (fingerprint, record, version) in unsaved {
                self.save_suspect(&fingerprint, &record, version).await;
                sleep(WRITE_PAUSE).await;
            }
            let expired = self.suspects.borrow().expired(clock::now());
            for fingerprint in expired {
                self.clear_suspect(&fingerprint, "outdated");
            }
        }
    }

    async fn save_suspect(
        self: &Rc<Self>,
        fingerprint: &Fingerprint,
        record: &Record,
        version: Revision,
    ) {
        match self.write_suspect(fingerprint, record, version).await {
            Commit::Done(version) => {
                let mut suspects = self.suspects.borrow_mut();
                suspects.saved(fingerprint, record, version);
            }
            Commit::Conflict => {
                let name = self.suspect_row(fingerprint);
                match self.read_row(&name).await {
                    Ok(Some(row)) => self.apply_suspect(self.era.get(), *fingerprint, &row),
                    // The request was answered at another router.
                    Ok(None) => {
                        self.remove_suspect(fingerprint, "row removed");
                    }
                    Err(_) => sleep(RETRY_PAUSE).await,
                }
            }
            Commit::NotDone(_) | Commit::Unknown(_) => sleep(RETRY_PAUSE).await,
        }
    }
}
