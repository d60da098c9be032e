//! Who has the duty in a world, and what a restore of the store makes of it.

use std::time::Duration;

use eelgrassrock_ranges::keeper::Keeper;
use rand::RngExt;

use super::{SETTINGS, STEP_MS, Store, World};

impl World {
    /// The store comes back from a copy of an age. Rows of the era in which it was made
    /// are of no use any more, but show that some router had the duty.
    pub(crate) fn restore(&mut self, age_ms: u64) {
        let steps = (age_ms / STEP_MS) as usize;
        let index = self.copies.len().saturating_sub(1 + steps);
        let copy = self.copies.get(index).cloned().unwrap_or_default();
        self.copies.clear();
        self.store = Store {
            era: self.store.era + 1,
            is_unsettled: copy.version > 0 || copy.is_unsettled,
            ..Store::default()
        };
    }

    /// A router that the store reaches takes the duty when the keeper is gone
    /// or can't be reached.
    pub(super) fn elect(&mut self) {
        if self.now < self.store_away_until {
            return;
        }
        let holder = self.store.keeper;
        let current = (self.store.era, self.store.version);
        let serves = holder.is_some_and(|index| {
            let router = &self.routers[index];
            router.keeper.is_some() && !router.is_cut && router.duty_version == current
        });
        if serves || !self.chance(0.02) {
            return;
        }
        let index = self.random.random_range(0..self.routers.len());
        if self.routers[index].is_cut {
            return;
        }
        let asked = self.now;
        if let Some(before) = holder {
            self.store.formers.push((before, self.routers[before].term));
        }
        // Routers that lived in an earlier era remember it, whatever the copy says, and
        // tell those that start.
        self.store.is_unsettled |= self.store.version == 0 && self.had_keeper;
        self.had_keeper = true;
        self.store.version += 1;
        self.store.keeper = Some(index);
        let (era, map) = (self.store.era, self.store.map.clone());
        let mut keeper = match map {
            map if self.store.is_unsettled => {
                Keeper::unsettled(SETTINGS, map, era, asked, self.now)
            }
            None => Keeper::first(SETTINGS, era, asked, self.now),
            Some(map) => Keeper::successor(SETTINGS, map, era, asked, self.now),
        };
        // Those whose processes have ended are known to have stopped.
        let routers = &self.routers;
        self.store.formers.retain(|(former, term)| {
            *former != index && routers[*former].keeper.is_some() && routers[*former].term == *term
        });
        if self.store.formers.is_empty() {
            keeper.predecessor_stopped(self.now);
        }
        let router = &mut self.routers[index];
        router.keeper = Some(keeper);
        router.term += 1;
        router.duty_version = (self.store.era, self.store.version);
        router.confirm_due = self.now;
    }

    /// A keeper asks whether the duty is still its own, and takes it again in a new era
    /// if nobody has it.
    pub(super) fn confirm(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.confirm_due = now + Duration::from_secs(1);
        let Some(keeper) = &mut router.keeper else {
            return;
        };
        let is_vacant = self.store.version == 0;
        let is_new_era = router.duty_version.0 < self.store.era;
        if is_new_era && is_vacant && keeper.has_authority(now) {
            let mut map = keeper.map().clone();
            map.enter_era(self.store.era);
            keeper.enter_era(self.store.era, map.clone(), now, now);
            self.store = Store {
                era: self.store.era,
                version: 1,
                keeper: Some(index),
                map: Some(map),
                is_unsettled: true,
                // By the time that it is settled, none of them has authority.
                formers: Vec::new(),
            };
            router.duty_version = (self.store.era, 1);
            self.retaken += 1;
        }
        if router.duty_version != (self.store.era, self.store.version) {
            router.keeper = None;
            return;
        }
        keeper.confirm(now);
        self.store.is_unsettled &= !keeper.is_settled(now);
    }
}
