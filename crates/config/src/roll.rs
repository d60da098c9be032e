//! The check that decides whether a bundle may replace the one in force.
//!
//! The operator's command and every router apply the same check, so a row
//! that was written to the table without passing it has no effect.

use std::sync::Arc;

use derive_more::{Display, Error};
use eelgrassrock_model::{Approver, Digest, Version};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::approval::{Approval, Rejection};
use crate::bundle::Bundle;
use crate::diff::{self, Change};

/// Key of the row that names the bundle in force.
pub const CURRENT_KEY: &str = "bundle/current";

/// Version of the stored format of [`Record`] that this release reads and writes.
pub const FORMAT: u32 = 1;

/// Returns the key of the row that stores the record of one version. A router
/// that missed versions reads these rows to check each roll in turn.
///
/// ```
/// use eelgrassrock_config::roll;
/// use eelgrassrock_model::Version;
///
/// assert_eq!(roll::version_key(Version(7)), "bundle/7");
/// ```
pub fn version_key(version: Version) -> String {
    format!("bundle/{version}")
}

/// Record of a roll: the bundle that came into force and its approvals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub struct Record {
    /// Version of the bundle.
    pub version: Version,
    /// Digest of the text of the bundle, which is also its key in the object store.
    pub digest: Digest,
    /// Approvals that were counted when the bundle was rolled.
    pub approvals: Vec<Approval>,
}

/// Serialized form of [`Record`] in the table.
#[derive(Clone, Serialize, Deserialize)]
struct Wire {
    format: u32,
    version: Version,
    digest: Digest,
    approvals: Vec<Approval>,
}

/// Reason why the value of a row isn't a record. Such a row must not be taken
/// as evidence of any roll.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Malformed {
    /// The row is not JSON of the right shape.
    #[display("the row is not a roll record: {_0}")]
    Json(#[error(not(source))] String),
    /// The row has a format that this release doesn't read, such as that of a later release.
    #[display("the row has format {_0}, but this release reads format {FORMAT}")]
    Format(#[error(not(source))] u32),
    /// The version is zero.
    #[display("the row has version 0, but versions start with 1")]
    Version,
    /// An approval is for another bundle.
    #[display("the approval of `{_0}` is for another bundle")]
    Approval(#[error(not(source))] Approver),
}

impl TryFrom<Wire> for Record {
    type Error = Malformed;

    fn try_from(wire: Wire) -> Result<Self, Malformed> {
        if wire.format != FORMAT {
            return Err(Malformed::Format(wire.format));
        }
        if wire.version == Version(0) {
            return Err(Malformed::Version);
        }
        let is_for_other_bundle = |approval: &&Approval| {
            approval.version != wire.version || approval.digest != wire.digest
        };
        if let Some(approval) = wire.approvals.iter().find(is_for_other_bundle) {
            return Err(Malformed::Approval(approval.approver.clone()));
        }
        Ok(Self {
            version: wire.version,
            digest: wire.digest,
            approvals: wire.approvals,
        })
    }
}

impl From<Record> for Wire {
    fn from(record: Record) -> Self {
        Self {
            format: FORMAT,
            version: record.version,
            digest: record.digest,
            approvals: record.approvals,
        }
    }
}

impl Record {
    /// Creates the record of a roll of `bundle`.
    pub fn new(bundle: &Bundle, approvals: Vec<Approval>) -> Self {
        Self {
            version: bundle.version(),
            digest: bundle.digest(),
            approvals,
        }
    }

    /// Parses the value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the text isn't a valid record in format [`FORMAT`].
    ///
    /// ```
    /// use eelgrassrock_config::roll::Record;
    ///
    /// assert!(Record::from_json("{}").is_err());
    /// ```
    pub fn from_json(text: &str) -> Result<Self, Malformed> {
        let wire: Wire =
            serde_json::from_str(text).map_err(|error| Malformed::Json(error.to_string()))?;
        Self::try_from(wire)
    }

    /// Serializes the record as the value of a row.
    pub fn to_json(&self) -> Arc<str> {
        let text = serde_json::to_string(self).expect("a record is always valid JSON");
        Arc::from(text)
    }
}

/// Result of the check whether a bundle may come into force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// The bundle may come into force with these valid approvals.
    Accepted(Vec<Approval>),
    /// The bundle may not come into force, for these reasons.
    Refused(Vec<Refusal>),
}

/// Reason why a bundle may not come into force.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The version doesn't directly follow the one in force.
    #[display("version {found} can't replace version {in_force}: version {} is next", in_force.next())]
    Version {
        /// Version in force, zero if there is none.
        in_force: Version,
        /// Version of the new bundle.
        found: Version,
    },
    /// Fewer approvers signed than required.
    #[display("{found} of {required} required approvals{}", format_ignored(ignored))]
    Approvals {
        /// Number of approvals that the bundle in force requires.
        required: usize,
        /// Number of valid approvals by distinct approvers.
        found: usize,
        /// Approvals that weren't counted.
        ignored: Vec<Ignored>,
    },
    /// A roll must not make one of the changes.
    #[display("{change}: {reason}")]
    Change {
        /// Change that isn't allowed.
        change: Change,
        /// Explanation, with the alternative if there is one.
        reason: &'static str,
    },
}

/// Approval that wasn't counted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the approval of `{approver}` does not count: {reason}")]
pub struct Ignored {
    /// Approver that the approval names.
    pub approver: Approver,
    /// Reason why it wasn't counted.
    pub reason: Rejection,
}

fn format_ignored(ignored: &[Ignored]) -> String {
    ignored
        .iter()
        .map(|ignored| format!("; {ignored}"))
        .collect()
}

/// Decides whether `next` may replace `in_force`.
///
/// The version of `next` must directly follow, all changes must be allowed, and
/// enough distinct approvers must have signed the digest of `next`. The bundle
/// in force declares the approvers and the required number. The first bundle
/// is checked against its own approvers and number.
///
/// ```
/// use eelgrassrock_config::{bundle::Bundle, roll};
///
/// fn may_roll(in_force: &Bundle, next: &Bundle) -> bool {
///     let verdict = roll::check(Some(in_force), next, &[]);
///     matches!(verdict, roll::Verdict::Accepted(_))
/// }
/// ```
pub fn check(in_force: Option<&Bundle>, next: &Bundle, approvals: &[Approval]) -> Verdict {
    let mut refusals = Vec::new();
    refusals.extend(check_version(in_force, next));
    refusals.extend(
        in_force
            .into_iter()
            .flat_map(|old| check_changes(old, next)),
    );
    let (valid, ignored) = partition_approvals(in_force.unwrap_or(next), next, approvals);
    let required = in_force.unwrap_or(next).required_approvals();
    if valid.len() < required {
        refusals.push(Refusal::Approvals {
            required,
            found: valid.len(),
            ignored,
        });
    }
    if refusals.is_empty() {
        Verdict::Accepted(valid)
    } else {
        Verdict::Refused(refusals)
    }
}

fn check_version(in_force: Option<&Bundle>, next: &Bundle) -> Option<Refusal> {
    let in_force = in_force.map_or(Version(0), Bundle::version);
    let found = next.version();
    (found != in_force.next()).then_some(Refusal::Version { in_force, found })
}

fn check_changes(old: &Bundle, next: &Bundle) -> Vec<Refusal> {
    let changes = diff::diff(old, next).into_iter();
    let refusal = |change: Change| {
        let reason = change.refusal()?;
        Some(Refusal::Change { change, reason })
    };
    changes.filter_map(refusal).collect()
}

/// Splits `approvals` into the valid ones, at most one for each approver, and the rest.
///
/// `authority` is the bundle that declares the approvers.
fn partition_approvals(
    authority: &Bundle,
    next: &Bundle,
    approvals: &[Approval],
) -> (Vec<Approval>, Vec<Ignored>) {
    let mut counted = IndexSet::new();
    let (mut valid, mut ignored) = (Vec::new(), Vec::new());
    for approval in approvals {
        match check_approval(authority, next, approval, &counted) {
            Ok(()) => {
                counted.insert(approval.approver.clone());
                valid.push(approval.clone());
            }
            Err(reason) => ignored.push(Ignored {
                approver: approval.approver.clone(),
                reason,
            }),
        }
    }
    (valid, ignored)
}

fn check_approval(
    authority: &Bundle,
    next: &Bundle,
    approval: &Approval,
    counted: &IndexSet<Approver>,
) -> Result<(), Rejection> {
    let key = authority
        .approvers()
        .get(&approval.approver)
        .ok_or(Rejection::UnknownApprover)?;
    approval.check(next, key)?;
    if counted.contains(&approval.approver) {
        return Err(Rejection::Repeated);
    }
    Ok(())
}
