//! Records of the idempotency keys that this home handles.

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

pub(crate) use row::{Row, RunState};
pub(crate) use writer::{Batch, Writer};

/// Record of one idempotency key.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) body: Digest,
    pub(crate) state: State,
    /// Requests with the same key that wait for the outcome.
    pub(crate) followers: Vec<Id>,
    /// Version that the row is expected to have, zero if the row is expected to be absent.
    pub(crate) expected_version: Version,
    /// Write that the row still needs.
    pub(crate) intent: Option<Intent>,
    /// Whether a deletion of the row is pending or may still take effect.
    pub(crate) is_deleting: bool,
    /// Longest time that a run takes, from when its claim was taken.
    pub(crate) within: Duration,
    operations: Vec<Operation>,
    /// Index of the first operation of the current claim in `operations`.
    claim_start: usize,
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
    /// The run ended with this answer.
    Done(Arc<Stored>),
    /// The run may have begun, and its outcome isn't known.
    Unknown,
    /// Another router holds the claim. Holds the time at which this home first saw it.
    Foreign(Instant),
}

/// Kind of write that a row needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// Take the claim.
    Claim,
    /// Record the outcome.
    Record,
    /// Delete the row.
    Delete,
}

/// Origin of the contents of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowOrigin {
    /// Written by this home for the current claim.
    CurrentClaim,
    /// Written by this home for a claim that it gave up.
    PreviousClaim,
    /// Written by another router, or by an earlier incarnation of this one.
    Foreign,
}

impl Record {
    pub(crate) fn claiming(
        request: Id,
        body: Digest,
        expected_version: Version,
        within: Duration,
    ) -> Self {
        Self {
            body,
            state: State::Claiming(request),
            followers: Vec::new(),
            expected_version,
            intent: Some(Intent::Claim),
            is_deleting: false,
            within,
            operations: Vec::new(),
            claim_start: 0,
        }
    }

    /// Creates the record of a row whose retention has ended.
    pub(crate) fn expired(body: Digest, version: Version) -> Self {
        let mut record = Self::claiming(Id(0), body, version, Duration::ZERO);
        record.expire(version);
        record
    }

    /// Marks the row for deletion because its retention has ended. A request that uses the
    /// key before the deletion takes a new claim.
    pub(crate) fn expire(&mut self, version: Version) {
        self.state = State::Free;
        self.expected_version = version;
        self.intent = Some(Intent::Delete);
        self.is_deleting = true;
    }

    /// Starts a new claim for another request.
    pub(crate) fn claim_again(&mut self, request: Id) {
        self.state = State::Claiming(request);
        self.intent = Some(Intent::Claim);
        self.claim_start = self.operations.len();
    }

    pub(crate) fn submitted(&mut self, operation: &Operation) {
        self.operations.push(operation.clone());
    }

    pub(crate) fn was_submitted(&self) -> bool {
        !self.operations.is_empty()
    }

    /// Returns whether the row is known to hold a claim of this home that no pending
    /// deletion can remove.
    pub(crate) fn is_held(&self) -> bool {
        self.expected_version != Version(0) && !self.is_deleting
    }

    pub(crate) fn origin(&self, operation: &Operation) -> RowOrigin {
        let position = self.operations.iter().rposition(|other| other == operation);
        match position {
            Some(index) if index >= self.claim_start => RowOrigin::CurrentClaim,
            Some(_) => RowOrigin::PreviousClaim,
            None => RowOrigin::Foreign,
        }
    }

    /// Returns whether the record can be rebuilt from the table.
    fn is_evictable(&self) -> bool {
        let ended = match self.state {
            State::Claiming(_) | State::Running(_) => false,
            State::Free | State::Done(_) | State::Unknown | State::Foreign(_) => true,
        };
        ended && self.intent.is_none() && self.followers.is_empty()
    }
}

/// All records of one home, limited in number and in bytes of stored answers.
#[derive(Debug)]
pub(crate) struct Records {
    records: IndexMap<Arc<str>, Record>,
    idle: VecDeque<Arc<str>>,
    contents: VecDeque<(Arc<str>, usize)>,
    content_bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl Records {
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

    /// Marks a record as a candidate for eviction.
    pub(crate) fn mark_idle(&mut self, key: &Arc<str>) {
        self.idle.push_back(key.clone());
        self.evict();
    }

    /// Stores an answer for repeats, and drops the oldest contents if the byte limit is
    /// exceeded.
    pub(crate) fn keep_answer(&mut self, key: &Arc<str>, stored: &Stored) {
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
