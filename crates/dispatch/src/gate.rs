//! What a router may send to an upstream whose limit is owned: a cold one, or one that names a limit
//! to a large fleet.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

use crate::limit::{Bucket, Ownership, PERMIT_TIME};

/// Time after which a request may be allowed if no owner is known.
const NO_OWNER_DELAY: Duration = Duration::from_secs(1);

/// Gate of one such upstream.
#[derive(Debug)]
pub(crate) struct Gate {
    ownership: Ownership,
    /// When the limit ends, `None` if an answer will tell.
    until: Option<Instant>,
    /// Part of the limit that this router owns.
    own: Option<Bucket>,
    /// Whether another router owns a part.
    has_other: bool,
    /// Earliest time at which an owner may be asked. One question is under way at a time.
    ask_at: Instant,
}

impl Gate {
    pub(crate) fn new(ownership: Ownership, until: Option<Instant>, now: Instant) -> Self {
        Self {
            ownership,
            until,
            own: None,
            has_other: false,
            ask_at: now,
        }
    }

    /// Takes over the part of an earlier gate with the same limit.
    pub(crate) fn inherit(&mut self, earlier: Self) {
        if earlier.ownership == self.ownership {
            self.own = earlier.own;
            self.ask_at = earlier.ask_at;
        }
    }

    /// Whether the limit is in force.
    pub(crate) fn is_shut(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }

    /// Sets whether this router owns a part of the limit, and whether another one does.
    pub(crate) fn set_owners(&mut self, is_own: bool, has_other: bool, now: Instant) {
        let new = || Bucket::new(self.ownership.rate_per_s(), now);
        self.own = is_own.then(|| self.own.take().unwrap_or_else(new));
        self.has_other = has_other;
    }

    /// Whether a request may be sent at once, without a permit.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let own = self.own.as_ref();
        !self.is_shut(now) || own.is_some_and(|bucket| bucket.delay(now).is_zero())
    }

    /// Whether the owners may be asked for a permit.
    pub(crate) fn may_ask(&self, now: Instant) -> bool {
        let own = self.own.as_ref();
        let has_own = own.is_some_and(|bucket| bucket.reserve_delay(now).is_zero());
        (has_own || self.has_other) && now >= self.ask_at
    }

    /// Returns the time until a request may be sent, or a permit asked for.
    pub(crate) fn delay(&self, now: Instant) -> Duration {
        let own = self.own.as_ref();
        let own = own.map(|bucket| bucket.reserve_delay(now));
        let ask = self.has_other.then(|| self.ask_at - now);
        let both = own.into_iter().chain(ask);
        let both = both.chain(self.until.map(|until| until - now));
        both.min().unwrap_or(NO_OWNER_DELAY)
    }

    /// Returns the number of owners.
    pub(crate) fn owners(&self) -> usize {
        self.ownership.owners()
    }

    /// Returns the requests per second that an owner allows.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.ownership.rate_per_s()
    }

    /// Counts a request. Returns whether it needs the permit of an owner.
    pub(crate) fn begin(&mut self, now: Instant) -> bool {
        if !self.is_shut(now) || self.own.as_mut().is_some_and(|bucket| bucket.take(now)) {
            return false;
        }
        self.ask_at = now + PERMIT_TIME;
        true
    }

    /// Records the answer of the owners: the time until they may be asked again.
    pub(crate) fn answered(&mut self, wait: Duration, now: Instant) {
        self.ask_at = now + wait;
    }

    /// Permits a request and returns when it may be sent, or else the time after which to ask again.
    /// Returns `None` if this router owns no part.
    pub(crate) fn permit(&mut self, now: Instant) -> Option<Result<Duration, Duration>> {
        self.own.as_mut().map(|bucket| bucket.reserve(now))
    }
}
