//! The rule that decides whether a bundle may replace the one in force.
//!
//! The operator's command and every router apply the same rule, so that a row
//! that was written around the command changes nothing.

use std::sync::Arc;

use derive_more::{Display, Error};
use eelgrassrock_model::{Approver, Digest, Version};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::approval::{Approval, Flaw};
use crate::bundle::Bundle;
use crate::diff::{self, Change};

/// Key of the row that names the bundle in force.
pub const CURRENT_KEY: &str = "bundle/current";

/// Format of [`Record`] that this release writes and reads.
pub const FORMAT: u32 = 1;

/// Returns the key of the row that keeps the record of one version, so that a
/// router that missed versions can walk the chain.
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

/// Record of a roll: the bundle that came into force, and who approved it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub struct Record {
    /// Version of the bundle.
    pub version: Version,
    /// Digest of its text, which is also its name in the object store.
    pub digest: Digest,
    /// Approvals that were counted.
    pub approvals: Vec<Approval>,
}

/// [`Record`] as the table keeps it.
#[derive(Clone, Serialize, Deserialize)]
struct Wire {
    format: u32,
    version: Version,
    digest: Digest,
    approvals: Vec<Approval>,
}

/// Why the value of a row isn't a record. Nothing may be concluded from such a
/// row.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Malformed {
    /// The row is not JSON of the right shape.
    #[display("the row is not a roll record: {_0}")]
    Json(#[error(not(source))] String),
    /// A later release wrote the row.
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
        let foreign = |approval: &&Approval| {
            approval.version != wire.version || approval.digest != wire.digest
        };
        if let Some(approval) = wire.approvals.iter().find(foreign) {
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
    /// Creates the record of rolling `bundle`.
    pub fn new(bundle: &Bundle, approvals: Vec<Approval>) -> Self {
        Self {
            version: bundle.version(),
            digest: bundle.digest(),
            approvals,
        }
    }

    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if it isn't a record that this release knows.
    ///
    /// ```
    /// use eelgrassrock_config::roll::Record;
    ///
    /// assert!(Record::from_json("{}").is_err());
    /// ```
    pub fn from_json(text: &str) -> Result<Self, Malformed> {
        let wire: Wire =
            serde_json::from_str(text).map_err(|fault| Malformed::Json(fault.to_string()))?;
        Self::try_from(wire)
    }

    /// Returns the value of a row.
    pub fn to_json(&self) -> Arc<str> {
        let text = serde_json::to_string(self).expect("a record is always valid JSON");
        Arc::from(text)
    }
}

/// Whether a bundle may come into force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// It may. Holds the approvals that count.
    Accepted(Vec<Approval>),
    /// It may not, for each of these reasons.
    Refused(Vec<Refusal>),
}

/// Reason why a bundle may not come into force.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The version doesn't follow the one in force.
    #[display("version {found} can't replace version {in_force}: version {} is next", in_force.next())]
    Version {
        /// Version in force, zero if there is none.
        in_force: Version,
        /// Version of the new bundle.
        found: Version,
    },
    /// Too few approvers signed.
    #[display("{found} of {required} required approvals{}", show_ignored(ignored))]
    Approvals {
        /// Approvals that the bundle in force demands.
        required: usize,
        /// Distinct valid ones.
        found: usize,
        /// Those that don't count.
        ignored: Vec<Ignored>,
    },
    /// A change isn't allowed between two versions.
    #[display("{change}: {reason}")]
    Change {
        /// The change.
        change: Change,
        /// Why it isn't allowed.
        reason: &'static str,
    },
}

/// Approval that doesn't count.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the approval of `{approver}` does not count: {flaw}")]
pub struct Ignored {
    /// Name that the approval gives.
    pub approver: Approver,
    /// Why it doesn't count.
    pub flaw: Flaw,
}

fn show_ignored(ignored: &[Ignored]) -> String {
    ignored
        .iter()
        .map(|ignored| format!("; {ignored}"))
        .collect()
}

/// Decides whether `next` may replace `in_force`.
///
/// The version must follow directly, the changes must be allowed, and at least
/// as many distinct approvers as the bundle in force demands must have signed
/// the digest of `next`. The very first bundle is checked against itself.
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
    let (valid, ignored) = sort_approvals(in_force.unwrap_or(next), next, approvals);
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

fn sort_approvals(
    judge: &Bundle,
    next: &Bundle,
    approvals: &[Approval],
) -> (Vec<Approval>, Vec<Ignored>) {
    let mut seen = IndexSet::new();
    let (mut valid, mut ignored) = (Vec::new(), Vec::new());
    for approval in approvals {
        match check_approval(judge, next, approval, &seen) {
            Ok(()) => {
                seen.insert(approval.approver.clone());
                valid.push(approval.clone());
            }
            Err(flaw) => ignored.push(Ignored {
                approver: approval.approver.clone(),
                flaw,
            }),
        }
    }
    (valid, ignored)
}

fn check_approval(
    judge: &Bundle,
    next: &Bundle,
    approval: &Approval,
    seen: &IndexSet<Approver>,
) -> Result<(), Flaw> {
    let key = judge
        .approvers()
        .get(&approval.approver)
        .ok_or(Flaw::Stranger)?;
    approval.check(next, key)?;
    if seen.contains(&approval.approver) {
        return Err(Flaw::Repeated);
    }
    Ok(())
}
