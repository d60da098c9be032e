//! Judges whether a bundle may come into force, by the rule of rolls.

use std::sync::Arc;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Record, Verdict};
use eelgrassrock_membership::adoption;
use eelgrassrock_model::{Digest, Version};

use crate::node::Node;

/// Most rolls that are checked one by one. A router that missed more is
/// replaced by a fresh one.
const MAX_MISSED_ROLLS: u64 = 10_000;

/// Whether a bundle may come into force.
pub(crate) enum Approval {
    /// It may.
    Accepted(Box<Bundle>),
    /// It must not.
    Refused(String),
    /// The platform didn't give what is needed to tell. Ask again later.
    Undecided(String),
}

/// Why one step of a chain of rolls wasn't accepted.
enum Obstacle {
    Refused(String),
    Unknown(String),
}

/// Judges a record whose contents are at hand.
///
/// Every bundle is judged by the one before it, so that nobody can name the
/// approvers of his own bundle. A router that missed rolls checks each of
/// them. A fresh router checks the last one; if the platform is out of reach
/// it takes the word of the peers, who checked it and hold the secret.
pub(crate) async fn verify(node: &Node, record: &adoption::Record) -> Approval {
    match check(node, record).await {
        Ok(bundle) => Approval::Accepted(Box::new(bundle)),
        Err(Obstacle::Refused(reason)) => Approval::Refused(reason),
        Err(Obstacle::Unknown(reason)) => Approval::Undecided(reason),
    }
}

async fn check(node: &Node, record: &adoption::Record) -> Result<Bundle, Obstacle> {
    let last = Record::from_json(&record.approvals).map_err(refused)?;
    if last.version != record.version || last.digest != record.digest {
        return Err(refused("its record is of another bundle"));
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
) -> Result<Bundle, Obstacle> {
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

async fn check_fresh(node: &Node, last: &Record) -> Result<Bundle, Obstacle> {
    let bundle = load(node, last).await?;
    if last.version == Version(1) {
        approve(None, &bundle, last)?;
        return Ok(bundle);
    }
    let before = Version(last.version.0 - 1);
    let loaded = match read_record(node, before).await {
        Ok(record) => load(node, &record).await,
        Err(obstacle) => Err(obstacle),
    };
    match loaded {
        Ok(before) => approve(Some(&before), &bundle, last)?,
        Err(Obstacle::Unknown(_)) if node.membership.live().len() > 1 => {}
        Err(obstacle) => return Err(obstacle),
    }
    Ok(bundle)
}

fn approve(before: Option<&Bundle>, next: &Bundle, record: &Record) -> Result<(), Obstacle> {
    match roll::check(before, next, &record.approvals) {
        Verdict::Accepted(_) => Ok(()),
        Verdict::Refused(refusals) => {
            let reasons: Vec<String> = refusals.iter().map(ToString::to_string).collect();
            Err(Obstacle::Refused(reasons.join("; ")))
        }
    }
}

/// Reads the record of an earlier roll.
async fn read_record(node: &Node, version: Version) -> Result<Record, Obstacle> {
    let key = roll::version_key(version);
    let row = node.read_row(&key).await.map_err(unknown)?;
    let row = row.ok_or_else(|| refused(format!("row `{key}` is missing")))?;
    let record = Record::from_json(&row.value).map_err(refused)?;
    if record.version == version {
        Ok(record)
    } else {
        Err(refused(format!("row `{key}` is of another version")))
    }
}

/// Reads the bundle of a record.
async fn load(node: &Node, record: &Record) -> Result<Bundle, Obstacle> {
    let bytes = contents(node, record.digest).await?;
    let text = std::str::from_utf8(&bytes).map_err(refused)?;
    let name = format!("bundle {}", record.version);
    let bundle = Bundle::parse(&name, text).map_err(refused)?;
    if bundle.version() == record.version {
        Ok(bundle)
    } else {
        Err(refused("its record is of another bundle"))
    }
}

async fn contents(node: &Node, digest: Digest) -> Result<Arc<[u8]>, Obstacle> {
    if let Some(bytes) = node.bundles.get(digest) {
        return Ok(bytes);
    }
    let fetched = node.objects.get(digest).await.map_err(unknown)?;
    let bytes = fetched.ok_or_else(|| unknown(format!("object {digest} is missing")))?;
    Ok(Arc::from(&bytes[..]))
}

fn refused(reason: impl std::fmt::Display) -> Obstacle {
    Obstacle::Refused(reason.to_string())
}

fn unknown(reason: impl std::fmt::Display) -> Obstacle {
    Obstacle::Unknown(reason.to_string())
}
