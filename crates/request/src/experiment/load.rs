//! Loads: fleets, partners, rates and faults.

use std::time::Duration;

use eelgrassrock_model::fleet::{Patience, Repeat};

/// Fault of the first upstream of a load, from a third of the run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Requests take this many times as long.
    Slow(u32),
    /// It accepts requests and answers nothing. Its shards are moved when its
    /// lease has expired.
    Frozen,
    /// Connections are refused. Its shards are moved when its lease has expired.
    Lost,
}

/// Requests of one partner.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the partner.
    pub name: String,
    /// Weight of the partner.
    pub weight: u32,
    /// Part of the offered load that comes from this partner.
    pub part: f64,
}

/// Load of one service.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name of the service.
    pub name: &'static str,
    /// Number of upstreams, between which the keys are divided evenly.
    pub upstreams: u32,
    /// Slots of each upstream.
    pub slots: u32,
    /// Connections of each upstream.
    pub connections: u32,
    /// Mean service time; times are distributed exponentially.
    pub service_time: Duration,
    /// Time on the way between two machines.
    pub hop: Duration,
    /// Whether requests may repeat.
    pub repeat: Repeat,
    /// Whether callers rather wait.
    pub patience: Patience,
    /// Time within which an answer is good.
    pub deadline: Duration,
    /// Partners and their parts of the load.
    pub customers: Vec<Customer>,
    /// Offered load in percent of the capacity of all upstreams.
    pub percent: u32,
    /// Length of the run in virtual time.
    pub length: Duration,
    /// Fault of the first upstream.
    pub fault: Fault,
    /// Lease, after which the shards of a faulty upstream are moved.
    pub lease: Duration,
    /// Seed of the trace and of the machine.
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
            hop: Duration::from_micros(500),
            repeat,
            patience: Patience::Wait,
            deadline: Duration::from_secs(2),
            customers: customers(&["broker", "chemist", "officer"]),
            percent: 70,
            length: Duration::from_secs(30),
            fault: Fault::None,
            lease: Duration::from_millis(800),
            seed: 1,
        }
    }

    fn sneslaede(name: &'static str, upstreams: u32, service_ms: u64, repeat: Repeat) -> Self {
        Self {
            slots: 4,
            connections: 55,
            hop: Duration::from_micros(750),
            patience: Patience::Prompt(Duration::from_millis(10 * service_ms)),
            customers: customers(&["outfitter-a", "outfitter-b", "outfitter-c"]),
            ..Self::umuhanga(name, upstreams, service_ms, repeat)
        }
    }

    /// Returns the lookups of Umuhanga: 8 upstreams, callers rather wait.
    pub fn lookup() -> Self {
        Self::umuhanga("lookup", 8, 10, Repeat::Idempotent)
    }

    /// Returns the issuing of sheets of Umuhanga: 6 upstreams, at most once.
    pub fn issue() -> Self {
        Self::umuhanga("issue", 6, 40, Repeat::Once)
    }

    /// Returns the label previews of Umuhanga: 11 upstreams.
    pub fn label() -> Self {
        Self::umuhanga("label", 11, 20, Repeat::Idempotent)
    }

    /// Returns the catalogue of Sneslæde: 14 upstreams, prompt answers.
    pub fn catalogue() -> Self {
        Self::sneslaede("catalogue", 14, 10, Repeat::Idempotent)
    }

    /// Returns the booking of Sneslæde: 9 upstreams, at most once.
    pub fn booking() -> Self {
        Self::sneslaede("booking", 9, 30, Repeat::Once)
    }

    /// Returns the manifests of Sneslæde: 13 upstreams, callers rather wait.
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

    /// Sets the length of the run.
    pub fn seconds(self, seconds: u64) -> Self {
        let length = Duration::from_secs(seconds);
        Self { length, ..self }
    }

    /// Sets the fault of the first upstream.
    pub fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }

    /// Sets the seed.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Sets the partners.
    pub fn with_customers(self, customers: Vec<Customer>) -> Self {
        Self { customers, ..self }
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
        self.length / 3
    }
}

fn customers(names: &[&str]) -> Vec<Customer> {
    let part = 1.0 / names.len() as f64;
    let customer = |name: &&str| Customer {
        name: (*name).to_owned(),
        weight: 1,
        part,
    };
    names.iter().map(customer).collect()
}
