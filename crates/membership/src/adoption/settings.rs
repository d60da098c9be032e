//! Settings of the adoption of bundles.

use std::time::Duration;

use eelgrassrock_model::{DataCentre, Router};

/// Settings of one [`super::Machine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this router.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of routers per data centre that read the row.
    pub pollers: usize,
    /// Time between two reads of the row by one router.
    pub poll_period: Duration,
    /// Longest time between two reads that fail, and the time between two
    /// reads by a router that isn't elected but has nobody to learn from.
    pub poll_backoff: Duration,
    /// Time after which a read counts as failed.
    pub poll_timeout: Duration,
    /// Number of routers that must tell a fresh one their bundle.
    pub answers: usize,
    /// Time between two rounds of questions by a fresh router.
    pub ask_period: Duration,
    /// Time after which a fresh router is content with one answer.
    pub patience: Duration,
    /// Time after which a fetch or a check counts as failed.
    pub fetch_timeout: Duration,
    /// Time before the first retry of a fetch; it grows with each retry.
    pub fetch_backoff: Duration,
}

impl Settings {
    /// Returns the default settings.
    pub fn new(router: Router, data_centre: DataCentre, seed: u64) -> Self {
        Self {
            router,
            data_centre,
            seed,
            pollers: 2,
            poll_period: Duration::from_secs(1),
            poll_backoff: Duration::from_secs(5),
            poll_timeout: Duration::from_secs(2),
            answers: 3,
            ask_period: Duration::from_millis(500),
            patience: Duration::from_secs(2),
            fetch_timeout: Duration::from_millis(500),
            fetch_backoff: Duration::from_millis(50),
        }
    }
}
