//! What the table and the object store say about bundles.

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

const ATTEMPTS: u32 = 5;
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Client of the rows and objects that concern bundles.
#[derive(Debug)]
pub struct Store {
    table: table::Client,
    objects: objects::Client,
}

/// Bundle in force, and the row that says so.
#[derive(Clone, Debug)]
pub struct Current {
    /// Version of the row, zero if it is absent.
    pub row: Version,
    /// Bundle and record, `None` before the first roll.
    pub bundle: Option<(Bundle, Record)>,
}

/// Why the store gave no answer that can be used. Nothing was changed.
#[derive(Clone, Debug, Display, Error, From)]
pub enum Fault {
    /// A call failed.
    #[display("the platform can't be used: {_0}")]
    Platform(eelgrassrock_store::Fault),
    /// A row holds something else than a record.
    #[display("row `{key}`: {fault}; it was left as it is")]
    Record {
        /// Key of the row.
        key: String,
        /// What is wrong.
        fault: roll::Malformed,
    },
    /// The object store lacks the bundle in force.
    #[display("the object store lacks {digest}, the bundle of version {version}")]
    Lacking {
        /// Digest that was asked for.
        digest: Digest,
        /// Its version.
        version: Version,
    },
    /// A row that is needed is absent.
    #[display("row `{key}` is missing, which is needed to check the bundle after it")]
    Missing {
        /// Key of the row.
        key: String,
    },
    /// The bundle in force was written around the rule.
    #[display(
        "version {version} came into force without the rule: {}",
        show_refusals(refusals)
    )]
    Unapproved {
        /// Its version.
        version: Version,
        /// What the rule says of it.
        refusals: Vec<Refusal>,
    },
    /// The stored bundle has faults.
    #[display("the stored bundle of version {version} has faults:\n{report}")]
    Faulty {
        /// Its version.
        version: Version,
        /// All faults.
        report: eelgrassrock_config::Report,
    },
}

/// How a change of the table ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Change {
    /// It took effect.
    Done,
    /// Another writer was first.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

impl Store {
    /// Creates a client. It connects when the first call is made.
    pub fn new(platform: &Platform) -> Self {
        Self {
            table: table::Client::new(platform.table, Settings::default()),
            objects: objects::Client::new(platform.objects, Settings::default()),
        }
    }

    /// Reads the bundle in force.
    pub async fn current(&self) -> Result<Current, Fault> {
        let Some(row) = self.read(CURRENT_KEY).await? else {
            return Ok(Current {
                row: Version(0),
                bundle: None,
            });
        };
        let record = record(&row)?;
        let bundle = self.bundle(&record).await?;
        self.verify(&bundle, &record).await?;
        Ok(Current {
            row: row.version,
            bundle: Some((bundle, record)),
        })
    }

    /// Checks that a bundle came into force by the rule, so that a row that was
    /// written around it appoints no approvers.
    async fn verify(&self, bundle: &Bundle, record: &Record) -> Result<(), Fault> {
        let before = self.before(bundle).await?;
        match roll::check(before.as_ref(), bundle, &record.approvals) {
            Verdict::Accepted(_) => Ok(()),
            Verdict::Refused(refusals) => Err(Fault::Unapproved {
                version: record.version,
                refusals,
            }),
        }
    }

    async fn before(&self, bundle: &Bundle) -> Result<Option<Bundle>, Fault> {
        let version = bundle.replaces();
        if version == Version(0) {
            return Ok(None);
        }
        let record = self.version(version).await?;
        let record = record.ok_or_else(|| Fault::Missing {
            key: roll::version_key(version),
        })?;
        self.bundle(&record).await.map(Some)
    }

    /// Reads the record of one version.
    pub async fn version(&self, version: Version) -> Result<Option<Record>, Fault> {
        let row = self.read(&roll::version_key(version)).await?;
        row.as_ref().map(record).transpose()
    }

    /// Reads the bundle that a record names.
    pub async fn bundle(&self, record: &Record) -> Result<Bundle, Fault> {
        let (digest, version) = (record.digest, record.version);
        let contents = retry(|| self.objects.get(digest)).await?;
        let contents = contents.ok_or(Fault::Lacking { digest, version })?;
        let text = String::from_utf8_lossy(&contents);
        let name = format!("bundle version {version}");
        Bundle::parse(&name, &text).map_err(|report| Fault::Faulty { version, report })
    }

    /// Reads the approvals of a bundle. Rows that hold none are left out, since
    /// they can't count.
    pub async fn approvals(&self, digest: Digest) -> Result<Vec<Approval>, Fault> {
        let prefix = approval::row_prefix(digest);
        let rows = retry(|| self.table.scan(&prefix)).await?;
        let rows = rows.iter();
        Ok(rows
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect())
    }

    /// Stores an approval in the place of what its row holds.
    pub async fn approve(&self, approval: &Approval) -> Result<Change, Fault> {
        let key = approval.row_key();
        let value = serde_json::to_string(approval).expect("an approval is always valid JSON");
        let row = self.read(&key).await?;
        if row.as_ref().is_some_and(|row| *row.value == *value) {
            return Ok(Change::Done);
        }
        let version = row.map_or(Version(0), |row| row.version);
        let transaction = transaction(&[(&key, version)], &[(&key, value.into())]);
        Ok(self.commit(&transaction, &key).await)
    }

    /// Stores the text of a bundle.
    pub async fn put(&self, bundle: &Bundle) -> Result<(), Fault> {
        let text = bundle.text().to_string();
        retry(|| self.objects.put(text.clone().into())).await?;
        Ok(())
    }

    /// Brings a record into force, if `bundle/current` still has the version
    /// `row`.
    pub async fn roll(&self, row: Version, record: &Record) -> Change {
        let key = roll::version_key(record.version);
        let value = record.to_json();
        let transaction = transaction(
            &[(CURRENT_KEY, row), (&key, Version(0))],
            &[(CURRENT_KEY, Arc::clone(&value)), (&key, value)],
        );
        // The row of a version is written once, so it tells for ever whose
        // transaction took effect.
        self.commit(&transaction, &key).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        Ok(retry(|| self.table.read(key)).await?)
    }

    /// Sends a transaction until it is known how it ended. Sending it again is
    /// safe, as its checks let it take effect once. `witness` is the row that
    /// tells whose transaction took effect.
    async fn commit(&self, transaction: &Transaction, witness: &str) -> Change {
        let mut maybe_sent = false;
        for _ in 0..ATTEMPTS {
            let pause = match self.table.write(transaction).await {
                Outcome::Committed(_) => return Change::Done,
                Outcome::Conflict { .. } if !maybe_sent => return Change::Conflict,
                Outcome::NotWritten { retry_after } => retry_after.min(LONGEST_PAUSE),
                Outcome::Conflict { .. } => match self.wrote(transaction, witness).await {
                    Some(true) => return Change::Done,
                    Some(false) => return Change::Conflict,
                    None => FIRST_PAUSE,
                },
                Outcome::Unknown => {
                    maybe_sent = true;
                    match self.wrote(transaction, witness).await {
                        Some(true) => return Change::Done,
                        Some(false) | None => FIRST_PAUSE,
                    }
                }
            };
            tokio::time::sleep(pause).await;
        }
        if maybe_sent {
            Change::Unknown
        } else {
            Change::NotWritten
        }
    }

    /// Tells by the witness row whether the transaction has taken effect so
    /// far, `None` if the row can't be read.
    async fn wrote(&self, transaction: &Transaction, witness: &str) -> Option<bool> {
        let row = self.table.read(witness).await.ok()?;
        Some(row.is_some_and(|row| row.operation == transaction.operation))
    }
}

fn show_refusals(refusals: &[Refusal]) -> String {
    let lines: Vec<String> = refusals.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

fn record(row: &Row) -> Result<Record, Fault> {
    Record::from_json(&row.value).map_err(|fault| Fault::Record {
        key: row.key.to_string(),
        fault,
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

/// Makes a call that changes nothing, or nothing twice, until it succeeds.
async fn retry<T, F>(call: impl Fn() -> F) -> Result<T, eelgrassrock_store::Fault>
where
    F: Future<Output = Result<T, eelgrassrock_store::Fault>>,
{
    let mut pause = FIRST_PAUSE;
    for _ in 1..ATTEMPTS {
        if let Ok(value) = call().await {
            return Ok(value);
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    call().await
}
