//! Weighted fair queue of one upstream.
//!
//! Start-time fair queueing between partners: each partner has a virtual start
//! time that grows by its mean service time divided by its weight with each
//! request, and the partner with the lowest start time is served first. A
//! partner that was idle keeps a bounded credit of the share that it left
//! unused, so that its bursts aren't held up by a partner that always has
//! requests waiting. Within a partner the earliest deadline goes first, where a shard that asks for more than one slot
//! can serve is put behind by its excess, so that a hot key doesn't starve others.

use std::collections::{BTreeSet, HashMap, VecDeque};

use eelgrassrock_model::Partner;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use crate::budget::Budget;
use crate::estimate::Estimate;
use crate::event::{Arrival, Id};

const SCALE: u64 = 1 << 10;
const CREDIT_REQUESTS: u32 = 2;
/// Most service times by which a shard is put behind others.
const MAX_EXCESS_REQUESTS: u32 = 64;
/// Number of shards with an excess above which those without are dropped.
const MAX_EXCESSES: usize = 256;

/// Request in the queue. The order is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    /// Deadline, put off by the excess of the shard.
    pub(crate) due: Instant,
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
    /// Times until which shards have used up one slot.
    used_until: HashMap<Shard, Instant>,
}

impl Flow {
    /// Returns the place in the queue of a request of `shard` that comes in now.
    pub(crate) fn entry(&self, now: Instant, shard: Shard, deadline: Instant, id: Id) -> Entry {
        let used_until = self.used_until.get(&shard).copied().unwrap_or_default();
        let excess = used_until - now;
        Entry {
            due: deadline + excess,
            request: id,
        }
    }

    /// Counts a request against its shard.
    fn use_shard(&mut self, now: Instant, shard: Shard) {
        if self.used_until.len() > MAX_EXCESSES {
            self.used_until.retain(|_, until| *until > now);
        }
        let service_time = self.service.mean();
        let limit = now + service_time * MAX_EXCESS_REQUESTS;
        let until = self.used_until.entry(shard).or_default();
        let used = ((*until).max(now) + service_time).min(limit);
        *until = used.max(*until);
    }

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
            used_until: HashMap::new(),
        };
        self.flows.insert(partner.clone(), flow);
    }

    pub(crate) fn flow(&self, partner: &Partner) -> Option<&Flow> {
        self.flows.get(partner)
    }

    pub(crate) fn flow_mut(&mut self, partner: &Partner) -> Option<&mut Flow> {
        self.flows.get_mut(partner)
    }

    /// Adds a request of a partner that is known, and returns its place.
    pub(crate) fn push(&mut self, now: Instant, arrival: &Arrival) -> Entry {
        let partner = &arrival.partner;
        let flow = self.flows.get_mut(partner).expect("the partner is known");
        let entry = flow.entry(now, arrival.shard, arrival.deadline, arrival.request);
        flow.use_shard(now, arrival.shard);
        if flow.entries.is_empty() {
            let credit = flow.cost(CREDIT_REQUESTS);
            flow.start = flow.start.max(self.now.saturating_sub(credit));
            self.ready.insert((flow.start, partner.clone()));
            self.ready_weight += u64::from(flow.weight);
        }
        let rank = flow.entries.partition_point(|other| *other < entry);
        flow.entries.insert(rank, entry);
        flow.bytes += u64::from(arrival.bytes);
        self.len += 1;
        entry
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

    /// Returns how many service times pass, at one slot, before
    /// this arrival starts.
    pub(crate) fn ahead(&self, now: Instant, arrival: &Arrival) -> f64 {
        let Some(flow) = self.flows.get(&arrival.partner) else {
            return self.len as f64;
        };
        let last = Id(u64::MAX);
        let entry = flow.entry(now, arrival.shard, arrival.deadline, last);
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
