//! When this router reads the row of the current bundle.

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Reading, Settings};
use crate::member::Live;

/// Seed that sets the election of pollers apart from other uses of the hash.
const ELECTION: u64 = 0x706f_6c6c;

/// Reads of the row by one router.
#[derive(Debug)]
pub(crate) struct Poll {
    elected: bool,
    next: Instant,
    /// End of the read under way.
    deadline: Option<Instant>,
    failures: u32,
}

impl Poll {
    pub(crate) fn new() -> Self {
        Self {
            elected: false,
            next: Instant::default(),
            deadline: None,
            failures: 0,
        }
    }

    /// Elects the routers of this data centre that read the row: those with
    /// the lowest hashes. Views that differ cost reads, nothing else.
    pub(crate) fn elect(&mut self, settings: &Settings, live: &[Live]) {
        let rank = |router: &Router| xxh3_64_with_seed(router.as_str().as_bytes(), ELECTION);
        let mine = rank(&settings.router);
        let peers = live
            .iter()
            .filter(|live| live.data_centre == settings.data_centre);
        let others = peers.filter(|live| live.router != settings.router);
        let before = others.filter(|live| rank(&live.router) < mine).count();
        self.elected = before < settings.pollers;
    }

    /// Returns whether the row is to be read now. A router that isn't elected
    /// reads only while it is `lost`, and rarely.
    pub(crate) fn due(
        &mut self,
        now: Instant,
        settings: &Settings,
        lost: bool,
        random: &mut impl Rng,
    ) -> bool {
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            self.answered(
                now,
                settings,
                &Reading::Failed { retry_after: None },
                random,
            );
        }
        if !(self.elected || lost) || now < self.next || self.deadline.is_some() {
            return false;
        }
        self.deadline = Some(now + settings.poll_timeout);
        let period = if self.elected {
            settings.poll_period
        } else {
            settings.poll_backoff
        };
        self.next = now + period;
        true
    }

    /// Takes note of the result of a read.
    pub(crate) fn answered(
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
        let grown = settings.poll_period * (1 << self.failures.min(8));
        let wait = retry_after.unwrap_or(grown).min(settings.poll_backoff);
        let jitter = random.random_range(0..=wait.as_micros() as u64 / 2);
        self.next = now + wait / 2 + Duration::from_micros(jitter);
    }

    /// Returns when the row may be read next.
    pub(crate) fn wake(&self, lost: bool) -> Option<Instant> {
        match self.deadline {
            Some(deadline) => Some(deadline),
            None => (self.elected || lost).then_some(self.next),
        }
    }
}
