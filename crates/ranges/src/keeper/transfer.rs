//! Grants, renewals, and ranges on their way from one holder to the next.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::planning::is_fenced_off;
use super::{Action, Inherited, Keeper, Order};
use crate::lease::Lease;
use crate::map::{Life, Map, Range};

/// Longest time since the store said that the duty is ours, for the end of a predecessor's
/// time to count: less than the time by which its grants outlast its authority.
const FRESH_CONTACT: Duration = Duration::from_secs(3);

/// One earlier holder of a range that changes hands.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    /// How the source is told to release the keys.
    pub(super) order: Order,
    pub(super) released: bool,
    pub(super) handover: Option<Arc<str>>,
    pub(super) in_flight: bool,
    pub(super) due: Instant,
    /// Whether the source can't have the keys any more.
    pub(super) cleared: bool,
}

impl Transfer {
    fn new(order: Order, now: Instant) -> Self {
        Self {
            order,
            released: false,
            handover: None,
            in_flight: false,
            due: now,
            cleared: false,
        }
    }
}

impl Keeper {
    /// Drops leases that can't be in force and that the map doesn't name.
    pub(super) fn drop_old_leases(&mut self, now: Instant) {
        if matches!(self.inherited, Inherited::Stopped { until, .. } if now >= until) {
            self.fenced_off.clear();
        }
        let map = &self.map;
        self.leases.retain(|order, lease| {
            let range = map.range(order.from);
            let is_named = order.is_of(range) && range.holder.as_ref() == Some(&order.life);
            is_named || lease.in_flight || now < lease.until
        });
    }

    /// Works on the ranges that change hands.
    pub(super) fn transfer(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
            if transfer.cleared {
                continue;
            }
            let is_over = transfer.released
                || self.has_restarted(source)
                || (!transfer.in_flight && self.has_run_out(range, source, now));
            // A range under a token of an earlier keeper is about to get one of ours.
            let is_own = range.fence >= self.first_fence;
            let is_due = !transfer.in_flight && is_own && now >= transfer.due;
            let transfer = &mut self.transfers[index];
            if is_over {
                transfer.cleared = true;
            } else if is_due {
                transfer.in_flight = true;
                actions.push(Action::Release(order));
            }
        }
    }

    /// Whether another life answers under the name of an upstream.
    fn has_restarted(&self, life: &Life) -> bool {
        let listed = self.upstreams.get(&life.upstream);
        listed.is_some_and(|upstream| upstream.life.incarnation != life.incarnation)
    }

    /// Whether every grant of these keys to `source` has run out.
    fn has_run_out(&self, range: &Range, source: &Life, now: Instant) -> bool {
        let own = |lease: &&Lease| lease.order.life == *source && lease.overlaps(range);
        let mut own = self.leases.values().filter(own);
        let inherited = match self.inherited {
            _ if is_fenced_off(&self.fenced_off, source, range) => true,
            Inherited::Active { .. } => false,
            // Without the store this keeper can't know whether a new era of it has
            // begun, in which its predecessor has the duty again.
            Inherited::Stopped { until, is_proven } => {
                now >= until && (is_proven || self.since_confirmed(now) <= FRESH_CONTACT)
            }
        };
        inherited && own.all(|lease| !lease.in_flight && now >= lease.until)
    }

    /// Whether no earlier holder can have the keys.
    fn is_clear(&self, range: &Range) -> bool {
        range.sources.iter().all(|source| {
            self.transfers.iter().any(|transfer| {
                let order = &transfer.order;
                order.is_of(range) && order.life == *source && transfer.cleared
            })
        })
    }

    /// Grants and renews what the map says.
    pub(super) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for range in &self.map.ranges {
            let Some(holder) = &range.holder else {
                continue;
            };
            if !self.is_clear(range) {
                continue;
            }
            let listed = self.upstreams.get(&holder.upstream);
            let is_listed = listed.is_some_and(|upstream| upstream.life == *holder);
            if !is_listed && !self.upstreams.is_empty() {
                // A renewal would only keep the keys away from others.
                continue;
            }
            let order = Order::new(holder, range);
            let lease = self.leases.entry(order.clone()).or_insert_with(|| {
                let mut own = self
                    .transfers
                    .iter()
                    .filter(|transfer| transfer.order.is_of(range));
                let handover = own.find_map(|transfer| transfer.handover.clone());
                Lease::new(order, handover, now)
            });
            if lease.in_flight || now < lease.due {
                continue;
            }
            lease.in_flight = true;
            actions.push(Action::Grant {
                order: lease.order.clone(),
                hold: self.settings.hold,
                handover: lease.handover.clone(),
            });
        }
    }

    pub(super) fn forget_transfers(&mut self) {
        let map = &self.map;
        self.transfers.retain(|transfer| {
            let order = &transfer.order;
            let range = map.range(order.from);
            order.is_of(range) && range.sources.contains(&order.life)
        });
    }

    /// Returns the map in which every range that has reached its new holder is
    /// settled, if there are any and it is time to write them.
    pub(super) fn settle(&self, now: Instant) -> Option<Map> {
        if now < self.settle_due {
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
