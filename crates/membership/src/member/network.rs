//! How well the network carries this router's pings.

/// Points that a missing answer adds.
const MISS_POINTS: u32 = 4;
/// Most points.
const MAX_POINTS: u32 = 16;
/// Points from which on the network counts as lossy.
const LOSSY_POINTS: u32 = 8;
/// Rounds that are added to each ping while the network is lossy.
const EXTRA_ROUNDS: u32 = 2;

/// Score of the recent pings: high when many answers are missing. It makes a
/// router slower to accuse others when its own network is bad.
#[derive(Debug, Default)]
pub(crate) struct Network {
    points: u32,
}

impl Network {
    pub(crate) fn miss(&mut self) {
        self.points = (self.points + MISS_POINTS).min(MAX_POINTS);
    }

    pub(crate) fn hit(&mut self) {
        self.points = self.points.saturating_sub(1);
    }

    pub(crate) fn extra_rounds(&self) -> u32 {
        if self.points >= LOSSY_POINTS {
            EXTRA_ROUNDS
        } else {
            0
        }
    }
}
