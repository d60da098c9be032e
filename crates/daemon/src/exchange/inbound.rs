//! Reads and validates a request that arrived at this router.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::route::Match;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Partner};
use eelgrassrock_request::idempotency;
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use sha2::{Digest as _, Sha256};

use crate::exchange::header;
use crate::exchange::problem::{Outcome, Problem};

/// Time within which the whole body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Request with its whole body and the data needed to route it.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    /// Identifier, the same on the whole path of the request.
    pub(crate) request_id: Arc<str>,
    /// Partner that sent the request.
    pub(crate) partner: Partner,
    /// Service, class and key from the route.
    pub(crate) matched: Match,
    /// Shard of the key.
    pub(crate) shard: Shard,
    /// Time by which the response must have begun.
    pub(crate) deadline: Instant,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query, without scheme and authority.
    pub(crate) target: Uri,
    /// Headers that are forwarded.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Idempotency key with the digest of the request, `None` if the caller sent no key.
    pub(crate) idempotency: Option<idempotency::Token>,
}

/// Data about a request that is known before its body is read.
pub(crate) struct Head {
    /// Identifier, the same on the whole path of the request.
    pub(crate) request_id: Arc<str>,
    /// Partner that sent the request.
    pub(crate) partner: Partner,
    /// Time by which the response must have begun, `None` for the deadline of the class.
    pub(crate) deadline: Option<Instant>,
    /// Time at which the request arrived.
    pub(crate) now: Instant,
    /// Maximum size of the body, in bytes.
    pub(crate) body_limit: usize,
}

impl Inbound {
    /// Routes the request by the bundle, reads its body and strips its headers.
    pub(crate) async fn read(
        bundle: &Bundle,
        head: Head,
        request: Request<Incoming>,
    ) -> Result<Self, Problem> {
        let (mut parts, body) = request.into_parts();
        let matched = bundle
            .route(&parts.method, &parts.uri, &parts.headers)
            .map_err(|refusal| not_routed(&refusal))?;
        let service = bundle.services().get(&matched.service);
        let service = service.expect("a checked bundle has the service of every route");
        let shard = service.shards.shard_of(&matched.key);
        let body = read_body(body, head.body_limit).await?;
        let idempotency = read_idempotency(&parts, &body)?;
        header::sanitize_request(&mut parts.headers);
        parts.headers.remove(http::header::EXPECT);
        let deadline = head.deadline.unwrap_or(head.now + matched.class.deadline);
        Ok(Self {
            request_id: head.request_id,
            partner: head.partner,
            shard,
            deadline,
            matched,
            target: target(&parts.uri),
            method: parts.method,
            headers: parts.headers,
            body,
            idempotency,
        })
    }
}

fn not_routed(refusal: &eelgrassrock_config::route::Refusal) -> Problem {
    use eelgrassrock_config::route::Refusal;
    let status = match refusal {
        Refusal::Path => StatusCode::NOT_FOUND,
        Refusal::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
        Refusal::Key(_) => StatusCode::BAD_REQUEST,
    };
    Problem::new(status, Outcome::NotRun, refusal.to_string())
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    let refused = |status, detail: String| Problem::new(status, Outcome::NotRun, detail);
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(refused(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body has more than {limit} bytes, which is the limit"),
        )),
        Ok(Err(error)) => Err(refused(
            StatusCode::BAD_REQUEST,
            format!("the body can't be read: {error}"),
        )),
        Err(_) => Err(refused(
            StatusCode::REQUEST_TIMEOUT,
            format!(
                "the body did not arrive within {} s",
                BODY_TIMEOUT.as_secs()
            ),
        )),
    }
}

fn read_idempotency(parts: &Parts, body: &Bytes) -> Result<Option<idempotency::Token>, Problem> {
    let mut values = parts.headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let refused = |detail: String| Problem::new(StatusCode::BAD_REQUEST, Outcome::NotRun, detail);
    if values.next().is_some() {
        return Err(refused(
            "Idempotency-Key is given twice: send it once".to_owned(),
        ));
    }
    // A value with other bytes than visible ASCII is replaced by an invalid key, so that
    // it is refused with the same error.
    let text = value.to_str().unwrap_or("\u{e9}");
    let key = idempotency::Key::try_from(text).map_err(|fault| refused(fault.to_string()))?;
    let token = idempotency::Token {
        key,
        body: digest(parts, body),
        carried: None,
    };
    Ok(Some(token))
}

/// Returns the digest of the method, path, query and body, in which a repeat with the same
/// idempotency key must not differ.
fn digest(parts: &Parts, body: &Bytes) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(parts.method.as_str());
    hasher.update([0]);
    hasher.update(parts.uri.path());
    hasher.update([0]);
    hasher.update(parts.uri.query().unwrap_or_default());
    hasher.update([0]);
    hasher.update(body);
    Digest::from_bytes(hasher.finalize().into())
}

/// Returns the path and query of a URI, without scheme and authority.
fn target(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().expect("the path of a URI is a URI")
}
