//! Parsing of the requests that an upstream receives.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use super::{Damage, Grant};
use crate::answer::Answer;

const MAX_BODY_BYTES: usize = 256 << 20;

/// Parsed request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) request_id: String,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) grant: Grant,
    pub(crate) deadline: Option<Instant>,
    pub(crate) body_bytes: usize,
    pub(crate) body_sha256: String,
    pub(crate) options: Options,
}

/// Options for the stand-in in the query of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Options {
    /// Minimum size of the answer, in bytes: `bytes=N`.
    pub(crate) answer_bytes: u64,
    /// Duration of the run: `work_ms=N`.
    pub(crate) work: Option<Duration>,
    /// Damage to the answer: `damage=KIND`.
    pub(crate) damage: Option<Damage>,
}

impl Job {
    /// Parses a request. An invalid request gives the answer to refuse it with.
    pub(crate) async fn receive(request: Request<Incoming>) -> Result<Self, Box<Answer>> {
        let arrival = Instant::now();
        let (parts, body) = request.into_parts();
        let text = |name: &str| text(&parts.headers, name);
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        let shard = number("eelgrassrock-shard").and_then(|shard| u32::try_from(shard).ok());
        let (Some(shard), Some(epoch)) = (shard, number("eelgrassrock-epoch")) else {
            return Err(Box::new(invalid("the shard or the epoch is missing")));
        };
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return Err(Box::new(invalid("the body is broken or too long")));
        };
        let body: Bytes = body.to_bytes();
        let left = number("eelgrassrock-deadline-ms").map(Duration::from_millis);
        Ok(Self {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            request_id: text("eelgrassrock-request-id").unwrap_or_default(),
            idempotency_key: text("idempotency-key"),
            grant: Grant { shard, epoch },
            deadline: left.map(|left| arrival + left),
            body_bytes: body.len(),
            body_sha256: hex::encode(Sha256::digest(&body)),
            options: Options::parse(parts.uri.query().unwrap_or("")),
        })
    }
}

impl Options {
    fn parse(query: &str) -> Self {
        let mut options = Self::default();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "bytes" => options.answer_bytes = value.parse().unwrap_or(0),
                "work_ms" => options.work = value.parse().ok().map(Duration::from_millis),
                "damage" => options.damage = Damage::parse(value),
                _ => {}
            }
        }
        options
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn invalid(reason: &str) -> Answer {
    let problem = json!({ "error": reason });
    Answer::json(StatusCode::BAD_REQUEST, &problem).with_header("eelgrassrock-outcome", "not-run")
}
