//! JSON messages of the platform and their conversion to and from the types of the model.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrassrock_model::table;
use eelgrassrock_model::{DataCentre, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Kind;
use crate::vms::{Role, State, Vm};

/// Row of the table, before its key and version are checked.
#[derive(Debug, Deserialize)]
pub(crate) struct Row {
    key: Arc<str>,
    version: u64,
    operation: Arc<str>,
    value: Arc<str>,
}

/// One page of a scan.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    pub(crate) rows: Vec<Row>,
    pub(crate) more: bool,
}

/// Body of a request that commits a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct Transaction<'a> {
    operation: &'a str,
    checks: Vec<Check<'a>>,
    writes: Vec<Write<'a>>,
}

#[derive(Debug, Serialize)]
struct Check<'a> {
    key: &'a str,
    version: u64,
}

#[derive(Debug, Serialize)]
struct Write<'a> {
    key: &'a str,
    value: Option<&'a str>,
}

/// Answer to a transaction that took effect: the new version of each written key.
#[derive(Debug, Deserialize)]
pub(crate) struct Committed {
    pub(crate) versions: IndexMap<Arc<str>, u64>,
}

/// Answer to a transaction that failed a check: the key of the check and its present row.
#[derive(Debug, Deserialize)]
pub(crate) struct Conflict {
    pub(crate) key: Arc<str>,
    // Makes the field required. By default, serde reads a missing field as `None`, which here
    // means that the row is absent.
    #[serde(deserialize_with = "Option::deserialize")]
    pub(crate) row: Option<Row>,
}

/// Answer to a request for the list of VMs.
#[derive(Debug, Deserialize)]
pub(crate) struct VmList {
    pub(crate) vms: Vec<VmEntry>,
}

/// Entry of the list of VMs.
#[derive(Debug, Deserialize)]
pub(crate) struct VmEntry {
    name: String,
    address: SocketAddr,
    data_centre: DataCentre,
    kind: VmKind,
    state: VmState,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmKind {
    Router,
    Upstream,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

/// Parses JSON. An error is [`Kind::Malformed`] with the reason.
pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Kind> {
    serde_json::from_slice(body).map_err(|error| Kind::malformed(error.to_string()))
}

/// Returns whether a text is a key or a prefix of keys: not empty and only `a-z 0-9 - /`.
pub(crate) fn is_key(text: &str) -> bool {
    let allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'/';
    !text.is_empty() && text.bytes().all(allowed)
}

impl TryFrom<Row> for table::Row {
    type Error = Kind;

    fn try_from(row: Row) -> Result<Self, Kind> {
        if !is_key(&row.key) {
            return Err(Kind::malformed(format!("`{}` is not a key", row.key)));
        }
        if row.version == 0 {
            return Err(Kind::malformed(format!("row `{}` has version 0", row.key)));
        }
        Ok(Self {
            key: row.key,
            version: Version(row.version),
            operation: table::Operation(row.operation),
            value: row.value,
        })
    }
}

impl<'a> From<&'a table::Transaction> for Transaction<'a> {
    fn from(transaction: &'a table::Transaction) -> Self {
        Self {
            operation: &transaction.operation.0,
            checks: transaction.checks.iter().map(Check::from).collect(),
            writes: transaction.writes.iter().map(Write::from).collect(),
        }
    }
}

impl<'a> From<&'a table::Check> for Check<'a> {
    fn from(check: &'a table::Check) -> Self {
        Self {
            key: &check.key,
            version: check.version.0,
        }
    }
}

impl<'a> From<&'a table::Write> for Write<'a> {
    fn from(write: &'a table::Write) -> Self {
        Self {
            key: &write.key,
            value: write.value.as_deref(),
        }
    }
}

impl TryFrom<VmEntry> for Vm {
    type Error = Kind;

    fn try_from(entry: VmEntry) -> Result<Self, Kind> {
        let fault = |fault: eelgrassrock_model::NameError| Kind::malformed(fault.to_string());
        let role = match entry.kind {
            VmKind::Router => Role::Router(entry.name.parse().map_err(fault)?),
            VmKind::Upstream => Role::Upstream(entry.name.parse().map_err(fault)?),
        };
        Ok(Self {
            role,
            address: entry.address,
            data_centre: entry.data_centre,
            state: entry.state.into(),
        })
    }
}

impl From<VmState> for State {
    fn from(state: VmState) -> Self {
        match state {
            VmState::Live => Self::Live,
            VmState::Leaving => Self::Leaving,
        }
    }
}
