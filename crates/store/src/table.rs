//! Client of the platform's transactional table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, MAX_WRITES, Outcome, Row, Transaction};
use http::{HeaderMap, Method, StatusCode};

use crate::endpoint::{Answer, Call, Endpoint};
use crate::settings::Settings;
use crate::{Fault, Kind, wire};

const MAX_PAGE_ROWS: usize = 200;
/// Delay before a write is retried if the table can't be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// State of a transaction whose answer was lost, as read back from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The transaction took effect, and this row is still as the transaction wrote it.
    Committed(Row),
    /// The transaction hasn't taken effect so far, but may still do so. A new
    /// transaction with the same checks is safe: at most one of the two takes
    /// effect.
    Pending,
    /// Another transaction has written the row since. The transaction can't take
    /// effect any more, but may have done so before. Holds the present row, or
    /// `None` if it is absent.
    Superseded(Option<Row>),
}

/// Client of the table.
///
/// ```
/// use eelgrassrock_model::table::{Operation, Outcome, Transaction, Write};
/// use eelgrassrock_store::settings::Settings;
/// use eelgrassrock_store::table::Client;
///
/// # async fn example() -> Result<(), eelgrassrock_store::Fault> {
/// let client = Client::new(([127, 0, 0, 1], 7001).into(), Settings::default());
/// let transaction = Transaction {
///     operation: Operation("router-1/17".into()),
///     checks: Vec::new(),
///     writes: vec![Write {
///         key: "home/lookup-1".into(),
///         value: Some("router-1".into()),
///     }],
/// };
/// if client.write(&transaction).await == Outcome::Unknown {
///     println!("{:?}", client.resolve(&transaction).await?);
/// }
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client. It connects when the first call is made.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        let endpoint = Endpoint::new(address, settings);
        Self { endpoint }
    }

    /// Returns a row, or `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] if the answer holds a row of another key or
    /// with version 0, and any other [`Fault`] if the call failed.
    ///
    /// # Panics
    ///
    /// Panics if `key` has characters other than `a-z 0-9 - /`.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        assert!(wire::is_key(key), "`{key}` is not a key");
        let call = Call::get(format!("/v1/rows/{key}"));
        let answer = self.endpoint.call(&call).await?;
        let result = match answer.status {
            StatusCode::OK => parse_row(&answer.body, key).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.refusal()),
        };
        result.map_err(|kind| self.endpoint.fault(&call, kind))
    }

    /// Returns all rows whose keys start with `prefix`, sorted by key. Each page
    /// is read by a separate call, so the rows aren't a consistent snapshot.
    ///
    /// # Errors
    ///
    /// If any page fails, the whole scan fails.
    ///
    /// # Panics
    ///
    /// Panics if `prefix` has characters other than `a-z 0-9 - /`.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        assert!(wire::is_key(prefix), "`{prefix}` is not a prefix of keys");
        let mut rows = Vec::new();
        while self.scan_page(prefix, &mut rows).await? == Next::Page {}
        Ok(rows)
    }

    /// Returns at most `limit` rows whose keys start with `prefix` and sort after
    /// `after`, and whether more rows follow. The limit is clamped to 1..=200.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::scan`].
    ///
    /// # Panics
    ///
    /// Panics if `prefix` or `after` has characters other than `a-z 0-9 - /`.
    pub async fn page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<(Vec<Row>, bool), Fault> {
        assert!(wire::is_key(prefix), "`{prefix}` is not a prefix of keys");
        assert!(
            after.is_empty() || wire::is_key(after),
            "`{after}` is not a key"
        );
        let mut rows = Vec::new();
        let path = page_path(prefix, after, limit.clamp(1, MAX_PAGE_ROWS));
        let next = self.read_page(path, prefix, &mut rows).await?;
        Ok((rows, next == Next::Page))
    }

    /// Sends a transaction. Any failure after the request may have been sent is
    /// [`Outcome::Unknown`], unless a valid answer of the table says otherwise.
    ///
    /// # Panics
    ///
    /// Panics if the transaction has more than [`MAX_WRITES`] writes or a key
    /// with characters other than `a-z 0-9 - /`.
    pub async fn write(&self, transaction: &Transaction) -> Outcome {
        assert_valid(transaction);
        let call = Call {
            method: Method::POST,
            path: "/v1/transactions".to_owned(),
            headers: HeaderMap::new(),
            body: encode(transaction),
            timeout: None,
        };
        match self.endpoint.call(&call).await {
            Ok(answer) => outcome(&answer, transaction),
            Err(fault) => outcome_of_fault(&fault),
        }
    }

    /// Reads back whether a transaction took effect. Each row carries the
    /// identifier of the operation that wrote it last, which is compared with
    /// that of the transaction.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the row can't be read. The outcome is unknown still.
    ///
    /// # Panics
    ///
    /// Panics if the transaction writes nothing.
    pub async fn resolve(&self, transaction: &Transaction) -> Result<Resolution, Fault> {
        let key = resolution_key(transaction);
        let row = self.read(key).await?;
        Ok(resolution(transaction, key, row))
    }

    async fn scan_page(&self, prefix: &str, rows: &mut Vec<Row>) -> Result<Next, Fault> {
        let after = rows.last().map_or("", |row| &row.key);
        let path = page_path(prefix, after, MAX_PAGE_ROWS);
        self.read_page(path, prefix, rows).await
    }

    async fn read_page(
        &self,
        path: String,
        prefix: &str,
        rows: &mut Vec<Row>,
    ) -> Result<Next, Fault> {
        let call = Call::get(path);
        let answer = self.endpoint.call(&call).await?;
        let result = match answer.status {
            StatusCode::OK => append_page(&answer.body, prefix, rows),
            _ => Err(answer.refusal()),
        };
        result.map_err(|kind| self.endpoint.fault(&call, kind))
    }
}

/// Whether a scan continues with another page or has reached its end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Page,
    End,
}

fn page_path(prefix: &str, after: &str, limit: usize) -> String {
    format!("/v1/rows?prefix={prefix}&after={after}&limit={limit}")
}

fn parse_row(body: &[u8], key: &str) -> Result<Row, Kind> {
    let row: wire::Row = wire::parse(body)?;
    let row = Row::try_from(row)?;
    if &*row.key == key {
        Ok(row)
    } else {
        Err(Kind::malformed(format!(
            "the answer has row `{}` instead of `{key}`",
            row.key
        )))
    }
}

fn append_page(body: &[u8], prefix: &str, rows: &mut Vec<Row>) -> Result<Next, Kind> {
    let page: wire::Page = wire::parse(body)?;
    if page.more && page.rows.is_empty() {
        return Err(Kind::malformed("a page without rows that isn't the last"));
    }
    for row in page.rows {
        let row = Row::try_from(row)?;
        let follows = rows.last().is_none_or(|last| last.key < row.key);
        if !follows || !row.key.starts_with(prefix) {
            return Err(Kind::malformed(format!(
                "row `{}` is out of order or has another prefix",
                row.key
            )));
        }
        rows.push(row);
    }
    Ok(if page.more { Next::Page } else { Next::End })
}

fn assert_valid(transaction: &Transaction) {
    assert!(
        transaction.writes.len() <= MAX_WRITES,
        "a transaction has at most {MAX_WRITES} writes"
    );
    let written = transaction.writes.iter().map(|write| &write.key);
    let checked = transaction.checks.iter().map(|check| &check.key);
    for key in written.chain(checked) {
        assert!(wire::is_key(key), "`{key}` is not a key");
    }
}

fn encode(transaction: &Transaction) -> Bytes {
    let body = wire::Transaction::from(transaction);
    serde_json::to_vec(&body)
        .expect("texts and numbers are valid JSON")
        .into()
}

fn outcome_of_fault(fault: &Fault) -> Outcome {
    match fault.kind {
        Kind::Unreachable(_) => Outcome::NotWritten {
            retry_after: RECONNECT_DELAY,
        },
        _ => Outcome::Unknown,
    }
}

fn outcome(answer: &Answer, transaction: &Transaction) -> Outcome {
    let outcome = match answer.status {
        StatusCode::OK => committed(&answer.body, transaction),
        StatusCode::CONFLICT => conflict(&answer.body, transaction),
        _ => answer
            .retry_delay()
            .map(|retry_after| Outcome::NotWritten { retry_after }),
    };
    outcome.unwrap_or(Outcome::Unknown)
}

/// Returns `None` if the answer can't be parsed, lacks the version of a written row or gives it
/// version 0.
fn committed(body: &[u8], transaction: &Transaction) -> Option<Outcome> {
    let answer: wire::Committed = wire::parse(body).ok()?;
    let mut versions = Vec::with_capacity(transaction.writes.len());
    for write in &transaction.writes {
        let version = match write.value {
            Some(_) => Version(*answer.versions.get(&write.key)?),
            None => Version(0),
        };
        if write.value.is_some() && version == Version(0) {
            return None;
        }
        versions.push(Check {
            key: write.key.clone(),
            version,
        });
    }
    Some(Outcome::Committed(versions))
}

/// Returns `None` if the answer can't be parsed or its row contradicts no check of the
/// transaction.
fn conflict(body: &[u8], transaction: &Transaction) -> Option<Outcome> {
    let answer: wire::Conflict = wire::parse(body).ok()?;
    let key = answer.key;
    let row = answer.row.map(Row::try_from).transpose().ok()?;
    if row.as_ref().is_some_and(|row| row.key != key) {
        return None;
    }
    let check = transaction.checks.iter().find(|check| check.key == key)?;
    if check.version == version_of(row.as_ref()) {
        return None;
    }
    Some(Outcome::Conflict { key, row })
}

fn version_of(row: Option<&Row>) -> Version {
    row.map_or(Version(0), |row| row.version)
}

fn checked_version(transaction: &Transaction, key: &str) -> Option<Version> {
    let check = transaction.checks.iter().find(|check| &*check.key == key);
    check.map(|check| check.version)
}

/// Returns the key by which a transaction is resolved. A row that is written rather than deleted
/// comes first, since it carries the operation identifier. Among those, a row that is also checked
/// comes first, since its version shows whether another transaction has written it.
fn resolution_key(transaction: &Transaction) -> &Arc<str> {
    let checked = |key: &str| checked_version(transaction, key).is_some();
    let best = transaction
        .writes
        .iter()
        .max_by_key(|write| (write.value.is_some(), checked(&write.key)));
    &best.expect("the transaction writes something").key
}

fn resolution(transaction: &Transaction, key: &str, row: Option<Row>) -> Resolution {
    let version = version_of(row.as_ref());
    match row {
        Some(row) if row.operation == transaction.operation => Resolution::Committed(row),
        row if checked_version(transaction, key).is_some_and(|checked| checked != version) => {
            Resolution::Superseded(row)
        }
        _ => Resolution::Pending,
    }
}
