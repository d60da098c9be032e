//! The way of one record from its discovery until it is in force.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use indexmap::IndexSet;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use statig::blocking::*;

use super::record::Outcome as Result;
use super::{Action, Contents, Decision, Record, Settings, Source, Verdict};

/// Number of refused records that are remembered.
const MAX_REFUSED: usize = 16;
/// Attempts to get contents from peers before the object store is asked.
const PEER_ATTEMPTS: u32 = 3;
/// Factor by which the waiting time before a retry may grow.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// What concerns the record under way.
#[derive(Debug)]
pub(crate) enum Input {
    Tick,
    Found { record: Record, source: Source },
    Contents { digest: Digest, contents: Contents },
    Checked { digest: Digest, verdict: Verdict },
}

/// Time, peers and results of one step.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) actions: Vec<Action>,
}

/// Attempt to get the contents of a record.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    record: Record,
    source: Source,
    count: u32,
    /// Time of the next attempt.
    due: Instant,
}

/// Storage of the state machine.
#[derive(Debug)]
pub(crate) struct Roll {
    settings: Settings,
    random: ChaCha8Rng,
    in_force: Option<Record>,
    /// Highest version of any record that wasn't refused.
    seen: Version,
    seen_digest: Option<Digest>,
    refused: IndexSet<(Version, Digest)>,
    /// Record that a newer one overtook before it was in force.
    overtaken: Option<(Record, Source)>,
}

#[state_machine(
    initial = "State::idle()",
    state(derive(Debug)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl Roll {
    #[state]
    fn idle(&mut self, context: &mut Context<'_>, event: &Input) -> Outcome<State> {
        match event {
            Input::Found { record, source } => self.start(context, record, *source),
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
            Input::Found { record, source } => self.overtake(context, attempt, record, *source),
            Input::Contents { digest, contents } if *digest == attempt.record.digest => {
                self.receive(context, attempt, *contents)
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
            Input::Tick if context.now >= attempt.due => {
                attempt.due = context.now + self.settings.fetch_timeout;
                context.actions.push(Action::Check(attempt.record.clone()));
                Handled
            }
            Input::Found { record, source } => self.overtake(context, attempt, record, *source),
            Input::Checked { digest, verdict } if *digest == attempt.record.digest => {
                self.conclude(context, attempt, verdict)
            }
            _ => Handled,
        }
    }
}

impl Roll {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            in_force: None,
            seen: Version(0),
            seen_digest: None,
            refused: IndexSet::new(),
            overtaken: None,
        }
    }

    pub(crate) fn in_force(&self) -> Option<&Record> {
        self.in_force.as_ref()
    }

    pub(crate) fn seen(&self) -> Version {
        self.seen
    }

    fn decide(context: &mut Context<'_>, record: &Record, outcome: Result) {
        context.actions.push(Action::Decide(Decision {
            version: record.version,
            digest: record.digest,
            outcome,
        }));
    }

    /// Returns whether a record is newer than all seen before.
    fn is_new(&self, context: &mut Context<'_>, record: &Record) -> bool {
        if self.refused.contains(&(record.version, record.digest)) {
            return false;
        }
        if record.version == self.seen && self.seen_digest != Some(record.digest) {
            Self::decide(context, record, Result::Conflicting);
        }
        record.version > self.seen
    }

    fn start(
        &mut self,
        context: &mut Context<'_>,
        record: &Record,
        source: Source,
    ) -> Outcome<State> {
        if !self.is_new(context, record) {
            return Handled;
        }
        self.seen = record.version;
        self.seen_digest = Some(record.digest);
        Self::decide(context, record, Result::Seen(source));
        self.begin(context, record.clone(), source)
    }

    fn begin(
        &mut self,
        context: &mut Context<'_>,
        record: Record,
        source: Source,
    ) -> Outcome<State> {
        let mut attempt = Attempt {
            record,
            source,
            count: 0,
            due: context.now,
        };
        self.fetch(context, &mut attempt);
        Transition(State::fetching(attempt))
    }

    fn overtake(
        &mut self,
        context: &mut Context<'_>,
        attempt: &Attempt,
        record: &Record,
        source: Source,
    ) -> Outcome<State> {
        if !self.is_new(context, record) {
            return Handled;
        }
        self.overtaken = Some((attempt.record.clone(), attempt.source));
        self.start(context, record, source)
    }

    /// Asks the next source for the contents: the peer that told of the
    /// record, then others, then the object store.
    fn fetch(&mut self, context: &mut Context<'_>, attempt: &mut Attempt) {
        let digest = attempt.record.digest;
        let base = self.in_force.as_ref().map(|record| record.digest);
        let peer = match (attempt.source, attempt.count) {
            (Source::Peer(peer), 0) => Some(peer),
            (Source::Peer(_), count) if count < PEER_ATTEMPTS => self.any_peer(context),
            (_, count) if count % 2 == 1 => self.any_peer(context),
            _ => None,
        };
        context.actions.push(match peer {
            Some(peer) => Action::FetchFromPeer { digest, peer, base },
            None => Action::FetchObject { digest, base },
        });
        attempt.count += 1;
        attempt.due = context.now + self.settings.fetch_timeout;
    }

    fn any_peer(&mut self, context: &Context<'_>) -> Option<SocketAddr> {
        context.peers.choose(&mut self.random).copied()
    }

    fn retry(&mut self, context: &mut Context<'_>, attempt: &mut Attempt) -> Outcome<State> {
        if context.now >= attempt.due {
            self.fetch(context, attempt);
        }
        Handled
    }

    fn receive(
        &mut self,
        context: &mut Context<'_>,
        attempt: &mut Attempt,
        contents: Contents,
    ) -> Outcome<State> {
        if contents == Contents::Verified {
            context.actions.push(Action::Check(attempt.record.clone()));
            let due = context.now + self.settings.fetch_timeout;
            return Transition(State::checking(Attempt {
                due,
                ..attempt.clone()
            }));
        }
        Self::decide(context, &attempt.record, Result::Retried(contents));
        let factor = attempt.count.min(MAX_BACKOFF_FACTOR);
        attempt.due = context.now + self.settings.fetch_backoff * factor;
        Handled
    }

    fn conclude(
        &mut self,
        context: &mut Context<'_>,
        attempt: &Attempt,
        verdict: &Verdict,
    ) -> Outcome<State> {
        let record = attempt.record.clone();
        match verdict {
            Verdict::Accepted => self.adopt(context, record),
            Verdict::Refused { reason } => {
                Self::decide(context, &record, Result::Refused(reason.clone()));
                self.refuse(context, &record)
            }
        }
    }

    fn adopt(&mut self, context: &mut Context<'_>, record: Record) -> Outcome<State> {
        self.in_force = Some(record.clone());
        self.overtaken = None;
        Self::decide(context, &record, Result::Adopted);
        context.actions.push(Action::Adopt(record.clone()));
        context.actions.push(Action::Spread(record));
        Transition(State::idle())
    }

    /// Forgets a record that isn't valid. One that it overtook is taken up
    /// again.
    fn refuse(&mut self, context: &mut Context<'_>, record: &Record) -> Outcome<State> {
        if self.refused.len() == MAX_REFUSED {
            self.refused.shift_remove_index(0);
        }
        self.refused.insert((record.version, record.digest));
        let in_force = self.in_force.as_ref();
        self.seen = in_force.map_or(Version(0), |record| record.version);
        self.seen_digest = in_force.map(|record| record.digest);
        match self.overtaken.take() {
            Some((record, source)) => self.start(context, &record, source),
            None => Transition(State::idle()),
        }
    }
}

impl State {
    /// Returns when the record under way needs attention.
    pub(crate) fn due(&self) -> Option<Instant> {
        match self {
            State::Idle {} => None,
            State::Fetching { attempt } | State::Checking { attempt } => Some(attempt.due),
        }
    }
}
