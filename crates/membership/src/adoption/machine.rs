//! State machine that keeps one router's bundle current.

use std::net::SocketAddr;

use eelgrassrock_model::Version;
use eelgrassrock_model::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use statig::blocking::*;

use super::bootstrap::Bootstrap;
use super::poll::Poll;
use super::rollout::{Context, Input, Rollout};
use super::{Action, Event, Reading, Record, Settings, Source};

/// State machine of one router's adoption of bundles. It performs no I/O.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    random: ChaCha8Rng,
    poll: Poll,
    bootstrap: Bootstrap,
    rollout: InitializedStateMachine<Rollout>,
    peers: Vec<SocketAddr>,
}

impl Machine {
    /// Creates the state machine of a fresh router.
    pub fn new(settings: Settings) -> Self {
        let mut context = Context {
            now: Instant::default(),
            peers: &[],
            actions: Vec::new(),
        };
        let rollout = Rollout::new(settings.clone()).uninitialized_state_machine();
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            poll: Poll::new(),
            bootstrap: Bootstrap::new(),
            rollout: rollout.init_with_context(&mut context),
            peers: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting actions, in order.
    ///
    /// ```
    /// use eelgrassrock_membership::adoption::{Action, Event, Machine, Reading, Record, Settings};
    /// use eelgrassrock_model::time::Instant;
    /// use eelgrassrock_model::{Digest, Version};
    ///
    /// let mut machine = Machine::new(Settings::new("r1".parse()?, "dc-1".parse()?, 7));
    /// let digest = Digest::from_bytes([7; 32]);
    /// let record = Record { version: Version(3), digest, approvals: "".into() };
    /// let row = Event::Table(Reading::Row(Some(record)));
    /// let actions = machine.step(Instant::default(), row);
    /// assert!(actions.contains(&Action::FetchObject { digest, base: None }));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Tick => self.tick(now),
            Event::Members(live) => {
                self.poll.elect(&self.settings, &live);
                self.bootstrap.set_live(&self.settings, &live);
                self.peers = self.bootstrap.fetch_peers().to_vec();
                Vec::new()
            }
            Event::Table(reading) => self.apply_reading(now, reading),
            Event::Announced { from, record } => self.offer_record(now, record, Source::Peer(from)),
            Event::Answered {
                from,
                record: Some(record),
            } => {
                self.bootstrap.record_peer_answer(from);
                self.offer_record(now, record, Source::Peer(from))
            }
            Event::Answered { record: None, .. } => Vec::new(),
            Event::Fetched { digest, outcome } => {
                self.advance(now, &Input::Fetched { digest, outcome })
            }
            Event::Checked { digest, verdict } => {
                self.advance(now, &Input::Checked { digest, verdict })
            }
        };
        if self.is_current() && self.bootstrap.mark_ready_if_informed(now, &self.settings) {
            actions.push(Action::Ready);
        }
        actions
    }

    /// Returns the time at which [`Event::Tick`] is due, `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        let poll = self.poll.next_wake(!self.is_ready());
        let rollout = self.rollout.state().deadline();
        [poll, rollout, self.bootstrap.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the record of the bundle in force. It is also the answer to the
    /// [`Action::AskPeer`] of another router.
    pub fn in_force(&self) -> Option<&Record> {
        self.rollout.inner().in_force()
    }

    /// Returns the highest version that this router has seen and not refused.
    pub fn highest_seen(&self) -> Version {
        self.rollout.inner().highest_seen()
    }

    /// Returns whether this router may serve. A router that is ready stays ready.
    pub fn is_ready(&self) -> bool {
        self.bootstrap.is_ready()
    }

    fn is_current(&self) -> bool {
        self.in_force()
            .is_some_and(|record| record.version >= self.highest_seen())
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self
            .bootstrap
            .ask_peers(now, &self.settings, &mut self.random);
        let has_no_source = self.has_no_source(now);
        if self
            .poll
            .start_if_due(now, &self.settings, has_no_source, &mut self.random)
        {
            actions.push(Action::PollTable);
        }
        actions.extend(self.advance(now, &Input::Tick));
        actions
    }

    /// Returns whether a router that isn't ready yet has no peers, or has waited for
    /// their answers for too long.
    fn has_no_source(&self, now: Instant) -> bool {
        !self.is_ready()
            && (self.bootstrap.has_timed_out(now, &self.settings) || self.peers.is_empty())
    }

    fn apply_reading(&mut self, now: Instant, reading: Reading) -> Vec<Action> {
        self.poll
            .record_result(now, &self.settings, &reading, &mut self.random);
        match reading {
            Reading::Row(Some(record)) => {
                self.bootstrap.record_table_row();
                self.offer_record(now, record, Source::Table)
            }
            Reading::Row(None) | Reading::Failed { .. } => Vec::new(),
        }
    }

    fn offer_record(&mut self, now: Instant, record: Record, source: Source) -> Vec<Action> {
        self.advance(now, &Input::Found { record, source })
    }

    fn advance(&mut self, now: Instant, input: &Input) -> Vec<Action> {
        let mut context = Context {
            now,
            peers: &self.peers,
            actions: Vec::new(),
        };
        self.rollout.handle_with_context(input, &mut context);
        context.actions
    }
}
