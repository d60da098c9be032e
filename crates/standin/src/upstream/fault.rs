//! Faults that can be injected into an upstream.

use serde::{Deserialize, Serialize};

/// Faults of an upstream. `POST /faults` replaces all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Duration of a run, in milliseconds. The query parameter `work_ms=N`
    /// overrides it.
    pub service_ms: u64,
    /// Length of the cold start, during which runs take longer, in
    /// milliseconds.
    pub cold_start_ms: u64,
    /// Additional duration of a run during the cold start, in milliseconds.
    pub cold_extra_ms: u64,
    /// Which requests are refused with 503.
    pub shed: Shed,
    /// Whether the upstream reports that it is leaving, but still accepts requests.
    pub leaving: bool,
    /// Whether the upstream reports that it is leaving, and refuses new requests with 503.
    pub draining: bool,
    /// Time from now during which nothing is answered while the clock keeps
    /// running, in milliseconds.
    pub freeze_ms: u64,
    /// Damage to the answers to requests. The query parameter `damage=KIND`
    /// overrides it.
    pub damage: Damage,
    /// What `/health` reports.
    pub health: Health,
    /// Maximum age of the load that `/health` reports, in milliseconds.
    pub health_lag_ms: u64,
    /// Delay before an order or a ticket request is handled, in milliseconds.
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
    /// No requests; they wait for a free slot.
    #[default]
    None,
    /// Requests that find no free slot.
    Busy,
    /// All requests.
    All,
}

/// Damage to the answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// No damage.
    #[default]
    None,
    /// The body has no `Content-Length`, and the connection is closed in its middle.
    Close,
    /// The body is shorter than its `Content-Length`.
    Short,
    /// The answer is replaced with bytes that aren't HTTP.
    Garbage,
    /// The same answer is sent twice.
    Twice,
    /// The request runs, but the connection is closed without an answer.
    Lost,
    /// The answer to the previous request is sent, with that request's identifier.
    Other,
}

/// What `/health` reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The actual state and load.
    #[default]
    Truth,
    /// Always healthy and idle.
    Healthy,
    /// Always failing and fully loaded.
    Failing,
}

impl Damage {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        serde_json::from_value(text.into()).ok()
    }
}
