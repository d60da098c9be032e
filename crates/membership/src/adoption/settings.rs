//! Settings of the adoption of bundles.

use std::time::Duration;

use eelgrassrock_model::{DataCentre, Router};

/// Settings of one [`super::Machine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this router.
    pub router: Router,
    /// Data centre of this router.
    pub data_centre: DataCentre,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of routers per data centre that poll the row of the current bundle.
    pub pollers: usize,
    /// Time between two polls of the row by one elected router.
    pub poll_period: Duration,
    /// Longest backoff after failed polls, and the time between two polls by a router
    /// that isn't elected but learns of no bundle from its peers.
    pub poll_backoff: Duration,
    /// Timeout of a poll.
    pub poll_timeout: Duration,
    /// Number of peers that must tell a fresh router which bundle they have in force
    /// before it serves, unless it has read the row itself.
    pub required_answers: usize,
    /// Time between two rounds in which a fresh router asks its peers.
    pub ask_period: Duration,
    /// Time after which the answer of one peer suffices. A router that isn't ready by
    /// then also polls the row itself, even if it isn't elected.
    pub answers_timeout: Duration,
    /// Timeout of a fetch or a check.
    pub fetch_timeout: Duration,
    /// Backoff before the first retry of a fetch. It grows with each retry.
    pub fetch_backoff: Duration,
}

impl Settings {
    /// Returns the default settings for `router` in `data_centre`.
    pub fn new(router: Router, data_centre: DataCentre, seed: u64) -> Self {
        Self {
            router,
            data_centre,
            seed,
            pollers: 2,
            poll_period: Duration::from_secs(1),
            poll_backoff: Duration::from_secs(5),
            poll_timeout: Duration::from_secs(2),
            required_answers: 3,
            ask_period: Duration::from_millis(500),
            answers_timeout: Duration::from_secs(2),
            fetch_timeout: Duration::from_millis(500),
            fetch_backoff: Duration::from_millis(50),
        }
    }
}
