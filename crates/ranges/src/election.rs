//! Decides when a router runs for leadership of a service.
//!
//! Leadership is a row of the store that is taken by compare-and-swap, so two routers that run at
//! the same time do no harm; the delay by rank only saves calls. The election never decides that a
//! leader is dead: a router that runs without need merely takes over the renewals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use serde::{Deserialize, Serialize};

/// Time without an answer from the leader after which others run: two missed reports.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time after which others run although the leader's process lives but doesn't recognize them. It
/// is longer than a leader may act without an answer from the store.
const UNRECOGNIZED_TIMEOUT: Duration = Duration::from_secs(7);
/// Delay after a refused connection. The process has probably ended.
const CONNECTION_REFUSED_DELAY: Duration = Duration::from_millis(150);
/// Delay between two candidates, by rank.
const DELAY_PER_RANK: Duration = Duration::from_millis(120);
/// Highest rank with a delay of its own; candidates beyond it run at the same time.
const MAX_RANK: u32 = 8;
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Leadership of a service, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// Incremented each time that a router takes leadership.
    pub term: u64,
    /// Router that leads.
    pub router: Arc<str>,
    /// Start of that router's process.
    pub incarnation: u64,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// Whether the leader has given up leadership by itself.
    pub is_released: bool,
    /// Earlier leaders that weren't known to have stopped when this one took leadership. A
    /// successor must make sure that all of them have stopped.
    pub predecessors: Vec<Predecessor>,
    /// Whether leaders that the store has forgotten may still act, because the store was restored
    /// from a backup.
    pub is_recovering: bool,
}

/// Earlier leader that may still act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Predecessor {
    /// Start of its process.
    pub incarnation: u64,
    /// Its address for other routers.
    pub address: SocketAddr,
}

impl Leadership {
    /// Returns the leaders that a successor must make sure have stopped.
    pub fn predecessors(&self) -> Vec<Predecessor> {
        let mut predecessors = self.predecessors.clone();
        if !self.is_released {
            predecessors.push(Predecessor {
                incarnation: self.incarnation,
                address: self.address,
            });
        }
        predecessors
    }
}

/// Result of the last contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It leads and can act.
    Serving,
    /// It runs, but doesn't lead or can't act.
    Idle,
    /// It runs, but doesn't recognize this router and tells it nothing.
    Unrecognized,
    /// Its address refuses connections: its process has ended, or a partition refuses them.
    ConnectionRefused,
    /// It didn't answer.
    Unresponsive,
}

impl Contact {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Idle => "idle",
            Self::Unrecognized => "unrecognized",
            Self::ConnectionRefused => "connection-refused",
            Self::Unresponsive => "unresponsive",
        }
    }
}

/// Decides when one router runs for leadership of one service.
#[derive(Clone, Debug)]
pub struct Election {
    router: Arc<str>,
    incarnation: u64,
    leadership: Option<(Leadership, Revision)>,
    /// Whether this process has given up the known leadership, although the store may not say so.
    has_resigned: bool,
    last_heartbeat: Instant,
    campaign_at: Option<Instant>,
    /// Present era of the store, once it is known.
    era: Option<u64>,
    /// Latest era of the store in which a router is known to have led.
    last_led_era: Option<u64>,
}

impl Election {
    /// Creates the election state of a router that doesn't know the present leader yet.
    ///
    /// `is_first_start` tells whether the whole system starts for the first time. Otherwise there may
    /// have been a leader that the store has forgotten, unless the store never had another era.
    pub fn new(router: Arc<str>, incarnation: u64, is_first_start: bool, now: Instant) -> Self {
        Self {
            router,
            incarnation,
            leadership: None,
            has_resigned: false,
            last_heartbeat: now,
            campaign_at: None,
            era: None,
            last_led_era: (!is_first_start).then_some(0),
        }
    }

    /// Records that the store was restored from a backup. The leader continues for as long as it
    /// has authority, and takes leadership again by itself.
    pub fn enter_era(&mut self, era: u64) {
        if let Some(before) = self.era.filter(|before| *before < era) {
            // Some router may have led in the part of that era that the backup doesn't contain.
            self.record_history(before);
        }
        self.era = self.era.max(Some(era));
    }

    fn present_era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Records that some router led in an era.
    pub fn record_history(&mut self, era: u64) {
        self.last_led_era = self.last_led_era.max(Some(era));
    }

    /// Whether the known leadership was taken in an earlier era of the store.
    pub fn is_outdated(&self) -> bool {
        let version = self.leadership.as_ref().map(|(_, version)| version);
        version.is_some_and(|version| version.era < self.present_era())
    }

    /// Returns the known leadership and the version of its row.
    pub fn leadership(&self) -> Option<&(Leadership, Revision)> {
        self.leadership.as_ref()
    }

    /// Records that this process has given up leadership. If the store can't be told, any router may
    /// take it, and this one again as well.
    pub fn resign(&mut self) {
        self.has_resigned = true;
    }

    /// Whether this process leads.
    pub fn is_own(&self) -> bool {
        let own = |leadership: &Leadership| {
            leadership.router == self.router
                && leadership.incarnation == self.incarnation
                && !leadership.is_released
                && !self.has_resigned
        };
        self.leadership
            .as_ref()
            .is_some_and(|(leadership, _)| own(leadership))
    }

    /// Records the leadership that the store holds, unless a later version is known. `rank` is the
    /// number of candidates that run earlier.
    pub fn learn(&mut self, leadership: Option<(Leadership, Revision)>, rank: u32, now: Instant) {
        let version = |leadership: &Option<(Leadership, Revision)>| {
            let version = leadership.as_ref().map(|(_, version)| *version);
            version.unwrap_or_default()
        };
        if version(&leadership) < version(&self.leadership) {
            if leadership.is_none() && self.is_outdated() && self.is_vacant() {
                self.schedule(now + rank_delay(rank));
            }
            return;
        }
        let is_new = version(&leadership) > version(&self.leadership);
        self.leadership = leadership;
        if is_new {
            self.has_resigned = false;
            self.last_heartbeat = now;
            self.campaign_at = None;
        }
        if self.is_vacant() {
            self.schedule(now + rank_delay(rank));
        }
    }

    /// Whether no process acts as the known leader.
    fn is_vacant(&self) -> bool {
        let is_vacant = |leadership: &Leadership| {
            let is_own_process = leadership.incarnation == self.incarnation;
            leadership.is_released
                || (leadership.router == self.router && (!is_own_process || self.has_resigned))
        };
        self.leadership
            .as_ref()
            .is_none_or(|(leadership, _)| is_vacant(leadership))
    }

    /// Records the result of a contact with the leader.
    pub fn record_contact(&mut self, contact: Contact, rank: u32, now: Instant) {
        match contact {
            Contact::Serving => {
                self.last_heartbeat = now;
                self.campaign_at = None;
            }
            Contact::ConnectionRefused => {
                self.schedule(now + CONNECTION_REFUSED_DELAY + rank_delay(rank))
            }
            Contact::Idle => self.schedule(now + rank_delay(rank)),
            Contact::Unresponsive if now - self.last_heartbeat >= RESPONSE_TIMEOUT => {
                self.schedule(now + rank_delay(rank))
            }
            Contact::Unrecognized if now - self.last_heartbeat >= UNRECOGNIZED_TIMEOUT => {
                self.schedule(now + rank_delay(rank));
            }
            Contact::Unresponsive | Contact::Unrecognized => {}
        }
    }

    fn schedule(&mut self, at: Instant) {
        let earlier = self.campaign_at.is_none_or(|planned| at < planned);
        if earlier && !self.is_own() {
            self.campaign_at = Some(at);
        }
    }

    /// Returns when this router runs, if it is about to.
    pub fn campaign_at(&self) -> Option<Instant> {
        self.campaign_at
    }

    /// Returns the leadership to write and the version that the row must have, if it is time to
    /// run.
    pub fn poll(&mut self, address: SocketAddr, now: Instant) -> Option<(Leadership, Revision)> {
        if self.is_own() || self.campaign_at.is_none_or(|at| now < at) {
            return None;
        }
        self.campaign_at = Some(now + RETRY_DELAY);
        Some(self.claim(address))
    }

    /// Returns the leadership to write to lead in the present era of the store, and the version
    /// that its row must have: `Revision::default()` if nobody has led in this era yet.
    pub fn claim(&self, address: SocketAddr) -> (Leadership, Revision) {
        let known = self.leadership.as_ref();
        let present_era = self.present_era();
        let current = known.filter(|(_, version)| version.era == present_era);
        let has_history =
            self.is_outdated() || self.last_led_era.is_some_and(|era| era < present_era);
        let is_recovering = current.map_or(has_history, |(leadership, _)| leadership.is_recovering);
        let leadership = Leadership {
            term: known.map_or(1, |(leadership, _)| leadership.term + 1),
            router: Arc::clone(&self.router),
            incarnation: self.incarnation,
            address,
            is_released: false,
            predecessors: known.map_or_else(Vec::new, |(leadership, _)| leadership.predecessors()),
            is_recovering,
        };
        (
            leadership,
            current.map_or_else(Revision::default, |(_, version)| *version),
        )
    }
}

fn rank_delay(rank: u32) -> Duration {
    DELAY_PER_RANK * rank.min(MAX_RANK)
}
