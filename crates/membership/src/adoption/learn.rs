//! How a fresh router learns which bundle is in force before it serves.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Action, Settings};
use crate::member::Live;

/// Answers that a fresh router has so far.
#[derive(Debug)]
pub(crate) struct Learn {
    since: Option<Instant>,
    next: Instant,
    /// Routers that told the bundle that they have in force.
    answers: IndexSet<SocketAddr>,
    table: bool,
    ready: bool,
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
}

impl Learn {
    pub(crate) fn new() -> Self {
        Self {
            since: None,
            next: Instant::default(),
            answers: IndexSet::new(),
            table: false,
            ready: false,
            near: Vec::new(),
            far: Vec::new(),
        }
    }

    pub(crate) fn arrange(&mut self, settings: &Settings, live: &[Live]) {
        let others = live.iter().filter(|live| live.router != settings.router);
        let (near, far): (Vec<&Live>, Vec<&Live>) =
            others.partition(|live| live.data_centre == settings.data_centre);
        self.near = near.iter().map(|live| live.address).collect();
        self.far = far.iter().map(|live| live.address).collect();
    }

    /// Returns the peers that contents are fetched from.
    pub(crate) fn near(&self) -> &[SocketAddr] {
        if self.near.is_empty() {
            &self.far
        } else {
            &self.near
        }
    }

    pub(crate) fn hear_table(&mut self) {
        self.table = true;
    }

    pub(crate) fn hear_peer(&mut self, from: SocketAddr) {
        self.answers.insert(from);
    }

    /// Returns whether this router has just become ready, given that it has
    /// the highest version in force that it has seen.
    pub(crate) fn settle(&mut self, now: Instant, settings: &Settings) -> bool {
        if self.ready || !self.informed(now, settings) {
            return false;
        }
        self.ready = true;
        true
    }

    fn informed(&self, now: Instant, settings: &Settings) -> bool {
        self.table || self.answers.len() >= self.needed(now, settings)
    }

    /// Returns the number of routers that must have told their bundle.
    fn needed(&self, now: Instant, settings: &Settings) -> usize {
        if self.waited(now, settings) {
            return 1;
        }
        settings.answers.max(1)
    }

    /// Returns whether the time to wait for more than one answer is over.
    pub(crate) fn waited(&self, now: Instant, settings: &Settings) -> bool {
        self.since
            .is_some_and(|since| now - since >= settings.patience)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Asks some routers of this data centre and some of others, since those
    /// of one data centre may all be fresh.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        settings: &Settings,
        random: &mut impl Rng,
    ) -> Vec<Action> {
        self.since.get_or_insert(now);
        if self.ready || now < self.next {
            return Vec::new();
        }
        self.next = now + settings.ask_period;
        let near = self.near.sample(random, settings.answers);
        let mut peers: Vec<SocketAddr> = near.copied().collect();
        peers.extend(self.far.sample(random, settings.answers));
        peers
            .into_iter()
            .map(|peer| Action::AskPeer { peer })
            .collect()
    }

    /// Returns when the next round of questions or the end of the patience is
    /// due.
    pub(crate) fn wake(&self) -> Option<Instant> {
        (!self.ready).then_some(self.next)
    }
}
