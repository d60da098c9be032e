//! Settings of the machine.

use std::sync::Arc;
use std::time::Duration;

/// Checked settings of a [`Machine`](crate::Machine).
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) router: Arc<str>,
    pub(crate) seed: u64,
    pub(crate) queue_requests: usize,
    pub(crate) queue_bytes: u64,
    pub(crate) service_time: Duration,
    pub(crate) retry_share: f64,
    pub(crate) retry_backoff: Duration,
    pub(crate) attempts: u32,
    pub(crate) linger: Duration,
    pub(crate) lapse_retry: Duration,
    pub(crate) claims_per_second: u32,
    pub(crate) records: usize,
    pub(crate) record_bytes: usize,
    pub(crate) retention: Duration,
    pub(crate) sweep_interval: Duration,
}

impl Settings {
    /// Returns a builder with the default settings.
    ///
    /// ```
    /// use eelgrassrock_request::Settings;
    ///
    /// let settings = Settings::builder().seed(7).queue_requests(64).build();
    /// ```
    pub fn builder() -> Builder {
        Builder::default()
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Default for Builder {
    fn default() -> Self {
        Self(Settings {
            router: Arc::from("router"),
            seed: 0,
            queue_requests: 256,
            queue_bytes: 4 << 20,
            service_time: Duration::from_millis(10),
            retry_share: 0.1,
            retry_backoff: Duration::from_millis(5),
            attempts: 3,
            linger: Duration::from_secs(30),
            lapse_retry: Duration::from_secs(1),
            claims_per_second: 20,
            records: 1 << 16,
            record_bytes: 16 << 20,
            retention: Duration::from_secs(24 * 60 * 60),
            sweep_interval: Duration::from_secs(60 * 60),
        })
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $kind:ty,)*) => {
        impl Builder {
            $(
                $(#[$doc])*
                pub fn $field(mut self, value: $kind) -> Self {
                    self.0.$field = value;
                    self
                }
            )*

            /// Returns the settings.
            pub fn build(self) -> Settings {
                self.0
            }
        }
    };
}

setters! {
    /// Sets the name of this life of the router, unique across restarts. It
    /// prefixes the operations of its transactions.
    router: Arc<str>,
    /// Sets the seed of the random numbers.
    seed: u64,
    /// Sets the number of requests of one partner that may wait for one upstream.
    queue_requests: usize,
    /// Sets the bytes of one partner that may wait for one upstream.
    queue_bytes: u64,
    /// Sets the service time that is assumed before any was measured.
    service_time: Duration,
    /// Sets the retries that are allowed as a share of the requests sent.
    retry_share: f64,
    /// Sets the mean pause before the first retry; it doubles for each next one.
    retry_backoff: Duration,
    /// Sets the most attempts for one request.
    attempts: u32,
    /// Sets how long a run that must not repeat may go on after its deadline
    /// before its outcome is recorded as unknown.
    linger: Duration,
    /// Sets the time to retry that is told while an upstream holds no grant or
    /// this router stops.
    lapse_retry: Duration,
    /// Sets the transactions for claims and their outcomes per second.
    claims_per_second: u32,
    /// Sets the number of idempotency records that are kept in memory.
    records: usize,
    /// Sets the bytes of answers that are kept in memory for repeats.
    record_bytes: usize,
    /// Sets how long the outcome of an idempotency key is kept.
    retention: Duration,
    /// Sets the pause between two searches for claims whose retention is over.
    sweep_interval: Duration,
}
