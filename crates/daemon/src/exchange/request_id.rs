//! Identifiers of requests.

use std::sync::Arc;

use http::HeaderMap;
use rand::Rng;

use crate::exchange::header;

/// Longest identifier of a caller that is kept, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Keeps the identifier that the caller gave, or makes one.
pub(crate) fn keep_or_make(headers: &HeaderMap) -> Arc<str> {
    let given = headers
        .get(header::REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    match given {
        Some(id) if is_valid(id) => Arc::from(id),
        _ => make(),
    }
}

fn is_valid(id: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(plain)
}

fn make() -> Arc<str> {
    let number = rand::rng().next_u64();
    Arc::from(format!("{number:016x}"))
}
