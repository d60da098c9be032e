//! Settings of a machine.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::{DataCentre, Router};

const DEFAULT_LEASE: Duration = Duration::from_millis(500);
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(100);
const DEFAULT_DRIFT_PPM: u32 = 1_000;
const DEFAULT_AUTHORITY: Duration = Duration::from_secs(4 * 60 * 60);
const PPM: u32 = 1_000_000;

/// Settings of a machine, created by [`Settings::builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) router: Router,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: DataCentre,
    pub(crate) nonce: String,
    pub(crate) lease: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) drift_ppm: u32,
    pub(crate) authority: Duration,
    pub(crate) seed: u64,
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Settings {
    /// Creates a builder for the router `router`, which other routers reach at `address`. `nonce`
    /// is unique for each start of the process.
    ///
    /// ```
    /// use eelgrassrock_ownership::{Machine, Settings};
    ///
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let settings = Settings::builder("r1".parse()?, address, "dc1".parse()?, "4f2a").build();
    /// let machine = Machine::new(settings);
    /// assert!(machine.snapshot().homes.is_empty());
    /// # Ok::<(), eelgrassrock_model::NameError>(())
    /// ```
    pub fn builder(
        router: Router,
        address: SocketAddr,
        data_centre: DataCentre,
        nonce: &str,
    ) -> Builder {
        Builder(Self {
            router,
            address,
            data_centre,
            nonce: nonce.to_owned(),
            lease: DEFAULT_LEASE,
            heartbeat: DEFAULT_HEARTBEAT,
            drift_ppm: DEFAULT_DRIFT_PPM,
            authority: DEFAULT_AUTHORITY,
            seed: 0,
        })
    }

    /// Returns how long this router must wait so that at least `span` has passed on every
    /// other clock.
    pub(crate) fn upper_bound(&self, span: Duration) -> Duration {
        span + self.drift(span)
    }

    /// Returns how long this router may rely on `span`: on no other clock has `span`
    /// passed by then.
    pub(crate) fn lower_bound(&self, span: Duration) -> Duration {
        span.saturating_sub(self.drift(span))
    }

    /// Returns the largest difference between two clocks over `span`. Both clocks may
    /// drift, in opposite directions.
    fn drift(&self, span: Duration) -> Duration {
        span * (2 * self.drift_ppm) / PPM + Duration::from_micros(1)
    }
}

impl Builder {
    /// Sets the time after which a grant expires unless it is renewed.
    pub fn lease(mut self, lease: Duration) -> Self {
        self.0.lease = lease;
        self
    }

    /// Sets the interval at which grants are renewed.
    pub fn heartbeat(mut self, heartbeat: Duration) -> Self {
        self.0.heartbeat = heartbeat;
        self
    }

    /// Sets the bound on the drift of any clock, in parts per million.
    pub fn drift_ppm(mut self, drift_ppm: u32) -> Self {
        self.0.drift_ppm = drift_ppm;
        self
    }

    /// Sets how long a home may give orders without contact to the table.
    pub fn authority(mut self, authority: Duration) -> Self {
        self.0.authority = authority;
        self
    }

    /// Sets the seed for random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.0.seed = seed;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
