//! Startup, background tasks and graceful shutdown of the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use eelgrassrock_config::settings::Settings;
use eelgrassrock_membership::{adoption, member, spread};
use eelgrassrock_model::{Name, Upstream};
use eelgrassrock_store::{objects, settings as platform, table, vms};
use eelgrassrock_telemetry::log::{self, Logger};
use eelgrassrock_telemetry::metrics::{self, Metrics};
use eelgrassrock_wire::{Secret, ShortSecret};
use rand::Rng;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::timeout;
use {eelgrassrock_ownership as ownership, eelgrassrock_request as request};

use crate::admin::recorder::{Recorder, State};
use crate::admin::status;
use crate::bundles::Bundles;
use crate::clock::Clock;
use crate::control::dispatch;
use crate::control::effects::{self, spawn_background};
use crate::control::membership::Membership;
use crate::control::ownership::Ownership;
use crate::control::scheduler::Scheduler;
use crate::front::acceptor::{Limits, Server};
use crate::front::service;
use crate::node::Node;
use crate::peer::sender::Sender;
use crate::peer::{Inbox, InboxError, Port, hop};
use crate::upstream::links::Links;
use crate::upstream::load::Meter;

/// Maximum number of connections on the router port and on the admin port, each.
const MAX_INTERNAL_CONNECTIONS: usize = 4_096;

/// Time between two load reports to the ownership machine, which places shards by load.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two reads of the VM list.
const VMS_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of reads of the VM list in [`VMS_PERIOD`] by the routers of one data
/// centre. With more routers than that, each router reads less often.
const MAX_VMS_READS_PER_PERIOD: u32 = 16;

/// Time between two reports of the time of day to the request machine.
const TIME_OF_DAY_PERIOD: Duration = Duration::from_secs(60);

/// Time between two flushes of metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// Error that prevents the daemon from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The secret of the deployment is too short.
    #[display("{_0}")]
    Secret(ShortSecret),
    /// `peers-http` isn't the port after `peers`. Other routers derive the address for
    /// hops from the address for messages.
    #[display(
        "[listen] peers-http is {found}, but it must be {expected}, the port after `peers`: \
         other routers derive it from `peers`"
    )]
    HopPort {
        /// Address of `peers-http` in the settings.
        found: SocketAddr,
        /// Address that `peers-http` must have.
        expected: SocketAddr,
    },
    /// A TCP port or the UDP port for heartbeats can't be opened.
    #[display("the {name} port {address} can't be opened: {error}")]
    Port {
        /// Purpose of the port: `caller`, `router`, `admin` or `heartbeat`.
        name: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The nng port for messages of other routers can't be opened.
    #[display("{_0}")]
    Inbox(InboxError),
    /// The log writer can't be started.
    #[display("{_0}")]
    Log(log::Fault),
    /// The metrics client can't be started.
    #[display("{_0}")]
    Metrics(metrics::Fault),
}

/// How the daemon stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shutdown {
    /// Every home was handed over, and no request was cut off.
    Graceful,
    /// The drain limit passed or a second signal arrived, so requests may have been cut
    /// off.
    #[serde(rename = "at-once")]
    Forced,
}

/// Handle to the running daemon.
pub struct Daemon {
    node: Arc<Node>,
    servers: tokio::task::JoinSet<()>,
    stop_callers: watch::Sender<bool>,
    stop_internal: watch::Sender<bool>,
}

impl Daemon {
    /// Opens all ports and starts serving. The future completes as soon as the ports
    /// are open.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a setting is invalid or a port can't be opened.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let listen = settings.listen;
        let expected = hop::address(listen.peers);
        if listen.peers_http != expected {
            return Err(StartError::HopPort {
                found: listen.peers_http,
                expected,
            });
        }
        let callers = open("caller", listen.callers, caller_limits(&settings)).await?;
        let routers = open("router", listen.peers_http, internal_limits(&settings)).await?;
        let operators = open("admin", listen.admin, internal_limits(&settings)).await?;
        let port = Port::open(listen.peers)
            .await
            .map_err(|error| StartError::Port {
                name: "heartbeat",
                address: listen.peers,
                error,
            })?;
        let inbox = Inbox::open(listen.peers).await.map_err(StartError::Inbox)?;
        let node = build(settings, port, inbox)?;
        let (stop_callers, callers_stop) = watch::channel(false);
        let (stop_internal, internal_stop) = watch::channel(false);
        let mut servers = tokio::task::JoinSet::new();
        let shared = Arc::clone(&node);
        servers.spawn(callers.run(shared, service::answer_caller, callers_stop));
        let shared = Arc::clone(&node);
        servers.spawn(routers.run(shared, service::answer_router, internal_stop.clone()));
        let shared = Arc::clone(&node);
        servers.spawn(operators.run(shared, status::answer, internal_stop));
        Ok(Self {
            node,
            servers,
            stop_callers,
            stop_internal,
        })
    }

    /// Shuts down gracefully: hands over every home, then waits for all requests to
    /// complete. Gives up after the drain limit of the settings.
    pub async fn stop(mut self) -> Shutdown {
        let limit = self.node.settings.drain.limit;
        let stopped = match timeout(limit, self.drain()).await {
            Ok(()) => Shutdown::Graceful,
            Err(_) => Shutdown::Forced,
        };
        #[derive(Serialize)]
        struct Line {
            stopped: Shutdown,
            cut_off: usize,
        }
        let cut_off = self.node.scheduler.snapshot().requests;
        self.node.logger.info("stopped", &Line { stopped, cut_off });
        self.node.logger.flush();
        self.node.recorder.count_cut_off(cut_off);
        self.node.recorder.flush();
        stopped
    }

    async fn drain(&mut self) {
        let node = Arc::clone(&self.node);
        node.draining.send_replace(true);
        node.ownership.step(ownership::Event::Drain);
        let mut handed_over = node.handed_over.subscribe();
        // This can't fail: `node` owns the sender.
        let _ = handed_over.wait_for(|done| *done).await;
        self.stop_callers.send_replace(true);
        self.wait_for_caller_server().await;
        node.scheduler.step(request::Event::Drain, None);
        node.membership.step_member(member::Event::Drain);
        self.stop_internal.send_replace(true);
        while self.servers.join_next().await.is_some() {}
    }

    /// Waits until one server has stopped. Only the caller port is told to stop at this
    /// point, so it is that one.
    async fn wait_for_caller_server(&mut self) {
        self.servers.join_next().await;
    }
}

async fn open(
    name: &'static str,
    address: SocketAddr,
    limits: Limits,
) -> Result<Server, StartError> {
    let opened = Server::open(address, limits).await;
    opened.map_err(|error| StartError::Port {
        name,
        address,
        error,
    })
}

fn caller_limits(settings: &Settings) -> Limits {
    Limits {
        header_bytes: settings.limits.header_bytes,
        header_timeout: settings.limits.header_timeout,
        connections: settings.limits.connections as usize,
    }
}

fn internal_limits(settings: &Settings) -> Limits {
    Limits {
        connections: MAX_INTERNAL_CONNECTIONS,
        ..caller_limits(settings)
    }
}

fn build(settings: Settings, port: Port, inbox: Inbox) -> Result<Arc<Node>, StartError> {
    let clock = Clock::start();
    let secret: Secret = settings
        .secret
        .expose()
        .parse()
        .map_err(StartError::Secret)?;
    let logger = Logger::new(&settings.log).map_err(StartError::Log)?;
    let metrics = Metrics::new(&settings.metrics).map_err(StartError::Metrics)?;
    let recorder = Arc::new(Recorder::new(metrics));
    let name = settings.router.name.clone();
    let data_centre = settings.router.data_centre.clone();
    let address = settings.listen.peers;
    let seed = rand::rng().next_u64();
    let (ownership, actions) = Ownership::new(clock, ownership_settings(&settings, seed));
    let (scheduler, request_commands) = Scheduler::new(clock, request_settings(&settings, seed));
    let (membership, membership_commands) = Membership::new(
        clock,
        member::Settings::builder(name.clone(), data_centre.clone(), address)
            .incarnation(incarnation())
            .seed(seed)
            .build(),
        spread::Settings::new(name.clone(), data_centre.clone(), seed),
        adoption::Settings::new(name.clone(), data_centre, seed),
    );
    let endpoints = settings.platform;
    let node = Arc::new(Node {
        clock,
        logger,
        recorder: Arc::clone(&recorder),
        body_limit: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
        hop_token: secret.token(hop::TOKEN_PURPOSE),
        ownership: Arc::new(ownership),
        scheduler: Arc::new(scheduler),
        membership,
        links: Links::default(),
        sender: Sender::new(name, address, secret, port, recorder),
        bundles: Bundles::default(),
        meter: Arc::new(Meter::default()),
        table: table::Client::new(endpoints.table, platform::Settings::default()),
        objects: objects::Client::new(endpoints.objects, platform::Settings::default()),
        vms: vms::Client::new(endpoints.vms, platform::Settings::default()),
        draining: watch::Sender::new(false),
        handed_over: watch::Sender::new(false),
        in_force: RwLock::new(None),
        settings,
    });
    start_tasks(&node, inbox);
    spawn_background(effects::run_ownership(Arc::clone(&node), actions));
    spawn_background(effects::run_requests(Arc::clone(&node), request_commands));
    spawn_background(dispatch::run(Arc::clone(&node), membership_commands));
    // A router without peers never gets a membership change, so the initial list of
    // members is reported here.
    dispatch::update_members(&node, &node.membership.live());
    node.membership.step_member(member::Event::Tick);
    node.membership.step_adoption(adoption::Event::Tick);
    node.ownership.step(ownership::Event::Tick);
    Ok(node)
}

fn ownership_settings(settings: &Settings, nonce: u64) -> ownership::Settings {
    let name = settings.router.name.clone();
    let data_centre = settings.router.data_centre.clone();
    let nonce = format!("{nonce:016x}");
    ownership::Settings::builder(name, settings.listen.peers, data_centre, &nonce)
        .lease(settings.ownership.lease)
        .heartbeat(settings.ownership.heartbeat)
        .drift_ppm(settings.ownership.drift_ppm)
        .authority(settings.ownership.authority)
        .seed(rand::rng().next_u64())
        .build()
}

fn request_settings(settings: &Settings, nonce: u64) -> request::Settings {
    let name = format!("{}-{nonce:016x}", settings.router.name.as_str());
    request::Settings::builder()
        .router(Arc::from(name))
        .seed(nonce)
        .build()
}

/// Returns the milliseconds since the Unix epoch as the incarnation. It is higher than
/// the incarnation of any earlier process of the same router, unless the clock of the VM
/// was set back. A router that receives a higher incarnation for itself adopts it.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn start_tasks(node: &Arc<Node>, inbox: Inbox) {
    spawn_background(Arc::clone(&node.ownership).run_timers());
    let shared = Arc::clone(node);
    spawn_background(async move { shared.scheduler.run_timers().await });
    let shared = Arc::clone(node);
    spawn_background(async move { shared.membership.run_member_timers().await });
    let shared = Arc::clone(node);
    spawn_background(async move { shared.membership.run_adoption_timers().await });
    spawn_background(effects::watch_grants(Arc::clone(node)));
    spawn_background(receive_datagrams(Arc::clone(node)));
    spawn_background(receive_messages(Arc::clone(node), inbox));
    spawn_background(report_load(Arc::clone(node)));
    spawn_background(read_vms(Arc::clone(node)));
    spawn_background(report_time_of_day(Arc::clone(node)));
    spawn_background(flush_metrics(Arc::clone(node)));
}

async fn receive_datagrams(node: Arc<Node>) {
    loop {
        if let Ok((bytes, _)) = node.sender.receive_datagram().await {
            handle_frame(&node, &bytes);
        }
    }
}

async fn receive_messages(node: Arc<Node>, mut inbox: Inbox) {
    while let Ok(bytes) = inbox.receive().await {
        handle_frame(&node, &bytes);
    }
}

fn handle_frame(node: &Node, bytes: &[u8]) {
    #[derive(Serialize)]
    struct Line {
        reason: String,
    }
    match node.sender.open(bytes) {
        Ok(frame) => dispatch::handle_message(node, frame.sender, frame.body),
        Err(fault) => {
            node.recorder.count(metrics::Counter::PeerRefused);
            node.logger.log(
                log::Level::Warn,
                "frame",
                &Line {
                    reason: fault.to_string(),
                },
            );
        }
    }
}

async fn report_load(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOAD_PERIOD).await;
        let load = node.meter.take(LOAD_PERIOD);
        node.ownership.step(ownership::Event::Load(load));
    }
}

/// Reports the time of day to the request machine, which uses it to delete claims whose
/// retention period has passed.
async fn report_time_of_day(node: Arc<Node>) {
    loop {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let unix = unix.unwrap_or_default();
        node.scheduler
            .step(request::Event::TimeOfDay { unix }, None);
        tokio::time::sleep(TIME_OF_DAY_PERIOD).await;
    }
}

async fn flush_metrics(node: Arc<Node>) {
    loop {
        tokio::time::sleep(METRICS_PERIOD).await;
        node.recorder.report(&State {
            requests: node.scheduler.snapshot(),
            homes: node.ownership.grants().len(),
            peers: node.membership.live().len(),
            bundle: node.bundle().map_or(0, |bundle| bundle.version().0),
            now: node.clock.now(),
        });
        node.recorder.flush();
    }
}

async fn read_vms(node: Arc<Node>) {
    loop {
        if let Ok(list) = node.vms.list().await {
            apply_vm_list(&node, &list);
        }
        tokio::time::sleep(vms_period(&node)).await;
    }
}

fn vms_period(node: &Node) -> Duration {
    let here = &node.settings.router.data_centre;
    let live = node.membership.live();
    let count = live.iter().filter(|live| live.data_centre == *here).count();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    VMS_PERIOD * count.div_ceil(MAX_VMS_READS_PER_PERIOD).max(1)
}

fn apply_vm_list(node: &Node, list: &[vms::Vm]) {
    let mut routers = Vec::new();
    let mut leaving: Vec<Upstream> = Vec::new();
    for vm in list {
        let is_leaving = vm.state == vms::State::Leaving;
        match &vm.role {
            vms::Role::Router(router) => routers.push(member::Listed {
                router: router.clone(),
                data_centre: vm.data_centre.clone(),
                address: vm.address,
                leaving: is_leaving,
            }),
            vms::Role::Upstream(upstream) if is_leaving => leaving.push(upstream.clone()),
            vms::Role::Upstream(_) => {}
        }
    }
    node.membership.step_member(member::Event::List(routers));
    node.ownership.step(ownership::Event::Leaving(leaving));
}
