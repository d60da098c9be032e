//! Decides which requests wait, and which are refused.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::choice::Choice;
use super::{Detour, RATE_WINDOW, Reason, Refusal, Request, Service, Step};
use crate::member::Member;

/// Service time that is assumed before any answer came.
const INITIAL_SERVICE_TIME_MS: f64 = 100.0;
/// Longest queue of a router, in requests per known slot.
const QUEUE_PER_SLOT: usize = 8;
/// Share of a caller's time after which a request that waits for a holder is refused: late enough
/// for a range to change hands, early enough for the caller to try again.
const MAX_HOLDER_WAIT_SHARE: f64 = 0.4;
/// Shortest and longest delay that a refused caller is asked to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Delay that a refused caller is asked to wait while a key has no holder. Grants are made within
/// about this time.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Delay that a caller is asked to wait if its key gets too many requests. Hot ranges are divided
/// within about this time.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Delay that a caller is asked to wait if all upstreams are evacuated. Nobody knows how long that
/// lasts, so it bounds how soon a caller is served again, and how often it asks in vain.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(3);

impl Service {
    /// Removes a request from the queue because its caller has left.
    pub fn cancel(&mut self, ticket: u64) {
        self.queue.retain(|request| request.ticket != ticket);
    }

    /// Returns the requests that no longer wait, and what to do with them.
    pub fn poll(&mut self, now: Instant) -> Vec<(u64, Step)> {
        let mut done = Vec::new();
        self.note_pressure(now);
        if self.queue.is_empty() {
            return done;
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|request| {
            let precedence = self.precedence(request);
            (precedence, now > request.target, request.arrived)
        });
        // Later requests find no more room than earlier ones.
        let mut full: HashSet<Option<Arc<str>>> = HashSet::new();
        for request in queue {
            let holder = self.holder(request.key).cloned();
            let known_full = full.contains(&holder) && !self.is_blocked(request.key, now);
            let choice = if known_full {
                Choice::Full
            } else {
                self.choose(&request, now)
            };
            match choice {
                Choice::Take(_) if request.is_repeat && !self.budget.allows(now, self.routers) => {
                    let refusal = self.refuse(Reason::Budget, &request, now);
                    done.push((request.ticket, refusal));
                }
                Choice::Take(upstream) => {
                    if request.is_repeat {
                        self.budget.take(now);
                    }
                    done.push((request.ticket, self.begin(upstream, request.key, now)));
                }
                Choice::OutOfReach => {
                    let is_queued = request.detour == Detour::Exhausted
                        && self.may_wait_out_of_reach(&request, now);
                    if is_queued {
                        self.queue.push(request);
                        continue;
                    }
                    let step = self.detour(&request, now);
                    if request.is_repeat && step == Step::Detour {
                        self.budget.take(now);
                    }
                    done.push((request.ticket, step));
                }
                Choice::Evacuated => {
                    let refusal = self.refuse(Reason::Evacuated, &request, now);
                    done.push((request.ticket, refusal));
                }
                Choice::NoHolder if Self::has_waited_for_holder(&request, now) => {
                    let refusal = self.refuse(Reason::NoHolder, &request, now);
                    done.push((request.ticket, refusal));
                }
                Choice::Full if self.is_unavailable_too_long(&request, now) => {
                    let refusal = self.refuse_unavailable(&request, now);
                    done.push((request.ticket, refusal));
                }
                _ if self.cannot_meet_deadline(&request, now) => {
                    let reason = match choice {
                        Choice::NoHolder => Reason::NoHolder,
                        Choice::NoUpstream => Reason::NoUpstream,
                        _ => Reason::Busy,
                    };
                    let refusal = self.refuse(reason, &request, now);
                    done.push((request.ticket, refusal));
                }
                choice => {
                    if matches!(choice, Choice::Full) && now >= request.retry_at {
                        full.insert(holder);
                    }
                    self.queue.push(request);
                }
            }
        }
        done
    }

    pub(super) fn dispatch(&mut self, request: Request, now: Instant) -> Step {
        match self.choose(&request, now) {
            Choice::Take(upstream) => self.begin(upstream, request.key, now),
            Choice::NoUpstream => self.refuse_unavailable(&request, now),
            Choice::Evacuated => self.refuse(Reason::Evacuated, &request, now),
            Choice::OutOfReach
                if request.detour == Detour::Exhausted
                    && self.may_wait_out_of_reach(&request, now) =>
            {
                self.enqueue(request)
            }
            Choice::OutOfReach => self.detour(&request, now),
            Choice::NoHolder
                if self.can_wait(&request, now) && !Self::has_waited_for_holder(&request, now) =>
            {
                self.enqueue(request)
            }
            Choice::NoHolder => self.refuse(Reason::NoHolder, &request, now),
            Choice::Full if self.is_unavailable_too_long(&request, now) => {
                self.refuse_unavailable(&request, now)
            }
            Choice::Full if self.can_wait(&request, now) => self.enqueue(request),
            Choice::Full => self.refuse(Reason::Busy, &request, now),
        }
    }

    /// Whether a request that no router can handle may wait. If other upstreams answer, this one may
    /// have failed, and another one may take its place.
    fn may_wait_out_of_reach(&self, request: &Request, now: Instant) -> bool {
        self.is_any_usable(now)
            && !Self::has_waited_for_holder(request, now)
            && !self.cannot_meet_deadline(request, now)
    }

    /// Decides on a request that this router can't send to an upstream.
    fn detour(&mut self, request: &Request, now: Instant) -> Step {
        if request.detour != Detour::Open {
            return self.refuse(Reason::OutOfReach, request, now);
        }
        if request.is_repeat && !self.budget.allows(now, self.routers) {
            return self.refuse(Reason::Budget, request, now);
        }
        Step::Detour
    }

    pub(super) fn enqueue(&mut self, request: Request) -> Step {
        self.queue.push(request);
        Step::Wait
    }

    /// Whether an answer in time is likely, given the requests that already wait.
    pub(super) fn can_wait(&self, request: &Request, now: Instant) -> bool {
        let slots: u32 = self
            .members
            .values()
            .filter(|member| !member.is_evacuated())
            .map(|member| member.upstream.slots)
            .sum();
        if self.queue.len() >= QUEUE_PER_SLOT * slots.max(1) as usize {
            return false;
        }
        now + self.wait(request, now) + self.service_time(request) < request.give_up
    }

    pub(super) fn has_waited_for_holder(request: &Request, now: Instant) -> bool {
        let allowed = request.give_up - request.arrived;
        now - request.arrived >= allowed.mul_f64(MAX_HOLDER_WAIT_SHARE)
    }

    /// Whether a waiting request can't be answered before its caller gives up.
    pub(super) fn cannot_meet_deadline(&self, request: &Request, now: Instant) -> bool {
        now + self.service_time(request) >= request.give_up
    }

    pub(super) fn service_time(&self, request: &Request) -> Duration {
        let holder = self.holder(request.key).and_then(|id| self.members.get(id));
        let service_time_ms =
            holder.map_or_else(|| self.typical_service_time_ms(), Member::service_time_ms);
        Duration::from_micros((service_time_ms * 1e3) as u64)
    }

    /// Returns the expected time until a request behind the present queue is sent.
    pub(super) fn wait(&self, request: &Request, now: Instant) -> Duration {
        let holder = self.holder(request.key);
        let ahead = self.ahead(request) + 1;
        let rate = match holder.and_then(|id| self.members.get(id)) {
            Some(member) => {
                let share =
                    f64::from(member.in_flight().max(1)) / f64::from(member.load(now).max(1));
                share * f64::from(member.upstream.slots.max(1)) * 1e3
                    / member.service_time_ms().max(1.0)
            }
            None => self.answer_rate(now),
        };
        Duration::from_secs_f64((ahead as f64 / rate.max(0.1)).min(60.0))
    }

    /// Returns the number of requests that wait ahead of another one.
    pub(super) fn ahead(&self, request: &Request) -> usize {
        let holder = self.holder(request.key);
        let precedence = self.precedence(request);
        let same_queue = |other: &&Request| {
            self.precedence(other) <= precedence && self.holder(other.key) == holder
        };
        self.queue.iter().filter(same_queue).count()
    }

    /// Returns the recent answers per second, at least the rate of one slot.
    pub(super) fn answer_rate(&self, now: Instant) -> f64 {
        let recent = self
            .answers
            .iter()
            .rev()
            .take_while(|at| now - **at < RATE_WINDOW)
            .count();
        let counted = recent as f64 / RATE_WINDOW.as_secs_f64();
        counted.max(1e3 / self.typical_service_time_ms().max(1.0))
    }

    pub(super) fn typical_service_time_ms(&self) -> f64 {
        let known = self.members.values().filter(|member| member.is_known());
        let service_times: Vec<f64> = known.map(Member::service_time_ms).collect();
        if service_times.is_empty() {
            return INITIAL_SERVICE_TIME_MS;
        }
        service_times.iter().sum::<f64>() / service_times.len() as f64
    }

    /// Refuses a request because no upstream accepts it.
    fn refuse_unavailable(&mut self, request: &Request, now: Instant) -> Step {
        let unavailable = self.unavailable(request, now);
        let reason = unavailable.map_or(Reason::NoUpstream, |unavailable| unavailable.reason);
        self.refuse(reason, request, now)
    }

    pub(super) fn refuse(&mut self, reason: Reason, request: &Request, now: Instant) -> Step {
        let wait = match reason {
            Reason::NoHolder | Reason::NoUpstream | Reason::OutOfReach => NO_HOLDER_RETRY_AFTER,
            Reason::Overload => OVERLOAD_RETRY_AFTER,
            Reason::Evacuated => EVACUATED_RETRY_AFTER,
            Reason::Busy | Reason::Attempts | Reason::Budget => self.wait(request, now),
            Reason::Deferred => self.unavailable_for(request, now),
            // The keys of an upstream in need move to others.
            Reason::Limited if self.spans.is_some() => {
                self.unavailable_for(request, now).min(OVERLOAD_RETRY_AFTER)
            }
            Reason::Limited => self.unavailable_for(request, now),
            Reason::Pressure => self.return_delay(request, now),
        };
        // Spreads the retries of callers that are refused together.
        let spread = match reason {
            // The delays are spread already.
            Reason::Pressure => Duration::ZERO,
            _ => wait.mul_f64(f64::from((request.ticket % 8) as u32) / 16.0),
        };
        let most = match reason {
            // The upstream has said how long it takes.
            Reason::Deferred => MAX_RETRY_AFTER.max(wait + spread),
            _ => MAX_RETRY_AFTER,
        };
        Step::Refuse(Refusal {
            reason,
            retry_after: (wait + spread).clamp(MIN_RETRY_AFTER, most),
        })
    }
}
