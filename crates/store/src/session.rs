//! HTTP/1 client whose calls reach one process, and no later one at its address.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::custody::Custody;
use crate::endpoint::{Answer, Call, Connection, Endpoint};
use crate::settings::Settings;
use crate::{Fault, Kind};

/// Connections to one process that are kept. With the second, calls go on when the peer closes the
/// first.
const KEPT_CONNECTIONS: usize = 2;
/// Connections to one process while calls wait for one.
const MAX_CONNECTIONS: usize = 6;
/// Time that a call waits for a connection, in times of one call.
const MAX_WAIT_CALLS: u32 = 3;

/// Calls to the processes at one address, by connections that are told apart.
///
/// A connection whose call failed is reset, so that nothing of the call arrives later.
///
/// ```
/// use eelgrassrock_model::time::Instant;
/// use eelgrassrock_store::endpoint::Call;
/// use eelgrassrock_store::session::{Outcome, Session, Window};
/// use eelgrassrock_store::settings::Settings;
///
/// # async fn example(now: fn() -> Instant) {
/// let address = ([127, 0, 0, 1], 7001).into();
/// let session = Session::new(address, Settings::default(), now);
/// session.connect().await;
/// let window = Window { connected_by: now(), send_by: now() };
/// if let Outcome::Detached = session.call(&Call::post("/order", "{}"), window).await {
///     println!("another process may listen there");
/// }
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Session(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    endpoint: Endpoint,
    timeout: Duration,
    now: fn() -> Instant,
    state: Mutex<State>,
    /// Wakes calls that wait for an idle connection.
    returned: Notify,
    /// Held while a connection is being opened.
    opening: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    custody: Custody,
    idle: VecDeque<(u64, Connection)>,
    open: usize,
    next_connection: u64,
    /// Number of attempts to open a connection that have failed, and why the last one did.
    failures: u64,
    last_failure: Option<Kind>,
}

/// When the connections of a call must have been opened, and when it must be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Latest time at which the first connection to the process was opened.
    pub connected_by: Instant,
    /// Time after which nothing is sent.
    pub send_by: Instant,
}

/// Result of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The process answered.
    Answered(Answer),
    /// Nothing was sent, because the process that listens now may be a later one.
    Detached,
    /// No complete answer arrived. Only [`Kind::Unreachable`] proves that nothing was sent.
    Failed(Fault),
}

/// What a call does next.
enum Step {
    Send(u64, Connection),
    Connect,
    Wait,
    Detached,
}

impl Session {
    /// Creates a client of an address. `now` reads the clock that the times of a [`Window`] are of.
    pub fn new(address: SocketAddr, settings: Settings, now: fn() -> Instant) -> Self {
        Self(Arc::new(Shared {
            timeout: settings.timeout,
            endpoint: Endpoint::new(address, settings),
            now,
            state: Mutex::default(),
            returned: Notify::new(),
            opening: tokio::sync::Mutex::default(),
        }))
    }

    /// Opens a connection if there is none. Returns whether there is one.
    pub async fn connect(&self) -> bool {
        self.0.open(1).await.is_ok()
    }

    /// Whether a connection is open.
    pub fn is_open(&self) -> bool {
        let mut state = self.0.state();
        state.drop_closed();
        state.open > 0
    }

    /// Sends a request to the process whose first connection was opened within the window.
    pub async fn call(&self, call: &Call, window: Window) -> Outcome {
        let shared = &self.0;
        let give_up = (shared.now)() + shared.timeout * MAX_WAIT_CALLS;
        loop {
            let step = shared.state().next(window.connected_by);
            let (number, connection) = match step {
                Step::Send(number, connection) => (number, connection),
                Step::Detached => return Outcome::Detached,
                Step::Connect => match shared.open(1).await {
                    Ok(()) => continue,
                    Err(kind) => return shared.failed(call, kind),
                },
                Step::Wait => {
                    self.open_up_to(MAX_CONNECTIONS);
                    let left = give_up - (shared.now)();
                    if left.is_zero() || timeout(left, shared.returned.notified()).await.is_err() {
                        let kind = Kind::Unreachable("all connections are in use".into());
                        return shared.failed(call, kind);
                    }
                    continue;
                }
            };
            let mut lent = Lent {
                shared,
                number,
                connection: Some(connection),
            };
            let sent_at = (shared.now)();
            if sent_at > window.send_by {
                lent.keep();
                let kind = Kind::Unreachable("too late to send".into());
                return shared.failed(call, kind);
            }
            match lent.exchange(call).await {
                Ok(Some(answer)) => {
                    shared.state().custody.answered(number, sent_at);
                    lent.keep();
                    self.open_up_to(KEPT_CONNECTIONS);
                    return Outcome::Answered(answer);
                }
                // The connection was closed before any byte of the request was sent.
                Ok(None) => {}
                Err(kind) => return shared.failed(call, kind),
            }
        }
    }

    /// Opens one more connection in the background, unless that many are open.
    fn open_up_to(&self, wanted: usize) {
        if self.0.state().open < wanted && self.0.opening.try_lock().is_ok() {
            let shared = Arc::clone(&self.0);
            // If it fails, the next call tries again.
            tokio::spawn(async move { shared.open(wanted).await.is_ok() });
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn failed(&self, call: &Call, kind: Kind) -> Outcome {
        Outcome::Failed(self.endpoint.fault(call, kind))
    }

    /// Opens a connection unless `wanted` are open. Fails with an attempt that was under way.
    async fn open(&self, wanted: usize) -> Result<(), Kind> {
        let failures = self.state().failures;
        let _opening = self.opening.lock().await;
        {
            let state = self.state();
            if state.open >= wanted {
                return Ok(());
            }
            if let Some(kind) = state.last_failure.as_ref()
                && state.failures > failures
            {
                return Err(kind.clone());
            }
        }
        let opened = self.endpoint.connect_resetting().await;
        let opened_at = (self.now)();
        let mut state = self.state();
        let connection = opened.inspect_err(|kind| {
            state.failures += 1;
            state.last_failure = Some(kind.clone());
        })?;
        let number = state.next_connection;
        state.next_connection += 1;
        state.open += 1;
        state.custody.opened(number, opened_at);
        state.idle.push_back((number, connection));
        drop(state);
        self.returned.notify_waiters();
        Ok(())
    }
}

impl State {
    /// Picks the connection to the process that has been idle longest.
    fn next(&mut self, connected_by: Instant) -> Step {
        self.drop_closed();
        let Some(opened_at) = self.custody.opened_at() else {
            return Step::Connect;
        };
        if opened_at > connected_by {
            return Step::Detached;
        }
        let custody = &self.custody;
        let is_member = |(number, _): &(u64, Connection)| custody.is_member(*number);
        let found = self.idle.iter().position(is_member);
        match found.and_then(|index| self.idle.remove(index)) {
            Some((number, connection)) => Step::Send(number, connection),
            None => Step::Wait,
        }
    }

    fn drop_closed(&mut self) {
        while let Some(index) = self.idle.iter().position(|(_, other)| other.is_closed()) {
            if let Some((number, _)) = self.idle.remove(index) {
                self.close(number);
            }
        }
    }

    fn close(&mut self, number: u64) {
        self.custody.closed(number);
        self.open -= 1;
    }
}

/// Connection that a call uses. If it's dropped without [`Lent::keep`], the connection is reset.
struct Lent<'a> {
    shared: &'a Shared,
    number: u64,
    connection: Option<Connection>,
}

impl Lent<'_> {
    async fn exchange(&mut self, call: &Call) -> Result<Option<Answer>, Kind> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let limit = self.shared.timeout;
        let exchange = self.shared.endpoint.send_and_collect(connection, call);
        let answered = timeout(limit, exchange).await;
        answered.unwrap_or(Err(Kind::Timeout(limit)))
    }

    /// Returns the connection to the idle ones, if it's still open.
    fn keep(mut self) {
        let open = |connection: &mut Connection| !connection.is_closed();
        if let Some(connection) = self.connection.take_if(open) {
            let mut state = self.shared.state();
            state.idle.push_back((self.number, connection));
            drop(state);
            self.shared.returned.notify_waiters();
        }
    }
}

impl Drop for Lent<'_> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.shared.state().close(self.number);
            self.shared.returned.notify_waiters();
        }
    }
}
