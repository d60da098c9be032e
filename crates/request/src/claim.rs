//! Records of the idempotency keys that this home has to do with.

mod row;
mod writer;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::Operation;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use indexmap::IndexMap;

use crate::event::{Id, Stored};

pub(crate) use row::{Life, Row};
pub(crate) use writer::{Batch, Writer};

/// What this home knows of an idempotency key.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) body: Digest,
    pub(crate) state: State,
    /// Requests with the same key that wait for the outcome.
    pub(crate) followers: Vec<Id>,
    /// Version that the row is expected to have, zero if it is absent.
    pub(crate) expect: Version,
    /// Write of the row that is needed.
    pub(crate) intent: Option<Intent>,
    /// Whether a deletion was submitted that may still take effect.
    pub(crate) deleting: bool,
    /// Time within which a run by this home ends.
    pub(crate) within: Duration,
    operations: Vec<Operation>,
    /// Index of the first operation of the present claim.
    present: usize,
}

/// State of an idempotency key.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// The claim is being written for this request.
    Claiming(Id),
    /// The claim is held by this request, which waits or runs.
    Running(Id),
    /// Nothing has run under the claim, and no request holds it.
    Free,
    /// The run has ended, and this is its answer.
    Done(Arc<Stored>),
    /// The run may have begun, and its result isn't known.
    Unknown,
    /// Another router holds the claim; holds when that was first seen.
    Elsewhere(Instant),
}

/// Write of a row that is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// Take the claim.
    Claim,
    /// Record the outcome.
    Record,
    /// Delete the row.
    Delete,
}

/// Who wrote a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Writership {
    /// This home, for the present claim.
    Present,
    /// This home, for a claim that it gave up.
    Earlier,
    /// Another router, or a life of this one that is forgotten.
    Foreign,
}

impl Record {
    pub(crate) fn claiming(request: Id, body: Digest, expect: Version, within: Duration) -> Self {
        Self {
            body,
            state: State::Claiming(request),
            followers: Vec::new(),
            expect,
            intent: Some(Intent::Claim),
            deleting: false,
            within,
            operations: Vec::new(),
            present: 0,
        }
    }

    /// Creates the record of a row whose retention is over.
    pub(crate) fn expired(body: Digest, version: Version) -> Self {
        let mut record = Self::claiming(Id(0), body, version, Duration::ZERO);
        record.expire(version);
        record
    }

    /// Has the row deleted, since its retention is over. Whoever uses the key
    /// meanwhile claims it anew.
    pub(crate) fn expire(&mut self, version: Version) {
        self.state = State::Free;
        self.expect = version;
        self.intent = Some(Intent::Delete);
        self.deleting = true;
    }

    /// Begins a new claim by another request.
    pub(crate) fn claim_again(&mut self, request: Id) {
        self.state = State::Claiming(request);
        self.intent = Some(Intent::Claim);
        self.present = self.operations.len();
    }

    pub(crate) fn submitted(&mut self, operation: &Operation) {
        self.operations.push(operation.clone());
    }

    pub(crate) fn was_submitted(&self) -> bool {
        !self.operations.is_empty()
    }

    /// Returns whether the row is known to hold a claim of this home that no
    /// deletion can remove any more.
    pub(crate) fn is_held(&self) -> bool {
        self.expect != Version(0) && !self.deleting
    }

    pub(crate) fn writership(&self, operation: &Operation) -> Writership {
        let position = self.operations.iter().rposition(|other| other == operation);
        match position {
            Some(index) if index >= self.present => Writership::Present,
            Some(_) => Writership::Earlier,
            None => Writership::Foreign,
        }
    }

    /// Returns whether the record can be rebuilt from the table.
    fn is_evictable(&self) -> bool {
        let ended = match self.state {
            State::Claiming(_) | State::Running(_) => false,
            State::Free | State::Done(_) | State::Unknown | State::Elsewhere(_) => true,
        };
        ended && self.intent.is_none() && self.followers.is_empty()
    }
}

/// All records of one home, bounded in number and in bytes of answers.
#[derive(Debug)]
pub(crate) struct Ledger {
    records: IndexMap<Arc<str>, Record>,
    idle: VecDeque<Arc<str>>,
    contents: VecDeque<(Arc<str>, usize)>,
    content_bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl Ledger {
    pub(crate) fn new(max_records: usize, max_bytes: usize) -> Self {
        Self {
            records: IndexMap::new(),
            idle: VecDeque::new(),
            contents: VecDeque::new(),
            content_bytes: 0,
            max_records,
            max_bytes,
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &str) -> Option<&mut Record> {
        self.records.get_mut(key)
    }

    pub(crate) fn insert(&mut self, key: Arc<str>, record: Record) {
        self.records.insert(key, record);
        self.evict();
    }

    pub(crate) fn remove(&mut self, key: &str) -> Option<Record> {
        self.records.swap_remove(key)
    }

    /// Notes that a record may be evicted from now on.
    pub(crate) fn release(&mut self, key: &Arc<str>) {
        self.idle.push_back(key.clone());
        self.evict();
    }

    /// Keeps an answer for repeats, dropping the oldest contents if need be.
    pub(crate) fn keep(&mut self, key: &Arc<str>, stored: &Stored) {
        let bytes = stored.content.as_ref().map_or(0, |content| content.len());
        self.contents.push_back((key.clone(), bytes));
        self.content_bytes += bytes;
        while self.content_bytes > self.max_bytes {
            let Some((oldest, bytes)) = self.contents.pop_front() else {
                return;
            };
            self.content_bytes -= bytes;
            self.drop_content(&oldest);
        }
    }

    fn drop_content(&mut self, key: &str) {
        if let Some(record) = self.records.get_mut(key)
            && let State::Done(stored) = &record.state
        {
            let status = stored.status;
            let content = None;
            record.state = State::Done(Arc::new(Stored { status, content }));
        }
    }

    fn evict(&mut self) {
        while self.records.len() > self.max_records {
            let Some(key) = self.idle.pop_front() else {
                return;
            };
            if self.records.get(&key).is_some_and(Record::is_evictable) {
                self.records.swap_remove(&key);
            }
        }
        while self.idle.len() > 2 * self.max_records {
            self.idle.pop_front();
        }
    }
}
