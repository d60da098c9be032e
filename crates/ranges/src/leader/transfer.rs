//! Grants, renewals, and the transfer of ranges from one holder to the next.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::time::Instant;

use super::planning::is_accepted;
use super::{Action, Grant, Inherited, Leader, Order};
use crate::lease::Lease;
use crate::map::{Instance, Map, Range};

/// Longest time since the store confirmed the leadership at which an expired predecessor counts as
/// stopped. It is less than the time by which a predecessor's grants outlast its authority.
const FRESH_CONTACT: Duration = Duration::from_secs(3);

/// Why an earlier holder can't hold keys any more.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It released them.
    #[display("released")]
    Released,
    /// Every grant to it has expired.
    #[display("expired")]
    Expired,
}

/// Keys that an earlier holder can't hold any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// Earlier holder, keys, and fencing token of the next holder.
    pub order: Order,
    /// Why it can't hold them.
    pub reason: Reason,
}

/// Release of a range by one earlier holder.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    /// Order by which the source releases the keys.
    pub(super) order: Order,
    pub(super) is_released: bool,
    pub(super) handover: Option<Arc<str>>,
    pub(super) is_in_flight: bool,
    pub(super) due: Instant,
    /// Whether the source can't hold the keys any more.
    pub(super) is_cleared: bool,
}

impl Transfer {
    fn new(order: Order, now: Instant) -> Self {
        Self {
            order,
            is_released: false,
            handover: None,
            is_in_flight: false,
            due: now,
            is_cleared: false,
        }
    }
}

impl Leader {
    /// Drops leases that can't be in force and that the map doesn't name.
    pub(super) fn drop_old_leases(&mut self, now: Instant) {
        if matches!(self.inherited, Inherited::Stopped { until, .. } if now >= until) {
            self.accepted.clear();
        }
        let map = &self.map;
        self.leases.retain(|order, lease| {
            let range = map.range(order.from);
            let is_named = order.is_of(range) && range.holder.as_ref() == Some(&order.instance);
            is_named || lease.is_in_flight || now < lease.until
        });
    }

    /// Releases the sources of the ranges that change hands.
    pub(super) fn release_sources(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let map = &self.map;
        let moving = map
            .ranges
            .iter()
            .flat_map(|range| range.sources.iter().map(move |source| (range, source)));
        for (range, source) in moving {
            let order = Order::new(source, range);
            let known = |transfer: &Transfer| transfer.order == order;
            let index = self.transfers.iter().position(known).unwrap_or_else(|| {
                self.transfers.push(Transfer::new(order.clone(), now));
                self.transfers.len() - 1
            });
            let transfer = &self.transfers[index];
            if transfer.is_cleared {
                continue;
            }
            let reason = if transfer.is_released {
                Some(Reason::Released)
            } else {
                let has_expired = !transfer.is_in_flight && self.has_run_out(range, source, now);
                has_expired.then_some(Reason::Expired)
            };
            // A range under a token of an earlier leader is about to get a token of this leader.
            let is_own = range.fence >= self.first_fence;
            let is_due = !transfer.is_in_flight && is_own && now >= transfer.due;
            let transfer = &mut self.transfers[index];
            if let Some(reason) = reason {
                transfer.is_cleared = true;
                self.clearances.push(Clearance { order, reason });
            } else if is_due {
                transfer.is_in_flight = true;
                actions.push(Action::Release(order));
            }
        }
    }

    /// Whether every grant of these keys to `source` has expired.
    fn has_run_out(&self, range: &Range, source: &Instance, now: Instant) -> bool {
        let own = |lease: &&Lease| lease.order.instance == *source && lease.overlaps(range);
        let mut own = self.leases.values().filter(own);
        let inherited = match self.inherited {
            _ if is_accepted(&self.accepted, source, range) => true,
            Inherited::Active { .. } => false,
            // Without the store this leader can't know whether a new era has begun in which its
            // predecessor leads again.
            Inherited::Stopped { until, is_proven } => {
                now >= until && (is_proven || self.since_confirmed(now) <= FRESH_CONTACT)
            }
        };
        inherited && own.all(|lease| !lease.is_in_flight && now >= lease.until)
    }

    /// Whether no earlier holder can hold the keys.
    fn is_clear(&self, range: &Range) -> bool {
        range.sources.iter().all(|source| {
            self.transfers.iter().any(|transfer| {
                let order = &transfer.order;
                order.is_of(range) && order.instance == *source && transfer.is_cleared
            })
        })
    }

    /// Sends the grants and renewals that the map requires.
    pub(super) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for range in &self.map.ranges {
            let Some(holder) = &range.holder else {
                continue;
            };
            if !self.is_clear(range) {
                continue;
            }
            let listed = self.upstreams.get(&holder.upstream);
            let is_listed = listed.is_some_and(|upstream| upstream.instance == *holder);
            if !is_listed && !self.upstreams.is_empty() {
                // A renewal would only keep the keys away from other upstreams.
                continue;
            }
            if !range.sources.is_empty() && self.is_evacuated(holder) {
                // The plan gives the range to another upstream.
                continue;
            }
            let Some(connected_by) = self.taken_at.get(&range.fence).copied() else {
                // The token is an earlier leader's, and so are the connections that it belongs to.
                continue;
            };
            let order = Order::new(holder, range);
            let lease = self.leases.entry(order.clone()).or_insert_with(|| {
                let mut own = self
                    .transfers
                    .iter()
                    .filter(|transfer| transfer.order.is_of(range));
                let handover = own.find_map(|transfer| transfer.handover.clone());
                Lease::new(order, handover, now)
            });
            if lease.is_in_flight || now < lease.due {
                continue;
            }
            lease.is_in_flight = true;
            actions.push(Action::Grant(Grant {
                order: lease.order.clone(),
                hold: self.settings.hold,
                handover: lease.handover.clone(),
                connected_by,
                send_by: self.authority_until,
            }));
        }
    }

    /// Whether a holder is evacuated and other upstreams can take its keys.
    pub(super) fn is_evacuated(&self, holder: &Instance) -> bool {
        let listed = self.upstreams.get(&holder.upstream);
        let mut others = self.upstreams.values();
        listed.is_some_and(|upstream| upstream.evacuated)
            && others.any(|other| !other.evacuated && !other.leaving)
    }

    pub(super) fn forget_transfers(&mut self) {
        let map = &self.map;
        self.transfers.retain(|transfer| {
            let order = &transfer.order;
            let range = map.range(order.from);
            order.is_of(range) && range.sources.contains(&order.instance)
        });
    }

    /// Returns the map in which every range that its new holder has accepted is no longer in
    /// transfer, if there are such ranges and a write is due.
    pub(super) fn complete_transfers(&self, now: Instant) -> Option<Map> {
        if now < self.completion_due {
            return None;
        }
        let has_arrived = |range: &Range| !range.sources.is_empty() && self.is_granted(range);
        if !self.map.ranges.iter().any(has_arrived) {
            return None;
        }
        let mut map = self.map.clone();
        let arrived = map.ranges.iter_mut().filter(|range| has_arrived(range));
        arrived.for_each(|range| range.sources.clear());
        Some(map)
    }

    pub(super) fn is_granted(&self, range: &Range) -> bool {
        let Some(holder) = &range.holder else {
            return false;
        };
        let lease = self.leases.get(&Order::new(holder, range));
        lease.is_some_and(Lease::is_answered)
    }
}
