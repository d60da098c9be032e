//! State machine that takes one record from its discovery until it is in force:
//! idle, fetching, checking.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use indexmap::IndexSet;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use statig::blocking::*;

use super::record::Outcome as RecordOutcome;
use super::{Action, Decision, FetchOutcome, Record, Settings, Source, Verdict};

/// Number of refused records that are remembered. They aren't fetched and checked
/// again.
const MAX_REFUSED: usize = 16;
/// Number of fetches from peers after which random peers and the object store
/// alternate.
const PEER_ATTEMPTS: u32 = 3;
/// Largest factor by which the backoff before a retry grows.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// Input of the state machine.
#[derive(Debug)]
pub(crate) enum Input {
    Tick,
    Found {
        record: Record,
        source: Source,
    },
    Fetched {
        digest: Digest,
        outcome: FetchOutcome,
    },
    Checked {
        digest: Digest,
        verdict: Verdict,
    },
}

/// Time, peers and resulting actions of one step.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) actions: Vec<Action>,
}

/// Attempt to fetch and check the contents of a record.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    record: Record,
    source: Source,
    /// Number of fetches so far.
    count: u32,
    /// Time at which the fetch or the check is retried.
    next_attempt: Instant,
}

/// State that outlives a single record.
#[derive(Debug)]
pub(crate) struct Rollout {
    settings: Settings,
    random: ChaCha8Rng,
    in_force: Option<Record>,
    /// Highest version of any record seen that wasn't refused.
    highest_seen: Version,
    highest_seen_digest: Option<Digest>,
    refused: IndexSet<(Version, Digest)>,
    /// Record that a newer one superseded before it was in force. It is resumed if
    /// the newer one is refused.
    superseded: Option<(Record, Source)>,
}

#[state_machine(
    initial = "State::idle()",
    state(derive(Debug)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl Rollout {
    #[state]
    fn idle(&mut self, context: &mut Context<'_>, event: &Input) -> Outcome<State> {
        match event {
            Input::Found { record, source } => self.start_if_new(context, record, *source),
            _ => Handled,
        }
    }

    #[state]
    fn fetching(
        &mut self,
        attempt: &mut Attempt,
        context: &mut Context<'_>,
        event: &Input,
    ) -> Outcome<State> {
        match event {
            Input::Tick => self.retry(context, attempt),
            Input::Found { record, source } => self.supersede(context, attempt, record, *source),
            Input::Fetched { digest, outcome } if *digest == attempt.record.digest => {
                self.receive(context, attempt, *outcome)
            }
            _ => Handled,
        }
    }

    #[state]
    fn checking(
        &mut self,
        attempt: &mut Attempt,
        context: &mut Context<'_>,
        event: &Input,
    ) -> Outcome<State> {
        match event {
            Input::Tick if context.now >= attempt.next_attempt => {
                attempt.next_attempt = context.now + self.settings.fetch_timeout;
                context.actions.push(Action::Check(attempt.record.clone()));
                Handled
            }
            Input::Found { record, source } => self.supersede(context, attempt, record, *source),
            Input::Checked { digest, verdict } if *digest == attempt.record.digest => {
                self.apply_verdict(context, attempt, verdict)
            }
            _ => Handled,
        }
    }
}

impl Rollout {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            in_force: None,
            highest_seen: Version(0),
            highest_seen_digest: None,
            refused: IndexSet::new(),
            superseded: None,
        }
    }

    pub(crate) fn in_force(&self) -> Option<&Record> {
        self.in_force.as_ref()
    }

    pub(crate) fn highest_seen(&self) -> Version {
        self.highest_seen
    }

    fn decide(context: &mut Context<'_>, record: &Record, outcome: RecordOutcome) {
        context.actions.push(Action::Decide(Decision {
            version: record.version,
            digest: record.digest,
            outcome,
        }));
    }

    /// Returns whether a record is newer than all seen before and hasn't been refused.
    fn is_new(&self, context: &mut Context<'_>, record: &Record) -> bool {
        if self.refused.contains(&(record.version, record.digest)) {
            return false;
        }
        if record.version == self.highest_seen && self.highest_seen_digest != Some(record.digest) {
            Self::decide(context, record, RecordOutcome::Conflicting);
        }
        record.version > self.highest_seen
    }

    fn start_if_new(
        &mut self,
        context: &mut Context<'_>,
        record: &Record,
        source: Source,
    ) -> Outcome<State> {
        if !self.is_new(context, record) {
            return Handled;
        }
        self.highest_seen = record.version;
        self.highest_seen_digest = Some(record.digest);
        Self::decide(context, record, RecordOutcome::Seen(source));
        self.begin_fetch(context, record.clone(), source)
    }

    fn begin_fetch(
        &mut self,
        context: &mut Context<'_>,
        record: Record,
        source: Source,
    ) -> Outcome<State> {
        let mut attempt = Attempt {
            record,
            source,
            count: 0,
            next_attempt: context.now,
        };
        self.fetch(context, &mut attempt);
        Transition(State::fetching(attempt))
    }

    fn supersede(
        &mut self,
        context: &mut Context<'_>,
        attempt: &Attempt,
        record: &Record,
        source: Source,
    ) -> Outcome<State> {
        if !self.is_new(context, record) {
            return Handled;
        }
        self.superseded = Some((attempt.record.clone(), attempt.source));
        self.start_if_new(context, record, source)
    }

    /// Asks the next source for the contents: first the peer that announced the record,
    /// then random peers, then random peers and the object store alternately. For a
    /// record from the table, the object store comes first.
    fn fetch(&mut self, context: &mut Context<'_>, attempt: &mut Attempt) {
        let digest = attempt.record.digest;
        let base = self.in_force.as_ref().map(|record| record.digest);
        let peer = match (attempt.source, attempt.count) {
            (Source::Peer(peer), 0) => Some(peer),
            (Source::Peer(_), count) if count < PEER_ATTEMPTS => self.random_peer(context),
            (_, count) if count % 2 == 1 => self.random_peer(context),
            _ => None,
        };
        context.actions.push(match peer {
            Some(peer) => Action::FetchFromPeer { digest, peer, base },
            None => Action::FetchObject { digest, base },
        });
        attempt.count += 1;
        attempt.next_attempt = context.now + self.settings.fetch_timeout;
    }

    fn random_peer(&mut self, context: &Context<'_>) -> Option<SocketAddr> {
        context.peers.choose(&mut self.random).copied()
    }

    fn retry(&mut self, context: &mut Context<'_>, attempt: &mut Attempt) -> Outcome<State> {
        if context.now >= attempt.next_attempt {
            self.fetch(context, attempt);
        }
        Handled
    }

    fn receive(
        &mut self,
        context: &mut Context<'_>,
        attempt: &mut Attempt,
        outcome: FetchOutcome,
    ) -> Outcome<State> {
        if outcome == FetchOutcome::Verified {
            context.actions.push(Action::Check(attempt.record.clone()));
            let next_attempt = context.now + self.settings.fetch_timeout;
            return Transition(State::checking(Attempt {
                next_attempt,
                ..attempt.clone()
            }));
        }
        Self::decide(context, &attempt.record, RecordOutcome::Retried(outcome));
        let factor = attempt.count.min(MAX_BACKOFF_FACTOR);
        attempt.next_attempt = context.now + self.settings.fetch_backoff * factor;
        Handled
    }

    fn apply_verdict(
        &mut self,
        context: &mut Context<'_>,
        attempt: &Attempt,
        verdict: &Verdict,
    ) -> Outcome<State> {
        let record = attempt.record.clone();
        match verdict {
            Verdict::Accepted => self.adopt(context, record),
            Verdict::Refused { reason } => {
                Self::decide(context, &record, RecordOutcome::Refused(reason.clone()));
                self.refuse(context, &record)
            }
        }
    }

    fn adopt(&mut self, context: &mut Context<'_>, record: Record) -> Outcome<State> {
        self.in_force = Some(record.clone());
        self.superseded = None;
        Self::decide(context, &record, RecordOutcome::Adopted);
        context.actions.push(Action::Adopt(record.clone()));
        context.actions.push(Action::Announce(record));
        Transition(State::idle())
    }

    /// Discards a record that isn't valid, and resumes the record that it superseded,
    /// if any.
    fn refuse(&mut self, context: &mut Context<'_>, record: &Record) -> Outcome<State> {
        if self.refused.len() == MAX_REFUSED {
            self.refused.shift_remove_index(0);
        }
        self.refused.insert((record.version, record.digest));
        let in_force = self.in_force.as_ref();
        self.highest_seen = in_force.map_or(Version(0), |record| record.version);
        self.highest_seen_digest = in_force.map(|record| record.digest);
        match self.superseded.take() {
            Some((record, source)) => self.start_if_new(context, &record, source),
            None => Transition(State::idle()),
        }
    }
}

impl State {
    /// Returns when the fetch or the check in progress is retried, `None` if idle.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        match self {
            State::Idle {} => None,
            State::Fetching { attempt } | State::Checking { attempt } => Some(attempt.next_attempt),
        }
    }
}
