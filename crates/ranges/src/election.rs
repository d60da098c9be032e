//! When a router stands for the duty of the keeper.
//!
//! The duty is a row of the store that is taken by compare-and-swap, so two
//! routers that stand at once do no harm; waiting a little by rank only saves
//! calls. Who is dead is never decided here: a router that stands without
//! need merely takes over renewals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use serde::{Deserialize, Serialize};

/// Silence of the keeper after which others stand: two missed reports.
const SILENCE: Duration = Duration::from_millis(1_100);
/// Silence after which others stand although the keeper's process lives: longer
/// than a keeper may act that the store doesn't answer any more.
const STRANGER_SILENCE: Duration = Duration::from_secs(7);
/// Wait after a refused connection, which says that the process has ended.
const AFTER_REFUSAL: Duration = Duration::from_millis(150);
/// Wait between the routers that could stand, by rank.
const RANK_STEP: Duration = Duration::from_millis(120);
/// Ranks that wait differently; a crowd beyond them stands together.
const MAX_RANK: u32 = 8;
/// Wait after a try that failed.
const RETRY: Duration = Duration::from_millis(300);

/// The duty of the keeper, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Counts the routers that have had it.
    pub term: u64,
    /// Router that has it.
    pub router: Arc<str>,
    /// Start of that router's process.
    pub incarnation: u64,
    /// Address for other routers.
    pub address: SocketAddr,
    /// Whether the keeper has stopped by itself.
    pub is_released: bool,
    /// Earlier keepers that weren't known to have stopped when this one took
    /// the duty. A successor must be sure of all of them.
    pub formers: Vec<Former>,
    /// Whether nobody has made sure yet that no keeper acts which the store has
    /// forgotten, since it came back from a copy.
    pub is_unsettled: bool,
}

/// Earlier keeper that may still act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Former {
    /// Start of its process.
    pub incarnation: u64,
    /// Its address for other routers.
    pub address: SocketAddr,
}

impl Duty {
    /// Returns the keepers that a successor must be sure of.
    pub fn formers(&self) -> Vec<Former> {
        let mut formers = self.formers.clone();
        if !self.is_released {
            formers.push(Former {
                incarnation: self.incarnation,
                address: self.address,
            });
        }
        formers
    }
}

/// What the last contact with the keeper showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It has the duty and acts.
    Serving,
    /// It runs but doesn't have the duty, or can't act.
    Idle,
    /// It runs, but doesn't know this router and tells it nothing.
    Stranger,
    /// Its machine runs no process at its address.
    Refused,
    /// It gave no answer.
    Silent,
}

/// Decides when one router stands for one duty.
#[derive(Clone, Debug)]
pub struct Election {
    router: Arc<str>,
    incarnation: u64,
    duty: Option<(Duty, Revision)>,
    heard: Instant,
    stand_at: Option<Instant>,
    /// Era of the store.
    era: u64,
    /// Latest era of the store in which a router is known to have had the duty.
    history: Option<u64>,
}

impl Election {
    /// Creates the decision of a router. It hears of the duty first.
    pub fn new(router: Arc<str>, incarnation: u64, now: Instant) -> Self {
        Self {
            router,
            incarnation,
            duty: None,
            heard: now,
            stand_at: None,
            era: 0,
            history: None,
        }
    }

    /// Notes that the store has come back from a copy. The keeper goes on for as long as
    /// it has authority, and takes the duty again by itself.
    pub fn enter_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Notes that some router had the duty in an era.
    pub fn note_history(&mut self, era: u64) {
        self.history = self.history.max(Some(era));
    }

    /// Whether the duty that is known was taken in an earlier era of the store.
    pub fn is_outdated(&self) -> bool {
        let version = self.duty.as_ref().map(|(_, version)| version);
        version.is_some_and(|version| version.era < self.era)
    }

    /// Returns the duty and the version of its row.
    pub fn duty(&self) -> Option<&(Duty, Revision)> {
        self.duty.as_ref()
    }

    /// Whether the duty is this process's own.
    pub fn is_own(&self) -> bool {
        let own = |duty: &Duty| {
            duty.router == self.router && duty.incarnation == self.incarnation && !duty.is_released
        };
        self.duty.as_ref().is_some_and(|(duty, _)| own(duty))
    }

    /// Notes what the store says, unless something later is known. `rank` is
    /// the number of routers that stand earlier.
    pub fn learn(&mut self, duty: Option<(Duty, Revision)>, rank: u32, now: Instant) {
        let version = |duty: &Option<(Duty, Revision)>| {
            let version = duty.as_ref().map(|(_, version)| *version);
            version.unwrap_or_default()
        };
        if version(&duty) < version(&self.duty) {
            if duty.is_none() && self.is_outdated() && self.is_vacant() {
                self.prepare(now + wait(rank));
            }
            return;
        }
        let is_new = version(&duty) > version(&self.duty);
        self.duty = duty;
        if is_new {
            self.heard = now;
            self.stand_at = None;
        }
        if self.is_vacant() {
            self.prepare(now + wait(rank));
        }
    }

    /// Whether no process acts on the duty that is known.
    fn is_vacant(&self) -> bool {
        let is_vacant = |duty: &Duty| {
            duty.is_released || (duty.router == self.router && duty.incarnation != self.incarnation)
        };
        self.duty.as_ref().is_none_or(|(duty, _)| is_vacant(duty))
    }

    /// Notes what a contact with the keeper showed.
    pub fn contact(&mut self, contact: Contact, rank: u32, now: Instant) {
        match contact {
            Contact::Serving => {
                self.heard = now;
                self.stand_at = None;
            }
            Contact::Refused => self.prepare(now + AFTER_REFUSAL + wait(rank)),
            Contact::Idle => self.prepare(now + wait(rank)),
            Contact::Silent if now - self.heard >= SILENCE => self.prepare(now + wait(rank)),
            Contact::Stranger if now - self.heard >= STRANGER_SILENCE => {
                self.prepare(now + wait(rank));
            }
            Contact::Silent | Contact::Stranger => {}
        }
    }

    fn prepare(&mut self, at: Instant) {
        let earlier = self.stand_at.is_none_or(|planned| at < planned);
        if earlier && !self.is_own() {
            self.stand_at = Some(at);
        }
    }

    /// Returns when this router stands, if it is about to.
    pub fn stands_at(&self) -> Option<Instant> {
        self.stand_at
    }

    /// Returns the duty to write and the version that the row must have, if it
    /// is time to stand.
    pub fn poll(&mut self, address: SocketAddr, now: Instant) -> Option<(Duty, Revision)> {
        if self.is_own() || self.stand_at.is_none_or(|at| now < at) {
            return None;
        }
        self.stand_at = Some(now + RETRY);
        Some(self.claim(address))
    }

    /// Returns the duty to write to have it in the era of the store, and the version that
    /// its row must have: none if it wasn't taken yet in this era.
    pub fn claim(&self, address: SocketAddr) -> (Duty, Revision) {
        let known = self.duty.as_ref();
        let current = known.filter(|(_, version)| version.era == self.era);
        let has_history = self.is_outdated() || self.history.is_some_and(|era| era < self.era);
        let is_unsettled = current.map_or(has_history, |(duty, _)| duty.is_unsettled);
        let duty = Duty {
            term: known.map_or(1, |(duty, _)| duty.term + 1),
            router: Arc::clone(&self.router),
            incarnation: self.incarnation,
            address,
            is_released: false,
            formers: known.map_or_else(Vec::new, |(duty, _)| duty.formers()),
            is_unsettled,
        };
        (
            duty,
            current.map_or_else(Revision::default, |(_, version)| *version),
        )
    }
}

fn wait(rank: u32) -> Duration {
    RANK_STEP * rank.min(MAX_RANK)
}
