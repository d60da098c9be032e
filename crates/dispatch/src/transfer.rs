//! Decides how a router gets contents that another router has announced, and from when on it is
//! outdated without them.
//!
//! Contents may take seconds over a busy link. So only one transfer is under way, and it goes on
//! when later contents are announced: a router that began anew with each announcement might never
//! finish one.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;

/// Transfers that fail one after another until the store is read.
const MAX_FAILURES: u32 = 2;
/// Maximum number of announcements whose times are remembered.
const MAX_ANNOUNCED: usize = 64;

/// What follows a failed transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Asks for the announcements again, since another router may have become the source.
    Announcements,
    /// Reads the contents from the store.
    Store,
}

/// Announced contents that haven't arrived yet.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::transfer::Transfers;
/// use eelgrassrock_model::Revision;
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let mut transfers = Transfers::default();
/// assert!(transfers.announce(Revision::new(0, 7), "from router-1", now));
/// // One transfer is under way.
/// assert!(!transfers.announce(Revision::new(0, 8), "from router-2", now));
/// assert_eq!(transfers.finish(), Some("from router-1"));
/// transfers.arrive(Revision::new(0, 7));
/// assert_eq!(transfers.current(), Some(&"from router-2"));
/// let later = now + Duration::from_secs(2);
/// assert!(transfers.is_outdated(Duration::from_secs(1), later));
/// ```
#[derive(Debug)]
pub struct Transfers<T> {
    /// Announcements, oldest first. The first one is being transferred.
    queue: VecDeque<T>,
    /// Versions that were announced and haven't arrived, with the time of the announcement.
    announced: VecDeque<(Revision, Instant)>,
    /// Transfers that have failed since the last one that succeeded.
    failures: u32,
}

impl<T> Default for Transfers<T> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            announced: VecDeque::new(),
            failures: 0,
        }
    }
}

impl<T> Transfers<T> {
    /// Queues announced contents. Returns whether their transfer has to be started, which is not so
    /// while another one is under way.
    pub fn announce(&mut self, version: Revision, announcement: T, now: Instant) -> bool {
        self.note(version, now);
        self.queue.push_back(announcement);
        self.queue.len() == 1
    }

    /// Records that a version exists, without its contents.
    fn note(&mut self, version: Revision, now: Instant) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        if self.announced.len() < MAX_ANNOUNCED {
            self.announced.push_back((version, now));
        } else if let Some((newest, _)) = self.announced.back_mut() {
            *newest = version;
        }
    }

    /// Returns the announcement whose contents are being transferred.
    pub fn current(&self) -> Option<&T> {
        self.queue.front()
    }

    /// Returns the announcement whose contents are being transferred, to be completed.
    pub fn current_mut(&mut self) -> Option<&mut T> {
        self.queue.front_mut()
    }

    /// Returns the announcements behind the current one, oldest first.
    pub fn queued(&self) -> impl Iterator<Item = &T> {
        self.queue.iter().skip(1)
    }

    /// Returns the last announcement.
    pub fn last(&self) -> Option<&T> {
        self.queue.back()
    }

    /// Returns the highest version that was announced and hasn't arrived.
    pub fn newest(&self) -> Option<Revision> {
        self.announced.back().map(|(version, _)| *version)
    }

    /// Records that the current transfer is complete, and returns its announcement. The next one
    /// follows at once.
    pub fn finish(&mut self) -> Option<T> {
        self.failures = 0;
        self.queue.pop_front()
    }

    /// Records that the current transfer has failed. All announcements are dropped, since their
    /// source may be gone.
    pub fn fail(&mut self) -> Retry {
        self.queue.clear();
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return Retry::Announcements;
        }
        self.failures = 0;
        Retry::Store
    }

    /// Records that contents have arrived, from any source.
    pub fn arrive(&mut self, version: Revision) {
        while self
            .announced
            .front()
            .is_some_and(|(announced, _)| *announced <= version)
        {
            self.announced.pop_front();
        }
    }

    /// Whether contents that were announced `limit` ago haven't arrived.
    pub fn is_outdated(&self, limit: Duration, now: Instant) -> bool {
        let oldest = self.announced.front();
        oldest.is_some_and(|(_, announced_at)| now - *announced_at >= limit)
    }
}
