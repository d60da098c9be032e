//! Weighted fair queue of one upstream.
//!
//! Partners share an upstream by start-time fair queueing. Each request advances the
//! virtual start time of its partner by the mean service time divided by the weight, and
//! the partner with the lowest start time is served first. An idle partner keeps a limited
//! credit for its unused share, so that its bursts aren't delayed by a partner that always
//! has requests waiting.
//!
//! Within a partner, the request with the earliest deadline is served first. If a shard
//! asks for more than one slot can serve, its deadlines are postponed by the excess, so
//! that a hot key doesn't starve the others.

use std::collections::{BTreeSet, HashMap, VecDeque};

use eelgrassrock_model::Partner;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use crate::budget::Budget;
use crate::estimate::Estimate;
use crate::event::{Arrival, Id};

const VIRTUAL_TIME_SCALE: u64 = 1 << 10;
const IDLE_CREDIT_REQUESTS: u32 = 2;
/// Longest postponement of the deadlines of a shard, in service times.
const MAX_EXCESS_REQUESTS: u32 = 64;
/// Number of tracked shards above which those without an excess are removed.
const SHARD_PRUNE_THRESHOLD: usize = 256;

/// Request in the queue. The order of entries is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    /// Deadline, postponed by the excess of the shard.
    pub(crate) effective_deadline: Instant,
    pub(crate) request: Id,
}

/// Requests of one partner.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) weight: u32,
    pub(crate) entries: VecDeque<Entry>,
    pub(crate) bytes: u64,
    pub(crate) busy: u32,
    /// Number of requests that wait for their claims before they are queued.
    pub(crate) claiming: usize,
    pub(crate) budget: Budget,
    pub(crate) service: Estimate,
    virtual_start: u64,
    /// Time until which each shard uses up one slot.
    busy_until: HashMap<Shard, Instant>,
}

impl Flow {
    /// Returns the queue entry for a request of `shard` that arrives now.
    pub(crate) fn entry(&self, now: Instant, shard: Shard, deadline: Instant, id: Id) -> Entry {
        let busy_until = self.busy_until.get(&shard).copied().unwrap_or_default();
        let excess = busy_until - now;
        Entry {
            effective_deadline: deadline + excess,
            request: id,
        }
    }

    /// Charges the service time of a request to its shard.
    fn charge_shard(&mut self, now: Instant, shard: Shard) {
        if self.busy_until.len() > SHARD_PRUNE_THRESHOLD {
            self.busy_until.retain(|_, until| *until > now);
        }
        let service_time = self.service.mean();
        let limit = now + service_time * MAX_EXCESS_REQUESTS;
        let until = self.busy_until.entry(shard).or_default();
        let used = ((*until).max(now) + service_time).min(limit);
        *until = used.max(*until);
    }

    /// Returns the virtual time that `requests` take.
    fn cost(&self, requests: u32) -> u64 {
        let span = self.service.mean() * requests;
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(self.weight.max(1))
    }
}

/// Initial values for a partner that is seen for the first time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowDefaults {
    pub(crate) retry_budget_ratio: f64,
    pub(crate) service: Estimate,
}

/// Queue of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: IndexMap<Partner, Flow>,
    ready: BTreeSet<(u64, Partner)>,
    ready_weight: u64,
    virtual_now: u64,
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
    pub(crate) fn set_weight(&mut self, partner: &Partner, weight: u32, defaults: FlowDefaults) {
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
            budget: Budget::new(defaults.retry_budget_ratio),
            service: defaults.service,
            virtual_start: self.virtual_now,
            busy_until: HashMap::new(),
        };
        self.flows.insert(partner.clone(), flow);
    }

    pub(crate) fn flow(&self, partner: &Partner) -> Option<&Flow> {
        self.flows.get(partner)
    }

    pub(crate) fn flow_mut(&mut self, partner: &Partner) -> Option<&mut Flow> {
        self.flows.get_mut(partner)
    }

    /// Adds a request of a known partner and returns its entry.
    pub(crate) fn push(&mut self, now: Instant, arrival: &Arrival) -> Entry {
        let partner = &arrival.partner;
        let flow = self.flows.get_mut(partner).expect("the partner is known");
        let entry = flow.entry(now, arrival.shard, arrival.deadline, arrival.request);
        flow.charge_shard(now, arrival.shard);
        if flow.entries.is_empty() {
            let credit = flow.cost(IDLE_CREDIT_REQUESTS);
            flow.virtual_start = flow
                .virtual_start
                .max(self.virtual_now.saturating_sub(credit));
            self.ready.insert((flow.virtual_start, partner.clone()));
            self.ready_weight += u64::from(flow.weight);
        }
        let rank = flow.entries.partition_point(|other| *other < entry);
        flow.entries.insert(rank, entry);
        flow.bytes += u64::from(arrival.bytes);
        self.len += 1;
        entry
    }

    /// Removes the next request and charges its partner.
    pub(crate) fn pop(&mut self) -> Option<(Partner, Entry)> {
        let (virtual_start, partner) = self.ready.pop_first()?;
        let flow = self.flows.get_mut(&partner).expect("the partner is known");
        let entry = flow.entries.pop_front().expect("a ready flow has entries");
        self.virtual_now = self.virtual_now.max(virtual_start);
        flow.virtual_start = flow.virtual_start.saturating_add(flow.cost(1));
        self.len -= 1;
        if flow.entries.is_empty() {
            self.ready_weight -= u64::from(flow.weight);
        } else {
            self.ready.insert((flow.virtual_start, partner.clone()));
        }
        Some((partner, entry))
    }

    /// Removes a request that won't be served. Returns whether it was queued.
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
            self.ready.remove(&(flow.virtual_start, partner.clone()));
            self.ready_weight -= u64::from(flow.weight);
        }
        true
    }

    /// Returns how many service times pass, with one slot, before this arrival starts.
    pub(crate) fn requests_ahead(&self, now: Instant, arrival: &Arrival) -> f64 {
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
