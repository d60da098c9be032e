//! Checks that upstreams in evacuated data centres run no requests.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Checker, State, Subject};
use crate::guarantee::Guarantee;

/// Time from the store's acceptance of an evacuation until no request may reach an upstream there.
pub(crate) const EVACUATION_LIMIT: Duration = Duration::from_millis(2_500);

/// Data centres by number.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// When the store accepted each evacuation that isn't taken back.
    accepted: HashMap<usize, Instant>,
    /// Data centre of each upstream.
    places: HashMap<usize, usize>,
}

impl Checker {
    /// Records the data centre of an upstream.
    pub fn place(&self, upstream: usize, data_centre: usize) {
        let mut state = self.state();
        state.evacuations.places.insert(upstream, data_centre);
    }

    /// Records that the store has accepted the evacuation of a data centre.
    pub fn evacuate(&self, data_centre: usize) {
        let mut state = self.state();
        let accepted = state.evacuations.accepted.entry(data_centre);
        accepted.or_insert_with(Instant::now);
    }

    /// Records that an evacuation is taken back, and returns whether there was one.
    pub fn take_back(&self, data_centre: usize) -> bool {
        let mut state = self.state();
        state.evacuations.accepted.remove(&data_centre).is_some()
    }
}

impl State {
    /// Checks whether an upstream may run a request at `at`.
    pub(super) fn check_evacuation(&mut self, at: Duration, id: &str, upstream: usize) {
        let now = Instant::now();
        let place = self.evacuations.places.get(&upstream);
        let accepted = place.and_then(|place| self.evacuations.accepted.get(place));
        let Some(late) = accepted.map(|accepted| now - *accepted) else {
            return;
        };
        let Some(router) = self.router_of(Some(id)).filter(|_| late > EVACUATION_LIMIT) else {
            return;
        };
        let subjects = [
            Subject::Router(router),
            Subject::Upstream(upstream),
            Subject::Store,
        ];
        if !self.is_disturbed(&subjects, now, now) {
            let details = format!("{id} ran at upstream {upstream}, {late:?} after its evacuation");
            self.report(at, Guarantee::Evacuation, details);
        }
    }
}
