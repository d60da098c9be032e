//! Settings of the failure detection.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::{DataCentre, Router};

use super::Member;

/// Settings of one [`super::Machine`]; made by [`Settings::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub(crate) me: Member,
    pub(crate) seed: u64,
    pub(crate) period: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) remote_timeout: Duration,
    pub(crate) relay_timeout: Duration,
    pub(crate) suspicion: Duration,
    pub(crate) relays: usize,
    pub(crate) eager: usize,
    pub(crate) bridges: usize,
    pub(crate) rumour_bytes: usize,
    pub(crate) rumour_bytes_per_second: usize,
    pub(crate) forget: Duration,
    pub(crate) compare_period: Duration,
    pub(crate) settle: Duration,
    pub(crate) page_bytes: usize,
    pub(crate) pages: usize,
}

impl Settings {
    /// Starts settings for the router `router` in `data_centre`, which
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
            period: Duration::from_millis(200),
            ping_timeout: Duration::from_millis(60),
            remote_timeout: Duration::from_millis(400),
            relay_timeout: Duration::from_millis(100),
            suspicion: Duration::from_millis(300),
            relays: 3,
            eager: 3,
            bridges: 1_024,
            rumour_bytes: 600,
            rumour_bytes_per_second: 1_500,
            forget: Duration::from_secs(900),
            compare_period: Duration::from_secs(1),
            settle: Duration::from_secs(3),
            page_bytes: 1_000,
            pages: 4,
        })
    }
}

/// Builder of [`Settings`].
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
        /// Seed of the random choices.
        seed: u64,
        /// Time between two pings. 200 ms by default.
        period: Duration,
        /// Time within which a router of the same data centre answers. 60 ms
        /// by default.
        ping_timeout: Duration,
        /// Longest time within which a router of another data centre answers;
        /// it is shorter once round trips were measured. 400 ms by default.
        remote_timeout: Duration,
        /// Time within which an answer through another router arrives. 100 ms
        /// by default.
        relay_timeout: Duration,
        /// Time that a suspected router has to refute. 300 ms by default.
        suspicion: Duration,
        /// Number of routers asked to ping one that didn't answer. 3 by default.
        relays: usize,
        /// Number of routers that are told of a change at once. 3 by default.
        eager: usize,
        /// Most routers to know in each other data centre. 1,024 by default,
        /// which is all of them.
        bridges: usize,
        /// Most bytes of rumours in one datagram. 600 by default.
        rumour_bytes: usize,
        /// Most bytes of rumours sent in one second, on average. 1,500 by
        /// default.
        rumour_bytes_per_second: usize,
        /// Time after which a dead router that the platform doesn't list is
        /// forgotten. 15 minutes by default.
        forget: Duration,
        /// Least time between two comparisons of all members. 1 s by default.
        compare_period: Duration,
        /// Time for which the members must have differed from those of every
        /// peer before they are compared. 3 s by default.
        settle: Duration,
        /// Most bytes of rumours in one datagram that answers a comparison.
        /// 1,000 by default.
        page_bytes: usize,
        /// Most datagrams that answer one comparison. 4 by default.
        pages: usize,
    }

    /// Generation of this process. It must be higher than that of any earlier
    /// process with the same name. 1 by default.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.0.me.incarnation = incarnation;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
