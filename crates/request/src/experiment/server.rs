//! Upstreams of an experiment: slots, and a first-in-first-out queue of
//! requests that came in while all slots were busy.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Attempt at an upstream, unique in a run.
pub(crate) type Ticket = u64;

/// Upstream of an experiment.
#[derive(Debug)]
pub(crate) struct Server {
    slots: usize,
    running: HashSet<Ticket>,
    waiting: VecDeque<(Ticket, Duration)>,
    pub(crate) slowdown: u32,
    pub(crate) frozen: bool,
    pub(crate) lost: bool,
}

/// Attempt that starts now and ends after `service`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    pub(crate) ticket: Ticket,
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

    pub(crate) fn accept(&mut self, ticket: Ticket, service: Duration) -> Option<Start> {
        self.waiting.push_back((ticket, service));
        self.start_next()
    }

    /// Ends an attempt. Returns whether it was running, and what starts next.
    pub(crate) fn end(&mut self, ticket: Ticket) -> (bool, Option<Start>) {
        let ran = self.running.remove(&ticket);
        (ran, self.start_next())
    }

    pub(crate) fn cancel(&mut self, ticket: Ticket) -> Option<Start> {
        self.waiting.retain(|(other, _)| *other != ticket);
        self.running.remove(&ticket);
        self.start_next()
    }

    fn start_next(&mut self) -> Option<Start> {
        if self.frozen || self.lost || self.running.len() >= self.slots {
            return None;
        }
        let (ticket, service) = self.waiting.pop_front()?;
        self.running.insert(ticket);
        let service = service * self.slowdown;
        Some(Start { ticket, service })
    }
}
