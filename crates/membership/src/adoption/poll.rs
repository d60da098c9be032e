//! Polling of the row of the current bundle: who polls, when, and with what backoff.

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Reading, Settings};
use crate::member::Live;

/// Hash seed that makes the election of pollers independent of other uses of the
/// hash.
const ELECTION_SEED: u64 = 0x706f_6c6c;

/// Schedule of the polls by one router.
#[derive(Debug)]
pub(crate) struct Poll {
    is_elected: bool,
    next_poll: Instant,
    /// Deadline of the poll in progress, `None` if there is none.
    deadline: Option<Instant>,
    failures: u32,
}

impl Poll {
    pub(crate) fn new() -> Self {
        Self {
            is_elected: false,
            next_poll: Instant::default(),
            deadline: None,
            failures: 0,
        }
    }

    /// Elects the routers of this data centre that poll the row: those with the lowest
    /// hashes. If routers disagree on who is live, the wrong number of routers polls,
    /// which changes the number of reads and nothing else.
    pub(crate) fn elect(&mut self, settings: &Settings, live: &[Live]) {
        let rank = |router: &Router| xxh3_64_with_seed(router.as_str().as_bytes(), ELECTION_SEED);
        let own_rank = rank(&settings.router);
        let peers = live
            .iter()
            .filter(|live| live.data_centre == settings.data_centre);
        let others = peers.filter(|live| live.router != settings.router);
        let lower = others.filter(|live| rank(&live.router) < own_rank).count();
        self.is_elected = lower < settings.pollers;
    }

    /// Starts a poll if one is due, and returns whether it did. A router that isn't
    /// elected polls only while it has no other source, and at the period
    /// `poll_backoff`.
    pub(crate) fn start_if_due(
        &mut self,
        now: Instant,
        settings: &Settings,
        has_no_source: bool,
        random: &mut impl Rng,
    ) -> bool {
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            self.record_result(
                now,
                settings,
                &Reading::Failed { retry_after: None },
                random,
            );
        }
        if !(self.is_elected || has_no_source) || now < self.next_poll || self.deadline.is_some() {
            return false;
        }
        self.deadline = Some(now + settings.poll_timeout);
        let period = if self.is_elected {
            settings.poll_period
        } else {
            settings.poll_backoff
        };
        self.next_poll = now + period;
        true
    }

    /// Ends the poll in progress. After a failure, the next one follows with backoff
    /// and jitter.
    pub(crate) fn record_result(
        &mut self,
        now: Instant,
        settings: &Settings,
        reading: &Reading,
        random: &mut impl Rng,
    ) {
        self.deadline = None;
        let Reading::Failed { retry_after } = reading else {
            self.failures = 0;
            return;
        };
        self.failures = self.failures.saturating_add(1);
        let backoff = settings.poll_period * (1 << self.failures.min(8));
        let wait = retry_after.unwrap_or(backoff).min(settings.poll_backoff);
        let jitter = random.random_range(0..=wait.as_micros() as u64 / 2);
        self.next_poll = now + wait / 2 + Duration::from_micros(jitter);
    }

    /// Returns the deadline of the poll in progress or the time of the next one, `None`
    /// if this router doesn't poll.
    pub(crate) fn next_wake(&self, has_no_source: bool) -> Option<Instant> {
        match self.deadline {
            Some(deadline) => Some(deadline),
            None => (self.is_elected || has_no_source).then_some(self.next_poll),
        }
    }
}
