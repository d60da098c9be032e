//! Rumours that wait to be passed on.

use std::time::Duration;

use eelgrassrock_model::Router;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use super::{Rumour, Settings};

/// How often a rumour is sent, times the binary logarithm of the fleet's size.
const REPEATS_PER_LOG: u32 = 2;
/// Time whose share of bytes may be sent at once.
const BURST: Duration = Duration::from_secs(4);

/// Rumours by the router that they are about, and the bytes that may be spent
/// on them.
#[derive(Debug)]
pub(crate) struct Queue {
    rumours: IndexMap<Router, (Rumour, u32)>,
    most_per_datagram: usize,
    bytes_per_second: usize,
    credit: usize,
    filled: Option<Instant>,
}

impl Queue {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            rumours: IndexMap::new(),
            most_per_datagram: settings.rumour_bytes,
            bytes_per_second: settings.rumour_bytes_per_second,
            credit: 0,
            filled: None,
        }
    }

    /// Queues a rumour in place of an older one about the same router.
    pub(crate) fn push(&mut self, rumour: Rumour) {
        self.rumours
            .insert(rumour.member.router.clone(), (rumour, 0));
    }

    /// Takes the rumours for one datagram, the least often sent first.
    /// `members` is the number of known routers.
    pub(crate) fn take(&mut self, now: Instant, members: usize) -> Vec<Rumour> {
        self.fill(now);
        if self.rumours.is_empty() {
            return Vec::new();
        }
        let repeats = REPEATS_PER_LOG * (members + 2).ilog2().max(1);
        let mut room = self.most_per_datagram.min(self.credit);
        let mut order: Vec<usize> = (0..self.rumours.len()).collect();
        order.sort_by_key(|&index| self.rumours[index].1);
        let mut taken = Vec::new();
        for index in order {
            let (rumour, sent) = &mut self.rumours[index];
            let size = rumour.size();
            if size > room {
                break;
            }
            room -= size;
            self.credit -= size;
            *sent += 1;
            taken.push(rumour.clone());
        }
        self.rumours.retain(|_, (_, sent)| *sent < repeats);
        taken
    }

    fn fill(&mut self, now: Instant) {
        let passed = self.filled.map_or(BURST, |filled| now - filled);
        self.filled = Some(now);
        let most = self.bytes_per_second * BURST.as_secs() as usize;
        let earned = self.bytes_per_second as u128 * passed.as_micros() / 1_000_000;
        let earned = usize::try_from(earned).unwrap_or(most);
        self.credit = self.credit.saturating_add(earned).min(most);
    }
}
