//! Simulated upstreams, which have slots and a first-in-first-out queue for requests that
//! arrive while all slots are busy.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Identifier of an attempt, unique in a simulation.
pub(crate) type AttemptId = u64;

/// Simulated upstream.
#[derive(Debug)]
pub(crate) struct Server {
    slots: usize,
    running: HashSet<AttemptId>,
    waiting: VecDeque<(AttemptId, Duration)>,
    pub(crate) slowdown: u32,
    pub(crate) frozen: bool,
    pub(crate) lost: bool,
}

/// Attempt that starts now and ends after `service`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    pub(crate) attempt_id: AttemptId,
    pub(crate) service: Duration,
}

impl Server {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: HashSet::new(),
            waiting: VecDeque::new(),
            slowdown: 1,
            frozen: false,
            lost: false,
        }
    }

    pub(crate) fn open(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub(crate) fn accept(&mut self, attempt_id: AttemptId, service: Duration) -> Option<Start> {
        self.waiting.push_back((attempt_id, service));
        self.start_next()
    }

    /// Ends an attempt. Returns whether it was running, and the attempt that starts next.
    pub(crate) fn end(&mut self, attempt_id: AttemptId) -> (bool, Option<Start>) {
        let ran = self.running.remove(&attempt_id);
        (ran, self.start_next())
    }

    pub(crate) fn cancel(&mut self, attempt_id: AttemptId) -> Option<Start> {
        self.waiting.retain(|(other, _)| *other != attempt_id);
        self.running.remove(&attempt_id);
        self.start_next()
    }

    fn start_next(&mut self) -> Option<Start> {
        if self.frozen || self.lost || self.running.len() >= self.slots {
            return None;
        }
        let (attempt_id, service) = self.waiting.pop_front()?;
        self.running.insert(attempt_id);
        let service = service * self.slowdown;
        Some(Start {
            attempt_id,
            service,
        })
    }
}
