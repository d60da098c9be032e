//! Encodes the answers that are recorded for repeats of a request.

use std::sync::Arc;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::exchange::body::Body;

#[derive(Serialize, Deserialize)]
struct Content {
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// Encodes the headers and the body of an answer.
pub(crate) fn encode(parts: &Parts, body: &Bytes) -> Arc<[u8]> {
    let headers = parts.headers.iter();
    let headers =
        headers.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
    let content = Content {
        headers: headers.collect(),
        body: body.to_vec(),
    };
    let bytes = postcard::to_stdvec(&content).expect("bytes and texts can always be encoded");
    Arc::from(bytes)
}

/// Decodes an answer, `None` if the status or the bytes are malformed.
pub(crate) fn decode(status: u16, bytes: &[u8]) -> Option<Response<Body>> {
    let content: Content = postcard::from_bytes(bytes).ok()?;
    let mut response = Response::new(Body::buffered(Bytes::from(content.body)));
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    for (name, value) in content.headers {
        let name: HeaderName = name.parse().ok()?;
        let value = HeaderValue::from_bytes(&value).ok()?;
        response.headers_mut().append(name, value);
    }
    Some(response)
}
