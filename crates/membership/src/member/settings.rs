//! Settings of the failure detection.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::{DataCentre, Router};

use super::Member;

/// Settings of one [`super::Machine`], created with [`Settings::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub(crate) me: Member,
    pub(crate) seed: u64,
    pub(crate) ping_period: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) remote_timeout: Duration,
    pub(crate) relay_timeout: Duration,
    pub(crate) suspicion_timeout: Duration,
    pub(crate) relays: usize,
    pub(crate) fan_out: usize,
    pub(crate) max_remote_members: usize,
    pub(crate) rumour_bytes: usize,
    pub(crate) rumour_bytes_per_second: usize,
    pub(crate) dead_retention: Duration,
    pub(crate) compare_period: Duration,
    pub(crate) mismatch_grace: Duration,
    pub(crate) page_bytes: usize,
    pub(crate) max_pages: usize,
}

impl Settings {
    /// Returns a builder for the router `router` in `data_centre`, which
    /// receives messages at `address`.
    ///
    /// ```
    /// use eelgrassrock_membership::member::{Machine, Settings};
    ///
    /// let settings = Settings::builder("r1".parse()?, "kigali-1".parse()?, "10.0.0.1:7000".parse()?)
    ///     .incarnation(1)
    ///     .seed(7)
    ///     .build();
    /// let machine = Machine::new(settings);
    /// assert_eq!(machine.live().len(), 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn builder(router: Router, data_centre: DataCentre, address: SocketAddr) -> Builder {
        let me = Member {
            router,
            data_centre,
            address,
            incarnation: 1,
        };
        Builder(Self {
            me,
            seed: 0,
            ping_period: Duration::from_millis(200),
            ping_timeout: Duration::from_millis(60),
            remote_timeout: Duration::from_millis(400),
            relay_timeout: Duration::from_millis(100),
            suspicion_timeout: Duration::from_millis(300),
            relays: 3,
            fan_out: 3,
            max_remote_members: 1_024,
            rumour_bytes: 600,
            rumour_bytes_per_second: 1_500,
            dead_retention: Duration::from_secs(900),
            compare_period: Duration::from_secs(1),
            mismatch_grace: Duration::from_secs(3),
            page_bytes: 1_000,
            max_pages: 4,
        })
    }
}

/// Builder of [`Settings`]. Every value has a default.
#[derive(Clone, Debug)]
pub struct Builder(Settings);

macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $kind:ty),* $(,)?) => {
        $(
            $(#[$doc])*
            pub fn $field(mut self, $field: $kind) -> Self {
                self.0.$field = $field;
                self
            }
        )*
    };
}

impl Builder {
    setters! {
        /// Seed of the random number generator. 0 by default.
        seed: u64,
        /// Time between two pings, and the longest pause of this process after
        /// which missing answers still count. 200 ms by default.
        ping_period: Duration,
        /// Timeout of a direct ping within this data centre. 60 ms by default.
        ping_timeout: Duration,
        /// Longest timeout of a direct ping to another data centre. The timeout
        /// is shorter once round-trip times are known. 400 ms by default.
        remote_timeout: Duration,
        /// Timeout of an indirect ping through another router. 100 ms by
        /// default.
        relay_timeout: Duration,
        /// Time that a suspected router has to refute the suspicion before it is
        /// declared dead. 300 ms by default.
        suspicion_timeout: Duration,
        /// Number of routers that are asked to ping one that didn't answer, and
        /// of routers that a leaving router informs directly. 3 by default.
        relays: usize,
        /// Number of routers that receive an urgent rumour at once, without
        /// waiting for the next ping. 3 by default.
        fan_out: usize,
        /// Maximum number of routers to track in each other data centre. 1,024
        /// by default, which is all of them.
        max_remote_members: usize,
        /// Maximum size of the queued rumours in one datagram, in bytes. 600 by
        /// default.
        rumour_bytes: usize,
        /// Average rate limit of rumours, in bytes per second. 1,500 by default.
        rumour_bytes_per_second: usize,
        /// Time after which the entry of a dead router or of one that left is
        /// removed if the platform doesn't list it. 15 minutes by default.
        dead_retention: Duration,
        /// Minimum time between two comparisons of all members. 1 s by default.
        compare_period: Duration,
        /// Time for which this router's view must have matched that of no peer
        /// before the members are compared. 3 s by default.
        mismatch_grace: Duration,
        /// Maximum size of the rumours in one datagram that answers a
        /// comparison, in bytes. 1,000 by default.
        page_bytes: usize,
        /// Maximum number of datagrams that answer one comparison. 4 by default.
        max_pages: usize,
    }

    /// Incarnation of this process. It must be higher than that of any earlier
    /// process with the same router name. 1 by default.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.0.me.incarnation = incarnation;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
