//! Leadership in a world, and the effect of a restore of the store on it.

use std::time::Duration;

use eelgrassrock_ranges::leader::Leader;
use rand::RngExt;

use super::{SETTINGS, STEP_MS, Store, World};

impl World {
    /// Restores the store from a backup of an age. Rows of the earlier era can't be used any more,
    /// but show that some router led.
    pub(crate) fn restore(&mut self, age_ms: u64) {
        let steps = (age_ms / STEP_MS) as usize;
        let index = self.backups.len().saturating_sub(1 + steps);
        let backup = self.backups.get(index).cloned().unwrap_or_default();
        self.backups.clear();
        self.store = Store {
            era: self.store.era + 1,
            is_recovering: backup.version > 0 || backup.is_recovering,
            ..Store::default()
        };
    }

    /// A router that reaches the store takes leadership when the leader is gone or partitioned.
    pub(super) fn elect(&mut self) {
        if self.now < self.store_down_until {
            return;
        }
        let holder = self.store.leader;
        let current = (self.store.era, self.store.version);
        let serves = holder.is_some_and(|index| {
            let router = &self.routers[index];
            router.leader.is_some()
                && !router.is_partitioned
                && router.leadership_version == current
        });
        if serves || !self.chance(0.02) {
            return;
        }
        let index = self.random.random_range(0..self.routers.len());
        if self.routers[index].is_partitioned {
            return;
        }
        let queried_at = self.now;
        if let Some(before) = holder {
            self.store
                .predecessors
                .push((before, self.routers[before].term));
        }
        // Routers that ran in an earlier era remember it, whatever the backup says, and tell those
        // that start.
        self.store.is_recovering |= self.store.version == 0 && self.had_leader;
        self.had_leader = true;
        self.store.version += 1;
        self.store.leader = Some(index);
        let (era, map) = (self.store.era, self.store.map.clone());
        let mut leader = match map {
            map if self.store.is_recovering => {
                Leader::recovering(SETTINGS, map, era, queried_at, self.now)
            }
            None => Leader::first(SETTINGS, era, queried_at, self.now),
            Some(map) => Leader::successor(SETTINGS, map, era, queried_at, self.now),
        };
        // Leaders whose processes have ended are known to have stopped.
        let routers = &self.routers;
        self.store.predecessors.retain(|(predecessor, term)| {
            *predecessor != index
                && routers[*predecessor].leader.is_some()
                && routers[*predecessor].term == *term
        });
        if self.store.predecessors.is_empty() {
            leader.predecessor_stopped(self.now);
        }
        let router = &mut self.routers[index];
        router.leader = Some(leader);
        router.term += 1;
        router.leadership_version = (self.store.era, self.store.version);
        router.confirm_due = self.now;
    }

    /// A leader asks the store whether it still leads, and takes leadership again in a new era if
    /// nobody has it.
    pub(super) fn confirm(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.confirm_due = now + Duration::from_secs(1);
        let Some(leader) = &mut router.leader else {
            return;
        };
        let is_vacant = self.store.version == 0;
        let is_new_era = router.leadership_version.0 < self.store.era;
        if is_new_era && is_vacant && leader.has_authority(now) {
            let mut map = leader.map().clone();
            map.enter_era(self.store.era);
            leader.enter_era(self.store.era, map.clone(), now, now);
            self.store = Store {
                era: self.store.era,
                version: 1,
                leader: Some(index),
                map: Some(map),
                is_recovering: true,
                // By the end of the recovery, none of them has authority.
                predecessors: Vec::new(),
            };
            router.leadership_version = (self.store.era, 1);
            self.reclaimed += 1;
        }
        if router.leadership_version != (self.store.era, self.store.version) {
            router.leader = None;
            return;
        }
        leader.confirm(now);
        self.store.is_recovering &= !leader.is_recovered(now);
    }
}
