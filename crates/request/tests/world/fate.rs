//! What can happen next, as drawn by proptest, and what becomes of writes.

use eelgrassrock_model::table::Outcome;
use eelgrassrock_request::{Event, Grant, Unreadable};
use proptest::prelude::*;
use std::time::Duration;

use super::World;

/// What happens next.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    Once { key: u8, body: bool, stray: bool },
    Read { stray: bool },
    Pass { millis: u16 },
    Exchange { pick: u8, late: Late },
    Run { pick: u8 },
    Write { pick: u8, fate: Fate },
    Delayed { pick: u8 },
    Row { pick: u8, readable: bool },
    Handover { index: u8 },
    Split { index: u8 },
    Crash { router: u8 },
    Lapse { index: u8, grant: Grant },
    Move,
    Respond { pick: u8 },
    Restart { index: u8 },
    Probe { index: u8, well: bool },
    Leave { pick: u8 },
    Store { router: u8, up: bool },
}

/// What becomes of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Late {
    /// It makes its next regular step.
    Advance,
    /// It fails where it stands.
    Fail,
    /// The router gives up waiting for the answer.
    TimeOut,
    /// The upstream refuses it before it began.
    Refuse { owner: bool, told_when: bool },
    /// Its last answer comes in again.
    Again,
}

/// What becomes of a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Commit,
    /// It takes effect, and the answer is lost.
    CommitUnknown,
    /// It never takes effect, and the answer is lost.
    LostUnknown,
    /// The answer is lost, and it takes effect later.
    LaterUnknown,
    Refuse,
}

fn late() -> impl Strategy<Value = Late> {
    prop_oneof![
        6 => Just(Late::Advance),
        1 => Just(Late::Fail),
        1 => Just(Late::TimeOut),
        1 => any::<(bool, bool)>().prop_map(|(owner, told_when)| Late::Refuse { owner, told_when }),
        1 => Just(Late::Again),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Commit),
        1 => Just(Fate::CommitUnknown),
        1 => Just(Fate::LostUnknown),
        2 => Just(Fate::LaterUnknown),
        1 => Just(Fate::Refuse),
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
                .prop_map(|(key, body, stray)| Self::Once { key, body, stray }),
            2 => rarely().prop_map(|stray| Self::Read { stray }),
            3 => (0u16..400).prop_map(|millis| Self::Pass { millis }),
            1 => (0u16..8_000).prop_map(|millis| Self::Pass { millis }),
            12 => (any::<u8>(), late()).prop_map(|(pick, late)| Self::Exchange { pick, late }),
            6 => any::<u8>().prop_map(|pick| Self::Run { pick }),
            12 => (any::<u8>(), fate()).prop_map(|(pick, fate)| Self::Write { pick, fate }),
            2 => any::<u8>().prop_map(|pick| Self::Delayed { pick }),
            4 => (any::<u8>(), prop::bool::weighted(0.9))
                .prop_map(|(pick, readable)| Self::Row { pick, readable }),
            1 => (0u8..2).prop_map(|index| Self::Handover { index }),
            1 => (0u8..2).prop_map(|index| Self::Split { index }),
            1 => (0u8..2).prop_map(|router| Self::Crash { router }),
            2 => (0u8..2, grant()).prop_map(|(index, grant)| Self::Lapse { index, grant }),
            1 => Just(Self::Move),
            1 => any::<u8>().prop_map(|pick| Self::Respond { pick }),
            1 => (0u8..2).prop_map(|index| Self::Restart { index }),
            1 => (0u8..2, any::<bool>()).prop_map(|(index, well)| Self::Probe { index, well }),
            1 => any::<u8>().prop_map(|pick| Self::Leave { pick }),
            1 => (0u8..2, any::<bool>()).prop_map(|(router, up)| Self::Store { router, up }),
        ]
        .boxed()
    }
}

impl World {
    pub(crate) fn write(&mut self, pick: usize, fate: Fate) {
        if self.writes.is_empty() {
            return;
        }
        let index = pick % self.writes.len();
        let (router, generation, transaction) = self.writes.remove(index);
        let outcome = match fate {
            Fate::Commit => self.table.apply(&transaction),
            Fate::CommitUnknown => {
                self.table.apply(&transaction);
                Outcome::Unknown
            }
            Fate::LostUnknown => Outcome::Unknown,
            Fate::LaterUnknown => {
                self.delayed.push(transaction.clone());
                Outcome::Unknown
            }
            Fate::Refuse => Outcome::NotWritten {
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
