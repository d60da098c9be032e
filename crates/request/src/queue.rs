//! Weighted fair queue of one upstream.
//!
//! Start-time fair queueing between partners: each partner has a virtual start
//! time that grows by its mean service time divided by its weight with each
//! request, and the partner with the lowest start time is served first. A
//! partner that was idle keeps a bounded credit of the share that it left
//! unused, so that its bursts aren't held up by a partner that always has
//! requests waiting. Within a partner the earliest deadline goes first.

use std::collections::{BTreeSet, VecDeque};

use eelgrassrock_model::Partner;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use crate::budget::Budget;
use crate::estimate::Estimate;
use crate::event::Id;

const SCALE: u64 = 1 << 10;
const CREDIT_REQUESTS: u32 = 2;

/// Request in the queue. The order is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    pub(crate) deadline: Instant,
    pub(crate) request: Id,
}

/// Requests of one partner.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) weight: u32,
    pub(crate) entries: VecDeque<Entry>,
    pub(crate) bytes: u64,
    pub(crate) busy: u32,
    /// Requests that wait for their claims and come into the queue after that.
    pub(crate) claiming: usize,
    pub(crate) budget: Budget,
    pub(crate) service: Estimate,
    start: u64,
}

impl Flow {
    /// Returns the virtual time that `requests` take.
    fn cost(&self, requests: u32) -> u64 {
        let span = self.service.mean() * requests;
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(SCALE) / u64::from(self.weight.max(1))
    }
}

/// What a partner starts with that is seen for the first time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fresh {
    pub(crate) retry_share: f64,
    pub(crate) service: Estimate,
}

/// Queue of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: IndexMap<Partner, Flow>,
    ready: BTreeSet<(u64, Partner)>,
    ready_weight: u64,
    now: u64,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn flows(&self) -> impl Iterator<Item = (&Partner, &Flow)> {
        self.flows.iter()
    }

    /// Adds the partner, or changes its weight.
    pub(crate) fn set_weight(&mut self, partner: &Partner, weight: u32, fresh: Fresh) {
        if let Some(flow) = self.flows.get_mut(partner) {
            if !flow.entries.is_empty() {
                self.ready_weight -= u64::from(flow.weight);
                self.ready_weight += u64::from(weight);
            }
            flow.weight = weight;
            return;
        }
        let flow = Flow {
            weight,
            entries: VecDeque::new(),
            bytes: 0,
            busy: 0,
            claiming: 0,
            budget: Budget::new(fresh.retry_share),
            service: fresh.service,
            start: self.now,
        };
        self.flows.insert(partner.clone(), flow);
    }

    pub(crate) fn flow(&self, partner: &Partner) -> Option<&Flow> {
        self.flows.get(partner)
    }

    pub(crate) fn flow_mut(&mut self, partner: &Partner) -> Option<&mut Flow> {
        self.flows.get_mut(partner)
    }

    /// Adds a request of a partner that is known.
    pub(crate) fn push(&mut self, partner: &Partner, entry: Entry, bytes: u32) {
        let flow = self.flows.get_mut(partner).expect("the partner is known");
        if flow.entries.is_empty() {
            let credit = flow.cost(CREDIT_REQUESTS);
            flow.start = flow.start.max(self.now.saturating_sub(credit));
            self.ready.insert((flow.start, partner.clone()));
            self.ready_weight += u64::from(flow.weight);
        }
        let rank = flow.entries.partition_point(|other| *other < entry);
        flow.entries.insert(rank, entry);
        flow.bytes += u64::from(bytes);
        self.len += 1;
    }

    /// Takes the next request out and charges its partner.
    pub(crate) fn pop(&mut self) -> Option<(Partner, Entry)> {
        let (start, partner) = self.ready.pop_first()?;
        let flow = self.flows.get_mut(&partner).expect("the partner is known");
        let entry = flow.entries.pop_front().expect("a ready flow has entries");
        self.now = self.now.max(start);
        flow.start = flow.start.saturating_add(flow.cost(1));
        self.len -= 1;
        if flow.entries.is_empty() {
            self.ready_weight -= u64::from(flow.weight);
        } else {
            self.ready.insert((flow.start, partner.clone()));
        }
        Some((partner, entry))
    }

    /// Takes a request out that isn't to be served.
    pub(crate) fn remove(&mut self, partner: &Partner, entry: Entry) -> bool {
        let Some(flow) = self.flows.get_mut(partner) else {
            return false;
        };
        let Ok(rank) = flow.entries.binary_search(&entry) else {
            return false;
        };
        flow.entries.remove(rank);
        self.len -= 1;
        if flow.entries.is_empty() {
            self.ready.remove(&(flow.start, partner.clone()));
            self.ready_weight -= u64::from(flow.weight);
        }
        true
    }

    /// Returns how many service times pass, at one slot, before a request of
    /// `partner` with this deadline starts.
    pub(crate) fn ahead(&self, partner: &Partner, entry: Entry) -> f64 {
        let Some(flow) = self.flows.get(partner) else {
            return self.len as f64;
        };
        let before = flow.entries.partition_point(|other| *other < entry);
        let rank = (before + flow.claiming) as f64;
        let weight = f64::from(flow.weight.max(1));
        let others = if flow.entries.is_empty() {
            self.ready_weight as f64
        } else {
            self.ready_weight as f64 - weight
        };
        let by_share = rank * (weight + others) / weight;
        let all = (self.len - flow.entries.len()) as f64 + rank;
        by_share.min(all)
    }
}

impl Flow {
    pub(crate) fn snapshot(&self) -> crate::snapshot::Flow {
        crate::snapshot::Flow {
            queued: self.entries.len(),
            bytes: self.bytes,
            busy: self.busy,
            retries: self.budget.balance(),
        }
    }
}
