//! Interface to the platform: a store with change feeds, the decoding of its rows, grants and
//! releases of keys at upstreams, and the framing of requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use eelgrassrock_dispatch::directory::Directory;
use eelgrassrock_dispatch::limit::Limit;
use eelgrassrock_dispatch::load::Load;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_ranges::leader::{Grant, Order, Outcome};
use eelgrassrock_store::Fault;
use http::{HeaderMap, Method, StatusCode};

/// Tables of the store that the router uses.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Table {
    /// Configuration written by the operator.
    #[display("configuration")]
    Configuration,
    /// Registrations of upstreams.
    #[display("registry")]
    Registry,
    /// Routers and leadership per service. Routers write this table and watch it.
    #[display("routers")]
    Routers,
    /// Maps of key ranges, written by leaders. No router watches this table, since routers send
    /// each other changes of maps.
    #[display("maps")]
    Maps,
}

/// Table and key of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// Table that contains the row.
    pub table: Table,
    /// Key within the table.
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
    /// Key within the table.
    pub key: Arc<str>,
    /// Contents, or `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Version at which the row last changed.
    pub version: Revision,
}

/// Rows of a table at one version of the store, or changes up to one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Version of the store to which the rows are complete.
    pub version: Revision,
}

/// Response of a change feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Rows that changed; empty if nothing changed during the wait.
    Rows(Rows),
    /// The store no longer has these changes, or was restored from a backup. The table must be read
    /// again in full.
    Reset,
}

/// Conditional write of several rows that takes effect completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Era of the store in which the expected versions were read. In another era the same versions
    /// may denote other rows, so the result of the transaction is unknown if the era has changed.
    pub era: u64,
    /// Versions that rows must have. A version of none means that the row must not exist.
    pub expected: Vec<(Name, Revision)>,
    /// Rows to write.
    pub put: Vec<(Name, Bytes)>,
    /// Rows to remove.
    pub remove: Vec<Name>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect at this version.
    Done(Revision),
    /// A row had another version, so nothing was written.
    Conflict,
    /// Nothing was written, because of a fault that may be temporary.
    NotDone(Fault),
    /// It may have taken effect, or may still do so later.
    Unknown(Fault),
}

/// Fields of a request that the router uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Request identifier, which the answer repeats.
    pub id: Option<Arc<str>>,
    /// Timeout of the caller, counted from the arrival of the request.
    pub timeout: Option<Duration>,
    /// Key, if the request has one.
    pub key: Option<u16>,
}

/// Meaning of an answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's own answer to this request.
    Own,
    /// The upstream was at capacity and didn't run the request.
    Refused,
    /// The upstream doesn't hold the key and didn't run the request.
    Misdirected,
    /// Another upstream answered at this address, so the addressed one has ended.
    Replaced,
    /// The answer doesn't belong to this request.
    Foreign,
}

/// Notice of an upstream about its own state, attached to an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the upstream is about to leave.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this router, or why the field can't be
    /// decoded.
    pub pause: Option<Result<Duration, Unreadable>>,
    /// Requests that the upstream takes from all routers together, or why the field can't be
    /// decoded.
    pub limit: Option<Result<Limit, Unreadable>>,
    /// Load of the upstream at the time of the answer, or why the field can't be decoded.
    pub load: Option<Result<Load, Unreadable>>,
}

/// Error for a row or field that can't be decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct Unreadable {
    /// Name of the invalid field.
    pub field: Arc<str>,
    /// What is wrong with the field, and what is expected.
    pub reason: Arc<str>,
}

/// Platform on which a router runs.
pub trait Platform: Sized + 'static {
    /// Returns the highest era in any response of the store, or 0 for a store that has no eras.
    fn era(&self) -> u64;

    /// Reads all rows of a table.
    fn rows(&self, table: Table) -> impl Future<Output = Result<Rows, Fault>>;

    /// Reads one row, or `None` if it doesn't exist.
    fn row(&self, name: &Name) -> impl Future<Output = Result<Option<Row>, Fault>>;

    /// Waits up to `wait` for changes of a table after a version. Fails if no response arrives soon
    /// after `wait`.
    fn changes(
        &self,
        table: Table,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;

    /// Whether a response with rows has begun to arrive and isn't complete.
    fn is_receiving(&self) -> bool;

    /// Writes rows of [`Table::Routers`] and [`Table::Maps`] in one transaction.
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Commit>;

    /// Decodes a row of [`Table::Configuration`]. Returns `None` for a row that the router doesn't
    /// need.
    ///
    /// # Errors
    ///
    /// Returns the invalid field and the reason.
    fn directory(&self, row: &Row) -> Result<Option<Directory>, Unreadable>;

    /// Returns the data centre that a row of [`Table::Configuration`] asks to evacuate. The
    /// evacuation lasts for as long as the row exists. Returns `None` for other rows.
    fn evacuation(&self, row: &Row) -> Option<Arc<str>>;

    /// Decodes a row of [`Table::Registry`].
    ///
    /// # Errors
    ///
    /// Returns the invalid field and the reason.
    fn upstream(&self, row: &Row) -> Result<Upstream, Unreadable>;

    /// Opens a connection for grants to an upstream, unless there is one.
    fn connect(&self, address: SocketAddr, upstream: &str) -> impl Future<Output = ()>;

    /// Grants a range of keys to an upstream, over a connection to the process that it's for. Returns
    /// [`Outcome::Detached`] if the connections to that process are closed.
    fn grant(&self, address: SocketAddr, grant: &Grant) -> impl Future<Output = Outcome>;

    /// Asks the process that runs under the upstream's name to release a range of keys.
    fn release(&self, address: SocketAddr, order: &Order) -> impl Future<Output = Outcome>;

    /// Reads the fields of [`Head`] from the headers of a request.
    fn head(&self, headers: &HeaderMap) -> Head;

    /// Sets the headers of a request to an upstream: which upstream it is for, and how much time is
    /// left.
    fn set_request_headers(&self, headers: &mut HeaderMap, upstream: &Upstream, left: Duration);

    /// Sets the time that is left of a request, for another router that handles it.
    fn set_timeout(&self, headers: &mut HeaderMap, left: Duration);

    /// Classifies an answer to a request that was sent to `upstream`. A refusal may lack the
    /// identifier of its request; an answer with the identifier of another request is foreign.
    fn classify_answer(
        &self,
        request: &Head,
        upstream: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Verdict;

    /// Whether an answer bears the identifier of a request.
    fn has_request_id(&self, headers: &HeaderMap) -> bool;

    /// Reads the notice that an upstream attached to an answer.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Reads from the answer to a health check for how long the upstream stays cold. Returns `None`
    /// if it doesn't say so.
    fn cold_time(&self, headers: &HeaderMap) -> Option<Result<Duration, Unreadable>>;

    /// Whether a call is the platform's readiness check.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;
}
