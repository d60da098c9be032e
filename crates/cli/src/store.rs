//! Reading and writing of bundles, approvals and rolls in the table and the object store.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use eelgrassrock_config::approval::{self, Approval};
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, CURRENT_KEY, Record, Refusal, Verdict};
use eelgrassrock_model::table::{Check, Operation, Outcome, Row, Transaction, Write};
use eelgrassrock_model::{Digest, Version};
use eelgrassrock_store::settings::Settings;
use eelgrassrock_store::{objects, table};

use crate::args::Platform;

const MAX_ATTEMPTS: u32 = 5;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Client for the rows and objects of bundles.
#[derive(Debug)]
pub struct Store {
    table: table::Client,
    objects: objects::Client,
}

/// Bundle in force, and the version of the row that names it.
#[derive(Clone, Debug)]
pub struct Current {
    /// Version of the row `bundle/current`, zero if it is absent.
    pub row_version: Version,
    /// Bundle and the record of its roll, `None` before the first roll.
    pub bundle: Option<(Bundle, Record)>,
}

/// Reason why a call failed. Nothing was changed.
#[derive(Clone, Debug, Display, Error, From)]
pub enum Fault {
    /// A call to the table or the object store failed.
    #[display("a platform call failed: {_0}")]
    Platform(eelgrassrock_store::Fault),
    /// The value of a row isn't a valid record.
    #[display("row `{key}`: {error}; the row was not changed")]
    MalformedRecord {
        /// Key of the row.
        key: String,
        /// Reason why the value isn't a record.
        error: roll::Malformed,
    },
    /// The object store has no object for a bundle that was rolled.
    #[display("the object store has no object {digest}, the bundle of version {version}")]
    MissingBundle {
        /// Digest of the bundle.
        digest: Digest,
        /// Version of the bundle.
        version: Version,
    },
    /// The row of the previous version, which is needed for the check, is missing.
    #[display("row `{key}` is missing, but is needed to check the bundle in force")]
    MissingRow {
        /// Key of the row.
        key: String,
    },
    /// The bundle in force was written to the table without passing the check of rolls.
    #[display(
        "version {version} came into force without passing the check: {}",
        format_refusals(refusals)
    )]
    Unapproved {
        /// Version of the bundle.
        version: Version,
        /// Reasons why the check refuses the bundle.
        refusals: Vec<Refusal>,
    },
    /// The stored bundle doesn't parse.
    #[display("the stored bundle of version {version} has faults:\n{report}")]
    InvalidBundle {
        /// Version of the bundle.
        version: Version,
        /// All faults of the bundle.
        report: eelgrassrock_config::Report,
    },
}

/// Result of a write to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum WriteResult {
    /// The write took effect.
    Done,
    /// Another write took effect first.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// The write may or may not have taken effect.
    Unknown,
}

impl Store {
    /// Creates a client. It connects on the first call.
    pub fn new(platform: &Platform) -> Self {
        Self {
            table: table::Client::new(platform.table, Settings::default()),
            objects: objects::Client::new(platform.objects, Settings::default()),
        }
    }

    /// Reads the bundle in force, and verifies that it passed the check of rolls.
    pub async fn current(&self) -> Result<Current, Fault> {
        let Some(row) = self.read(CURRENT_KEY).await? else {
            return Ok(Current {
                row_version: Version(0),
                bundle: None,
            });
        };
        let record = record(&row)?;
        let bundle = self.bundle(&record).await?;
        self.verify(&bundle, &record).await?;
        Ok(Current {
            row_version: row.version,
            bundle: Some((bundle, record)),
        })
    }

    /// Verifies that a bundle passed the check of rolls. Otherwise, a bundle whose
    /// row was written without the check could appoint the approvers of the next one.
    async fn verify(&self, bundle: &Bundle, record: &Record) -> Result<(), Fault> {
        let predecessor = self.predecessor(bundle).await?;
        match roll::check(predecessor.as_ref(), bundle, &record.approvals) {
            Verdict::Accepted(_) => Ok(()),
            Verdict::Refused(refusals) => Err(Fault::Unapproved {
                version: record.version,
                refusals,
            }),
        }
    }

    /// Reads the bundle that `bundle` replaces, `None` if `bundle` is the first one.
    async fn predecessor(&self, bundle: &Bundle) -> Result<Option<Bundle>, Fault> {
        let version = bundle.replaces();
        if version == Version(0) {
            return Ok(None);
        }
        let record = self.version(version).await?;
        let record = record.ok_or_else(|| Fault::MissingRow {
            key: roll::version_key(version),
        })?;
        self.bundle(&record).await.map(Some)
    }

    /// Reads the record of a version, `None` if the version wasn't rolled.
    pub async fn version(&self, version: Version) -> Result<Option<Record>, Fault> {
        let row = self.read(&roll::version_key(version)).await?;
        row.as_ref().map(record).transpose()
    }

    /// Reads the bundle of a record from the object store.
    pub async fn bundle(&self, record: &Record) -> Result<Bundle, Fault> {
        let (digest, version) = (record.digest, record.version);
        let contents = retry(|| self.objects.get(digest)).await?;
        let contents = contents.ok_or(Fault::MissingBundle { digest, version })?;
        let text = String::from_utf8_lossy(&contents);
        let name = format!("bundle version {version}");
        Bundle::parse(&name, &text).map_err(|report| Fault::InvalidBundle { version, report })
    }

    /// Reads the approvals of a bundle. Rows that don't hold a valid approval are
    /// skipped, because they can't be counted.
    pub async fn approvals(&self, digest: Digest) -> Result<Vec<Approval>, Fault> {
        let prefix = approval::row_prefix(digest);
        let rows = retry(|| self.table.scan(&prefix)).await?;
        let rows = rows.iter();
        Ok(rows
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect())
    }

    /// Stores an approval, replacing the previous value of its row.
    pub async fn approve(&self, approval: &Approval) -> Result<WriteResult, Fault> {
        let key = approval.row_key();
        let value = serde_json::to_string(approval).expect("an approval is always valid JSON");
        let row = self.read(&key).await?;
        if row.as_ref().is_some_and(|row| *row.value == *value) {
            return Ok(WriteResult::Done);
        }
        let version = row.map_or(Version(0), |row| row.version);
        let transaction = transaction(&[(&key, version)], &[(&key, value.into())]);
        Ok(self.commit(&transaction, &key).await)
    }

    /// Stores the text of a bundle in the object store.
    pub async fn put(&self, bundle: &Bundle) -> Result<(), Fault> {
        let text = bundle.text().to_string();
        retry(|| self.objects.put(text.clone().into())).await?;
        Ok(())
    }

    /// Brings a bundle into force, if the row `bundle/current` still has the version
    /// `row_version`.
    pub async fn roll(&self, row_version: Version, record: &Record) -> WriteResult {
        let key = roll::version_key(record.version);
        let value = record.to_json();
        let transaction = transaction(
            &[(CURRENT_KEY, row_version), (&key, Version(0))],
            &[(CURRENT_KEY, Arc::clone(&value)), (&key, value)],
        );
        // The row of a version is written only once, so it always shows whose
        // transaction took effect.
        self.commit(&transaction, &key).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        Ok(retry(|| self.table.read(key)).await?)
    }

    /// Sends a transaction until its result is known or the attempts are used up.
    /// Sending it again is safe, because its checks let it take effect only once.
    /// `marker` is the key of the row that shows whose transaction took effect.
    async fn commit(&self, transaction: &Transaction, marker: &str) -> WriteResult {
        let mut is_uncertain = false;
        for _ in 0..MAX_ATTEMPTS {
            let backoff = match self.table.write(transaction).await {
                Outcome::Committed(_) => return WriteResult::Done,
                Outcome::Conflict { .. } if !is_uncertain => return WriteResult::Conflict,
                Outcome::NotWritten { retry_after } => retry_after.min(MAX_BACKOFF),
                Outcome::Conflict { .. } => match self.is_applied(transaction, marker).await {
                    Some(true) => return WriteResult::Done,
                    Some(false) => return WriteResult::Conflict,
                    None => INITIAL_BACKOFF,
                },
                Outcome::Unknown => {
                    is_uncertain = true;
                    match self.is_applied(transaction, marker).await {
                        Some(true) => return WriteResult::Done,
                        Some(false) | None => INITIAL_BACKOFF,
                    }
                }
            };
            tokio::time::sleep(backoff).await;
        }
        if is_uncertain {
            WriteResult::Unknown
        } else {
            WriteResult::NotWritten
        }
    }

    /// Returns whether the marker row shows that the transaction has taken effect so
    /// far, `None` if the row can't be read.
    async fn is_applied(&self, transaction: &Transaction, marker: &str) -> Option<bool> {
        let row = self.table.read(marker).await.ok()?;
        Some(row.is_some_and(|row| row.operation == transaction.operation))
    }
}

fn format_refusals(refusals: &[Refusal]) -> String {
    let lines: Vec<String> = refusals.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

fn record(row: &Row) -> Result<Record, Fault> {
    Record::from_json(&row.value).map_err(|error| Fault::MalformedRecord {
        key: row.key.to_string(),
        error,
    })
}

fn transaction(checks: &[(&str, Version)], writes: &[(&str, Arc<str>)]) -> Transaction {
    let id = format!("operator-{:032x}", rand::random::<u128>());
    let check = |(key, version): &(&str, Version)| Check {
        key: Arc::from(*key),
        version: *version,
    };
    let write = |(key, value): &(&str, Arc<str>)| Write {
        key: Arc::from(*key),
        value: Some(Arc::clone(value)),
    };
    Transaction {
        operation: Operation(id.into()),
        checks: checks.iter().map(check).collect(),
        writes: writes.iter().map(write).collect(),
    }
}

/// Repeats a read-only or idempotent call with exponential backoff until it succeeds or
/// the attempts are used up.
async fn retry<T, F>(call: impl Fn() -> F) -> Result<T, eelgrassrock_store::Fault>
where
    F: Future<Output = Result<T, eelgrassrock_store::Fault>>,
{
    let mut backoff = INITIAL_BACKOFF;
    for _ in 1..MAX_ATTEMPTS {
        if let Ok(value) = call().await {
            return Ok(value);
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
    }
    call().await
}
