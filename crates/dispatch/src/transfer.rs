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

/// Versions that exist elsewhere and haven't arrived, with the time since which that is known.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::transfer::Pending;
/// use eelgrassrock_model::Revision;
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let mut pending = Pending::default();
/// pending.note(Revision::new(0, 7), now);
/// let later = now + Duration::from_secs(2);
/// assert!(pending.is_outdated(Duration::from_secs(1), later));
/// pending.arrive(Revision::new(0, 8));
/// assert!(!pending.is_outdated(Duration::from_secs(1), later));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pending(VecDeque<(Revision, Instant)>);

impl Pending {
    /// Records that a version exists, without its contents.
    pub fn note(&mut self, version: Revision, now: Instant) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        if self.0.len() < MAX_ANNOUNCED {
            self.0.push_back((version, now));
        } else if let Some((newest, _)) = self.0.back_mut() {
            *newest = version;
        }
    }

    /// Returns the highest version that hasn't arrived.
    pub fn newest(&self) -> Option<Revision> {
        self.0.back().map(|(version, _)| *version)
    }

    /// Records that contents have arrived, from any source.
    pub fn arrive(&mut self, version: Revision) {
        while self
            .0
            .front()
            .is_some_and(|(announced, _)| *announced <= version)
        {
            self.0.pop_front();
        }
    }

    /// Records that the store has answered a query that was sent at `queried_at`. It knew all
    /// versions that were known elsewhere before.
    pub fn confirm(&mut self, queried_at: Instant) {
        while self.0.front().is_some_and(|(_, at)| *at < queried_at) {
            self.0.pop_front();
        }
    }

    /// Whether contents that were noted `limit` ago haven't arrived.
    pub fn is_outdated(&self, limit: Duration, now: Instant) -> bool {
        let oldest = self.0.front();
        oldest.is_some_and(|(_, noted_at)| now - *noted_at >= limit)
    }
}

/// Call that reads the changes of a table from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// When it was sent.
    pub started: Instant,
    /// Whether its answer is arriving.
    pub is_arriving: bool,
}

/// What to do with a reading when another router has a later version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// Nothing: its answer contains that version.
    Settled,
    /// Look again later. A large answer over a slow link takes seconds, and a router that began
    /// anew with each announcement might never get one.
    Wait,
    /// Send the call again, since its connection may be dead.
    Restart,
}

impl Reading {
    /// Decides on the reading when a router has had a later version since `heard_at` at the latest.
    ///
    /// ```
    /// use eelgrassrock_dispatch::transfer::{CatchUp, Reading};
    /// use eelgrassrock_model::time::Instant;
    ///
    /// let reading = Reading { started: Instant::from_millis(5), is_arriving: false };
    /// assert_eq!(reading.catch_up(Instant::from_millis(9)), CatchUp::Restart);
    /// assert_eq!(reading.catch_up(Instant::from_millis(5)), CatchUp::Settled);
    /// ```
    pub fn catch_up(&self, heard_at: Instant) -> CatchUp {
        match self.is_arriving {
            _ if self.started >= heard_at => CatchUp::Settled,
            true => CatchUp::Wait,
            false => CatchUp::Restart,
        }
    }
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
    /// Versions that were announced and haven't arrived.
    announced: Pending,
    /// Transfers that have failed since the last one that succeeded.
    failures: u32,
}

impl<T> Default for Transfers<T> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            announced: Pending::default(),
            failures: 0,
        }
    }
}

impl<T> Transfers<T> {
    /// Queues announced contents. Returns whether their transfer has to be started, which is not so
    /// while another one is under way.
    pub fn announce(&mut self, version: Revision, announcement: T, now: Instant) -> bool {
        self.announced.note(version, now);
        self.queue.push_back(announcement);
        self.queue.len() == 1
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
        self.announced.newest()
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
        self.announced.arrive(version);
    }

    /// Whether contents that were announced `limit` ago haven't arrived.
    pub fn is_outdated(&self, limit: Duration, now: Instant) -> bool {
        self.announced.is_outdated(limit, now)
    }
}
