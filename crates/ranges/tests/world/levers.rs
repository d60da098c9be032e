//! What a test sets, causes and sees in a world.

use eelgrassrock_ranges::map::Range;

use super::{Faults, STEP_MS, World, sample};

impl World {
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Cuts the keeper off from store and routers, but not from upstreams, for
    /// good.
    pub(crate) fn cut_keeper_off(&mut self) {
        if let Some(index) = self.store.keeper {
            self.routers[index].is_cut = true;
        }
    }

    /// An upstream is about to leave; plays on until its keys move, a second at
    /// most.
    pub(crate) fn retire_until_keys_move(&mut self, index: usize) {
        self.upstreams[index].leaving = true;
        for _ in 0..1_000 / STEP_MS {
            self.step();
            if self.on_their_way() > 0 {
                return;
            }
        }
    }

    /// Ends an upstream to which a range is on its way, for good. The registry has
    /// noticed.
    pub(crate) fn lose_next_holder(&mut self) {
        let Some(map) = &self.store.map else {
            return;
        };
        let moving = map.ranges.iter().find(|range| !range.sources.is_empty());
        let next = moving.and_then(|range| range.holder.as_ref());
        for upstream in &mut self.upstreams {
            if next == Some(&upstream.life) {
                upstream.is_up = false;
                upstream.is_listed = false;
            }
        }
    }

    /// Ends an upstream or starts it again, unnoticed by the registry.
    pub(crate) fn set_up(&mut self, index: usize, is_up: bool) {
        self.upstreams[index].is_up = is_up;
    }

    /// Number of ranges that an upstream has or is to get.
    pub(crate) fn ranges_of(&self, index: usize) -> usize {
        let Some(map) = &self.store.map else {
            return 0;
        };
        let life = Some(&self.upstreams[index].life);
        let own = |range: &&Range| range.holder.as_ref() == life;
        map.ranges.iter().filter(own).count()
    }

    /// Number of ranges that are on their way.
    pub(crate) fn on_their_way(&self) -> usize {
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
            upstream.is_up = true;
            upstream.leaving = false;
        }
    }

    /// Returns the sampled keys without a holder that runs.
    pub(crate) fn unheld(&self) -> Vec<u16> {
        let unheld = self.unheld_since.iter().enumerate();
        let unheld = unheld.filter(|(_, since)| since.is_some());
        unheld.map(|(index, _)| sample(index)).collect()
    }

    /// Ends all cuts.
    pub(crate) fn reconnect(&mut self) {
        for router in &mut self.routers {
            router.is_cut = false;
        }
    }
}
