//! What one router knows of one upstream.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use crate::pace::Pace;
use crate::service::{Note, Report};
use crate::upstream::Upstream;

/// Age at which a count from another router says nothing any more. Counts are
/// told again every 400 ms while they aren't zero; one message may get lost.
const PEER_COUNT_AGE: Duration = Duration::from_millis(900);
/// Shortest and longest time for which an upstream that can't be reached gets
/// no requests. The first is a few connection attempts, the last keeps the
/// return of an upstream from going unnoticed for long.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Failures in a row that pause an upstream. One may be a lost packet.
const FAILURES_TO_PAUSE: u32 = 2;
/// Weight of one answer in the share of failed ones.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Half of the time after which an old failure share is forgotten, so that an
/// upstream that gets no requests is tried again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Time without an answer, in multiples of the time for one request, after
/// which an upstream gets no more requests than it has.
const SILENT_PACES: f64 = 4.0;
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// Time for which a leaving holder of keys is still used. It serves on for
/// seconds; its keys move within a fraction of one.
const LEAVING_USE: Duration = Duration::from_millis(1_000);
/// The same as a share of the time after which it may get nothing more, so that what
/// was chosen before has reached it by then.
const LEAVING_USE_SHARE: f64 = 0.5;
/// Factor by which the window shrinks after a refusal.
const WINDOW_CUT: f64 = 0.6;
/// Shortest and longest time for which an upstream that has no room gets no
/// requests: a slot becomes free within the first, a full queue within the
/// second.
const MIN_FULL_PAUSE: Duration = Duration::from_millis(20);
const MAX_FULL_PAUSE: Duration = Duration::from_millis(80);
/// Smallest window: one request is always allowed, or recovery goes unseen.
const MIN_WINDOW: f64 = 1.0;

/// What one router knows of one upstream.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) upstream: Arc<Upstream>,
    pace: Pace,
    failure_share: f64,
    failure_at: Instant,
    failures_in_row: u32,
    paused_until: Instant,
    pause: Duration,
    /// Starts of the requests that this router waits for, oldest first.
    starts: Vec<Instant>,
    last_answer: Instant,
    /// Requests that other routers have under way here; none for the others.
    peers: IndexMap<Arc<str>, (u32, Instant)>,
    window: f64,
    leaving_since: Option<Instant>,
    /// It said that it was full, or reset a connection at once, and gets no
    /// requests until then.
    full_until: Instant,
    full_pause: Duration,
    /// It asked for no requests until then.
    deferred_until: Instant,
}

impl Member {
    pub(crate) fn new(upstream: Arc<Upstream>, pace_ms: f64, now: Instant) -> Self {
        let window = f64::from(2 * upstream.slots.max(1));
        Self {
            upstream,
            pace: Pace::new(pace_ms),
            failure_share: 0.0,
            failure_at: now,
            failures_in_row: 0,
            paused_until: now,
            pause: MIN_PAUSE,
            starts: Vec::new(),
            last_answer: now,
            peers: IndexMap::new(),
            window,
            leaving_since: None,
            full_until: now,
            full_pause: MIN_FULL_PAUSE,
            deferred_until: now,
        }
    }

    /// Takes what the upstream says of itself now.
    pub(crate) fn update(&mut self, upstream: Arc<Upstream>, now: Instant) {
        if upstream.leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
        self.upstream = upstream;
    }

    /// Whether a leaving holder gets no requests any more. Until its keys are
    /// with another, it is the only one that can serve them.
    pub(crate) fn is_closed(&self, drain: Duration, now: Instant) -> bool {
        let limit = LEAVING_USE.min(drain.mul_f64(LEAVING_USE_SHARE));
        self.leaving_since.is_some_and(|since| now - since >= limit)
    }

    /// Sends it nothing until an instant.
    pub(crate) fn defer(&mut self, until: Instant) {
        self.deferred_until = self.deferred_until.max(until);
    }

    /// Time for which it has asked for no requests.
    pub(crate) fn deferral(&self, now: Instant) -> Duration {
        self.deferred_until - now
    }

    pub(crate) fn pace_ms(&self) -> f64 {
        self.pace.mean_ms()
    }

    pub(crate) fn is_known(&self) -> bool {
        self.pace.samples() > 2
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.starts.len() as u32
    }

    /// Requests of all routers that are known to be under way.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let fresh = |at: Instant| now - at < PEER_COUNT_AGE;
        let peers = self.peers.values().filter(|(_, at)| fresh(*at));
        self.in_flight() + peers.map(|(count, _)| count).sum::<u32>()
    }

    /// Forgets counts of routers that have ended without taking them back.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.peers.retain(|_, (_, at)| now - *at < PEER_COUNT_AGE);
    }

    /// Notes what another router has under way here, 0 for nothing.
    pub(crate) fn hear(&mut self, router: &Arc<str>, count: u32, now: Instant) {
        if count == 0 {
            self.peers.swap_remove(router);
        } else {
            self.peers.insert(Arc::clone(router), (count, now));
        }
    }

    /// Share of the service time that a request waits which finds `load` others.
    fn queueing(&self, load: u32) -> f64 {
        let slots = self.upstream.slots.max(1);
        f64::from((load + 1).saturating_sub(slots)) / f64::from(slots)
    }

    /// Expected time until a request sent now is answered, in milliseconds.
    pub(crate) fn expected_ms(&self, now: Instant) -> f64 {
        let queueing = self.queueing(self.load(now));
        let mut pace_ms = self.pace.mean_ms();
        if let Some(oldest) = self
            .starts
            .first()
            .filter(|oldest| **oldest > self.last_answer)
        {
            let silent_ms = (now - *oldest).as_secs_f64() * 1e3 / (1.0 + queueing);
            pace_ms = pace_ms.max(silent_ms);
        }
        pace_ms * (1.0 + queueing)
    }

    /// Expected time including what a failure costs, in milliseconds.
    pub(crate) fn cost_ms(&self, now: Instant) -> f64 {
        let age = (now - self.failure_at).as_secs_f64();
        let share = self.failure_share * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S);
        self.expected_ms(now) / (1.0 - share.min(0.95))
    }

    /// Whether one more request may be sent to it.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        if self.is_paused(now) || now < self.full_until || now < self.deferred_until {
            return false;
        }
        if self.failures_in_row >= FAILURES_TO_PAUSE && self.in_flight() > 0 {
            return false;
        }
        if self.in_flight() >= 2 && self.is_silent(now) {
            return false;
        }
        let slots = self.upstream.slots.max(1);
        let most = slots + slots.div_ceil(2);
        f64::from(self.in_flight()) < self.window && self.load(now) < most
    }

    /// Whether a request would be worked on at once.
    pub(crate) fn has_free_slot(&self, now: Instant) -> bool {
        self.has_room(now) && self.load(now) < self.upstream.slots
    }

    /// Whether it has answered nothing for several times as long as it should.
    fn is_silent(&self, now: Instant) -> bool {
        let Some(oldest) = self
            .starts
            .first()
            .filter(|oldest| **oldest > self.last_answer)
        else {
            return false;
        };
        let queueing = self.queueing(self.load(now));
        let limit_ms = SILENT_PACES * self.pace.mean_ms() * (1.0 + queueing);
        now - *oldest >= Duration::from_micros((limit_ms * 1e3) as u64).max(MIN_SILENCE)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    pub(crate) fn begin(&mut self, now: Instant) {
        self.starts.push(now);
    }

    /// Notes that an answer broke off, or that it never ended: then the upstream is
    /// paused, since its next answers begin as well as the last one. Returns what it
    /// changed in the trust.
    pub(crate) fn note_cut(&mut self, is_endless: bool, now: Instant) -> Option<Note> {
        let before = self.trust();
        self.note(true, now);
        if is_endless {
            self.failures_in_row = self.failures_in_row.max(FAILURES_TO_PAUSE - 1);
            self.count_failure(now);
        }
        self.trust_note(before, now)
    }

    /// Notes the end of a send. Returns what it changed in the trust.
    pub(crate) fn end(&mut self, started: Instant, report: Report, now: Instant) -> Option<Note> {
        let before = self.trust();
        if let Some(index) = self.starts.iter().position(|start| *start == started) {
            self.starts.remove(index);
        }
        let queueing = self.queueing(self.load(now));
        match report {
            Report::Answered { failed } => {
                self.last_answer = now;
                self.failures_in_row = 0;
                self.pause = MIN_PAUSE;
                self.note(failed, now);
                if !failed {
                    self.full_pause = MIN_FULL_PAUSE;
                    self.pace.record(now - started, queueing);
                    let most = f64::from(2 * self.upstream.slots.max(1));
                    self.window = (self.window + 1.0 / self.window).min(most);
                }
            }
            Report::Refused => {
                self.last_answer = now;
                self.note(true, now);
                self.back_off(now);
            }
            Report::Misdirected => self.last_answer = now,
            Report::Replaced => {
                self.pause = MAX_PAUSE;
                self.failures_in_row = FAILURES_TO_PAUSE;
                self.count_failure(now);
            }
            Report::Unreachable => {
                self.note(true, now);
                self.count_failure(now);
            }
            Report::Broken => {
                self.note(true, now);
                self.back_off(now);
                if self.last_answer < started {
                    self.count_failure(now);
                }
            }
            Report::Silent => {
                self.pace.at_least(now - started, queueing);
                if self.last_answer < started {
                    self.note(true, now);
                    self.count_failure(now);
                }
            }
            Report::NotSent | Report::Cancelled => {}
        }
        self.trust_note(before, now)
    }

    /// Whether it is distrusted, and until when it is paused.
    fn trust(&self) -> (bool, Instant) {
        let is_distrusted = self.failures_in_row >= FAILURES_TO_PAUSE;
        (is_distrusted, self.paused_until)
    }

    /// Returns what has changed in the trust since `before`.
    fn trust_note(&self, before: (bool, Instant), now: Instant) -> Option<Note> {
        let (is_distrusted, paused_until) = self.trust();
        let changed = before.0 != is_distrusted || paused_until > before.1;
        changed.then(|| Note {
            upstream: Arc::clone(&self.upstream.id),
            failures: if is_distrusted {
                self.failures_in_row
            } else {
                0
            },
            pause: paused_until - now,
        })
    }

    /// Sends less for a while: the upstream has no room for what all routers
    /// send together.
    fn back_off(&mut self, now: Instant) {
        self.window = (self.window * WINDOW_CUT).max(MIN_WINDOW);
        self.full_until = now + self.full_pause;
        self.full_pause = (self.full_pause * 2).min(MAX_FULL_PAUSE);
    }

    fn note(&mut self, failed: bool, now: Instant) {
        let age = (now - self.failure_at).as_secs_f64();
        self.failure_share *= 0.5_f64.powf(age / FAILURE_HALF_LIFE_S);
        self.failure_at = now;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_share += (sample - self.failure_share) * FAILURE_SMOOTHING;
    }

    fn count_failure(&mut self, now: Instant) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_TO_PAUSE {
            self.paused_until = now + self.pause;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
    }
}
