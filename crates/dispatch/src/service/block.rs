//! Key ranges that get no requests for a while.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;

/// Shortest and longest time for which a range gets no requests after its holder answered that it
/// doesn't hold it. A map update takes about the shortest time, an unanswered request the longest.
const MIN_BLOCK: Duration = Duration::from_millis(60);
pub(super) const MAX_BLOCK: Duration = Duration::from_millis(500);

/// Range of keys whose holder answered that it doesn't hold them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block {
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) until: Instant,
    pub(super) pause: Duration,
}

impl Service {
    /// Blocks the range of a key for a while. The holder refuses all requests for it until the
    /// holder or the map changes.
    pub(super) fn block(&mut self, key: u16, now: Instant) {
        let Some(span) = self.span(key).cloned() else {
            return;
        };
        let known = self.blocks.iter_mut().find(|block| block.from == span.from);
        match known {
            Some(block) => {
                block.until = now + block.pause;
                block.pause = (block.pause * 2).min(MAX_BLOCK);
            }
            None => self.blocks.push(Block {
                from: span.from,
                to: span.to,
                until: now + MIN_BLOCK,
                pause: MIN_BLOCK * 2,
            }),
        }
    }

    /// Whether requests for a key must wait. After a block has ended, one request may find out
    /// whether the holder has the keys now.
    pub(super) fn is_blocked(&self, key: Option<u16>, now: Instant) -> bool {
        let Some(key) = key else {
            return false;
        };
        let covers = |block: &&Block| (block.from..=block.to).contains(&key);
        self.blocks
            .iter()
            .find(covers)
            .is_some_and(|block| now < block.until)
    }
}
