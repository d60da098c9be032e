//! How tight a service is for which several kinds of requests compete, and which kinds are refused.
//!
//! The load answered: a burst of a less urgent kind at a service that is nearly full. Less urgent
//! requests take only free slots, so that more urgent ones don't queue behind them at an upstream.
//! They wait at the routers, and if the wait grows too long for their callers, a share of the new
//! ones is refused on arrival.

mod rank;

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use self::rank::Rank;
pub(crate) use self::rank::{is_promoted, phase};

/// Pressure from which a service is tight, and below which it is relaxed again after `RELAX_TIME`.
/// During a burst, a router with few callers may have an empty queue for a second.
const TIGHT: f64 = 0.25;
const RELAXED: f64 = 0.1;
const RELAX_TIME: Duration = Duration::from_secs(2);

/// Change between tight and relaxed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Whether the service is tight now.
    pub is_tight: bool,
    /// Longest wait for a slot, as a share of the time to the target.
    pub pressure: f64,
}

/// Pressure on one service, as one router sees it.
#[derive(Debug, Default)]
pub(crate) struct Pressure {
    /// The most urgent first.
    ranks: Vec<Rank>,
    is_tight: bool,
    /// Last time at which a tight service wasn't relaxed.
    pressed_at: Option<Instant>,
    change: Option<Change>,
}

impl Pressure {
    /// Sets the priorities of the kinds of requests. `phase` differs between routers.
    pub(crate) fn set_priorities(&mut self, priorities: &[u8], phase: f64) {
        let mut priorities = priorities.to_vec();
        priorities.sort_unstable();
        priorities.dedup();
        let known = self.ranks.iter().map(Rank::priority);
        if !known.eq(priorities.iter().copied()) {
            let ranks = priorities.into_iter();
            self.ranks = ranks.map(|priority| Rank::new(priority, phase)).collect();
        }
    }

    /// Whether kinds of different urgency compete.
    pub(crate) fn is_contended(&self) -> bool {
        self.ranks.len() > 1
    }

    /// Returns the highest priority, if a request of another one has to give way to it.
    pub(crate) fn yields_to(&self, priority: u8) -> Option<u8> {
        let first = self.ranks.first()?.priority();
        let is_ranked = self.is_contended() && self.index(priority).is_some();
        (is_ranked && priority != first).then_some(first)
    }

    /// Counts a request that has arrived.
    pub(crate) fn count(&mut self, priority: u8) {
        if let Some(index) = self.index(priority) {
            rank::count(&mut self.ranks, index);
        }
    }

    /// Returns the share of the requests that are more urgent than those of this priority.
    pub(crate) fn share_above(&self, priority: u8) -> f64 {
        let index = self.index(priority);
        index.map_or(0.0, |index| rank::share_above(&self.ranks, index))
    }

    /// Whether a request of this priority is admitted under a pressure.
    pub(crate) fn admits(&mut self, priority: u8, pressure: f64) -> bool {
        let index = self.index(priority).filter(|index| *index > 0);
        index.is_none_or(|index| self.ranks[index].admits(rank::share(pressure)))
    }

    /// Whether a request of this priority is within the share that an overloaded holder can serve of
    /// all. `None` if no kinds compete.
    pub(crate) fn admits_at_holder(&mut self, priority: u8, share: f64) -> Option<bool> {
        let index = self.index(priority).filter(|_| self.is_contended())?;
        rank::count_at_holder(&mut self.ranks, index);
        let share = rank::split(&self.ranks, index, share);
        Some(self.ranks[index].admits_at_holder(share))
    }

    /// Returns a share of the time in which refused callers of a priority are asked back. The shares
    /// of callers that are refused one after the other are spread evenly.
    pub(crate) fn return_share(&mut self, priority: u8) -> f64 {
        let index = self.index(priority);
        index.map_or(0.0, |index| self.ranks[index].return_share())
    }

    /// Notes whether the service is tight.
    pub(crate) fn note(&mut self, pressure: f64, now: Instant) {
        let threshold = if self.is_tight { RELAXED } else { TIGHT };
        if pressure >= threshold {
            self.pressed_at = Some(now);
        }
        let is_tight = self.pressed_at.is_some_and(|at| now - at < RELAX_TIME);
        if is_tight != self.is_tight {
            self.is_tight = is_tight;
            self.change = Some(Change { is_tight, pressure });
        }
    }

    pub(crate) fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    fn index(&self, priority: u8) -> Option<usize> {
        let mut ranks = self.ranks.iter();
        ranks.position(|rank| rank.priority() == priority)
    }
}
