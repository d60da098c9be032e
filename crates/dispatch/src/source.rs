//! Decides whether a router reads changes from a relay or from the store.
//!
//! A router always has a source of changes. A relay supplies it for as long as its responses prove
//! contact to the store within a time limit. Otherwise the router reads the store, no matter how
//! many relays it tries meanwhile and how each of them fails.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;

/// Bounds of the pause between two checks of a relay that was skipped. It grows, so that a router
/// that was lost for good costs the others little.
const MIN_CHECK_PAUSE: Duration = Duration::from_secs(3);
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(12);

/// Relays of one router, and when one of them last proved contact to the store.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::source::Sources;
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let mut sources = Sources::new(Duration::from_millis(1_300));
/// sources.start(now);
/// assert!(sources.is_supplied(now));
/// // The first relay fails, so the store is read until another one responds.
/// sources.skip(&"router-1".into());
/// assert!(!sources.is_supplied(now));
/// sources.record_contact(&"router-2".into(), now);
/// assert!(sources.is_supplied(now));
/// assert!(!sources.is_supplied(now + Duration::from_millis(1_300)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sources {
    limit: Duration,
    /// Last contact through a relay, or the time at which this router began to look for one.
    since: Option<Instant>,
    has_contact: bool,
    /// Relays that didn't prove contact to the store, with the pause until their next check.
    skipped: HashMap<Arc<str>, Duration>,
}

impl Sources {
    /// Creates the sources of a router that reads the store. `limit` is the longest time that it
    /// does without a source.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Records that this router knows its relays from now on. A router that starts waits for one.
    pub fn start(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Records that a relay has proved contact to the store.
    pub fn record_contact(&mut self, relay: &Arc<str>, now: Instant) {
        self.skipped.remove(relay);
        self.since = Some(now);
        self.has_contact = true;
    }

    /// Records that a relay didn't prove contact to the store. Returns the pause after which it is
    /// to be checked, or `None` if a check is already due.
    pub fn skip(&mut self, relay: &Arc<str>) -> Option<Duration> {
        if self.is_skipped(relay) {
            return None;
        }
        self.skipped.insert(Arc::clone(relay), MIN_CHECK_PAUSE);
        Some(MIN_CHECK_PAUSE)
    }

    /// Records that a check of a skipped relay has failed. Returns the pause until the next one.
    pub fn extend_skip(&mut self, relay: &Arc<str>) -> Duration {
        let pause = self.skipped.entry(Arc::clone(relay)).or_default();
        *pause = (*pause * 2).clamp(MIN_CHECK_PAUSE, MAX_CHECK_PAUSE);
        *pause
    }

    /// Forgets that a relay was skipped, as it is none any more.
    pub fn forget(&mut self, relay: &str) {
        self.skipped.remove(relay);
    }

    /// Whether a relay was skipped and has not responded since.
    pub fn is_skipped(&self, relay: &str) -> bool {
        self.skipped.contains_key(relay)
    }

    /// Returns the number of relays that are skipped.
    pub fn skipped(&self) -> usize {
        self.skipped.len()
    }

    /// Whether a relay supplies this router, so that it needn't read the store. A router without any
    /// contact yet doesn't wait for a second relay.
    pub fn is_supplied(&self, now: Instant) -> bool {
        let may_wait = self.has_contact || self.skipped.is_empty();
        may_wait && self.time_left(now) > Duration::ZERO
    }

    /// Returns the time until the limit passes unless a relay responds.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.since
            .map_or(Duration::ZERO, |since| since + self.limit - now)
    }
}
