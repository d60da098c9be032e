//! Calls between routers: reports to a leader, requests to an earlier leader to yield, long polls
//! of followers, consultations, and updates of maps.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::observation::Observation;
use eelgrassrock_model::Revision;
use eelgrassrock_model::process::Sign;
use eelgrassrock_ranges::election::{Contact, Leadership, Predecessor};
use eelgrassrock_ranges::versioned::Delta;
use eelgrassrock_store::Kind;
use eelgrassrock_store::endpoint::{Call, Endpoint};
use eelgrassrock_store::settings::Settings;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::clock;
use crate::detour;
use crate::front;
use crate::leadership::ServiceTime;
use crate::link;
use crate::metrics::{ANSWERED, PeerCalls};
use crate::node::{Node, Shares};
use crate::notice::Notices;
use crate::payload::{self, Payload, Taken};
use crate::platform::Platform;
use crate::registry::Departure;
use crate::relay;
use crate::request;

/// Timeout of a call between routers. It allows for many round trips and a slow VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request for a row. To read the row elsewhere takes longer on a busy link.
const ROW_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest pause while an answer arrives.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Path for consultations by a starting router.
const CONSULT_PATH: &str = "/consult";
/// Path for requests for single rows.
const ROW_PATH: &str = "/row";
/// Path for questions whether a router runs.
const ALIVE_PATH: &str = "/alive";
/// Path for long polls of followers.
pub(crate) const FOLLOW_PATH: &str = "/follow";

/// Report of a router to the leader of a service.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) service: Arc<str>,
    /// Service times since the last report.
    pub(crate) service_times: Vec<ServiceTime>,
    /// Version of the reporting router's map.
    pub(crate) map_version: Revision,
    pub(crate) notices: Notices,
}

/// Contents of a leader's response to a report.
#[derive(Debug, Default)]
pub(crate) struct ReportResponse {
    pub(crate) changes: Option<Delta>,
    pub(crate) admitted: Shares,
    pub(crate) departures: Vec<Departure>,
    pub(crate) observations: Vec<Observation>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Reply {
    is_leader: bool,
    /// Whether it is about to take leadership, or has taken it and can't act yet.
    is_taking_over: bool,
    /// Changes of the map, if that of the reporting router is older.
    changes: Option<Delta>,
    /// Overloaded holders with the share of requests that they can serve.
    admitted: Shares,
    departures: Vec<Departure>,
    observations: Vec<Observation>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Yield {
    service: Arc<str>,
    term: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Yielded {
    incarnation: u64,
    /// Whether it has certainly stopped acting as the leader.
    has_yielded: bool,
}

/// Update of the map of a service.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MapUpdate {
    pub(crate) service: Arc<str>,
    pub(crate) changes: Delta,
}

/// Connections to other routers.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Address of this router. Other routers recognize it by its calls' source address.
    local: IpAddr,
    counts: PeerCalls,
    endpoints: RefCell<HashMap<SocketAddr, Rc<Endpoint>>>,
}

impl Peers {
    pub(crate) fn new(local: IpAddr, counts: PeerCalls) -> Self {
        Self {
            local,
            counts,
            endpoints: RefCell::default(),
        }
    }

    fn endpoint(&self, address: SocketAddr) -> Rc<Endpoint> {
        let mut endpoints = self.endpoints.borrow_mut();
        let new = || {
            let settings = Settings::builder()
                .connect_timeout(CALL_TIMEOUT)
                .timeout(CALL_TIMEOUT)
                .stall_timeout(STALL_TIMEOUT)
                .max_idle_connections(2)
                .local_address(self.local)
                .build();
            Rc::new(Endpoint::new(address, settings))
        };
        Rc::clone(endpoints.entry(address).or_insert_with(new))
    }

    /// Makes a call whose whole answer must arrive within a limit.
    async fn call<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<A, Contact> {
        let call = self.try_call(address, path, body, limit);
        let end = timeout(limit, call)
            .await
            .unwrap_or(Err(Contact::Unresponsive));
        self.count(path, end)
    }

    /// Makes a call whose answer must begin within a limit, and then arrive without long pauses.
    async fn call_steadily<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<A, Contact> {
        let end = self.try_call(address, path, body, limit).await;
        self.count(path, end)
    }

    async fn try_call<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<A, Contact> {
        let endpoint = self.endpoint(address);
        let body = postcard::to_allocvec(body).map_err(|_| Contact::Unresponsive)?;
        let call = Call::post(path, body).timeout(limit);
        let response = match endpoint.call(&call).await {
            Ok(response) => response,
            Err(fault) if matches!(fault.kind, Kind::Unreachable(_)) => {
                return Err(examine(address).await);
            }
            Err(_) => return Err(Contact::Unresponsive),
        };
        match response.status {
            StatusCode::OK => {}
            StatusCode::FORBIDDEN => return Err(Contact::Unrecognized),
            _ => return Err(Contact::Idle),
        }
        postcard::from_bytes(&response.body).map_err(|_| Contact::Idle)
    }

    /// Counts a call by its result.
    fn count<A>(&self, path: &'static str, end: Result<A, Contact>) -> Result<A, Contact> {
        let failure = end.as_ref().err().copied();
        let result = failure.map_or(ANSWERED, Contact::as_str);
        self.counts.record(path, result);
        end
    }

    /// Sends a report to a leader. Returns the result of the contact and the response.
    pub(crate) async fn report(
        &self,
        leadership: &Leadership,
        report: &Report,
    ) -> (Contact, ReportResponse) {
        let call = self.call::<Reply>(leadership.address, "/report", report, CALL_TIMEOUT);
        let reply = match call.await {
            Ok(reply) => reply,
            Err(contact) => return (contact, ReportResponse::default()),
        };
        let contact = match (reply.is_leader, reply.is_taking_over) {
            (true, _) => Contact::Serving,
            // A further candidate would only take leadership away again.
            (false, true) => Contact::Unresponsive,
            (false, false) => Contact::Idle,
        };
        let response = ReportResponse {
            changes: reply.changes,
            admitted: reply.admitted,
            departures: reply.departures,
            observations: reply.observations,
        };
        (contact, response)
    }

    /// Asks an earlier leader to yield. Returns the sign of whether it has stopped acting.
    pub(crate) async fn ask_to_yield(
        &self,
        predecessor: &Predecessor,
        service: &Arc<str>,
        term: u64,
    ) -> Sign {
        let request = Yield {
            service: Arc::clone(service),
            term,
        };
        let end = self
            .call::<Yielded>(predecessor.address, "/yield", &request, CALL_TIMEOUT)
            .await;
        match end {
            Ok(yielded) if yielded.incarnation != predecessor.incarnation => Sign::OtherAnswered,
            Ok(yielded) if yielded.has_yielded => Sign::Resigned,
            Ok(_) => Sign::Acting,
            Err(Contact::ConnectionRefused) => Sign::ConnectionRefused,
            Err(_) => Sign::Unresponsive,
        }
    }

    /// Long-polls a relay for changes. `link_wait` is the time that messages wait for the link of
    /// this router.
    pub(crate) async fn follow(
        &self,
        address: SocketAddr,
        hold_back: Duration,
        request: &relay::FollowRequest,
        link_wait: Duration,
    ) -> Result<relay::FollowResponse, Contact> {
        let limit = hold_back + CALL_TIMEOUT + link_wait;
        self.call_steadily(address, FOLLOW_PATH, request, limit)
            .await
    }

    /// Requests a row that another router has announced.
    pub(crate) async fn fetch_row(
        &self,
        address: SocketAddr,
        request: &relay::RowRequest,
        link_wait: Duration,
    ) -> Result<relay::RowResponse, Contact> {
        let limit = ROW_TIMEOUT + link_wait;
        self.call_steadily(address, ROW_PATH, request, limit).await
    }

    /// Asks a router for what it knows and the store may have lost.
    pub(crate) async fn consult(
        &self,
        address: SocketAddr,
    ) -> Result<relay::FollowResponse, Contact> {
        self.call(address, CONSULT_PATH, &(), CALL_TIMEOUT).await
    }

    /// Whether a router answers at all, whatever it says. Earlier versions don't know the call.
    pub(crate) async fn is_running(&self, address: SocketAddr) -> bool {
        let end = self.call::<()>(address, ALIVE_PATH, &(), CALL_TIMEOUT);
        match end.await {
            Ok(()) | Err(Contact::Idle | Contact::Unrecognized) => true,
            Err(_) => false,
        }
    }

    /// Sends changes of a map to a relay.
    pub(crate) async fn send_map(
        &self,
        address: SocketAddr,
        update: &MapUpdate,
    ) -> Result<(), Contact> {
        self.call(address, "/map", update, CALL_TIMEOUT).await
    }
}

/// Finds out why an address can't be reached.
async fn examine(address: SocketAddr) -> Contact {
    if link::is_refused(address, CALL_TIMEOUT).await {
        Contact::ConnectionRefused
    } else {
        Contact::Unresponsive
    }
}

/// Serves calls of other routers until the process ends.
pub(crate) async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let (stream, from) = front::next(&node, &listener, "peer").await;
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let node = Rc::clone(&node);
                async move { Ok::<_, Infallible>(serve_call(&node, from.ip(), request).await) }
            });
            // Errors of a connection concern only the calling router.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

#[derive(Serialize)]
struct UnknownPeerLine {
    address: IpAddr,
}

async fn serve_call<P: Platform>(
    node: &Rc<Node<P>>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Response<Payload> {
    let path = request.uri().path().to_owned();
    let is_unconfigured = node.state.borrow().directory.is_none();
    if path == CONSULT_PATH && is_unconfigured {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let is_known = node.state.borrow().recognizes(from, node.settings.grace);
    if !is_known && from != node.settings.peer.ip() {
        node.log
            .request("stranger refused", &UnknownPeerLine { address: from });
        return respond(StatusCode::FORBIDDEN, Bytes::new());
    }
    node.watch.hear(from);
    if detour::is_passed_on(&request) {
        return request::serve_passed_on(Rc::clone(node), request).await;
    }
    let Taken::Whole(body) = payload::take(request.into_body(), &node.memory).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match &*path {
        "/report" => encode(
            postcard::from_bytes(&body)
                .ok()
                .map(|report| handle_report(node, report)),
        ),
        FOLLOW_PATH => match postcard::from_bytes(&body) {
            Ok(request) => encode(Some(node.serve_follower(request).await)),
            Err(_) => respond(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        ROW_PATH => encode(
            postcard::from_bytes(&body)
                .ok()
                .and_then(|request| node.serve_row(&request)),
        ),
        CONSULT_PATH => encode(Some(node.serve_consultation())),
        ALIVE_PATH => encode(Some(())),
        "/map" => encode(postcard::from_bytes(&body).ok().map(|update: MapUpdate| {
            if node.learn_changes(&update.service, update.changes) {
                // The leader's response to a report supplies what is missing.
                tokio::task::spawn_local(Rc::clone(node).report(update.service));
            }
        })),
        "/yield" => encode(
            postcard::from_bytes(&body)
                .ok()
                .map(|request: Yield| Yielded {
                    incarnation: node.settings.incarnation,
                    has_yielded: node.leaderships.step_down(&request.service, request.term),
                }),
        ),
        _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn handle_report<P: Platform>(node: &Rc<Node<P>>, report: Report) -> Reply {
    node.merge_notices(report.notices);
    node.leaderships
        .merge_reported_times(&report.service, &report.service_times);
    let is_leader = node.leaderships.is_active_leader(&report.service);
    let is_taking_over = node.leaderships.is_campaigning(&report.service);
    let admitted = node
        .admitted
        .borrow()
        .get(&report.service)
        .cloned()
        .unwrap_or_default();
    let departures = node.departures(false);
    let state = node.state.borrow();
    let newer = state
        .maps
        .get(&report.service)
        .filter(|versioned| versioned.version() > report.map_version);
    Reply {
        is_leader,
        is_taking_over,
        changes: newer.map(|versioned| versioned.since(report.map_version)),
        admitted,
        departures,
        observations: node.observations.borrow().all(clock::now()),
    }
}

fn encode<T: Serialize>(answer: Option<T>) -> Response<Payload> {
    match answer.and_then(|answer| postcard::to_allocvec(&answer).ok()) {
        Some(bytes) => respond(StatusCode::OK, bytes.into()),
        None => respond(StatusCode::BAD_REQUEST, Bytes::new()),
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Payload> {
    let mut response = Response::new(Payload::whole(body));
    *response.status_mut() = status;
    response
}
