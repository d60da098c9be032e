//! HTTP client for tickets, orders and health probes of upstreams.

use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_model::Term;
use eelgrassrock_ownership::grant::{Answer, Order, Refusal, Ticket};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::upstream::link::{Connection, Link, Reuse};

const TICKET_PATH: &str = "/grants/v1/ticket";
const ORDERS_PATH: &str = "/grants/v1/orders";
const HEALTH_PATH: &str = "/health";

/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// JSON body of the answer to an accepted order.
#[derive(Debug, Deserialize)]
struct Accepted {
    incarnation: std::sync::Arc<str>,
    clock_ms: u64,
    leaving: bool,
}

/// JSON body of the answer to a refused order.
#[derive(Debug, Deserialize)]
struct Refused {
    reason: Refusal,
    incarnation: std::sync::Arc<str>,
    clock_ms: u64,
    leaving: bool,
    term: Term,
}

impl From<Refused> for Answer {
    fn from(refused: Refused) -> Self {
        Self::Refused {
            reason: refused.reason,
            ticket: Ticket {
                incarnation: refused.incarnation,
                clock_ms: refused.clock_ms,
                leaving: refused.leaving,
                term: refused.term,
            },
        }
    }
}

/// Requests a ticket from an upstream. Returns `None` if there is no valid answer in time.
pub(crate) async fn ask_ticket(link: &Link, limit: Duration) -> Option<Ticket> {
    let request = request(Method::GET, TICKET_PATH, Bytes::new());
    let (status, bytes) = exchange(link, request, limit).await?;
    if status == StatusCode::OK {
        parse(&bytes)
    } else {
        None
    }
}

/// Sends an order once. Returns [`Answer::Unknown`] if there is no valid answer in time.
pub(crate) async fn send(link: &Link, order: &Order, limit: Duration) -> Answer {
    let body = serde_json::to_vec(order).expect("an order is always valid JSON");
    let request = request(Method::POST, ORDERS_PATH, Bytes::from(body));
    let Some((status, bytes)) = exchange(link, request, limit).await else {
        return Answer::Unknown;
    };
    match status {
        StatusCode::OK => parse(&bytes).map_or(Answer::Unknown, |accepted: Accepted| {
            Answer::Accepted(Ticket {
                incarnation: accepted.incarnation,
                clock_ms: accepted.clock_ms,
                leaving: accepted.leaving,
                term: order.term,
            })
        }),
        StatusCode::CONFLICT => parse::<Refused>(&bytes).map_or(Answer::Unknown, Answer::from),
        _ => Answer::Unknown,
    }
}

/// Returns whether an upstream reports within `limit` that it is healthy.
pub(crate) async fn probe(link: &Link, limit: Duration) -> bool {
    let request = request(Method::GET, HEALTH_PATH, Bytes::new());
    let answer = exchange(link, request, limit).await;
    answer.is_some_and(|(status, _)| status == StatusCode::OK)
}

fn request(method: Method, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "upstream")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the parts of the request are valid")
}

async fn exchange(
    link: &Link,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<(StatusCode, Bytes)> {
    let sent = async {
        let sent = link.open(Reuse::Allowed).await.ok()?;
        let (response, connection) = sent.send(request).await.ok()?;
        read(response, connection).await
    };
    timeout(limit, sent).await.ok().flatten()
}

async fn read(response: Response<Incoming>, connection: Connection) -> Option<(StatusCode, Bytes)> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .ok()?;
    connection.release();
    Some((status, body.to_bytes()))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    serde_json::from_slice(bytes).ok()
}
