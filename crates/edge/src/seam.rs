//! What a platform supplies: a store with change feeds, the meaning of its
//! rows, orders to upstreams, and the framing of requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use eelgrassrock_dispatch::directory::Directory;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_ranges::leader::{Order, Outcome};
use eelgrassrock_store::Fault;
use http::{HeaderMap, Method, StatusCode};

/// Tables of the store that the router reads.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Table {
    /// What the operator declares.
    #[display("configuration")]
    Configuration,
    /// What the upstreams say of themselves.
    #[display("registry")]
    Registry,
    /// Routers and duties; written and followed by the routers.
    #[display("routers")]
    Routers,
    /// Maps of key ranges; written by keepers and followed by nobody, since
    /// routers tell each other.
    #[display("maps")]
    Maps,
}

/// Where a row is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// Its table.
    pub table: Table,
    /// Its name within the table.
    pub key: Arc<str>,
}

impl Name {
    /// Creates the name of a row.
    pub fn new(table: Table, key: impl Into<Arc<str>>) -> Self {
        Self {
            table,
            key: key.into(),
        }
    }
}

/// Row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name within the table.
    pub key: Arc<str>,
    /// Contents, `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Version of its last change.
    pub version: Revision,
}

/// Rows of one moment, or changes up to one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Version of the store at that moment.
    pub version: Revision,
}

/// Answer of a change feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// What has changed; empty if nothing did for the time of the call.
    Rows(Rows),
    /// The store has forgotten the changes, or has come back from a copy; the table must
    /// be read anew.
    Forgotten,
}

/// Rows to be written together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Era of the store that the expectations rest on. In another one versions mean
    /// other rows, so the end of the transaction is unknown then.
    pub era: u64,
    /// Versions that rows must have, none for rows that must not exist.
    pub expected: Vec<(Name, Revision)>,
    /// Rows to write.
    pub put: Vec<(Name, Bytes)>,
    /// Rows to remove.
    pub remove: Vec<Name>,
}

/// End of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect at this version.
    Done(Revision),
    /// A row had another version; nothing was written.
    Conflict,
    /// Nothing was written, for a reason that may pass.
    NotDone(Fault),
    /// It may have taken effect, or may do so later.
    Unknown(Fault),
}

/// What the router must know of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Identifier that the answer repeats.
    pub id: Option<Arc<str>>,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Key, if the request names one.
    pub key: Option<u16>,
}

/// What an answer of an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's own answer to this request.
    Own,
    /// The upstream had no room and didn't run the request.
    Refused,
    /// The upstream doesn't hold the key.
    Misdirected,
    /// Another upstream answered: this one has ended.
    Replaced,
    /// It isn't an answer to this request.
    Foreign,
}

/// What an upstream says of itself with an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It is about to leave.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this router.
    pub pause: Option<Result<Duration, Unreadable>>,
}

/// Why a row or a field of an answer can't be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct Unreadable {
    /// Field that is wrong.
    pub field: Arc<str>,
    /// What is wrong with it, and what is expected.
    pub reason: Arc<str>,
}

/// A platform.
pub trait Platform: Sized + 'static {
    /// Returns the latest era that the store has shown in an answer; 0 for a store that
    /// doesn't count eras.
    fn era(&self) -> u64;

    /// Reads all rows of a table.
    fn rows(&self, table: Table) -> impl Future<Output = Result<Rows, Fault>>;

    /// Reads one row.
    fn row(&self, name: &Name) -> impl Future<Output = Result<Option<Row>, Fault>>;

    /// Waits for changes of a table after a version, at most for `wait`. Fails
    /// if there is no answer soon after that.
    fn changes(
        &self,
        table: Table,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;

    /// Writes rows of [`Table::Routers`] and [`Table::Maps`].
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Commit>;

    /// Reads a row of [`Table::Configuration`]; `None` if it is none that the
    /// router needs.
    ///
    /// # Errors
    ///
    /// Returns what can't be read.
    fn directory(&self, row: &Row) -> Result<Option<Directory>, Unreadable>;

    /// Reads a row of [`Table::Registry`].
    ///
    /// # Errors
    ///
    /// Returns what can't be read.
    fn upstream(&self, row: &Row) -> Result<Upstream, Unreadable>;

    /// Grants keys to an upstream.
    fn grant(
        &self,
        address: SocketAddr,
        order: &Order,
        hold: Duration,
        handover: Option<&str>,
    ) -> impl Future<Output = Outcome>;

    /// Takes keys from an upstream.
    fn release(&self, address: SocketAddr, order: &Order) -> impl Future<Output = Outcome>;

    /// Reads the head of a request.
    fn head(&self, headers: &HeaderMap) -> Head;

    /// Sets what a request to an upstream carries: for whom it is, and the
    /// time that is left.
    fn address_to(&self, headers: &mut HeaderMap, upstream: &Upstream, left: Duration);

    /// Judges the head of an answer to a request that was sent to `upstream`.
    fn judge(
        &self,
        request: &Head,
        upstream: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Verdict;

    /// Reads what an upstream says of itself with an answer.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Whether this call asks if the router is ready.
    fn asks_readiness(&self, method: &Method, path: &str) -> bool;
}
