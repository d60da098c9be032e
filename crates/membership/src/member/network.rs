//! Estimates of packet loss and round-trip times, from the answers to this
//! router's pings.

use std::time::Duration;

use eelgrassrock_model::DataCentre;
use indexmap::IndexMap;

/// Points that a ping without an answer adds to the loss score. Each answer
/// takes one point off.
const TIMEOUT_POINTS: u32 = 4;
/// Upper bound of the loss score.
const MAX_POINTS: u32 = 16;
/// Loss score from which on the network counts as lossy.
const LOSSY_THRESHOLD: u32 = 8;
/// Additional rounds of indirect pings while the network is lossy.
const EXTRA_ROUNDS: u32 = 2;

/// Number of samples over which a round-trip time is smoothed.
const SMOOTHING: u32 = 8;

/// Loss score of the recent pings, and round-trip times.
///
/// The score rises with each ping that isn't answered. A router whose own
/// network is lossy tries more rounds before it suspects another one.
#[derive(Debug, Default)]
pub(crate) struct Network {
    points: u32,
    /// Smoothed round-trip times. A slower answer raises the value at once, a
    /// faster one lowers it gradually.
    round_trips: IndexMap<DataCentre, Duration>,
}

impl Network {
    pub(crate) fn record_timeout(&mut self) {
        self.points = (self.points + TIMEOUT_POINTS).min(MAX_POINTS);
    }

    pub(crate) fn record_answer(&mut self) {
        self.points = self.points.saturating_sub(1);
    }

    /// Updates the round-trip time of a data centre with the time of one answer.
    pub(crate) fn record_round_trip(&mut self, data_centre: &DataCentre, round_trip: Duration) {
        let previous = self
            .round_trips
            .get(data_centre)
            .copied()
            .unwrap_or_default();
        let smoothed = (previous * (SMOOTHING - 1) + round_trip) / SMOOTHING;
        self.round_trips
            .insert(data_centre.clone(), round_trip.max(smoothed));
    }

    /// Returns the smoothed round-trip time of a data centre, `None` if no
    /// answer from it has arrived yet.
    pub(crate) fn round_trip(&self, data_centre: &DataCentre) -> Option<Duration> {
        self.round_trips.get(data_centre).copied()
    }

    pub(crate) fn extra_rounds(&self) -> u32 {
        if self.points >= LOSSY_THRESHOLD {
            EXTRA_ROUNDS
        } else {
            0
        }
    }
}
