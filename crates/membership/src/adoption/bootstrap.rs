//! Startup of a router that must learn which bundle is in force before it serves.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Action, Settings};
use crate::member::Live;

/// Answers that a fresh router has received so far, and the peers to ask.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    started: Option<Instant>,
    next_ask: Instant,
    /// Peers that answered with the bundle that they have in force.
    responders: IndexSet<SocketAddr>,
    has_table_row: bool,
    is_ready: bool,
    local_peers: Vec<SocketAddr>,
    remote_peers: Vec<SocketAddr>,
}

impl Bootstrap {
    pub(crate) fn new() -> Self {
        Self {
            started: None,
            next_ask: Instant::default(),
            responders: IndexSet::new(),
            has_table_row: false,
            is_ready: false,
            local_peers: Vec::new(),
            remote_peers: Vec::new(),
        }
    }

    pub(crate) fn set_live(&mut self, settings: &Settings, live: &[Live]) {
        let others = live.iter().filter(|live| live.router != settings.router);
        let (local_peers, remote_peers): (Vec<&Live>, Vec<&Live>) =
            others.partition(|live| live.data_centre == settings.data_centre);
        self.local_peers = local_peers.iter().map(|live| live.address).collect();
        self.remote_peers = remote_peers.iter().map(|live| live.address).collect();
    }

    /// Returns the peers to fetch contents from: those of this data centre, or those
    /// of other data centres if there are none.
    pub(crate) fn fetch_peers(&self) -> &[SocketAddr] {
        if self.local_peers.is_empty() {
            &self.remote_peers
        } else {
            &self.local_peers
        }
    }

    pub(crate) fn record_table_row(&mut self) {
        self.has_table_row = true;
    }

    pub(crate) fn record_peer_answer(&mut self, from: SocketAddr) {
        self.responders.insert(from);
    }

    /// Marks this router as ready if it has enough answers, and returns whether it
    /// became ready by this call. The caller makes sure that the highest version seen
    /// is in force.
    pub(crate) fn mark_ready_if_informed(&mut self, now: Instant, settings: &Settings) -> bool {
        if self.is_ready || !self.has_enough_answers(now, settings) {
            return false;
        }
        self.is_ready = true;
        true
    }

    fn has_enough_answers(&self, now: Instant, settings: &Settings) -> bool {
        self.has_table_row || self.responders.len() >= self.required_answers(now, settings)
    }

    /// Returns the number of peers that must have answered.
    fn required_answers(&self, now: Instant, settings: &Settings) -> usize {
        if self.has_timed_out(now, settings) {
            return 1;
        }
        settings.required_answers.max(1)
    }

    /// Returns whether the time to wait for more than one answer has passed.
    pub(crate) fn has_timed_out(&self, now: Instant, settings: &Settings) -> bool {
        self.started
            .is_some_and(|started| now - started >= settings.answers_timeout)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Asks some routers of this data centre and some of the others, since all routers
    /// of one data centre may be fresh.
    pub(crate) fn ask_peers(
        &mut self,
        now: Instant,
        settings: &Settings,
        random: &mut impl Rng,
    ) -> Vec<Action> {
        self.started.get_or_insert(now);
        if self.is_ready || now < self.next_ask {
            return Vec::new();
        }
        self.next_ask = now + settings.ask_period;
        let local_peers = self.local_peers.sample(random, settings.required_answers);
        let mut peers: Vec<SocketAddr> = local_peers.copied().collect();
        peers.extend(self.remote_peers.sample(random, settings.required_answers));
        peers
            .into_iter()
            .map(|peer| Action::AskPeer { peer })
            .collect()
    }

    /// Returns when the next round of questions is due, `None` once this router is
    /// ready.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        (!self.is_ready).then_some(self.next_ask)
    }
}
