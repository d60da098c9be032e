//! How well and how fast the network carries this router's pings.

use std::time::Duration;

use eelgrassrock_model::DataCentre;
use indexmap::IndexMap;

/// Points that a missing answer adds.
const MISS_POINTS: u32 = 4;
/// Most points.
const MAX_POINTS: u32 = 16;
/// Points from which on the network counts as lossy.
const LOSSY_POINTS: u32 = 8;
/// Rounds that are added to each ping while the network is lossy.
const EXTRA_ROUNDS: u32 = 2;

/// Number of answers over which a round-trip time is smoothed.
const SMOOTHING: u32 = 8;

/// Score of the recent pings, and round-trip times.
///
/// The score is high when many answers are missing. It makes a router slower
/// to accuse others when its own network is bad.
#[derive(Debug, Default)]
pub(crate) struct Network {
    points: u32,
    /// Slow answers count at once, fast ones by and by.
    round_trips: IndexMap<DataCentre, Duration>,
}

impl Network {
    pub(crate) fn miss(&mut self) {
        self.points = (self.points + MISS_POINTS).min(MAX_POINTS);
    }

    pub(crate) fn hit(&mut self) {
        self.points = self.points.saturating_sub(1);
    }

    /// Takes note of the time that an answer took.
    pub(crate) fn measure(&mut self, data_centre: &DataCentre, span: Duration) {
        let known = self
            .round_trips
            .get(data_centre)
            .copied()
            .unwrap_or_default();
        let smooth = (known * (SMOOTHING - 1) + span) / SMOOTHING;
        self.round_trips
            .insert(data_centre.clone(), span.max(smooth));
    }

    /// Returns the round-trip time of a data centre, `None` if it is unknown.
    pub(crate) fn round_trip(&self, data_centre: &DataCentre) -> Option<Duration> {
        self.round_trips.get(data_centre).copied()
    }

    pub(crate) fn extra_rounds(&self) -> u32 {
        if self.points >= LOSSY_POINTS {
            EXTRA_ROUNDS
        } else {
            0
        }
    }
}
