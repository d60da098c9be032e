//! Admin port for operators and the platform's health checks.
//!
//! `GET /live` and `GET /ready` need no credential. `GET /status` needs the secret of
//! the deployment.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use eelgrassrock_membership::member::Live;
use eelgrassrock_model::{DataCentre, Router, Version};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::bundles::Refusal;
use crate::exchange::body::Body;
use crate::exchange::problem::{Outcome, Problem};
use crate::node::Node;

/// State of this router, as `GET /status` returns it in JSON.
#[derive(Serialize)]
struct Status {
    router: Router,
    data_centre: DataCentre,
    version: Version,
    ready: bool,
    draining: bool,
    refused_bundle: Option<Refusal>,
    members: Vec<Live>,
    ownership: eelgrassrock_ownership::Snapshot,
    requests: eelgrassrock_request::Snapshot,
}

/// Answers one request on the admin port.
pub(crate) async fn answer(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let known = (request.method() == Method::GET).then(|| request.uri().path());
    Ok(match known {
        Some("/live") => text(StatusCode::OK, "live\n"),
        Some("/ready") => ready(&node),
        Some("/status") => status(&node, request.headers()),
        _ => problem(
            StatusCode::NOT_FOUND,
            "known paths: GET /live, /ready, /status",
        ),
    })
}

fn ready(node: &Node) -> Response<Body> {
    if *node.draining.borrow() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    if !node.membership.is_ready() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "waiting for a bundle\n");
    }
    text(StatusCode::OK, "ready\n")
}

fn status(node: &Node, headers: &HeaderMap) -> Response<Body> {
    let credential = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let credential = credential.and_then(|text| text.strip_prefix("Bearer "));
    if !credential.is_some_and(|credential| node.is_operator(credential)) {
        let detail = "send `Authorization: Bearer SECRET` with the secret of the deployment";
        return problem(StatusCode::UNAUTHORIZED, detail);
    }
    let status = Status {
        router: node.settings.router.name.clone(),
        data_centre: node.settings.router.data_centre.clone(),
        version: node.bundle().map_or(Version(0), |bundle| bundle.version()),
        ready: node.membership.is_ready(),
        draining: *node.draining.borrow(),
        refused_bundle: node.bundles.last_refusal(),
        members: node.membership.live(),
        ownership: node.ownership.snapshot(),
        requests: node.scheduler.snapshot(),
    };
    let json = serde_json::to_vec(&status).expect("a status is always valid JSON");
    let mut response = Response::new(Body::buffered(Bytes::from(json)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn problem(status: StatusCode, detail: &'static str) -> Response<Body> {
    Problem::new(status, Outcome::NotRun, detail).into_response("admin")
}

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
