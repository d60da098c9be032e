//! Limits and local address of the calls to one service of the platform.

use std::net::IpAddr;
use std::time::Duration;

const CONNECT_TIMEOUT_MS: u64 = 500;
const TIMEOUT_MS: u64 = 2_000;
const MAX_BODY_BYTES: usize = 16 << 20;
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Shortest timeout that TCP keep-alive can measure: three intervals of one second, the unit of
/// the probes.
const KEEPALIVE_TIMEOUT_MS: u64 = 3_000;

/// Limits and local address of the calls to one service of the platform.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_store::settings::Settings;
///
/// let settings = Settings::builder()
///     .connect_timeout(Duration::from_millis(100))
///     .timeout(Duration::from_millis(400))
///     .build();
/// assert_eq!(settings.longest_call(), Duration::from_millis(500));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub(crate) connect_timeout: Duration,
    pub(crate) timeout: Duration,
    pub(crate) stall_timeout: Option<Duration>,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_buffer_bytes: Option<usize>,
    pub(crate) max_idle_connections: usize,
    pub(crate) keepalive_timeout: Duration,
    pub(crate) local_address: Option<IpAddr>,
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Settings {
    /// Returns a builder that starts from the default settings.
    pub fn builder() -> Builder {
        Builder {
            settings: Self::default(),
        }
    }

    /// Returns the longest duration of one call, including the time to connect.
    /// A scan makes one call per page.
    pub fn longest_call(&self) -> Duration {
        self.connect_timeout + self.timeout
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(CONNECT_TIMEOUT_MS),
            timeout: Duration::from_millis(TIMEOUT_MS),
            stall_timeout: None,
            max_body_bytes: MAX_BODY_BYTES,
            max_buffer_bytes: None,
            max_idle_connections: MAX_IDLE_CONNECTIONS,
            keepalive_timeout: Duration::from_millis(KEEPALIVE_TIMEOUT_MS),
            local_address: None,
        }
    }
}

impl Builder {
    /// Sets the time within which a connection must be established.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.settings.connect_timeout = timeout;
        self
    }

    /// Sets the time from the start of a request on an established connection
    /// to the end of its answer.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.settings.timeout = timeout;
        self
    }

    /// Sets the longest pause while an answer arrives. The timeout then bounds the time until the
    /// answer begins, so that a large answer over a slow link takes as long as it needs. By default
    /// the timeout bounds the complete answer.
    pub fn stall_timeout(mut self, timeout: Duration) -> Self {
        self.settings.stall_timeout = Some(timeout);
        self
    }

    /// Sets the size of the largest answer body that is accepted, in bytes.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_body_bytes = bytes;
        self
    }

    /// Sets the size of the buffer of a connection, in bytes, which bounds the head of an answer. It
    /// is at least 8 KiB. By default it is that of the HTTP library.
    pub fn max_buffer_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_buffer_bytes = Some(bytes.max(MIN_BUFFER_BYTES));
        self
    }

    /// Sets how many idle connections are kept for later calls.
    pub fn max_idle_connections(mut self, connections: usize) -> Self {
        self.settings.max_idle_connections = connections;
        self
    }

    /// Sets the time after which a connection whose peer doesn't respond is closed.
    pub fn keepalive_timeout(mut self, limit: Duration) -> Self {
        self.settings.keepalive_timeout = limit;
        self
    }

    /// Sets the local address that connections are bound to, for services that
    /// identify callers by it. By default, the operating system chooses one.
    pub fn local_address(mut self, address: IpAddr) -> Self {
        self.settings.local_address = Some(address);
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
