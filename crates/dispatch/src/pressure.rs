//! How tight a service is for which several kinds of requests compete, and which kinds are refused.
//!
//! The load answered: a burst of a less urgent kind at a service that is nearly full. Less urgent
//! requests take only free slots, so that more urgent ones don't queue behind them at an upstream.
//! They wait at the routers, and if the wait grows too long for their callers, a share of the new
//! ones is refused on arrival. Routers tell each other how long requests wait, and act on the mean.

mod rank;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

use self::rank::Rank;
pub(crate) use self::rank::{is_promoted, phase};

/// Age at which the figure of another router is dropped. It is repeated several times within it.
const MAX_AGE: Duration = Duration::from_millis(600);
/// Pressure from which a service is tight, and below which it is relaxed again.
const TIGHT: f64 = 0.25;
const RELAXED: f64 = 0.1;

/// Change between tight and relaxed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Whether the service is tight now.
    pub is_tight: bool,
    /// Longest wait of a request, as a share of the time to its target.
    pub pressure: f64,
}

/// Pressure on one service, as one router sees it.
#[derive(Debug, Default)]
pub(crate) struct Pressure {
    /// The most urgent first.
    ranks: Vec<Rank>,
    peers: IndexMap<Arc<str>, (f64, Instant)>,
    is_tight: bool,
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

    pub(crate) fn record_peer(&mut self, router: &Arc<str>, pressure: f64, now: Instant) {
        if self.is_contended() && (0.0..=1e3).contains(&pressure) {
            self.peers.insert(Arc::clone(router), (pressure, now));
        }
    }

    /// Returns the mean pressure of this router and its neighbours.
    pub(crate) fn mean(&self, own: f64, now: Instant) -> f64 {
        let fresh = self.fresh(now);
        let (sum, count) = fresh.fold((own, 1.0), |(sum, count), peer| (sum + peer, count + 1.0));
        sum / count
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = f64> {
        let peers = self.peers.values();
        let fresh = peers.filter(move |(_, at)| now - *at < MAX_AGE);
        fresh.map(|(pressure, _)| *pressure)
    }

    /// Whether other routers should know the pressure of this one: it isn't zero, or theirs isn't.
    pub(crate) fn is_told(&self, own: f64, now: Instant) -> bool {
        self.is_contended() && (own > 0.0 || self.fresh(now).any(|peer| peer > 0.0))
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
        rank::count(&mut self.ranks, index);
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
    pub(crate) fn note(&mut self, pressure: f64) {
        let threshold = if self.is_tight { RELAXED } else { TIGHT };
        let is_tight = pressure >= threshold;
        if is_tight != self.is_tight {
            self.is_tight = is_tight;
            self.change = Some(Change { is_tight, pressure });
        }
    }

    pub(crate) fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    /// Removes figures of routers that no longer tell any.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.peers.retain(|_, (_, at)| now - *at < MAX_AGE);
    }

    fn index(&self, priority: u8) -> Option<usize> {
        let mut ranks = self.ranks.iter();
        ranks.position(|rank| rank.priority() == priority)
    }
}
