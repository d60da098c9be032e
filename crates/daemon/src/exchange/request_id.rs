//! Identifiers of requests.

use std::sync::Arc;

use http::HeaderMap;
use rand::Rng;

use crate::exchange::header;

/// Maximum length of an identifier from a caller, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Returns the identifier from the caller if it is valid, else a random one.
pub(crate) fn accept_or_generate(headers: &HeaderMap) -> Arc<str> {
    let requested = headers
        .get(header::REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    match requested {
        Some(id) if is_valid(id) => Arc::from(id),
        _ => generate(),
    }
}

fn is_valid(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}

fn generate() -> Arc<str> {
    let number = rand::rng().next_u64();
    Arc::from(format!("{number:016x}"))
}
