//! Rumours that wait to be passed on.

use std::time::Duration;

use eelgrassrock_model::Router;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use super::{Rumour, Settings};

/// How often a rumour is sent, in addition to the binary logarithm of the
/// number of known routers.
const EXTRA_REPEATS: u32 = 2;
/// Time whose share of bytes may be sent at once.
const BURST: Duration = Duration::from_secs(60);
/// Part of the credit that is kept back for urgent rumours.
const RESERVE: usize = 2;

/// How soon a rumour has to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// A router died, is suspected, left, or refutes.
    High,
    /// A router is new.
    Low,
}

#[derive(Debug)]
struct Item {
    rumour: Rumour,
    urgency: Urgency,
    sent: u32,
}

/// Rumours by the router that they are about, and the bytes that may be spent
/// on them.
#[derive(Debug)]
pub(crate) struct Queue {
    items: IndexMap<Router, Item>,
    most_per_datagram: usize,
    bytes_per_second: usize,
    credit: usize,
    filled: Option<Instant>,
}

impl Queue {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            items: IndexMap::new(),
            most_per_datagram: settings.rumour_bytes,
            bytes_per_second: settings.rumour_bytes_per_second,
            credit: 0,
            filled: None,
        }
    }

    /// Queues a rumour in place of an older one about the same router.
    pub(crate) fn push(&mut self, rumour: Rumour, urgency: Urgency) {
        let item = Item {
            urgency,
            sent: 0,
            rumour,
        };
        self.items.insert(item.rumour.member.router.clone(), item);
    }

    /// Returns whether rumours may be sent out of turn.
    pub(crate) fn has_spare(&mut self, now: Instant) -> bool {
        self.fill(now);
        !self.items.is_empty() && self.credit > self.reserve() / 2
    }

    /// Takes the rumours for one datagram, the urgent and the least often sent
    /// first. `members` is the number of known routers.
    pub(crate) fn take(&mut self, now: Instant, members: usize) -> Vec<Rumour> {
        self.fill(now);
        if self.items.is_empty() {
            return Vec::new();
        }
        let repeats = EXTRA_REPEATS + (members + 2).ilog2();
        let mut room = self.most_per_datagram.min(self.credit);
        let reserve = self.reserve();
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|&index| (self.items[index].urgency, self.items[index].sent));
        let mut taken = Vec::new();
        for index in order {
            let item = &mut self.items[index];
            let size = item.rumour.size();
            let spare = item.urgency == Urgency::High || self.credit >= reserve + size;
            if size > room || !spare {
                break;
            }
            room -= size;
            self.credit -= size;
            item.sent += 1;
            taken.push(item.rumour.clone());
        }
        self.items.retain(|_, item| item.sent < repeats);
        taken
    }

    fn most(&self) -> usize {
        self.bytes_per_second * BURST.as_secs() as usize
    }

    fn reserve(&self) -> usize {
        self.most() / RESERVE
    }

    fn fill(&mut self, now: Instant) {
        let most = self.most();
        let passed = self.filled.map_or(BURST, |filled| now - filled);
        let earned = self.bytes_per_second as u128 * passed.as_micros() / 1_000_000;
        if earned > 0 {
            self.filled = Some(now);
            let earned = usize::try_from(earned).unwrap_or(most);
            self.credit = self.credit.saturating_add(earned).min(most);
        }
    }
}
