//! Calls between routers: reports to a keeper, and the question whether an
//! earlier keeper has stopped.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_model::Revision;
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
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::book::Departure;
use crate::duty::Pace;
use crate::front;
use crate::node::{Node, Shares};
use crate::notice::Notices;
use crate::payload::{self, Payload, Taken};
use crate::relay;
use crate::seam::Platform;

/// Time for a call between routers: many round trips, and time for a slow VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a call that the other router may hold back.
const HELD_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Question of a router that starts.
const CONSULT_PATH: &str = "/consult";

/// What a router tells the keeper of a service.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) service: Arc<str>,
    /// Answers since the last report.
    pub(crate) paces: Vec<Pace>,
    /// Version of the map that the router has.
    pub(crate) map_version: Revision,
    pub(crate) notices: Notices,
}

/// What a router hears from a keeper.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    pub(crate) changes: Option<Delta>,
    pub(crate) admitted: Shares,
    pub(crate) departures: Vec<Departure>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Reply {
    is_keeper: bool,
    /// Whether it is about to take the duty, or has and doesn't act yet.
    is_beginning: bool,
    /// Changes of the map, if the router's is older.
    changes: Option<Delta>,
    /// Shares of requests that overloaded holders can serve.
    admitted: Shares,
    departures: Vec<Departure>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Yield {
    service: Arc<str>,
    term: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Yielded {
    incarnation: u64,
    /// Whether the duty is given up.
    has_yielded: bool,
}

/// Changes of the map of a service.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct News {
    pub(crate) service: Arc<str>,
    pub(crate) changes: Delta,
}

/// Connections to other routers.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Own address, by which other routers know this one.
    local: IpAddr,
    endpoints: RefCell<HashMap<SocketAddr, Rc<Endpoint>>>,
}

impl Peers {
    pub(crate) fn new(local: IpAddr) -> Self {
        Self {
            local,
            endpoints: RefCell::default(),
        }
    }

    fn endpoint(&self, address: SocketAddr) -> Rc<Endpoint> {
        let mut endpoints = self.endpoints.borrow_mut();
        let new = || {
            let settings = Settings::builder()
                .connect_timeout(CALL_TIMEOUT)
                .timeout(HELD_CALL_TIMEOUT)
                .max_idle_connections(2)
                .local_address(self.local)
                .build();
            Rc::new(Endpoint::new(address, settings))
        };
        Rc::clone(endpoints.entry(address).or_insert_with(new))
    }

    async fn call<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<A, Contact> {
        let endpoint = self.endpoint(address);
        let body = postcard::to_allocvec(body).map_err(|_| Contact::Unresponsive)?;
        let call = Call::post(path, body);
        let answer = match timeout(limit, endpoint.call(&call)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) if matches!(fault.kind, Kind::Unreachable(_)) => {
                return Err(is_refused(address).await);
            }
            _ => return Err(Contact::Unresponsive),
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::FORBIDDEN => return Err(Contact::Unrecognized),
            _ => return Err(Contact::Idle),
        }
        postcard::from_bytes(&answer.body).map_err(|_| Contact::Idle)
    }

    /// Reports to a keeper. Returns what the contact showed, and what it said.
    pub(crate) async fn report(&self, duty: &Leadership, report: &Report) -> (Contact, Heard) {
        let call = self.call::<Reply>(duty.address, "/report", report, CALL_TIMEOUT);
        let reply = match call.await {
            Ok(reply) => reply,
            Err(contact) => return (contact, Heard::default()),
        };
        let contact = match (reply.is_keeper, reply.is_beginning) {
            (true, _) => Contact::Serving,
            // Another one that stood now would only take the duty away again.
            (false, true) => Contact::Unresponsive,
            (false, false) => Contact::Idle,
        };
        let heard = Heard {
            changes: reply.changes,
            admitted: reply.admitted,
            departures: reply.departures,
        };
        (contact, heard)
    }

    /// Asks an earlier keeper to stop. Returns whether it has certainly stopped.
    pub(crate) async fn ask_to_yield(
        &self,
        before: &Predecessor,
        service: &Arc<str>,
        term: u64,
    ) -> bool {
        let question = Yield {
            service: Arc::clone(service),
            term,
        };
        let end = self
            .call::<Yielded>(before.address, "/yield", &question, CALL_TIMEOUT)
            .await;
        match end {
            Ok(yielded) => yielded.has_yielded || yielded.incarnation != before.incarnation,
            // The process that had the duty has ended.
            Err(contact) => contact == Contact::ConnectionRefused,
        }
    }

    /// Asks a relay for news, which it may hold back.
    pub(crate) async fn follow(
        &self,
        address: SocketAddr,
        hold_back: Duration,
        question: &relay::Question,
    ) -> Result<relay::Answer, Contact> {
        self.call(address, "/follow", question, hold_back + CALL_TIMEOUT)
            .await
    }

    /// Asks a router what it knows that the store may have lost.
    pub(crate) async fn consult(&self, address: SocketAddr) -> Result<relay::Answer, Contact> {
        self.call(address, CONSULT_PATH, &(), CALL_TIMEOUT).await
    }

    /// Gives a relay changes of a map.
    pub(crate) async fn tell_map(&self, address: SocketAddr, news: &News) -> Result<(), Contact> {
        self.call(address, "/map", news, CALL_TIMEOUT).await
    }
}

/// Whether nothing listens at an address: then the process that did has ended.
async fn is_refused(address: SocketAddr) -> Contact {
    match timeout(CALL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Contact::ConnectionRefused
        }
        _ => Contact::Unresponsive,
    }
}

/// Answers other routers until the process ends.
pub(crate) async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let (stream, from) = front::next(&node, &listener, "peer").await;
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let node = Rc::clone(&node);
                async move { Ok::<_, Infallible>(answer(&node, from.ip(), request).await) }
            });
            // A router that breaks off has nothing to be told.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

#[derive(Serialize)]
struct Stranger {
    address: IpAddr,
}

async fn answer<P: Platform>(
    node: &Rc<Node<P>>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Response<Payload> {
    let path = request.uri().path().to_owned();
    let knows_nothing = node.state.borrow().directory.is_none();
    if path == CONSULT_PATH && knows_nothing {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let is_known = node.state.borrow().knows(from, node.settings.grace);
    if !is_known && from != node.settings.peer.ip() {
        node.log
            .request("stranger refused", &Stranger { address: from });
        return respond(StatusCode::FORBIDDEN, Bytes::new());
    }
    let Taken::Whole(body) = payload::take(request.into_body(), &node.memory).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match &*path {
        "/report" => encode(
            postcard::from_bytes(&body)
                .ok()
                .map(|report| hear(node, report)),
        ),
        "/follow" => match postcard::from_bytes(&body) {
            Ok(question) => encode(Some(node.answer_follower(question).await)),
            Err(_) => respond(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        CONSULT_PATH => encode(Some(node.answer_consultation())),
        "/map" => encode(postcard::from_bytes(&body).ok().map(|news: News| {
            if node.learn_changes(&news.service, news.changes) {
                // The keeper's answer to a report brings what is missing.
                tokio::task::spawn_local(Rc::clone(node).report(news.service));
            }
        })),
        "/yield" => encode(
            postcard::from_bytes(&body)
                .ok()
                .map(|question: Yield| Yielded {
                    incarnation: node.settings.incarnation,
                    has_yielded: node.duties.give_up(&question.service, question.term),
                }),
        ),
        _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn hear<P: Platform>(node: &Rc<Node<P>>, report: Report) -> Reply {
    node.hear_notices(report.notices);
    node.duties.absorb_paces(&report.service, &report.paces);
    let is_keeper = node.duties.acts(&report.service);
    let is_beginning = node.duties.is_standing(&report.service);
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
        .filter(|edition| edition.version() > report.map_version);
    Reply {
        is_keeper,
        is_beginning,
        changes: newer.map(|edition| edition.since(report.map_version)),
        admitted,
        departures,
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
