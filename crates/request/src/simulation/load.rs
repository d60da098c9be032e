//! Loads: upstreams, partners, request rates and faults.

use std::time::Duration;

use eelgrassrock_model::fleet::{Patience, Repeat};

/// Fault of the first upstream of a load. It starts after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Requests take this many times as long.
    Slow(u32),
    /// The upstream accepts requests and answers none. Its shards move when its lease has
    /// expired.
    Frozen,
    /// The upstream refuses connections. Its shards move when its lease has expired.
    Lost,
}

/// Partner that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    /// Name of the partner.
    pub name: String,
    /// Weight of the partner in the fair queue.
    pub weight: u32,
    /// Share of the offered load that comes from this partner, relative to the sum over all
    /// partners.
    pub load_share: f64,
}

/// Load of one service.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name of the service.
    pub name: &'static str,
    /// Number of upstreams. The keys are divided evenly between them.
    pub upstreams: u32,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Number of connections of each upstream.
    pub connections: u32,
    /// Mean service time. Service times are distributed exponentially.
    pub service_time: Duration,
    /// One-way network delay between two VMs.
    pub network_delay: Duration,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Whether callers prefer to wait or to get a prompt answer.
    pub patience: Patience,
    /// Deadline of a request, measured from the time at which it is due.
    pub deadline: Duration,
    /// Partners and their shares of the load.
    pub partners: Vec<Partner>,
    /// Offered load in percent of the capacity of all upstreams.
    pub percent: u32,
    /// Duration of the run in virtual time.
    pub duration: Duration,
    /// Fault of the first upstream.
    pub fault: Fault,
    /// Duration of the lease, after which the shards of a faulty upstream move.
    pub lease: Duration,
    /// Seed of the trace and of the state machines.
    pub seed: u64,
}

impl Load {
    fn umuhanga(name: &'static str, upstreams: u32, service_ms: u64, repeat: Repeat) -> Self {
        Self {
            name,
            upstreams,
            slots: 2,
            connections: 110,
            service_time: Duration::from_millis(service_ms),
            network_delay: Duration::from_micros(500),
            repeat,
            patience: Patience::Wait,
            deadline: Duration::from_secs(2),
            partners: partners(&["broker", "chemist", "officer"]),
            percent: 70,
            duration: Duration::from_secs(30),
            fault: Fault::None,
            lease: Duration::from_millis(800),
            seed: 1,
        }
    }

    fn sneslaede(name: &'static str, upstreams: u32, service_ms: u64, repeat: Repeat) -> Self {
        Self {
            slots: 4,
            connections: 55,
            network_delay: Duration::from_micros(750),
            patience: Patience::Prompt(Duration::from_millis(10 * service_ms)),
            partners: partners(&["outfitter-a", "outfitter-b", "outfitter-c"]),
            ..Self::umuhanga(name, upstreams, service_ms, repeat)
        }
    }

    /// Returns the load of the lookup service of Umuhanga: 8 upstreams, callers prefer to
    /// wait.
    pub fn lookup() -> Self {
        Self::umuhanga("lookup", 8, 10, Repeat::Idempotent)
    }

    /// Returns the load of the service of Umuhanga that issues sheets: 6 upstreams, at most
    /// once.
    pub fn issue() -> Self {
        Self::umuhanga("issue", 6, 40, Repeat::Once)
    }

    /// Returns the load of the label previews of Umuhanga: 11 upstreams.
    pub fn label() -> Self {
        Self::umuhanga("label", 11, 20, Repeat::Idempotent)
    }

    /// Returns the load of the catalogue service of Sneslæde: 14 upstreams, prompt answers.
    pub fn catalogue() -> Self {
        Self::sneslaede("catalogue", 14, 10, Repeat::Idempotent)
    }

    /// Returns the load of the booking service of Sneslæde: 9 upstreams, at most once.
    pub fn booking() -> Self {
        Self::sneslaede("booking", 9, 30, Repeat::Once)
    }

    /// Returns the load of the manifest service of Sneslæde: 13 upstreams, callers prefer
    /// to wait.
    pub fn manifest() -> Self {
        Self {
            patience: Patience::Wait,
            deadline: Duration::from_secs(10),
            ..Self::sneslaede("manifest", 13, 200, Repeat::Idempotent)
        }
    }

    /// Sets the offered load in percent of the capacity.
    pub fn at_percent(self, percent: u32) -> Self {
        Self { percent, ..self }
    }

    /// Sets the duration of the run in seconds of virtual time.
    pub fn seconds(self, seconds: u64) -> Self {
        let duration = Duration::from_secs(seconds);
        Self { duration, ..self }
    }

    /// Sets the fault of the first upstream.
    pub fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }

    /// Sets the seed of the trace and of the state machines.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Sets the partners and their shares of the load.
    pub fn with_partners(self, partners: Vec<Partner>) -> Self {
        Self { partners, ..self }
    }

    /// Returns the requests per second that all upstreams can serve.
    pub fn capacity(&self) -> f64 {
        f64::from(self.upstreams * self.slots) / self.service_time.as_secs_f64()
    }

    /// Returns the requests per second that are offered.
    pub fn rate(&self) -> f64 {
        self.capacity() * f64::from(self.percent) / 100.0
    }

    pub(crate) fn fault_at(&self) -> Duration {
        self.duration / 3
    }
}

fn partners(names: &[&str]) -> Vec<Partner> {
    let load_share = 1.0 / names.len() as f64;
    let partner = |name: &&str| Partner {
        name: (*name).to_owned(),
        weight: 1,
        load_share,
    };
    names.iter().map(partner).collect()
}
