//! Requests under which processes of upstreams have ended.
//!
//! A request may end each process that begins to run it. Its caller sends it again, with another
//! identifier and to any router, so it is recognized by a fingerprint of its contents. It is
//! *suspected* once a process has ended while it was in flight. From then on, only one router at a
//! time sends it, and only once. It is *quarantined* when further processes have ended under such
//! sends. An answer clears it, because a request that ends each process gets none.
//!
//! Processes that end together, for instance with their data centre, say little about any of the
//! requests that were in flight there. A request that was sent before it was suspected therefore
//! counts for the same round of crashes, and only several rounds quarantine it.

mod record;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

pub use self::record::{Crash, Fingerprint, Record};
use crate::upstream::Upstream;

/// Rounds of crashes that quarantine a request.
const MIN_ROUNDS: u32 = 3;
/// Number of crashes in a record beyond which more of the same round say nothing new.
const MAX_CRASHES: usize = 8;
/// Maximum number of trials of a quarantined request, and the time until they begin. A faulty
/// version of an upstream is rarely replaced sooner.
const MAX_TRIALS: u32 = 1;
const TRIAL_PAUSE: Duration = Duration::from_secs(300);
/// Time for which the router that sends a suspect is the only one to do so. Its answer or the end
/// of another process is known earlier.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Value of `retry_after` if there is no further trial.
const NO_TRIAL_RETRY_AFTER: Duration = Duration::from_secs(3_600);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after which a suspicion without further crashes ends.
const MAX_SUSPICION_AGE: Duration = Duration::from_secs(600);
/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 256;
/// Delay before a first suspicion is shared. Most requests are answered on their next send.
const SAVE_DELAY: Duration = Duration::from_millis(100);

/// What follows from news about a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters for requests.
    None,
    /// The request is suspected now.
    Suspected,
    /// The request is quarantined now.
    Quarantined,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Pass,
    /// Refuse it.
    Refuse {
        /// Time until it may be tried again.
        retry_after: Duration,
    },
    /// Send it once, if no other router tries it at the same time.
    Try,
}

#[derive(Clone, Debug)]
struct Suspect {
    record: Record,
    /// When each of the crashes became known.
    known_at: Vec<Instant>,
    /// Version of the shared record; none if it was not shared.
    version: Revision,
    changed_at: Instant,
    /// When the record is to be shared, if it has changed.
    save_at: Option<Instant>,
}

impl Suspect {
    fn new(service: &Arc<str>, now: Instant) -> Self {
        Self {
            record: Record {
                service: Arc::clone(service),
                crashes: Vec::new(),
                sends: 0,
                trials: 0,
            },
            known_at: Vec::new(),
            version: Revision::default(),
            changed_at: now,
            save_at: None,
        }
    }

    /// Returns the round of a crash under a request that was sent at `sent_at`.
    fn round(&self, sent_at: Instant) -> u32 {
        let crashes = self.record.crashes.iter().zip(&self.known_at);
        let known = crashes.filter(|(_, known_at)| **known_at < sent_at);
        1 + known.map(|(crash, _)| crash.round).max().unwrap_or(0)
    }

    fn push(&mut self, crash: Crash, now: Instant) {
        self.record.crashes.push(crash);
        self.known_at.push(now);
        self.changed_at = now;
    }

    /// Removes crashes from the record.
    fn retain(&mut self, stays: impl Fn(&Crash, Instant) -> bool) {
        let crashes = std::mem::take(&mut self.record.crashes);
        let known_at = std::mem::take(&mut self.known_at);
        for (crash, known_at) in crashes.into_iter().zip(known_at) {
            if stays(&crash, known_at) {
                self.record.crashes.push(crash);
                self.known_at.push(known_at);
            }
        }
    }

    fn change(&self, was_quarantined: bool) -> Change {
        match (was_quarantined, self.record.is_quarantined()) {
            (false, true) => Change::Quarantined,
            (false, false) if self.record.crashes.len() == 1 => Change::Suspected,
            _ => Change::None,
        }
    }
}

/// All suspects that a router knows.
///
/// ```
/// use eelgrassrock_dispatch::suspect::{Decision, Fingerprint, Suspects};
/// use eelgrassrock_model::time::Instant;
///
/// let fingerprint = Fingerprint::new([b"GET".as_slice(), b"/v1/1"]);
/// let now = Instant::from_millis(0);
/// assert_eq!(Suspects::default().decide(&fingerprint, now), Decision::Pass);
/// ```
#[derive(Debug, Default)]
pub struct Suspects {
    entries: IndexMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|suspect| &suspect.record)
    }

    /// Whether a process has ended under this request, and it was not answered since.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.entries.contains_key(fingerprint)
    }

    /// Returns the record of a suspect.
    pub fn record(&self, fingerprint: &Fingerprint) -> Option<&Record> {
        Some(&self.entries.get(fingerprint)?.record)
    }

    /// Decides on a request that has arrived or is about to be sent.
    pub fn decide(&self, fingerprint: &Fingerprint, now: Instant) -> Decision {
        let Some(suspect) = self.entries.get(fingerprint) else {
            return Decision::Pass;
        };
        let is_quarantined = suspect.record.is_quarantined();
        if !is_quarantined && suspect.version.is_none() {
            return Decision::Pass;
        }
        let Some(pause) = suspect.record.pause() else {
            return Decision::Refuse {
                retry_after: NO_TRIAL_RETRY_AFTER,
            };
        };
        let left = suspect.changed_at + pause - now;
        if left.is_zero() && suspect.save_at.is_none() {
            return Decision::Try;
        }
        Decision::Refuse {
            retry_after: left.max(MIN_RETRY_AFTER),
        }
    }

    /// Records that the process of an upstream ended while a request was in flight there that this
    /// router had sent at `sent_at`.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &Upstream,
        sent_at: Instant,
        now: Instant,
    ) -> Change {
        if !self.contains(&fingerprint) && !self.make_room() {
            return Change::None;
        }
        let suspect = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(&upstream.service, now));
        let round = suspect.round(sent_at);
        let record = &suspect.record;
        let is_known = record.has(&upstream.id, upstream.incarnation);
        if is_known || record.crashes.len() >= MAX_CRASHES && round <= record.rounds() {
            return Change::None;
        }
        let was_quarantined = record.is_quarantined();
        let crash = Crash {
            upstream: Arc::clone(&upstream.id),
            incarnation: upstream.incarnation,
            round,
        };
        suspect.push(crash, now);
        let is_shared = !suspect.version.is_none();
        let delay = if is_shared || suspect.record.is_quarantined() {
            Duration::ZERO
        } else {
            SAVE_DELAY
        };
        let save_at = now + delay;
        suspect.save_at = Some(suspect.save_at.map_or(save_at, |at| at.min(save_at)));
        suspect.change(was_quarantined)
    }

    /// Makes room for one more suspect. Returns whether there is any.
    fn make_room(&mut self) -> bool {
        if self.entries.len() < MAX_SUSPECTS {
            return true;
        }
        let free = |(_, suspect): &(&Fingerprint, &Suspect)| !suspect.record.is_quarantined();
        let oldest = self.entries.iter().filter(free);
        let oldest = oldest.min_by_key(|(_, suspect)| suspect.changed_at);
        let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
            return false;
        };
        self.entries.swap_remove(&oldest);
        true
    }

    /// Merges a shared record. Returns what follows from it.
    pub fn learn(
        &mut self,
        fingerprint: Fingerprint,
        record: &Record,
        version: Revision,
        now: Instant,
    ) -> Change {
        if !self.contains(&fingerprint) && !self.make_room() {
            return Change::None;
        }
        let suspect = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(&record.service, now));
        if version <= suspect.version {
            return Change::None;
        }
        let was_quarantined = suspect.record.is_quarantined();
        if suspect.save_at.is_none() {
            suspect.retain(|crash, _| record.has(&crash.upstream, crash.incarnation));
        }
        for crash in &record.crashes {
            if !suspect.record.has(&crash.upstream, crash.incarnation) {
                suspect.push(crash.clone(), now);
            }
        }
        if record.sends > suspect.record.sends {
            suspect.record.sends = record.sends;
            suspect.record.trials = suspect.record.trials.max(record.trials);
            suspect.changed_at = now;
        }
        suspect.version = version;
        if suspect.record == *record {
            suspect.save_at = None;
        }
        suspect.change(was_quarantined)
    }

    /// Removes a suspect, because its request was answered or its shared record was removed.
    /// Returns its record, and the version of the shared one.
    pub fn remove(&mut self, fingerprint: &Fingerprint) -> Option<(Record, Revision)> {
        let suspect = self.entries.swap_remove(fingerprint)?;
        Some((suspect.record, suspect.version))
    }

    /// Returns the suspects whose shared records are not among `present`.
    pub fn absent(&self, present: impl Fn(&Fingerprint) -> bool) -> Vec<Fingerprint> {
        let entries = self.entries.iter();
        let absent = entries
            .filter(|(fingerprint, suspect)| !suspect.version.is_none() && !present(fingerprint));
        absent.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Withdraws the crash of a process that has answered a request which was sent after the crash
    /// became known. Returns the suspects without other crashes.
    pub fn disprove(&mut self, upstream: &Upstream, sent_at: Instant) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        for (fingerprint, suspect) in &mut self.entries {
            let before = suspect.record.crashes.len();
            suspect.retain(|crash, known_at| {
                known_at >= sent_at || !crash.is_of(&upstream.id, upstream.incarnation)
            });
            if suspect.record.crashes.is_empty() {
                cleared.push(*fingerprint);
            } else if suspect.record.crashes.len() < before {
                suspect.save_at = Some(sent_at);
            }
        }
        cleared
    }

    /// Returns the records to share now, with the versions of the shared ones that they replace.
    pub fn unsaved(&self, now: Instant) -> Vec<(Fingerprint, Record, Revision)> {
        let entries = self.entries.iter();
        let due = entries.filter(|(_, suspect)| suspect.save_at.is_some_and(|at| at <= now));
        due.map(|(fingerprint, suspect)| (*fingerprint, suspect.record.clone(), suspect.version))
            .collect()
    }

    /// Returns when the next record is to be shared.
    pub fn next_save(&self) -> Option<Instant> {
        let suspects = self.entries.values();
        suspects.filter_map(|suspect| suspect.save_at).min()
    }

    /// Records that a record was shared.
    pub fn saved(&mut self, fingerprint: &Fingerprint, record: &Record, version: Revision) {
        let Some(suspect) = self.entries.get_mut(fingerprint) else {
            return;
        };
        suspect.version = suspect.version.max(version);
        if suspect.record == *record {
            suspect.save_at = None;
        }
    }

    /// Returns the record to share before a suspect is sent, and the version of the shared one that
    /// it replaces.
    pub fn next_send(&self, fingerprint: &Fingerprint) -> Option<(Record, Revision)> {
        let suspect = self.entries.get(fingerprint)?;
        let mut record = suspect.record.clone();
        record.sends += 1;
        record.trials += u32::from(record.is_quarantined());
        Some((record, suspect.version))
    }

    /// Forgets the versions of all shared records, because the store has lost them. If `saves` is
    /// set, they are to be shared again.
    pub fn enter_era(&mut self, saves: bool, now: Instant) {
        for suspect in self.entries.values_mut() {
            suspect.version = Revision::default();
            if saves {
                suspect.save_at = Some(now);
            }
        }
    }

    /// Returns the suspicions that have ended because no further process has crashed.
    pub fn expired(&self, now: Instant) -> Vec<Fingerprint> {
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, suspect)| {
            !suspect.record.is_quarantined() && now - suspect.changed_at >= MAX_SUSPICION_AGE
        });
        expired.map(|(fingerprint, _)| *fingerprint).collect()
    }
}
