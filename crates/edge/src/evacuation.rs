//! Evacuations of data centres: reads them from the rows of the operator, applies them to the services
//! and logs when nothing is left there.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::evacuation::{Change, Evacuation, Evacuations, Mark};
use eelgrassrock_dispatch::service::Service;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::map::Range;
use eelgrassrock_ranges::versioned::VersionedMap;
use serde::Serialize;
use tokio::time::sleep;

use crate::clock;
use crate::node::{Node, State};
use crate::platform::{Platform, Row, Rows, Table};

/// Interval at which it is checked whether anything is left in an evacuated data centre.
const LEFT_POLL: Duration = Duration::from_millis(100);
/// Maximum number of upstreams that a log line names.
const MAX_NAMES: usize = 8;

/// What an evacuated data centre still has.
#[derive(Debug, Default, PartialEq, Eq)]
struct Left {
    /// Requests that this router has under way there.
    requests: u32,
    /// Ranges of keys that upstreams there hold, or haven't released yet.
    ranges: usize,
    /// Some of the upstreams that have requests under way or hold keys.
    upstreams: Vec<Arc<str>>,
}

#[derive(Serialize)]
struct EvacuationLine<'a> {
    data_centre: &'a str,
    /// Upstreams that are registered there.
    upstreams: usize,
    elapsed_ms: u64,
}

#[derive(Serialize)]
struct LeftLine<'a> {
    data_centre: &'a str,
    requests: u32,
    ranges: usize,
    upstreams: &'a [Arc<str>],
    elapsed_ms: u64,
}

impl Left {
    fn of(state: &State, data_centre: &str) -> Self {
        let mut left = Self::default();
        let is_there = |upstream: &str| {
            let upstream = state.registry.get(upstream);
            upstream.is_some_and(|upstream| *upstream.data_centre == *data_centre)
        };
        for (upstream, count) in state.services.values().flat_map(Service::in_flight) {
            if is_there(upstream) {
                left.requests += count;
                left.name(upstream);
            }
        }
        let maps = state.maps.values().map(VersionedMap::map);
        for range in maps.flat_map(|map| &map.ranges) {
            if let Some(upstream) = holders(range).find(|upstream| is_there(upstream)) {
                left.ranges += 1;
                left.name(upstream);
            }
        }
        left
    }

    fn name(&mut self, upstream: &Arc<str>) {
        if self.upstreams.len() < MAX_NAMES && !self.upstreams.contains(upstream) {
            self.upstreams.push(Arc::clone(upstream));
        }
    }

    fn line<'a>(&'a self, evacuation: &'a Evacuation, now: Instant) -> LeftLine<'a> {
        LeftLine {
            data_centre: &evacuation.data_centre,
            requests: self.requests,
            ranges: self.ranges,
            upstreams: &self.upstreams,
            elapsed_ms: (now - evacuation.since).as_millis() as u64,
        }
    }
}

/// Returns the upstreams that may hold a range. One to which the range is on its way doesn't yet.
fn holders(range: &Range) -> impl Iterator<Item = &Arc<str>> {
    let holder = range.holder.iter().filter(|_| range.sources.is_empty());
    let holders = holder.chain(&range.sources);
    holders.map(|instance| &instance.upstream)
}

impl<P: Platform> Node<P> {
    /// Applies the evacuations among rows of a table, and returns the rows without those that are
    /// older than what this router knows. `is_whole` tells whether these are all rows of the table;
    /// then rows of evacuations are added that are in force although a restored store lacks them.
    pub(crate) fn learn_evacuations<'a>(
        self: &Rc<Self>,
        table: Table,
        rows: &'a Rows,
        is_whole: bool,
    ) -> Cow<'a, Rows> {
        if table != Table::Configuration || self.settings.evacuation.is_none() {
            return Cow::Borrowed(rows);
        }
        let marks: Vec<Mark> = rows.rows.iter().filter_map(|row| self.mark(row)).collect();
        let (changes, added) = {
            let mut evacuations = self.evacuations.borrow_mut();
            let now = clock::now();
            let changes: Vec<Change> = if is_whole {
                evacuations.replace(&marks, rows.version, now)
            } else {
                let changes = marks
                    .iter()
                    .filter_map(|mark| evacuations.record(mark, now));
                let changes = changes.collect();
                evacuations.complete(rows.version);
                changes
            };
            let added = if is_whole {
                self.missing_rows(&evacuations, &marks)
            } else {
                Vec::new()
            };
            (changes, added)
        };
        self.apply_evacuations(changes);
        let is_current = |row: &Row| {
            self.mark(row)
                .is_none_or(|mark| mark.is_present == self.is_evacuated(&mark.data_centre))
        };
        if added.is_empty() && rows.rows.iter().all(is_current) {
            return Cow::Borrowed(rows);
        }
        let current = rows.rows.iter().filter(|row| is_current(row)).cloned();
        Cow::Owned(Rows {
            rows: current.chain(added).collect(),
            version: rows.version,
        })
    }

    /// Applies the evacuations among rows that have arrived ahead of others, for which their table
    /// has to wait.
    pub(crate) fn learn_evacuations_early(self: &Rc<Self>, table: Table, rows: &[Row]) {
        if table != Table::Configuration || self.settings.evacuation.is_none() {
            return;
        }
        let marks = rows.iter().filter_map(|row| self.mark(row));
        let changes = {
            let mut evacuations = self.evacuations.borrow_mut();
            let now = clock::now();
            marks
                .filter_map(|mark| evacuations.record(&mark, now))
                .collect()
        };
        self.apply_evacuations(changes);
    }

    fn mark(&self, row: &Row) -> Option<Mark> {
        Some(Mark {
            data_centre: self.platform.evacuation(row)?,
            version: row.version,
            is_present: row.value.is_some(),
        })
    }

    /// Returns the rows of evacuations in force that aren't among `marks`.
    fn missing_rows(&self, evacuations: &Evacuations, marks: &[Mark]) -> Vec<Row> {
        let is_missing = |evacuation: &&Evacuation| {
            let name = &evacuation.data_centre;
            !marks.iter().any(|mark| mark.data_centre == *name)
        };
        let missing: Vec<&Evacuation> = evacuations.all().filter(is_missing).collect();
        if missing.is_empty() {
            return Vec::new();
        }
        let known = self.relay.known_rows(Table::Configuration).into_iter();
        let is_wanted = |row: &Row| {
            let name = self.platform.evacuation(row);
            name.is_some_and(|name| missing.iter().any(|wanted| wanted.data_centre == name))
        };
        known.filter(is_wanted).collect()
    }

    /// Whether a data centre is evacuated.
    pub(crate) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuations.borrow().is_evacuated(data_centre)
    }

    /// Whether a request that was assigned to an upstream may still be sent to it.
    pub(crate) fn may_send(&self, upstream: &Upstream) -> bool {
        let state = self.state.borrow();
        let service = state.services.get(&upstream.service);
        service.is_none_or(|service| service.may_send(&upstream.id, clock::now()))
    }

    fn apply_evacuations(self: &Rc<Self>, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            if let Change::Ended(evacuation) = change {
                // Before any request can be sent there.
                self.assume_cold(&evacuation.data_centre);
            }
        }
        self.refresh();
        let services: Vec<Arc<str>> = self.state.borrow().services.keys().cloned().collect();
        // A leader moves keys at once.
        services.iter().for_each(|service| self.wake(service));
        for change in changes {
            match change {
                Change::Began(evacuation) => {
                    self.log_evacuation("evacuation began", &evacuation);
                    tokio::task::spawn_local(Rc::clone(self).watch_evacuation(evacuation));
                }
                Change::Ended(evacuation) => {
                    self.log_evacuation("evacuation ended", &evacuation);
                }
            }
        }
    }

    fn log_evacuation(&self, event: &str, evacuation: &Evacuation) {
        let data_centre = &*evacuation.data_centre;
        let state = self.state.borrow();
        let line = EvacuationLine {
            data_centre,
            upstreams: state.registry.in_data_centre(data_centre),
            elapsed_ms: (clock::now() - evacuation.since).as_millis() as u64,
        };
        self.log.info(event, &line);
    }

    /// Logs when nothing is left in an evacuated data centre, and what is left there after the bound.
    async fn watch_evacuation(self: Rc<Self>, evacuation: Evacuation) {
        let bound = self.settings.evacuation.unwrap_or_default();
        let mut is_late = false;
        loop {
            sleep(LEFT_POLL).await;
            let data_centre = &evacuation.data_centre;
            if self.evacuations.borrow().get(data_centre) != Some(&evacuation) {
                return;
            }
            let now = clock::now();
            let left = Left::of(&self.state.borrow(), data_centre);
            if left == Left::default() {
                self.log
                    .info("data centre empty", &left.line(&evacuation, now));
                return;
            }
            if !is_late && now - evacuation.since >= bound {
                is_late = true;
                self.log
                    .warn("data centre not empty", &left.line(&evacuation, now));
            }
        }
    }
}
