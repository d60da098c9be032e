//! Settings of the state machine.

use std::sync::Arc;
use std::time::Duration;

/// Settings of a [`Machine`](crate::Machine).
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) router: Arc<str>,
    pub(crate) seed: u64,
    pub(crate) queue_requests: usize,
    pub(crate) queue_bytes: u64,
    pub(crate) initial_service_time: Duration,
    pub(crate) retry_budget_ratio: f64,
    pub(crate) retry_backoff: Duration,
    pub(crate) max_attempts: u32,
    pub(crate) completion_grace: Duration,
    pub(crate) unavailable_retry_after: Duration,
    pub(crate) claims_per_second: u32,
    pub(crate) max_records: usize,
    pub(crate) max_answer_bytes: usize,
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
            initial_service_time: Duration::from_millis(10),
            retry_budget_ratio: 0.1,
            retry_backoff: Duration::from_millis(5),
            max_attempts: 3,
            completion_grace: Duration::from_secs(30),
            unavailable_retry_after: Duration::from_secs(1),
            claims_per_second: 20,
            max_records: 1 << 16,
            max_answer_bytes: 16 << 20,
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
    /// Sets the name of this incarnation of the router, unique across restarts. It prefixes
    /// the operations of its transactions.
    router: Arc<str>,
    /// Sets the seed of the random number generator.
    seed: u64,
    /// Sets how many requests of one partner may wait for one upstream.
    queue_requests: usize,
    /// Sets how many bytes of requests of one partner may wait for one upstream.
    queue_bytes: u64,
    /// Sets the service time that is assumed before any was measured.
    initial_service_time: Duration,
    /// Sets the maximum ratio of retries to requests sent.
    retry_budget_ratio: f64,
    /// Sets the mean backoff before the first retry. The backoff doubles with each further
    /// retry.
    retry_backoff: Duration,
    /// Sets the maximum number of attempts for one request.
    max_attempts: u32,
    /// Sets the grace period after the deadline in which a run that must not be repeated
    /// may still complete. After it, the outcome is recorded as unknown.
    completion_grace: Duration,
    /// Sets the retry time that callers are told while an upstream holds no grant or this
    /// router stops.
    unavailable_retry_after: Duration,
    /// Sets the maximum number of transactions per second for claims and their outcomes.
    claims_per_second: u32,
    /// Sets the number of idempotency records in memory above which idle ones are evicted.
    max_records: usize,
    /// Sets the maximum number of bytes of answers that are kept in memory for repeats.
    max_answer_bytes: usize,
    /// Sets how long the outcome of an idempotency key is kept in the table.
    retention: Duration,
    /// Sets the interval between two scans for claims whose retention has ended.
    sweep_interval: Duration,
}
