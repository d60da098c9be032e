//! Upstreams that are leaving.
//!
//! The time for which a leaving holder still gets requests counts from the first news of it, also if
//! its entry is lost meanwhile and returns.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::upstream::Upstream;

/// Time after which the departure of an upstream that is no longer listed is dropped. It is longer
/// than outages in which the entries of running upstreams are missing.
const UNLISTED_TIME: Duration = Duration::from_secs(60);

/// Departure of one process of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    incarnation: u64,
    since: Instant,
    /// When the upstream was listed last.
    listed_at: Instant,
}

impl Departure {
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        now - self.listed_at >= UNLISTED_TIME
    }
}

impl Service {
    /// Returns since when a listed upstream has been known to leave.
    pub(super) fn leaving_since(&mut self, upstream: &Upstream, now: Instant) -> Option<Instant> {
        if !upstream.leaving {
            return None;
        }
        let known = self.departures.get(&upstream.id);
        let known = known.filter(|known| known.incarnation == upstream.incarnation);
        let since = known.map_or(now, |known| known.since);
        let departure = Departure {
            incarnation: upstream.incarnation,
            since,
            listed_at: now,
        };
        self.departures.insert(Arc::clone(&upstream.id), departure);
        Some(since)
    }
}
