//! Budget of the sends beyond the first of each request.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

/// Steps into which the window is divided.
const STEPS: u32 = 10;
/// Part of the allowance that is used. The rest covers sends of other routers
/// that counted fewer routers, and windows that begin between two steps.
const USED_SHARE: f64 = 0.7;

/// Limits of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeated sends per request.
    pub ratio: f64,
    /// Repeated sends in a window beyond the ratio.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Budget of one router for one service: its own requests at the ratio, and an
/// equal part of the extra. Routers don't ask each other; the parts add up to
/// less than the limit.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    first: u32,
    repeated: u32,
}

impl Budget {
    /// Creates a budget that nothing has been taken from.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_first(&mut self, now: Instant) {
        self.step(now).first += 1;
    }

    /// Returns whether one repeated send is allowed, without taking it.
    pub fn allows(&mut self, now: Instant, routers: usize) -> bool {
        self.left(now, routers) >= 1.0
    }

    /// Returns how many repeated sends are allowed, a fraction if a part of one
    /// is; below 0 if the requests of the window became fewer since.
    pub fn left(&mut self, now: Instant, routers: usize) -> f64 {
        self.step(now);
        let first: u32 = self.steps.iter().map(|step| step.first).sum();
        let repeated: u32 = self.steps.iter().map(|step| step.repeated).sum();
        let extra = self.limits.extra / routers.max(1) as f64;
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(first) + extra);
        allowed - f64::from(repeated)
    }

    /// Takes one repeated send.
    pub fn take(&mut self, now: Instant) {
        self.step(now).repeated += 1;
    }

    /// Drops what has left the window, and returns the current step.
    fn step(&mut self, now: Instant) -> &mut Step {
        let length = (self.limits.window / STEPS).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + u64::from(STEPS) < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step {
                number,
                ..Step::default()
            });
        }
        self.steps.back_mut().expect("a step was just added")
    }
}
