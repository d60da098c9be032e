//! Grants, renewals, and ranges on their way from one holder to the next.

use std::sync::Arc;

use eelgrassrock_model::time::Instant;

use super::planning::is_fenced_off;
use super::{Action, Inherited, Keeper, Order};
use crate::lease::Lease;
use crate::map::{Map, Range};

/// Range that changes hands.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) fence: u64,
    pub(super) released: bool,
    pub(super) handover: Option<Arc<str>>,
    pub(super) in_flight: bool,
    pub(super) due: Instant,
    /// Whether the source can't have the keys any more.
    pub(super) cleared: bool,
}

impl Transfer {
    pub(super) fn new(range: &Range, now: Instant) -> Self {
        Self {
            from: range.from,
            to: range.to,
            fence: range.fence,
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
        if matches!(self.inherited, Inherited::Stopped { until } if now >= until) {
            self.fenced_off.clear();
        }
        let map = &self.map;
        self.leases.retain(|lease| {
            let range = map.range(lease.from);
            let is_named = lease.is_of(range) && range.holder.as_ref() == Some(&lease.life);
            is_named || lease.in_flight || now < lease.until
        });
    }

    /// Works on the ranges that change hands.
    pub(super) fn transfer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for range in &self.map.ranges {
            let Some(source) = &range.source else {
                continue;
            };
            let known = self.transfers.iter().position(|transfer| {
                (transfer.from, transfer.to, transfer.fence) == (range.from, range.to, range.fence)
            });
            let index = known.unwrap_or_else(|| {
                self.transfers.push(Transfer::new(range, now));
                self.transfers.len() - 1
            });
            let transfer = &mut self.transfers[index];
            if transfer.cleared {
                continue;
            }
            let of_source = |lease: &&Lease| lease.life == *source && lease.overlaps(range);
            let mut own = self.leases.iter().filter(of_source).map(|lease| {
                if lease.in_flight {
                    None
                } else {
                    Some(lease.until)
                }
            });
            let own = own.try_fold(now, |latest, until| Some(latest.max(until?)));
            let inherited = match self.inherited {
                _ if is_fenced_off(&self.fenced_off, source, range) => Some(now),
                Inherited::Active { .. } => None,
                Inherited::Stopped { until } => Some(until),
            };
            let has_run_out = own.is_some_and(|until| now >= until)
                && inherited.is_some_and(|until| now >= until);
            let has_restarted = self.upstreams.iter().any(|upstream| {
                let life = &upstream.life;
                life.upstream == source.upstream && life.incarnation != source.incarnation
            });
            if transfer.released || has_restarted || (has_run_out && !transfer.in_flight) {
                transfer.cleared = true;
            } else if !transfer.in_flight && !self.is_inherited && now >= transfer.due {
                transfer.in_flight = true;
                actions.push(Action::Release(Order {
                    life: source.clone(),
                    from: range.from,
                    to: range.to,
                    fence: range.fence,
                }));
            }
        }
    }

    /// Grants and renews what the map says.
    pub(super) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for range in &self.map.ranges {
            let Some(holder) = &range.holder else {
                continue;
            };
            let transfer = self.transfers.iter().find(|transfer| {
                (transfer.from, transfer.to, transfer.fence) == (range.from, range.to, range.fence)
            });
            if range.source.is_some() && !transfer.is_some_and(|transfer| transfer.cleared) {
                continue;
            }
            let is_listed = self
                .upstreams
                .iter()
                .any(|upstream| upstream.life == *holder);
            if !is_listed && !self.upstreams.is_empty() {
                // A renewal would only keep the keys away from others.
                continue;
            }
            let known = |lease: &Lease| lease.is_of(range) && lease.life == *holder;
            let index = self.leases.iter().position(known).unwrap_or_else(|| {
                let handover = transfer.and_then(|transfer| transfer.handover.clone());
                self.leases
                    .push(Lease::new(holder.clone(), range, handover, now));
                self.leases.len() - 1
            });
            let lease = &mut self.leases[index];
            if lease.in_flight || now < lease.due {
                continue;
            }
            lease.in_flight = true;
            actions.push(Action::Grant {
                order: Order {
                    life: holder.clone(),
                    from: range.from,
                    to: range.to,
                    fence: range.fence,
                },
                hold: self.settings.hold,
                handover: lease.handover.clone(),
            });
        }
    }

    pub(super) fn forget_transfers(&mut self) {
        let map = &self.map;
        self.transfers.retain(|transfer| {
            let range = map.range(transfer.from);
            range.source.is_some()
                && (range.from, range.to, range.fence)
                    == (transfer.from, transfer.to, transfer.fence)
        });
    }

    /// Returns the map in which every range that has reached its new holder is
    /// settled, if there are any.
    pub(super) fn settle(&self) -> Option<Map> {
        let mut map = self.map.clone();
        let mut settled = false;
        for range in &mut map.ranges {
            if range.source.is_some() && self.is_granted(range) {
                range.source = None;
                settled = true;
            }
        }
        settled.then_some(map)
    }

    pub(super) fn is_granted(&self, range: &Range) -> bool {
        let answered = |lease: &Lease| {
            lease.is_of(range) && Some(&lease.life) == range.holder.as_ref() && lease.is_answered()
        };
        self.leases.iter().any(answered)
    }
}
