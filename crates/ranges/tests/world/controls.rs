//! Faults that a test causes in a world, and the state that it observes.

use eelgrassrock_ranges::map::Range;

use super::{DATA_CENTRES, Faults, STEP_MS, World, sample};

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

    /// Evacuates a data centre, or takes it back.
    pub(crate) fn set_evacuated(&mut self, data_centre: usize, is_evacuated: bool) {
        let upstreams = self.upstreams.iter_mut().enumerate();
        let there = upstreams.filter(|(index, _)| index % DATA_CENTRES == data_centre);
        there.for_each(|(_, upstream)| upstream.evacuated = is_evacuated);
    }

    /// Evacuates the data centre of an upstream to which a range is in transfer. Returns the data
    /// centre.
    pub(crate) fn evacuate_next_holder(&mut self) -> Option<usize> {
        let map = self.store.map.as_ref()?;
        let moving = map.ranges.iter().find(|range| !range.sources.is_empty())?;
        let next = moving.holder.as_ref()?;
        let is_next = |upstream: &super::Upstream| upstream.instance == *next;
        let data_centre = self.upstreams.iter().position(is_next)? % DATA_CENTRES;
        self.set_evacuated(data_centre, true);
        Some(data_centre)
    }

    /// Number of ranges that upstreams of a data centre hold, are about to get or have to release.
    pub(crate) fn ranges_in(&self, data_centre: usize) -> usize {
        let Some(map) = &self.store.map else {
            return 0;
        };
        let upstreams = self
            .upstreams
            .iter()
            .skip(data_centre)
            .step_by(DATA_CENTRES);
        let there: Vec<_> = upstreams.map(|upstream| &upstream.instance).collect();
        let is_there = |range: &&Range| {
            let mut holders = range.holder.iter().chain(&range.sources);
            holders.any(|holder| there.contains(&holder))
        };
        map.ranges.iter().filter(is_there).count()
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
