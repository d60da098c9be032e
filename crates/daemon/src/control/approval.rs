//! Checks the approvals of a bundle before it comes into force.

use std::sync::Arc;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Record, Verdict};
use eelgrassrock_membership::adoption;
use eelgrassrock_model::{Digest, Version};

use crate::node::Node;

/// Maximum number of missed rolls that a router checks one by one. A router that missed
/// more must be replaced.
const MAX_MISSED_ROLLS: u64 = 10_000;

/// Result of the check of a bundle.
pub(crate) enum Approval {
    /// The bundle may come into force.
    Accepted(Box<Bundle>),
    /// The bundle must not come into force. Contains the reasons.
    Refused(String),
    /// The platform didn't return the rows or objects needed for the check, which can be
    /// repeated later. Contains the reason.
    Undecided(String),
}

/// Error that ends the check of a bundle.
enum CheckError {
    Refused(String),
    Undecided(String),
}

/// Checks whether the bundle of a record may come into force.
///
/// Each bundle is checked against the approvers of its predecessor, so that a bundle
/// can't name its own approvers. A router that missed rolls checks each of them. A fresh
/// router checks only the latest one. If it can't read the predecessor from the platform
/// and has live peers, it trusts the peers, which have checked the bundle and hold the
/// secret of the deployment.
pub(crate) async fn verify(node: &Node, record: &adoption::Record) -> Approval {
    match check(node, record).await {
        Ok(bundle) => Approval::Accepted(Box::new(bundle)),
        Err(CheckError::Refused(reason)) => Approval::Refused(reason),
        Err(CheckError::Undecided(reason)) => Approval::Undecided(reason),
    }
}

async fn check(node: &Node, record: &adoption::Record) -> Result<Bundle, CheckError> {
    let last = Record::from_json(&record.approvals).map_err(refused)?;
    if last.version != record.version || last.digest != record.digest {
        return Err(refused(
            "the approval record is for another version or digest",
        ));
    }
    match node.bundle() {
        Some(in_force) => check_chain(node, in_force, &last).await,
        None => check_fresh(node, &last).await,
    }
}

async fn check_chain(
    node: &Node,
    in_force: Arc<Bundle>,
    last: &Record,
) -> Result<Bundle, CheckError> {
    let missed = last.version.0.saturating_sub(in_force.version().0);
    if missed > MAX_MISSED_ROLLS {
        return Err(refused("too many rolls were missed; replace this router"));
    }
    let mut before = in_force;
    while before.version().next() < last.version {
        let record = read_record(node, before.version().next()).await?;
        let bundle = load(node, &record).await?;
        approve(Some(&before), &bundle, &record)?;
        before = Arc::new(bundle);
    }
    let bundle = load(node, last).await?;
    approve(Some(&before), &bundle, last)?;
    Ok(bundle)
}

async fn check_fresh(node: &Node, last: &Record) -> Result<Bundle, CheckError> {
    let bundle = load(node, last).await?;
    if last.version == Version(1) {
        approve(None, &bundle, last)?;
        return Ok(bundle);
    }
    let before = Version(last.version.0 - 1);
    let loaded = match read_record(node, before).await {
        Ok(record) => load(node, &record).await,
        Err(error) => Err(error),
    };
    match loaded {
        Ok(before) => approve(Some(&before), &bundle, last)?,
        Err(CheckError::Undecided(_)) if node.membership.live().len() > 1 => {}
        Err(error) => return Err(error),
    }
    Ok(bundle)
}

fn approve(before: Option<&Bundle>, next: &Bundle, record: &Record) -> Result<(), CheckError> {
    match roll::check(before, next, &record.approvals) {
        Verdict::Accepted(_) => Ok(()),
        Verdict::Refused(refusals) => {
            let reasons: Vec<String> = refusals.iter().map(ToString::to_string).collect();
            Err(CheckError::Refused(reasons.join("; ")))
        }
    }
}

/// Reads the record of the roll to a version.
async fn read_record(node: &Node, version: Version) -> Result<Record, CheckError> {
    let key = roll::version_key(version);
    let row = node.read_row(&key).await.map_err(undecided)?;
    let row = row.ok_or_else(|| refused(format!("row `{key}` is missing")))?;
    let record = Record::from_json(&row.value).map_err(refused)?;
    if record.version == version {
        Ok(record)
    } else {
        Err(refused(format!("row `{key}` is for another version")))
    }
}

/// Reads the contents for a record and parses them.
async fn load(node: &Node, record: &Record) -> Result<Bundle, CheckError> {
    let bytes = contents(node, record.digest).await?;
    let text = std::str::from_utf8(&bytes).map_err(refused)?;
    let name = format!("bundle {}", record.version);
    let bundle = Bundle::parse(&name, text).map_err(refused)?;
    if bundle.version() == record.version {
        Ok(bundle)
    } else {
        Err(refused("the approval record is for another version"))
    }
}

async fn contents(node: &Node, digest: Digest) -> Result<Arc<[u8]>, CheckError> {
    if let Some(bytes) = node.bundles.get(digest) {
        return Ok(bytes);
    }
    let fetched = node.objects.get(digest).await.map_err(undecided)?;
    let bytes = fetched.ok_or_else(|| undecided(format!("object {digest} is missing")))?;
    Ok(Arc::from(&bytes[..]))
}

fn refused(reason: impl std::fmt::Display) -> CheckError {
    CheckError::Refused(reason.to_string())
}

fn undecided(reason: impl std::fmt::Display) -> CheckError {
    CheckError::Undecided(reason.to_string())
}
