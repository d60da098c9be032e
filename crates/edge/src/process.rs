//! Start and stop of the process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrassrock_telemetry::log::Logger;
use serde::Serialize;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::node::Node;
use crate::platform::{Platform, Table};
use crate::relay::TABLES;
use crate::settings::Settings;
use crate::{front, gossip, lost, metrics, peer, registration, watch};

/// Interval between clean-ups of outdated state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that the start waits for the write of this router's row. It allows for several
/// calls to the store.
const REGISTER_WAIT: Duration = Duration::from_millis(300);
/// Share of the grace period after which a process without open connections ends. By then the
/// platform sends it no callers, and idle connections are closed. Open connections are checked as
/// well as open requests, because an answer that was handed to its connection may not have been
/// sent yet.
const END_SHARE: f64 = 0.75;
/// Interval at which open requests and connections are checked during the stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Error that prevents a process from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[display("can't listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The runtime can't start, or signals can't be handled.
    #[display("can't start: {source}")]
    Runtime {
        /// Underlying error.
        source: io::Error,
    },
    /// The log can't be set up.
    #[display("{source}")]
    Log {
        /// Underlying error.
        source: eelgrassrock_telemetry::log::Fault,
    },
}

#[derive(Serialize)]
struct StartLine<'a> {
    router: &'a str,
    data_centre: &'a str,
    incarnation: u64,
    version: &'a str,
}

#[derive(Serialize)]
struct ReloadLine {
    /// Always `false`, since no setting can change while the process runs.
    applied: bool,
}

#[derive(Serialize)]
struct StopLine {
    open_requests: u64,
    open_connections: u64,
    elapsed_ms: u64,
}

/// Runs a router until the process receives SIGTERM.
///
/// # Errors
///
/// Returns [`StartError`] if the process can't start.
pub fn run<P: Platform>(platform: P, settings: Settings) -> Result<(), StartError> {
    let logger = Logger::with_stream(io::stdout(), settings.log.level)
        .map_err(|source| StartError::Log { source })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|source| StartError::Runtime { source })?;
    LocalSet::new().block_on(&runtime, async {
        let signal = |kind| signal(kind).map_err(|source| StartError::Runtime { source });
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        let log = logger.clone();
        let stop = async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = reload.recv() => log.info("reload", &ReloadLine { applied: false }),
                }
            }
        };
        serve(platform, settings, logger, stop).await
    })
}

/// Runs a router until `stop` completes. Must be called within a [`LocalSet`].
///
/// # Errors
///
/// Returns [`StartError`] if the router can't start.
pub async fn serve<P: Platform>(
    platform: P,
    settings: Settings,
    logger: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let node = Rc::new(Node::new(platform, settings.clone(), logger));
    node.log.info(
        "start",
        &StartLine {
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
    let socket = Rc::new(socket.map_err(|source| StartError::Listen { address, source })?);
    *node.socket.borrow_mut() = Some(Rc::clone(&socket));
    spawn_local(front::accept(Rc::clone(&node), front));
    spawn_local(front::accept_readiness(Rc::clone(&node), readiness));
    spawn_local(peer::accept(Rc::clone(&node), peers));
    spawn_local(metrics::accept(Rc::clone(&node), metrics));
    spawn_local(gossip::send(Rc::clone(&node), Rc::clone(&socket)));
    spawn_local(gossip::receive(Rc::clone(&node), socket));
    spawn_local(learn(Rc::clone(&node)));
    spawn_local(sweep(Rc::clone(&node)));
    spawn_local(Rc::clone(&node).share_suspects());
    stop.await;
    leave(&node).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { address, source })
}

/// Registers this router, then starts to read the tables. Registration comes first because relays
/// answer only routers that they recognize.
async fn learn<P: Platform>(node: Rc<Node<P>>) {
    let registered = spawn_local(registration::register(Rc::clone(&node)));
    // Without its row the router can still read the store itself.
    let _ = timeout(REGISTER_WAIT, registered).await;
    spawn_local(watch::follow(Rc::clone(&node), Table::Routers));
    while node.relay.synced_version(Table::Routers).is_none() {
        node.relay.source_changed.notified().await;
    }
    node.relay.start_sources();
    // A store that was never restored from a backup has no outdated rows.
    if node.era.get() > 0 && node.relay_to_follow().is_none() {
        node.consult().await;
    }
    for table in TABLES.into_iter().filter(|table| *table != Table::Routers) {
        spawn_local(watch::follow(Rc::clone(&node), table));
    }
    spawn_local(node.follow_relay());
}

/// Removes outdated state at regular intervals.
async fn sweep<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = clock::now();
        registration::check(&node);
        lost::check(&node);
        node.log_link(now);
        let mut guard = node.state.borrow_mut();
        let state = &mut *guard;
        for (name, service) in &mut state.services {
            service.sweep(now);
            node.log_cold_changes(name, service.take_cold_changes());
        }
        let routers = &state.routers;
        node.links
            .sweep(|id| state.registry.get(id).is_some() || routers.contains_key(id));
    }
}

/// Stops gracefully: accepts no new callers, answers open requests, and hands leadership over to
/// other routers first.
async fn leave<P: Platform>(node: &Rc<Node<P>>) {
    let stop_started = clock::now();
    node.stopped.set(Some(stop_started));
    node.stop.notify_waiters();
    let line = |elapsed: Duration| StopLine {
        open_requests: node.open_requests.get(),
        open_connections: node.open_connections.get(),
        elapsed_ms: elapsed.as_millis() as u64,
    };
    node.log.info("stopping", &line(Duration::ZERO));
    let leaving = Rc::clone(node);
    spawn_local(async move {
        leaving.resign_all().await;
        registration::unregister(&leaving).await;
    });
    let grace = node.settings.grace;
    loop {
        let elapsed = clock::now() - stop_started;
        let is_idle = node.open_requests.get() == 0 && node.open_connections.get() == 0;
        let is_done = elapsed >= grace.mul_f64(END_SHARE) && is_idle;
        if is_done || node.ends_at().is_some_and(|end| clock::now() >= end) {
            node.log.info("stop", &line(elapsed));
            node.log.flush();
            return;
        }
        sleep(STOP_POLL).await;
    }
}
