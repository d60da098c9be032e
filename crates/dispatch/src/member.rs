//! One router's record of one upstream.

mod limit;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use crate::gate::Gate;
use crate::limit::Allowance;
use crate::load;
use crate::service::{HealthChange, Report};
use crate::service_time::ServiceTime;
use crate::upstream::Upstream;

/// Age at which a count from another router is no longer used. Counts that aren't zero are repeated
/// every 400 ms, so one message may get lost.
const PEER_COUNT_AGE: Duration = Duration::from_millis(900);
/// Shortest and longest time for which an unreachable upstream gets no requests. The shortest
/// covers a few connection attempts; the longest bounds the delay until a recovered upstream is
/// noticed.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Failures in a row after which an upstream is paused. One may be a lost packet.
const FAILURES_TO_PAUSE: u32 = 2;
/// Weight of one answer in the share of failed ones.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Half-life of the failure share in seconds, so that an upstream that gets no requests is tried
/// again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Time without an answer, in multiples of the expected response time, after which an upstream
/// gets no more requests in addition to those under way.
const UNRESPONSIVE_FACTOR: f64 = 4.0;
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_millis(150);
/// Time for which a leaving holder of keys still gets requests. It serves for seconds, while its
/// keys move within a fraction of a second.
const LEAVING_GRACE: Duration = Duration::from_millis(1_000);
/// The same as a share of the time after which it may get no more requests, so that a request that
/// was assigned earlier has reached it by then.
const LEAVING_GRACE_SHARE: f64 = 0.5;
/// Factor by which the window shrinks after a refusal.
const WINDOW_DECREASE: f64 = 0.6;
/// Shortest and longest time for which an upstream without room gets no requests. A slot becomes
/// free within the shortest, and a full queue drains within the longest.
const MIN_FULL_PAUSE: Duration = Duration::from_millis(20);
const MAX_FULL_PAUSE: Duration = Duration::from_millis(80);
/// Smallest window. One request is always allowed; otherwise a recovery would go unnoticed.
const MIN_WINDOW: f64 = 1.0;

/// One router's record of one upstream.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) upstream: Arc<Upstream>,
    service_time: ServiceTime,
    failure_share: f64,
    failure_at: Instant,
    failures_in_row: u32,
    paused_until: Instant,
    pause: Duration,
    /// Start times of the requests that this router has under way, oldest first.
    starts: Vec<Instant>,
    last_answer: Instant,
    /// Number of requests that other routers have under way here, and when it was reported. Routers
    /// without any have no entry.
    peers: IndexMap<Arc<str>, (u32, Instant)>,
    /// What it has reported of its load.
    pub(crate) reports: load::Record,
    window: f64,
    leaving_since: Option<Instant>,
    /// Time until which it gets no requests because it said that it was full, or reset a connection
    /// at once.
    full_until: Instant,
    full_pause: Duration,
    /// Time until which it asked for no requests.
    deferred_until: Instant,
    /// This router's part of the limit that it has set to the requests from all routers.
    pub(crate) allowance: Option<Allowance>,
    /// Time until which it still gets requests for keys that it holds, if its data centre is evacuated.
    pub(crate) evacuated: Option<Instant>,
    /// What this router may send it while it is cold.
    pub(crate) gate: Option<Gate>,
    /// Whether the last attempt to connect succeeded, and when it ended.
    last_connect: Option<(bool, Instant)>,
}

impl Member {
    pub(crate) fn new(upstream: Arc<Upstream>, service_time_ms: f64, now: Instant) -> Self {
        let window = f64::from(2 * upstream.slots.max(1));
        Self {
            upstream,
            service_time: ServiceTime::new(service_time_ms),
            failure_share: 0.0,
            failure_at: now,
            failures_in_row: 0,
            paused_until: now,
            pause: MIN_PAUSE,
            starts: Vec::new(),
            last_answer: now,
            peers: IndexMap::new(),
            reports: load::Record::default(),
            window,
            leaving_since: None,
            full_until: now,
            full_pause: MIN_FULL_PAUSE,
            deferred_until: now,
            allowance: None,
            evacuated: None,
            gate: None,
            last_connect: None,
        }
    }

    /// Records the result of an attempt to connect.
    pub(crate) fn record_connect(&mut self, is_open: bool, now: Instant) {
        self.last_connect = Some((is_open, now));
    }

    /// Returns when it last answered anything.
    pub(crate) fn last_answer(&self) -> Instant {
        self.last_answer
    }

    /// Whether the last attempt to connect succeeded, `None` if there was none lately.
    pub(crate) fn is_reachable(&self, evidence_time: Duration, now: Instant) -> Option<bool> {
        let (is_open, at) = self.last_connect?;
        (now - at < evidence_time).then_some(is_open)
    }

    /// Replaces the self-description of the upstream, which has been leaving since an instant.
    pub(crate) fn update(&mut self, upstream: Arc<Upstream>, leaving_since: Option<Instant>) {
        self.leaving_since = leaving_since;
        self.upstream = upstream;
    }

    /// Whether a holder that is leaving or evacuated gets no more requests. Until another upstream has
    /// its keys, it is the only one that can serve them.
    pub(crate) fn is_closed(&self, drain: Duration, now: Instant) -> bool {
        let limit = LEAVING_GRACE.min(drain.mul_f64(LEAVING_GRACE_SHARE));
        self.leaving_since.is_some_and(|since| now - since >= limit)
            || self.evacuated.is_some_and(|until| now >= until)
    }

    /// Whether its data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated.is_some()
    }

    /// Whether it gets no new work, apart from requests for keys that it holds.
    pub(crate) fn is_retiring(&self) -> bool {
        self.upstream.leaving || self.is_evacuated()
    }

    pub(crate) fn service_time_ms(&self) -> f64 {
        self.service_time.mean_ms()
    }

    pub(crate) fn is_known(&self) -> bool {
        self.service_time.samples() > 2
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.starts.len() as u32
    }

    /// Returns the number of requests under way from all routers, as far as known.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let fresh = |at: Instant| now - at < PEER_COUNT_AGE;
        let peers = self.peers.values().filter(|(_, at)| fresh(*at));
        self.in_flight() + peers.map(|(count, _)| count).sum::<u32>()
    }

    /// Returns the number of requests under way from all routers, if the others have `scale` times as
    /// many as were reported.
    pub(crate) fn estimated_load(&self, scale: f64, now: Instant) -> f64 {
        let own = f64::from(self.in_flight());
        own + (f64::from(self.load(now)) - own) * scale
    }

    /// Removes counts of routers that ended without resetting them.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.peers.retain(|_, (_, at)| now - *at < PEER_COUNT_AGE);
    }

    /// Records the number of requests that another router has under way here.
    pub(crate) fn record_peer_count(&mut self, router: &Arc<str>, count: u32, now: Instant) {
        if count == 0 {
            self.peers.swap_remove(router);
        } else {
            self.peers.insert(Arc::clone(router), (count, now));
        }
    }

    /// Returns the share of the service time that a request waits if it finds `load` others.
    fn queueing(&self, load: u32) -> f64 {
        let slots = self.upstream.slots.max(1);
        f64::from((load + 1).saturating_sub(slots)) / f64::from(slots)
    }

    /// Returns the expected time until a request sent now is answered, in milliseconds.
    pub(crate) fn expected_ms(&self, now: Instant) -> f64 {
        self.expected_with_ms(self.service_time.mean_ms(), self.load(now), now)
    }

    /// Returns the same for a service time and a number of requests under way.
    fn expected_with_ms(&self, mut service_time_ms: f64, load: u32, now: Instant) -> f64 {
        let queueing = self.queueing(load);
        if let Some(oldest) = self
            .starts
            .first()
            .filter(|oldest| **oldest > self.last_answer)
        {
            let waited_ms = (now - *oldest).as_secs_f64() * 1e3 / (1.0 + queueing);
            service_time_ms = service_time_ms.max(waited_ms);
        }
        service_time_ms * (1.0 + queueing)
    }

    /// Returns the expected time by its reports, including the cost of a failure, in milliseconds.
    pub(crate) fn cost_ms(&self, now: Instant) -> f64 {
        let age = (now - self.failure_at).as_secs_f64();
        let share = self.failure_share * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S);
        let mean_ms = self.service_time.mean_ms();
        let paced_ms = mean_ms * self.reports.relative_pace(now);
        let own = self.in_flight();
        let load = own + self.reports.others(self.load(now) - own, mean_ms, now);
        self.expected_with_ms(paced_ms, load, now) / (1.0 - share.min(0.95))
    }

    /// Whether one more request may be sent to it, without a permit.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        let gate = self.gate.as_ref();
        gate.is_none_or(|gate| gate.is_ready(now)) && self.could_take(now)
    }

    /// Whether it could take one more request, cold or not.
    fn could_take(&self, now: Instant) -> bool {
        if self.is_paused(now) || now < self.full_until || now < self.deferred_until {
            return false;
        }
        if self
            .allowance
            .as_ref()
            .is_some_and(|allowance| !allowance.is_ready(now))
        {
            return false;
        }
        if self.failures_in_row >= FAILURES_TO_PAUSE && self.in_flight() > 0 {
            return false;
        }
        if self.in_flight() >= 2 && self.is_unresponsive(now) {
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

    /// Whether it has answered nothing for several times as long as it should take.
    fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(oldest) = self
            .starts
            .first()
            .filter(|oldest| **oldest > self.last_answer)
        else {
            return false;
        };
        let queueing = self.queueing(self.load(now));
        let limit_ms = UNRESPONSIVE_FACTOR * self.service_time.mean_ms() * (1.0 + queueing);
        now - *oldest >= Duration::from_micros((limit_ms * 1e3) as u64).max(MIN_UNRESPONSIVE_TIME)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    /// Counts a request. Returns whether it needs the permit of an owner of its limit.
    pub(crate) fn begin(&mut self, now: Instant) -> bool {
        self.starts.push(now);
        if let Some(allowance) = &mut self.allowance {
            allowance.take(now);
        }
        self.gate.as_mut().is_some_and(|gate| gate.begin(now))
    }

    /// Records that an answer broke off or never ended. An endless answer pauses the upstream,
    /// because its next answers would begin as well as the last one did. Returns the change of
    /// health, if any.
    pub(crate) fn record_truncated_answer(
        &mut self,
        is_endless: bool,
        now: Instant,
    ) -> Option<HealthChange> {
        let before = self.health();
        self.record_result(true, now);
        if is_endless {
            self.failures_in_row = self.failures_in_row.max(FAILURES_TO_PAUSE - 1);
            self.count_failure(now);
        }
        self.health_change(before, now)
    }

    /// Records the end of a send. Returns the change of health, if any.
    pub(crate) fn end(
        &mut self,
        started: Instant,
        report: Report,
        now: Instant,
    ) -> Option<HealthChange> {
        let before = self.health();
        if let Some(index) = self.starts.iter().position(|start| *start == started) {
            self.starts.remove(index);
        }
        let queueing = self.queueing(self.load(now));
        match report {
            Report::Answered { failed } => {
                self.last_answer = now;
                self.failures_in_row = 0;
                self.pause = MIN_PAUSE;
                self.record_result(failed, now);
                if !failed {
                    self.full_pause = MIN_FULL_PAUSE;
                    self.service_time.record(now - started, queueing);
                    let most = f64::from(2 * self.upstream.slots.max(1));
                    self.window = (self.window + 1.0 / self.window).min(most);
                }
            }
            Report::Refused => {
                self.last_answer = now;
                self.record_result(true, now);
                self.back_off(now);
            }
            Report::Misdirected => self.last_answer = now,
            Report::Replaced => {
                self.pause = MAX_PAUSE;
                self.failures_in_row = FAILURES_TO_PAUSE;
                self.count_failure(now);
            }
            Report::Unreachable => {
                self.record_result(true, now);
                self.count_failure(now);
            }
            Report::Broken => {
                self.record_result(true, now);
                self.back_off(now);
                if self.last_answer < started {
                    self.count_failure(now);
                }
            }
            Report::TimedOut => {
                self.service_time.raise_toward(now - started, queueing);
                if self.last_answer < started {
                    self.record_result(true, now);
                    self.count_failure(now);
                }
            }
            Report::NotSent | Report::Cancelled => {}
        }
        self.health_change(before, now)
    }

    /// Returns whether it is unhealthy, and until when it is paused.
    fn health(&self) -> (bool, Instant) {
        let is_unhealthy = self.failures_in_row >= FAILURES_TO_PAUSE;
        (is_unhealthy, self.paused_until)
    }

    /// Returns the change of health since `before`, if any.
    fn health_change(&self, before: (bool, Instant), now: Instant) -> Option<HealthChange> {
        let (is_unhealthy, paused_until) = self.health();
        let changed = before.0 != is_unhealthy || paused_until > before.1;
        changed.then(|| HealthChange {
            upstream: Arc::clone(&self.upstream.id),
            failures: if is_unhealthy {
                self.failures_in_row
            } else {
                0
            },
            pause: paused_until - now,
        })
    }

    /// Sends less for a while, because the upstream has no room for the requests of all routers
    /// together.
    fn back_off(&mut self, now: Instant) {
        self.window = (self.window * WINDOW_DECREASE).max(MIN_WINDOW);
        self.full_until = now + self.full_pause;
        self.full_pause = (self.full_pause * 2).min(MAX_FULL_PAUSE);
    }

    fn record_result(&mut self, failed: bool, now: Instant) {
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
