//! Stand-in for the platform's transactional table.

mod rows;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Addresses;
use crate::answer::Answer;
use crate::fault::{self, Admin, AdminHandler, Outage, ServiceFaults};
use crate::serve::{Handler, Port};
use crate::tamper::Tamper;
use rows::{Commit, Rows, Transaction};

const ROWS: &str = "/v1/rows";
const TRANSACTIONS: &str = "/v1/transactions";
const MAX_TRANSACTION_BYTES: usize = 16 << 20;
const MAX_PAGE_ROWS: usize = 1_000;
const RATE_WINDOW: Duration = Duration::from_secs(1);
const RATE_RETRY_SECONDS: u64 = 1;

/// Faults of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the table, if any.
    pub outage: Outage,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of coming writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Number of coming writes that are lost before they take effect.
    pub lose_writes: u32,
    /// Number of coming answers to cut in the middle of their body.
    pub cut_answers: u32,
    /// Number of coming answers to replace with bytes that aren't HTTP.
    pub garble_answers: u32,
    /// Maximum number of transactions per second, `None` for no limit.
    pub writes_per_second: Option<u32>,
    /// Maximum number of reads per second, `None` for no limit.
    pub reads_per_second: Option<u32>,
}

/// Table that runs in the process of a test.
///
/// ```
/// use eelgrassrock_standin::{Addresses, table::{Faults, Server}};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let server = Server::start(Addresses::free()).await?;
/// server.set_faults(Faults { lose_answers: 1, ..Faults::default() });
/// assert_eq!(server.calls().writes, 0);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Server {
    table: Arc<Table>,
    port: Port,
    admin: Port,
}

/// Number of calls to the table, without those that were refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Transactions, including those whose checks failed.
    pub writes: u64,
    /// Reads of a single row or of a page.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct Table {
    rows: Mutex<Rows>,
    usage: Mutex<Usage>,
    faults: watch::Sender<Faults>,
}

#[derive(Debug, Default)]
struct Usage {
    calls: Calls,
    writes: RateLimiter,
    reads: RateLimiter,
}

/// Limits the number of calls in fixed windows of [`RATE_WINDOW`].
#[derive(Debug, Default)]
struct RateLimiter {
    since: Option<Instant>,
    used: u32,
}

/// Whether a call is within the rate limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rate {
    Within,
    Exceeded,
}

impl Server {
    /// Starts the server with an empty table.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(addresses: Addresses) -> io::Result<Self> {
        let table = Arc::new(Table::default());
        let port = Port::open(addresses.listen, table.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(AdminHandler(table.clone()))).await?;
        Ok(Self { table, port, admin })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.table.set_faults(faults);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> Calls {
        self.table.usage().calls
    }
}

impl ServiceFaults for Faults {
    fn outage(&self) -> Outage {
        self.outage
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}

impl Admin for Table {
    type Faults = Faults;

    fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    fn report(&self, path: &str) -> Answer {
        match path {
            "/calls" => Answer::json(StatusCode::OK, &self.usage().calls),
            _ => Answer::status(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for Table {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, tamper: Tamper) -> Answer {
        if let Some(answer) = fault::apply_outage(&self.faults).await {
            return answer;
        }
        let answer = self.answer(request).await;
        if fault::consume(&self.faults, |faults| &mut faults.garble_answers) {
            tamper.garble_next();
            return answer.with_header("connection", "close");
        }
        if fault::consume(&self.faults, |faults| &mut faults.cut_answers) {
            return answer.cut().await;
        }
        answer
    }
}

impl Table {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let uri = request.uri().clone();
        match (request.method(), uri.path()) {
            (&Method::POST, TRANSACTIONS) => self.write(request.into_body()).await,
            (&Method::GET, path) if path.starts_with(ROWS) => self.read(&uri),
            _ => Answer::status(StatusCode::NOT_FOUND),
        }
    }

    fn read(&self, uri: &Uri) -> Answer {
        let limit = self.faults.borrow().reads_per_second;
        let mut usage = self.usage();
        if usage.reads.admit(limit) == Rate::Exceeded {
            return Answer::busy(StatusCode::TOO_MANY_REQUESTS, RATE_RETRY_SECONDS);
        }
        usage.calls.reads += 1;
        match uri.path()[ROWS.len()..].strip_prefix('/') {
            Some(key) => self.read_row(key),
            None => self.read_page(uri.query().unwrap_or("")),
        }
    }

    fn read_row(&self, key: &str) -> Answer {
        match self.rows().get(key) {
            Some(row) => Answer::json(StatusCode::OK, row),
            None => Answer::status(StatusCode::NOT_FOUND),
        }
    }

    fn read_page(&self, query: &str) -> Answer {
        let prefix = argument(query, "prefix").unwrap_or("");
        let after = argument(query, "after").unwrap_or("");
        let limit = argument(query, "limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_PAGE_ROWS).clamp(1, MAX_PAGE_ROWS);
        let rows = self.rows();
        let (page, more) = rows.page(prefix, after, limit);
        Answer::json(StatusCode::OK, &json!({ "rows": page, "more": more }))
    }

    async fn write(&self, body: Incoming) -> Answer {
        let Ok(body) = Limited::new(body, MAX_TRANSACTION_BYTES).collect().await else {
            return Answer::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let transaction: Transaction = match serde_json::from_slice(&body.to_bytes()) {
            Ok(transaction) => transaction,
            Err(error) => {
                let problem = json!({ "error": error.to_string() });
                return Answer::json(StatusCode::BAD_REQUEST, &problem);
            }
        };
        let limit = self.faults.borrow().writes_per_second;
        let mut usage = self.usage();
        if usage.writes.admit(limit) == Rate::Exceeded {
            return Answer::busy(StatusCode::TOO_MANY_REQUESTS, RATE_RETRY_SECONDS);
        }
        usage.calls.writes += 1;
        self.commit(transaction)
    }

    fn commit(&self, transaction: Transaction) -> Answer {
        if fault::consume(&self.faults, |faults| &mut faults.lose_writes) {
            return Answer::Disconnect;
        }
        let answer = match self.rows().commit(transaction) {
            Commit::Done(versions) => {
                Answer::json(StatusCode::OK, &json!({ "versions": versions }))
            }
            Commit::Conflict { key, row } => {
                Answer::json(StatusCode::CONFLICT, &json!({ "key": key, "row": row }))
            }
            Commit::Invalid(reason) => {
                Answer::json(StatusCode::BAD_REQUEST, &json!({ "error": reason }))
            }
        };
        if fault::consume(&self.faults, |faults| &mut faults.lose_answers) {
            return Answer::Disconnect;
        }
        answer
    }
}

impl RateLimiter {
    fn admit(&mut self, limit: Option<u32>) -> Rate {
        let now = Instant::now();
        if self.since.is_none_or(|since| now - since >= RATE_WINDOW) {
            self.since = Some(now);
            self.used = 0;
        }
        if limit.is_some_and(|limit| self.used >= limit) {
            return Rate::Exceeded;
        }
        self.used += 1;
        Rate::Within
    }
}

fn argument<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let arguments = query.split('&').filter_map(|pair| pair.split_once('='));
    arguments
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
