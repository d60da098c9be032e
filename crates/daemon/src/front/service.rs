//! Request handlers of the ports for callers and for other routers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_model::Partner;
use eelgrassrock_telemetry::metrics::Counter;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::exchange::body::Body;
use crate::exchange::inbound::{Head, Inbound};
use crate::exchange::problem::{Outcome, Problem};
use crate::exchange::{header, request_id};
use crate::front::routing::{Origin, serve};
use crate::node::Node;
use crate::peer::hop;

/// `Retry-After` while this router has no bundle.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Handles a request of a caller.
pub(crate) async fn answer_caller(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let request_id = request_id::accept_or_generate(request.headers());
    let read = read_caller(&node, Arc::clone(&request_id), request).await;
    let response = match read {
        Ok(inbound) => serve(&node, inbound, Origin::Caller, None).await,
        Err(problem) => problem.into_response(&request_id),
    };
    node.recorder.count_answer(&response);
    Ok(response)
}

/// Handles a request that another router forwarded.
pub(crate) async fn answer_router(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let request_id = request_id::accept_or_generate(request.headers());
    let progress = hop::read_progress(request.headers());
    let read = read_router(&node, Arc::clone(&request_id), request).await;
    let response = match read {
        Ok(inbound) => serve(&node, inbound, Origin::Router, progress).await,
        Err(problem) => problem.into_response(&request_id),
    };
    node.recorder.count_answer(&response);
    Ok(response)
}

async fn read_caller(
    node: &Node,
    request_id: Arc<str>,
    request: Request<Incoming>,
) -> Result<Inbound, Problem> {
    let bundle = bundle(node)?;
    let authenticated = authenticate(&bundle, request.headers());
    let partner = authenticated.inspect_err(|_| {
        node.recorder.count(Counter::CredentialsRefused);
    })?;
    let now = node.clock.now();
    let head = Head {
        request_id,
        partner,
        deadline: None,
        now,
        body_limit: node.body_limit,
    };
    let mut request = request;
    // The credential of the partner must not reach other routers or the upstream.
    request.headers_mut().remove(AUTHORIZATION);
    Inbound::read(&bundle, head, request).await
}

async fn read_router(
    node: &Node,
    request_id: Arc<str>,
    request: Request<Incoming>,
) -> Result<Inbound, Problem> {
    let bundle = bundle(node)?;
    let headers = request.headers();
    let token = headers
        .get(header::HOP_TOKEN)
        .and_then(|value| value.to_str().ok());
    if !token.is_some_and(|token| node.hop_token.matches(token)) {
        let detail = "this port is for the routers of the deployment";
        return Err(Problem::new(StatusCode::FORBIDDEN, Outcome::NotRun, detail));
    }
    let partner = read_header(headers, &header::PARTNER).and_then(|text| text.parse().ok());
    let left = read_header(headers, &header::DEADLINE).and_then(|text| text.parse().ok());
    let (Some(partner), Some(left)) = (partner, left) else {
        let detail = "the request lacks the partner or the time left";
        return Err(Problem::new(
            StatusCode::BAD_REQUEST,
            Outcome::NotRun,
            detail,
        ));
    };
    let now = node.clock.now();
    let deadline = Some(now + Duration::from_millis(left));
    let head = Head {
        request_id,
        partner,
        deadline,
        now,
        body_limit: node.body_limit,
    };
    Inbound::read(&bundle, head, request).await
}

fn bundle(node: &Node) -> Result<Arc<Bundle>, Problem> {
    node.bundle().ok_or_else(|| {
        let detail = "this router has no bundle yet";
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, detail)
            .retry_after(NOT_READY_RETRY)
    })
}

fn authenticate(bundle: &Bundle, headers: &HeaderMap) -> Result<Partner, Problem> {
    let credential = read_header(headers, &AUTHORIZATION);
    let credential = credential.and_then(|text| text.strip_prefix("Bearer "));
    let partner = credential.and_then(|credential| bundle.partner(credential.trim().as_bytes()));
    partner.cloned().ok_or_else(|| {
        let detail = "send `Authorization: Bearer CREDENTIAL` with the credential of a partner";
        Problem::new(StatusCode::UNAUTHORIZED, Outcome::NotRun, detail)
    })
}

fn read_header<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
