//! The machine that keeps one router's bundle current.

use std::net::SocketAddr;

use eelgrassrock_model::Version;
use eelgrassrock_model::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use statig::blocking::*;

use super::learn::Learn;
use super::poll::Poll;
use super::roll::{Context, Input, Roll};
use super::{Action, Event, Reading, Record, Settings, Source};

/// Adoption of bundles by one router.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    random: ChaCha8Rng,
    poll: Poll,
    learn: Learn,
    roll: InitializedStateMachine<Roll>,
    peers: Vec<SocketAddr>,
}

impl Machine {
    /// Creates the machine of a fresh router.
    pub fn new(settings: Settings) -> Self {
        let mut context = Context {
            now: Instant::default(),
            peers: &[],
            actions: Vec::new(),
        };
        let roll = Roll::new(settings.clone()).uninitialized_state_machine();
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            poll: Poll::new(),
            learn: Learn::new(),
            roll: roll.init_with_context(&mut context),
            peers: Vec::new(),
        }
    }

    /// Handles one event.
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
                self.learn.arrange(&self.settings, &live);
                self.peers = self.learn.near().to_vec();
                Vec::new()
            }
            Event::Table(reading) => self.read(now, reading),
            Event::Told { from, record } => self.find(now, record, Source::Peer(from)),
            Event::Answered {
                from,
                record: Some(record),
            } => {
                self.learn.hear_peer(from);
                self.find(now, record, Source::Peer(from))
            }
            Event::Answered { record: None, .. } => Vec::new(),
            Event::Contents { digest, contents } => {
                self.advance(now, &Input::Contents { digest, contents })
            }
            Event::Checked { digest, verdict } => {
                self.advance(now, &Input::Checked { digest, verdict })
            }
        };
        if self.is_current() && self.learn.settle(now, &self.settings) {
            actions.push(Action::Ready);
        }
        actions
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Option<Instant> {
        let poll = self.poll.wake(!self.is_ready());
        let roll = self.roll.state().due();
        [poll, roll, self.learn.wake()].into_iter().flatten().min()
    }

    /// Returns the bundle in force, which is also the answer to
    /// [`Action::AskPeer`] of another router.
    pub fn in_force(&self) -> Option<&Record> {
        self.roll.inner().in_force()
    }

    /// Returns the highest version that this router has seen and not refused.
    pub fn seen(&self) -> Version {
        self.roll.inner().seen()
    }

    /// Returns whether this router may serve.
    pub fn is_ready(&self) -> bool {
        self.learn.is_ready()
    }

    fn is_current(&self) -> bool {
        self.in_force()
            .is_some_and(|record| record.version >= self.seen())
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.learn.ask(now, &self.settings, &mut self.random);
        let lost = self.is_lost(now);
        if self.poll.due(now, &self.settings, lost, &mut self.random) {
            actions.push(Action::PollTable);
        }
        actions.extend(self.advance(now, &Input::Tick));
        actions
    }

    /// Returns whether nobody has told this router of a bundle in time.
    fn is_lost(&self, now: Instant) -> bool {
        !self.is_ready() && (self.learn.waited(now, &self.settings) || self.peers.is_empty())
    }

    fn read(&mut self, now: Instant, reading: Reading) -> Vec<Action> {
        self.poll
            .answered(now, &self.settings, &reading, &mut self.random);
        match reading {
            Reading::Row(Some(record)) => {
                self.learn.hear_table();
                self.find(now, record, Source::Table)
            }
            Reading::Row(None) | Reading::Failed { .. } => Vec::new(),
        }
    }

    fn find(&mut self, now: Instant, record: Record, source: Source) -> Vec<Action> {
        self.advance(now, &Input::Found { record, source })
    }

    fn advance(&mut self, now: Instant, input: &Input) -> Vec<Action> {
        let mut context = Context {
            now,
            peers: &self.peers,
            actions: Vec::new(),
        };
        self.roll.handle_with_context(input, &mut context);
        context.actions
    }
}
