//! Queue of rumours to spread by gossip, with a rate limit.

use std::time::Duration;

use eelgrassrock_model::Router;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use super::{Rumour, Settings};

/// Number of times a rumour is sent, in addition to the binary logarithm of the
/// number of known routers.
const EXTRA_REPEATS: u32 = 2;
/// Time over which unused credit accumulates, at most.
const BURST_WINDOW: Duration = Duration::from_secs(60);
/// Divisor of the maximum credit that gives the credit reserved for urgent
/// rumours.
const RESERVE_DIVISOR: usize = 2;

/// Priority of a rumour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// A router is dead, is suspected, leaves, or refutes a rumour about itself.
    High,
    /// A router is new, or has a new incarnation.
    Low,
}

#[derive(Debug)]
struct Item {
    rumour: Rumour,
    urgency: Urgency,
    sent: u32,
}

/// Rumours by the router that they are about, and a token bucket that limits the
/// bytes spent on them.
#[derive(Debug)]
pub(crate) struct Queue {
    items: IndexMap<Router, Item>,
    max_datagram_bytes: usize,
    bytes_per_second: usize,
    /// Bytes that may be spent now.
    credit: usize,
    last_refill: Option<Instant>,
}

impl Queue {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            items: IndexMap::new(),
            max_datagram_bytes: settings.rumour_bytes,
            bytes_per_second: settings.rumour_bytes_per_second,
            credit: 0,
            last_refill: None,
        }
    }

    /// Queues a rumour. It replaces an older one about the same router.
    pub(crate) fn push(&mut self, rumour: Rumour, urgency: Urgency) {
        let item = Item {
            urgency,
            sent: 0,
            rumour,
        };
        self.items.insert(item.rumour.member.router.clone(), item);
    }

    /// Returns whether there are rumours and enough credit to send them without
    /// waiting for the next ping.
    pub(crate) fn has_spare_credit(&mut self, now: Instant) -> bool {
        self.refill(now);
        !self.items.is_empty() && self.credit > self.reserve() / 2
    }

    /// Returns the rumours for one datagram, urgent ones first and among these the
    /// least often sent ones. `members` is the number of known routers.
    pub(crate) fn take(&mut self, now: Instant, members: usize) -> Vec<Rumour> {
        self.refill(now);
        if self.items.is_empty() {
            return Vec::new();
        }
        let repeats = EXTRA_REPEATS + (members + 2).ilog2();
        let mut remaining = self.max_datagram_bytes.min(self.credit);
        let reserve = self.reserve();
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|&index| (self.items[index].urgency, self.items[index].sent));
        let mut taken = Vec::new();
        for index in order {
            let item = &mut self.items[index];
            let size = item.rumour.size();
            let is_affordable = item.urgency == Urgency::High || self.credit >= reserve + size;
            if size > remaining || !is_affordable {
                break;
            }
            remaining -= size;
            self.credit -= size;
            item.sent += 1;
            taken.push(item.rumour.clone());
        }
        self.items.retain(|_, item| item.sent < repeats);
        taken
    }

    fn max_credit(&self) -> usize {
        self.bytes_per_second * BURST_WINDOW.as_secs() as usize
    }

    fn reserve(&self) -> usize {
        self.max_credit() / RESERVE_DIVISOR
    }

    fn refill(&mut self, now: Instant) {
        let max_credit = self.max_credit();
        let elapsed = self
            .last_refill
            .map_or(BURST_WINDOW, |last_refill| now - last_refill);
        let earned = self.bytes_per_second as u128 * elapsed.as_micros() / 1_000_000;
        if earned > 0 {
            self.last_refill = Some(now);
            let earned = usize::try_from(earned).unwrap_or(max_credit);
            self.credit = self.credit.saturating_add(earned).min(max_credit);
        }
    }
}
