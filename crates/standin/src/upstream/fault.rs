//! Faults of an upstream.

use serde::{Deserialize, Serialize};

/// Faults of an upstream. `POST /faults` replaces them all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that a request takes, in milliseconds. The query `work_ms=N`
    /// overrides it.
    pub service_ms: u64,
    /// Time after the start during which requests take longer, in
    /// milliseconds.
    pub cold_start_ms: u64,
    /// Time that a request takes longer during the cold start, in
    /// milliseconds.
    pub cold_extra_ms: u64,
    /// Which requests are refused with 503.
    pub shed: Shed,
    /// It says that it is leaving, and goes on working.
    pub leaving: bool,
    /// It says that it is leaving, and refuses new requests with 503.
    pub draining: bool,
    /// Time from now during which nothing is answered while the clock goes on,
    /// in milliseconds.
    pub freeze_ms: u64,
    /// How answers to requests are damaged. The query `damage=KIND` overrides
    /// it.
    pub damage: Damage,
    /// What `/health` says.
    pub health: Health,
    /// Age that a reading of `/health` may reach, in milliseconds.
    pub health_lag_ms: u64,
    /// Time that an order or a ticket takes, in milliseconds.
    pub order_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            service_ms: 0,
            cold_start_ms: 0,
            cold_extra_ms: 0,
            shed: Shed::None,
            leaving: false,
            draining: false,
            freeze_ms: 0,
            damage: Damage::None,
            health: Health::Truth,
            health_lag_ms: 0,
            order_ms: 0,
        }
    }
}

/// Which requests are refused with 503.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shed {
    /// None: they wait for a slot.
    #[default]
    None,
    /// Those that find no free slot.
    Busy,
    /// All.
    All,
}

/// How answers to requests are damaged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// They are whole.
    #[default]
    None,
    /// The body has no stated length and breaks off in the middle.
    Close,
    /// The body is shorter than its stated length.
    Short,
    /// Bytes that aren't HTTP.
    Garbage,
    /// The same answer is sent twice.
    Twice,
    /// The connection is closed instead of an answer, after the run.
    Lost,
    /// The answer to the request before, with its identifier.
    Other,
}

/// What `/health` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The truth.
    #[default]
    Truth,
    /// Healthy and idle.
    Healthy,
    /// Failing and overloaded.
    Failing,
}

impl Damage {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        serde_json::from_value(text.into()).ok()
    }
}
