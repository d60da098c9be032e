//! Faults that a test causes in a world, and the state that it observes.

use eelgrassrock_ranges::map::Range;

use super::{Faults, STEP_MS, World, sample};

impl World {
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Partitions the leader permanently from the store and the routers, but not from the
    /// upstreams.
    pub(crate) fn partition_leader(&mut self) {
        if let Some(index) = self.store.leader {
            self.routers[index].is_partitioned = true;
        }
    }

    /// Announces that an upstream will leave, and runs until its keys move, a second at most.
    pub(crate) fn retire_until_keys_move(&mut self, index: usize) {
        self.upstreams[index].leaving = true;
        for _ in 0..1_000 / STEP_MS {
            self.step();
            if self.in_transfer() > 0 {
                return;
            }
        }
    }

    /// Ends an upstream to which a range is in transfer, permanently. The registry has noticed.
    pub(crate) fn lose_next_holder(&mut self) {
        let Some(map) = &self.store.map else {
            return;
        };
        let moving = map.ranges.iter().find(|range| !range.sources.is_empty());
        let next = moving.and_then(|range| range.holder.as_ref());
        for upstream in &mut self.upstreams {
            if next == Some(&upstream.instance) {
                upstream.is_running = false;
                upstream.is_listed = false;
            }
        }
    }

    /// Stops or starts an upstream without the registry noticing.
    pub(crate) fn set_running(&mut self, index: usize, is_running: bool) {
        self.upstreams[index].is_running = is_running;
    }

    /// Number of ranges that an upstream holds or is about to get.
    pub(crate) fn ranges_of(&self, index: usize) -> usize {
        let Some(map) = &self.store.map else {
            return 0;
        };
        let instance = Some(&self.upstreams[index].instance);
        let own = |range: &&Range| range.holder.as_ref() == instance;
        map.ranges.iter().filter(own).count()
    }

    /// Number of ranges in transfer.
    pub(crate) fn in_transfer(&self) -> usize {
        let Some(map) = &self.store.map else {
            return 0;
        };
        let moving = |range: &&Range| !range.sources.is_empty();
        map.ranges.iter().filter(moving).count()
    }

    /// Makes sure that most upstreams run and stay; the others may be down.
    pub(crate) fn keep_most_up(&mut self) {
        let most = self.upstreams.len() / 2 + 1;
        for upstream in &mut self.upstreams[..most] {
            upstream.is_running = true;
            upstream.leaving = false;
        }
    }

    /// Returns the sampled keys without a running holder.
    pub(crate) fn unowned(&self) -> Vec<u16> {
        let unowned = self.unowned_since.iter().enumerate();
        let unowned = unowned.filter(|(_, since)| since.is_some());
        unowned.map(|(index, _)| sample(index)).collect()
    }

    /// Ends all partitions.
    pub(crate) fn reconnect(&mut self) {
        for router in &mut self.routers {
            router.is_partitioned = false;
        }
    }
}
