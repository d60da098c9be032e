//! Start and stop of the process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrassrock_telemetry::log::Logger;
use serde::Serialize;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::node::{Node, Router};
use crate::relay::TABLES;
use crate::seam::{Commit, Name, Platform, Table, Transaction};
use crate::settings::Settings;
use crate::watch::{self, ROUTER};
use crate::{front, gossip, metrics, peer};

/// Time between two clean-ups.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a start waits for the row of this router: some calls to the store.
const REGISTER_WAIT: Duration = Duration::from_millis(300);
/// Pause after a failure to write the row of this router.
const REGISTER_PAUSE: Duration = Duration::from_millis(200);
/// Share of the grace after which a process without open connections ends: by
/// then the platform sends it no callers, and unused connections are closed. An
/// answer that is handed to its connection may still be on its way, so requests
/// without an answer aren't all that is open.
const END_SHARE: f64 = 0.75;
/// Time between two looks at what is still open.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Why a process can't run.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// An address can't be listened on.
    #[display("can't listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The runtime can't start.
    #[display("can't start: {source}")]
    Runtime {
        /// Why.
        source: io::Error,
    },
    /// The log can't be set up.
    #[display("{source}")]
    Log {
        /// Why.
        source: eelgrassrock_telemetry::log::Fault,
    },
}

#[derive(Serialize)]
struct Start<'a> {
    router: &'a str,
    data_centre: &'a str,
    incarnation: u64,
    version: &'a str,
}

#[derive(Serialize)]
struct Reload {
    /// No setting can change while the process runs.
    applied: bool,
}

#[derive(Serialize)]
struct Stop {
    open_requests: u64,
    open_connections: u64,
    elapsed_ms: u64,
}

/// Runs a router until the process gets SIGTERM.
///
/// # Errors
///
/// Returns [`Fault`] if the process can't start.
pub fn run<P: Platform>(platform: P, settings: Settings) -> Result<(), Fault> {
    let logger = Logger::with_stream(io::stdout(), settings.log.level)
        .map_err(|source| Fault::Log { source })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|source| Fault::Runtime { source })?;
    LocalSet::new().block_on(&runtime, async {
        let signal = |kind| signal(kind).map_err(|source| Fault::Runtime { source });
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        let log = logger.clone();
        let stop = async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = reload.recv() => log.info("reload", &Reload { applied: false }),
                }
            }
        };
        serve(platform, settings, logger, stop).await
    })
}

/// Runs a router until `stop` is ready, within a [`LocalSet`].
///
/// # Errors
///
/// Returns [`Fault`] if the router can't start.
pub async fn serve<P: Platform>(
    platform: P,
    settings: Settings,
    logger: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), Fault> {
    let node = Rc::new(Node::new(platform, settings.clone(), logger));
    node.log.note(
        "start",
        &Start {
            router: &settings.router,
            data_centre: &settings.data_centre,
            incarnation: settings.incarnation,
            version: env!("CARGO_PKG_VERSION"),
        },
    );
    let front = listen(settings.front).await?;
    let readiness = listen(settings.readiness).await?;
    let peers = listen(settings.peer).await?;
    let metrics = listen(settings.metrics).await?;
    let address = settings.peer;
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.map_err(|source| Fault::Listen { address, source })?);
    *node.socket.borrow_mut() = Some(Rc::clone(&socket));
    spawn_local(front::accept(Rc::clone(&node), front));
    spawn_local(front::accept_readiness(Rc::clone(&node), readiness));
    spawn_local(peer::accept(Rc::clone(&node), peers));
    spawn_local(metrics::accept(Rc::clone(&node), metrics));
    spawn_local(gossip::tell(Rc::clone(&node), Rc::clone(&socket)));
    spawn_local(gossip::hear(Rc::clone(&node), socket));
    spawn_local(learn(Rc::clone(&node)));
    spawn_local(sweep(Rc::clone(&node)));
    stop.await;
    leave(&node).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Fault> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Fault::Listen { address, source })
}

/// Makes this router known, then begins to learn what the others know: a relay
/// answers only routers that it knows.
async fn learn<P: Platform>(node: Rc<Node<P>>) {
    let registered = spawn_local(register(Rc::clone(&node)));
    // Without its row it can still read the store by itself.
    let _ = timeout(REGISTER_WAIT, registered).await;
    spawn_local(watch::follow(Rc::clone(&node), Table::Routers));
    while node.relay.after(Table::Routers).is_none() {
        node.relay.role.notified().await;
    }
    // A store that never came back from a copy shows nothing that is over.
    if node.era.get() > 0 && node.relay_to_follow().is_none() {
        node.consult().await;
    }
    for table in TABLES.into_iter().filter(|table| *table != Table::Routers) {
        spawn_local(watch::follow(Rc::clone(&node), table));
    }
    spawn_local(node.follow_relay());
}

/// Makes this router known to the others.
pub(crate) async fn register<P: Platform>(node: Rc<Node<P>>) {
    let router = Router {
        address: node.settings.peer,
        data_centre: Arc::clone(&node.settings.data_centre),
        incarnation: node.settings.incarnation,
        size: node.settings.size,
    };
    let Ok(value) = postcard::to_allocvec(&router) else {
        return;
    };
    let transaction = Transaction {
        put: vec![(row_of(&node.settings), value.into())],
        ..Transaction::default()
    };
    while !matches!(node.write_rows(&transaction).await, Commit::Done(_)) {
        sleep(REGISTER_PAUSE).await;
    }
}

/// Makes known that this router has stopped.
pub(crate) async fn unregister<P: Platform>(node: &Rc<Node<P>>) {
    let transaction = Transaction {
        remove: vec![row_of(&node.settings)],
        ..Transaction::default()
    };
    // A row that stays only makes the others count one router too many.
    let _ = node.write_rows(&transaction).await;
}

fn row_of(settings: &Settings) -> Name {
    Name::new(Table::Routers, format!("{ROUTER}{}", settings.router))
}

/// Forgets what is too old to matter.
async fn sweep<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = clock::now();
        node.note_link(now);
        let mut guard = node.state.borrow_mut();
        let state = &mut *guard;
        state
            .services
            .values_mut()
            .for_each(|service| service.sweep(now));
        node.links.sweep(|id| state.book.get(id).is_some());
    }
}

/// Leaves in an orderly way: no new callers, what is open gets its answer, and
/// duties go to another router first.
async fn leave<P: Platform>(node: &Rc<Node<P>>) {
    let began = clock::now();
    node.stopped.set(Some(began));
    node.stop.notify_waiters();
    let line = |elapsed: Duration| Stop {
        open_requests: node.open_requests.get(),
        open_connections: node.open_connections.get(),
        elapsed_ms: elapsed.as_millis() as u64,
    };
    node.log.note("stopping", &line(Duration::ZERO));
    let leaving = Rc::clone(node);
    spawn_local(async move {
        leaving.hand_over().await;
        unregister(&leaving).await;
    });
    let grace = node.settings.grace;
    loop {
        let elapsed = clock::now() - began;
        let is_idle = node.open_requests.get() == 0 && node.open_connections.get() == 0;
        let is_done = elapsed >= grace.mul_f64(END_SHARE) && is_idle;
        if is_done || node.ends_at().is_some_and(|end| clock::now() >= end) {
            node.log.note("stop", &line(elapsed));
            node.log.flush();
            return;
        }
        sleep(STOP_POLL).await;
    }
}
