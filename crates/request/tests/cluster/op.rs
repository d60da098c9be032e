//! Operations that proptest draws, and the outcomes of writes.

use eelgrassrock_model::table::Outcome;
use eelgrassrock_request::{Event, Grant, Unreadable};
use proptest::prelude::*;
use std::time::Duration;

use super::Cluster;

/// Operation on the cluster.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    Once {
        key: u8,
        body: bool,
        misrouted: bool,
    },
    Read {
        misrouted: bool,
    },
    Elapse {
        millis: u16,
    },
    Exchange {
        pick: u8,
        step: ExchangeStep,
    },
    Run {
        pick: u8,
    },
    Write {
        pick: u8,
        result: CommitResult,
    },
    Delayed {
        pick: u8,
    },
    Row {
        pick: u8,
        readable: bool,
    },
    Handover {
        index: u8,
    },
    SplitBrain {
        index: u8,
    },
    Crash {
        router: u8,
    },
    ChangeGrant {
        index: u8,
        grant: Grant,
    },
    Move,
    Respond {
        pick: u8,
    },
    Restart {
        index: u8,
    },
    Probe {
        index: u8,
        well: bool,
    },
    Disconnect {
        pick: u8,
    },
    Store {
        router: u8,
        up: bool,
    },
}

/// Next step of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ExchangeStep {
    /// The exchange proceeds normally by one stage.
    Advance,
    /// The exchange fails at its current stage.
    Fail,
    /// The router stops waiting for the answer.
    TimeOut,
    /// The upstream refuses the request before it began.
    Refuse { owner: bool, with_retry_after: bool },
    /// The last answer arrives again.
    Repeat,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CommitResult {
    Commit,
    /// The transaction takes effect, and its answer is lost.
    CommitUnknown,
    /// The transaction never takes effect, and its answer is lost.
    LostUnknown,
    /// The answer is lost, and the transaction takes effect later.
    LaterUnknown,
    Refuse,
}

fn step() -> impl Strategy<Value = ExchangeStep> {
    prop_oneof![
        6 => Just(ExchangeStep::Advance),
        1 => Just(ExchangeStep::Fail),
        1 => Just(ExchangeStep::TimeOut),
        1 => any::<(bool, bool)>()
            .prop_map(|(owner, with_retry_after)| ExchangeStep::Refuse { owner, with_retry_after }),
        1 => Just(ExchangeStep::Repeat),
    ]
}

fn result() -> impl Strategy<Value = CommitResult> {
    prop_oneof![
        6 => Just(CommitResult::Commit),
        1 => Just(CommitResult::CommitUnknown),
        1 => Just(CommitResult::LostUnknown),
        2 => Just(CommitResult::LaterUnknown),
        1 => Just(CommitResult::Refuse),
    ]
}

fn grant() -> impl Strategy<Value = Grant> {
    prop_oneof![
        3 => Just(Grant::Held),
        2 => Just(Grant::Lapsed),
        1 => Just(Grant::Released),
    ]
}

impl Arbitrary for Op {
    type Parameters = ();
    type Strategy = BoxedStrategy<Self>;

    fn arbitrary_with((): ()) -> Self::Strategy {
        let rarely = || prop::bool::weighted(0.1);
        prop_oneof![
            8 => (any::<u8>(), rarely(), rarely())
                .prop_map(|(key, body, misrouted)| Self::Once { key, body, misrouted }),
            2 => rarely().prop_map(|misrouted| Self::Read { misrouted }),
            3 => (0u16..400).prop_map(|millis| Self::Elapse { millis }),
            1 => (0u16..8_000).prop_map(|millis| Self::Elapse { millis }),
            12 => (any::<u8>(), step()).prop_map(|(pick, step)| Self::Exchange { pick, step }),
            6 => any::<u8>().prop_map(|pick| Self::Run { pick }),
            12 => (any::<u8>(), result()).prop_map(|(pick, result)| Self::Write { pick, result }),
            2 => any::<u8>().prop_map(|pick| Self::Delayed { pick }),
            4 => (any::<u8>(), prop::bool::weighted(0.9))
                .prop_map(|(pick, readable)| Self::Row { pick, readable }),
            1 => (0u8..2).prop_map(|index| Self::Handover { index }),
            1 => (0u8..2).prop_map(|index| Self::SplitBrain { index }),
            1 => (0u8..2).prop_map(|router| Self::Crash { router }),
            2 => (0u8..2, grant()).prop_map(|(index, grant)| Self::ChangeGrant { index, grant }),
            1 => Just(Self::Move),
            1 => any::<u8>().prop_map(|pick| Self::Respond { pick }),
            1 => (0u8..2).prop_map(|index| Self::Restart { index }),
            1 => (0u8..2, any::<bool>()).prop_map(|(index, well)| Self::Probe { index, well }),
            1 => any::<u8>().prop_map(|pick| Self::Disconnect { pick }),
            1 => (0u8..2, any::<bool>()).prop_map(|(router, up)| Self::Store { router, up }),
        ]
        .boxed()
    }
}

impl Cluster {
    pub(crate) fn write(&mut self, pick: usize, result: CommitResult) {
        if self.writes.is_empty() {
            return;
        }
        let index = pick % self.writes.len();
        let (router, generation, transaction) = self.writes.remove(index);
        let outcome = match result {
            CommitResult::Commit => self.table.apply(&transaction),
            CommitResult::CommitUnknown => {
                self.table.apply(&transaction);
                Outcome::Unknown
            }
            CommitResult::LostUnknown => Outcome::Unknown,
            CommitResult::LaterUnknown => {
                self.delayed.push(transaction.clone());
                Outcome::Unknown
            }
            CommitResult::Refuse => Outcome::NotWritten {
                retry_after: Duration::from_millis(100),
            },
        };
        if generation == self.generations[router] {
            let operation = transaction.operation;
            self.step(router, Event::Written { operation, outcome });
        }
    }

    pub(crate) fn apply_delayed(&mut self, pick: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let index = pick % self.delayed.len();
        let transaction = self.delayed.remove(index);
        self.table.apply(&transaction);
    }

    pub(crate) fn read(&mut self, pick: usize, readable: bool) {
        if self.reads.is_empty() {
            return;
        }
        let index = pick % self.reads.len();
        let (router, generation, key) = self.reads.remove(index);
        if generation != self.generations[router] {
            return;
        }
        let row = if readable {
            Ok(self.table.read(&key).cloned())
        } else {
            Err(Unreadable)
        };
        self.step(router, Event::Read { key, row });
    }
}
