//! Chooses the router that handles a request in place of one that can't reach the upstreams.
//!
//! No router knows what the others reach. So a request is handed to one that has served others
//! lately, and now and then to another one. A router that turns it away is left alone for a while.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

/// Time for which a router that couldn't handle a request isn't asked again.
const AVOID_TIME: Duration = Duration::from_millis(1_000);
/// Time for which a router that handled a request is preferred.
const PROOF_TIME: Duration = Duration::from_secs(5);
/// Routers that may turn requests away within [`AVOID_TIME`] until no other one is tried. Without this
/// bound, all routers of a fleet would ask all others while no upstream can be reached.
const MAX_FAILURES: usize = 8;
/// Every so many requests, one is handed to a router that hasn't served others lately.
const EXPLORING_INTERVAL: u64 = 8;
/// Factor by which the load of routers in other data centres counts.
const FAR_FACTOR: f64 = 1.5;

/// Router that may handle a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the router.
    pub name: Arc<str>,
    /// Whether it runs in the same data centre.
    pub is_near: bool,
    /// Size of its VM relative to others.
    pub size: u32,
}

/// How a request ended at another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The router handled it, whatever the answer.
    Handled,
    /// The router couldn't be reached, or can't reach the upstreams either.
    Unsuited,
    /// The caller left, or the time limit was reached.
    Open,
}

/// What is known of one router.
#[derive(Debug, Default)]
struct Record {
    in_flight: u32,
    handled_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

/// What is known of the other routers.
///
/// ```
/// use eelgrassrock_dispatch::detour::{Detours, End, Peer};
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let peer = |name: &str| Peer { name: name.into(), is_near: true, size: 200 };
/// let peers = [peer("router-1"), peer("router-2")];
/// let mut detours = Detours::default();
/// let first = detours.choose(&peers, &[], now).unwrap();
/// detours.end(&first, End::Unsuited, now);
/// let second = detours.choose(&peers, &[], now).unwrap();
/// assert_ne!(first, second);
/// ```
#[derive(Debug, Default)]
pub struct Detours {
    records: IndexMap<Arc<str>, Record>,
    /// When requests were turned away.
    failures: VecDeque<Instant>,
    chosen: u64,
}

impl Record {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn is_proven(&self, now: Instant) -> bool {
        self.handled_at.is_some_and(|at| now - at < PROOF_TIME)
    }
}

impl Detours {
    /// Chooses the router for a request that the routers in `tried` have turned away. Returns `None`
    /// if it had better be refused. Each choice must be followed by [`Self::end`].
    pub fn choose(&mut self, peers: &[Peer], tried: &[Arc<str>], now: Instant) -> Option<Arc<str>> {
        self.records
            .retain(|name, _| peers.iter().any(|peer| peer.name == *name));
        while self
            .failures
            .front()
            .is_some_and(|at| now - *at >= AVOID_TIME)
        {
            self.failures.pop_front();
        }
        self.chosen += 1;
        let usable = peers.iter().filter(|peer| {
            let record = self.records.get(&peer.name);
            !tried.contains(&peer.name) && !record.is_some_and(|record| record.is_avoided(now))
        });
        let is_proven = |peer: &&Peer| {
            let record = self.records.get(&peer.name);
            record.is_some_and(|record| record.is_proven(now))
        };
        let (proven, others): (Vec<&Peer>, Vec<&Peer>) = usable.partition(is_proven);
        let may_explore = self.failures.len() < MAX_FAILURES;
        let explores = proven.is_empty() || self.chosen.is_multiple_of(EXPLORING_INTERVAL);
        let chosen = if may_explore && explores && !others.is_empty() {
            // The nearest ones first, and each of them in turn.
            let near = others.iter().filter(|peer| peer.is_near).count();
            let rest = others.iter().filter(|peer| !peer.is_near);
            let ordered = others.iter().filter(|peer| peer.is_near).chain(rest);
            let count = if near > 0 { near } else { others.len() };
            let index = (self.chosen % count as u64) as usize;
            ordered.copied().nth(index)
        } else {
            let load = |peer: &&Peer| {
                let in_flight = self
                    .records
                    .get(&peer.name)
                    .map_or(0, |known| known.in_flight);
                let factor = if peer.is_near { 1.0 } else { FAR_FACTOR };
                f64::from(in_flight + 1) * factor / f64::from(peer.size.max(1))
            };
            let proven = proven.into_iter();
            proven.min_by(|one, other| load(one).total_cmp(&load(other)))
        };
        let name = Arc::clone(&chosen?.name);
        self.records.entry(Arc::clone(&name)).or_default().in_flight += 1;
        Some(name)
    }

    /// Records how a request ended at a router.
    pub fn end(&mut self, name: &str, end: End, now: Instant) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        match end {
            End::Handled => record.handled_at = Some(now),
            End::Unsuited => {
                // Requests that were under way together count once.
                if !record.is_avoided(now) {
                    self.failures.push_back(now);
                }
                record.handled_at = None;
                record.avoid_until = Some(now + AVOID_TIME);
            }
            End::Open => {}
        }
    }
}
