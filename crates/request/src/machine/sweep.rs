//! Deletion of claims whose retention has ended.
//!
//! One home per service reads the rows of all claims page by page, including those left
//! behind by lost routers. The expiry of a claim is compared with the time of day, with an
//! allowance for clock skew. Nothing else depends on the time of day.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table::Row;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Service};

use super::Machine;
use crate::action::Action;
use crate::claim::{self, Intent, Record, State};
use crate::event::{Grant, Unreadable};

const PAGE_ROWS: usize = 64;
const PAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum difference between the clocks of two routers.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60 * 60);

/// Progress of the deletion.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    /// Last reading of the time of day, and when it was taken.
    time_of_day: Option<(Instant, Duration)>,
    next_at: Option<Instant>,
    services: Vec<Service>,
    /// Key after which the next page starts.
    after: Option<Arc<str>>,
    /// Whether a page is being read.
    is_reading: bool,
}

impl Sweep {
    pub(crate) fn wake(&self) -> Option<Instant> {
        if self.is_reading { None } else { self.next_at }
    }

    pub(crate) fn stop(&mut self) {
        self.next_at = None;
        self.is_reading = false;
    }

    /// Returns the time of day as time since the Unix epoch.
    pub(crate) fn time_of_day(&self, now: Instant) -> Option<Duration> {
        let (at, unix) = self.time_of_day?;
        Some(unix + (now - at))
    }
}

impl Machine {
    pub(crate) fn set_time_of_day(&mut self, now: Instant, unix: Duration) {
        self.sweep.time_of_day = Some((now, unix));
        let first = now + self.settings.sweep_interval;
        if !self.draining {
            self.sweep.next_at.get_or_insert(first);
        }
    }

    /// Reads the next page if it is due.
    pub(crate) fn run_sweep(&mut self, now: Instant) {
        if self.sweep.wake().is_none_or(|at| at > now) {
            return;
        }
        if self.sweep.services.is_empty() {
            self.sweep.services = self.swept_services();
            self.sweep.after = None;
        }
        let Some(service) = self.sweep.services.last() else {
            self.sweep.next_at = Some(now + self.settings.sweep_interval);
            return;
        };
        self.sweep.is_reading = true;
        let prefix = prefix(service);
        let after = self.sweep.after.clone();
        self.actions.push(Action::Scan {
            after: after.unwrap_or_else(|| prefix.clone()),
            prefix,
            limit: PAGE_ROWS,
        });
    }

    /// Returns the services whose first upstream has its home here.
    fn swept_services(&self) -> Vec<Service> {
        let services = self.fleet.services.keys();
        let swept = services.filter(|service| {
            let mut upstreams = self.fleet.upstreams.iter();
            let first = upstreams.find(|(_, declared)| declared.service == **service);
            let state = first.and_then(|(name, _)| self.upstreams.get(name));
            state.is_some_and(|state| state.grant != Grant::Released)
        });
        swept.cloned().collect()
    }

    /// Handles a page of claims.
    pub(crate) fn scanned(&mut self, now: Instant, rows: Result<Vec<Row>, Unreadable>, more: bool) {
        if !std::mem::replace(&mut self.sweep.is_reading, false) {
            return;
        }
        self.sweep.next_at = Some(now + PAGE_INTERVAL);
        let Ok(rows) = rows else {
            self.sweep.next_at = Some(now + self.settings.sweep_interval);
            return;
        };
        self.sweep.after = rows.last().map(|row| row.key.clone());
        for row in &rows {
            self.sweep_row(now, row);
        }
        if !more {
            self.sweep.services.pop();
            self.sweep.after = None;
        }
        if self.sweep.services.is_empty() {
            self.sweep.next_at = Some(now + self.settings.sweep_interval);
        }
    }

    fn sweep_row(&mut self, now: Instant, row: &Row) {
        let (Ok(claim), Some(time_of_day)) =
            (claim::Row::decode(&row.value), self.sweep.time_of_day(now))
        else {
            return;
        };
        let expired = |expires: Duration| expires + MAX_CLOCK_SKEW < time_of_day;
        if !claim.expires.is_some_and(expired) {
            return;
        }
        if self.records.get(&row.key).is_none() {
            let record = Record::expired(claim.body, row.version);
            self.records.insert(row.key.clone(), record);
        }
        let Some(record) = self.records.get_mut(&row.key) else {
            return;
        };
        let in_use = matches!(record.state, State::Claiming(_) | State::Running(_))
            || !record.followers.is_empty()
            || matches!(record.intent, Some(Intent::Claim | Intent::Record));
        if !in_use {
            record.expire(row.version);
            self.writer.push_update(now, row.key.clone());
        }
    }
}

fn prefix(service: &Service) -> Arc<str> {
    Arc::from(format!("claim/{}/", service.as_str()))
}
