//! Calls between routers: reports to a keeper, and the question whether an
//! earlier keeper has stopped.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_ranges::election::{Contact, Duty};
use eelgrassrock_ranges::map::Map;
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
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::payload::{self, Payload, Taken};
use crate::seam::Platform;

/// Time for a call between routers: many round trips, and time for a slow VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a failure to accept, for instance when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a router tells the keeper of a service.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) router: Arc<str>,
    pub(crate) service: Arc<str>,
    /// Keys that were asked for since the last report.
    pub(crate) keys: Vec<u16>,
    /// Version of the map that the router has.
    pub(crate) map_version: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Reply {
    is_keeper: bool,
    /// The map, if the router's is older.
    map: Option<(Map, u64)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Yield {
    service: Arc<str>,
    term: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Yielded {
    incarnation: u64,
    /// Whether all grants were answered; `None` if the duty isn't given up.
    is_clean: Option<bool>,
}

async fn call<A: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<A, Contact> {
    // A refused connection says more than a failed call.
    match timeout(CALL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(Contact::Refused);
        }
        Ok(Ok(_)) => {}
        _ => return Err(Contact::Silent),
    }
    let settings = Settings::builder()
        .connect_timeout(CALL_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .max_idle_connections(0)
        .build();
    let endpoint = Endpoint::new(address, settings);
    let body = postcard::to_allocvec(body).map_err(|_| Contact::Silent)?;
    let answer = endpoint.call(&Call::post(path, body)).await.map_err(|_| Contact::Silent)?;
    if answer.status != StatusCode::OK {
        return Err(Contact::Idle);
    }
    postcard::from_bytes(&answer.body).map_err(|_| Contact::Idle)
}

/// Reports to a keeper. Returns what the contact showed, and a newer map.
pub(crate) async fn report(duty: &Duty, report: &Report) -> (Contact, Option<(Map, u64)>) {
    match call::<Reply>(duty.address, "/report", report).await {
        Ok(reply) if reply.is_keeper => (Contact::Serving, reply.map),
        Ok(reply) => (Contact::Idle, reply.map),
        Err(contact) => (contact, None),
    }
}

/// Asks an earlier keeper to stop. Returns whether all of its grants were
/// answered, `None` if it isn't certain that it has stopped.
pub(crate) async fn ask_to_yield(before: &Duty, service: &Arc<str>, term: u64) -> Option<bool> {
    let question = Yield {
        service: Arc::clone(service),
        term,
    };
    match call::<Yielded>(before.address, "/yield", &question).await {
        Ok(yielded) if yielded.incarnation != before.incarnation => Some(false),
        Ok(yielded) => yielded.is_clean,
        // The process that had the duty has ended.
        Err(Contact::Refused) => Some(false),
        Err(_) => None,
    }
}

/// Answers other routers until the process ends.
pub(crate) async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let node = Rc::clone(&node);
                async move { Ok::<_, Infallible>(answer(&node, from.ip(), request).await) }
            });
            // A router that breaks off has nothing to be told.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
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
    let known = node.state.borrow().routers.values().any(|router| router.address.ip() == from);
    if !known && from != node.settings.peer.ip() {
        node.log.request("stranger refused", &Stranger { address: from });
        return respond(StatusCode::FORBIDDEN, Bytes::new());
    }
    let path = request.uri().path().to_owned();
    let Taken::Whole(body) = payload::take(request.into_body()).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match &*path {
        "/report" => encode(postcard::from_bytes(&body).ok().map(|report| hear(node, &report))),
        "/yield" => encode(postcard::from_bytes(&body).ok().map(|question: Yield| Yielded {
            incarnation: node.settings.incarnation,
            is_clean: node.duties.give_up(&question.service, question.term),
        })),
        _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn hear<P: Platform>(node: &Node<P>, report: &Report) -> Reply {
    let is_keeper = node.duties.hear(&report.service, &report.keys);
    let state = node.state.borrow();
    let map = state.maps.get(&report.service).filter(|(_, version)| *version > report.map_version);
    Reply {
        is_keeper,
        map: map.cloned(),
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
