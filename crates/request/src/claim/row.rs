//! Encoding of claims in the rows of the table.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrassrock_model::Digest;
use serde::{Deserialize, Serialize};

/// Claim as stored in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Row {
    /// Name of the incarnation of the router that took the claim.
    pub(crate) router: Arc<str>,
    pub(crate) body: Digest,
    pub(crate) run_state: RunState,
    /// Longest time that the run takes, from when the claim was taken.
    pub(crate) within: Duration,
    /// Time after which the row may be deleted, since the Unix epoch.
    pub(crate) expires: Option<Duration>,
}

/// State of the run under a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    Running,
    Done(u16),
    Unknown,
}

/// Error for a row that doesn't hold a claim.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the row doesn't hold a claim: {reason}")]
pub(crate) struct Fault {
    reason: String,
}

/// JSON form of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Wire {
    router: Arc<str>,
    body: Digest,
    state: WireState,
    status: Option<u16>,
    within_ms: u64,
    expires_s: Option<u64>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireState {
    Running,
    Done,
    Unknown,
}

impl From<&Row> for Wire {
    fn from(row: &Row) -> Self {
        let (state, status) = match row.run_state {
            RunState::Running => (WireState::Running, None),
            RunState::Done(status) => (WireState::Done, Some(status)),
            RunState::Unknown => (WireState::Unknown, None),
        };
        Self {
            router: row.router.clone(),
            body: row.body,
            state,
            status,
            within_ms: u64::try_from(row.within.as_millis()).unwrap_or(u64::MAX),
            expires_s: row.expires.map(|expires| expires.as_secs()),
        }
    }
}

impl TryFrom<Wire> for Row {
    type Error = Fault;

    fn try_from(wire: Wire) -> Result<Self, Fault> {
        let run_state = match (wire.state, wire.status) {
            (WireState::Running, _) => RunState::Running,
            (WireState::Done, Some(status)) => RunState::Done(status),
            (WireState::Unknown, _) => RunState::Unknown,
            (WireState::Done, None) => {
                let reason = "`status` is missing".to_owned();
                return Err(Fault { reason });
            }
        };
        Ok(Self {
            router: wire.router,
            body: wire.body,
            run_state,
            within: Duration::from_millis(wire.within_ms),
            expires: wire.expires_s.map(Duration::from_secs),
        })
    }
}

impl Row {
    pub(crate) fn encode(&self) -> Arc<str> {
        let text = serde_json::to_string(&Wire::from(self));
        Arc::from(text.expect("a claim can be written as JSON"))
    }

    pub(crate) fn decode(text: &str) -> Result<Self, Fault> {
        let wire: Wire = serde_json::from_str(text).map_err(|error| Fault {
            reason: error.to_string(),
        })?;
        Self::try_from(wire)
    }
}
