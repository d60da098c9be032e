//! Extraction of the key from a request.
//!
//! Two encodings of one key must yield the same bytes, because they would
//! otherwise select two shards. Path segments and query parameters are
//! therefore percent-decoded first, and ambiguous requests are refused.

use std::fmt;

use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, Uri};
use serde::{Deserialize, Serialize};

/// Maximum length of a key, in bytes after decoding.
pub const MAX_KEY_BYTES: usize = 1_024;

/// Part of a request that holds the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Path segment, counted from 1.
    Segment(usize),
    /// Value of a header that must appear exactly once.
    Header(HeaderName),
    /// Value of a query parameter that must appear exactly once.
    Query(String),
}

/// Reason why a request has no usable key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The key is absent or empty.
    #[display("the request has no key")]
    Absent,
    /// The key appears more than once.
    #[display("the request has more than one key")]
    Repeated,
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[display("the key is longer than {MAX_KEY_BYTES} bytes")]
    TooLong,
    /// The percent-encoding is invalid.
    #[display("the encoding of the path or query is broken")]
    Encoding,
    /// The path has a segment that is empty, `.` or `..`.
    #[display("the path has a segment that is empty, `.` or `..`")]
    Path,
}

impl Source {
    /// Parses a source as written in a bundle: `segment 2`, `header NAME` or
    /// `query NAME`.
    ///
    /// ```
    /// use eelgrassrock_config::key::Source;
    ///
    /// assert_eq!(Source::parse("segment 2"), Some(Source::Segment(2)));
    /// assert_eq!(Source::parse("cookie id"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, argument) = text.split_once(' ')?;
        let argument = argument.trim_start();
        match kind {
            "segment" => {
                let position = argument.parse().ok()?;
                (1..=16)
                    .contains(&position)
                    .then_some(Self::Segment(position))
            }
            "header" => HeaderName::try_from(argument).ok().map(Self::Header),
            "query" => {
                let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
                let usable = !argument.is_empty() && argument.bytes().all(plain);
                usable.then(|| Self::Query(argument.to_owned()))
            }
            _ => None,
        }
    }

    /// Reads the key of a request. `segments` are the decoded segments of its path.
    pub(crate) fn read(
        &self,
        segments: &[Vec<u8>],
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Vec<u8>, Refusal> {
        let key = match self {
            Self::Segment(position) => segments.get(position - 1).cloned(),
            Self::Header(name) => read_header(headers, name)?,
            Self::Query(name) => read_query(uri.query().unwrap_or(""), name)?,
        };
        let key = key.filter(|key| !key.is_empty()).ok_or(Refusal::Absent)?;
        if key.len() > MAX_KEY_BYTES {
            return Err(Refusal::TooLong);
        }
        Ok(key)
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Segment(position) => write!(f, "segment {position}"),
            Self::Header(name) => write!(f, "header {name}"),
            Self::Query(name) => write!(f, "query {name}"),
        }
    }
}

fn read_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Vec<u8>>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Refusal::Repeated);
    }
    Ok(first.map(|value| value.as_bytes().trim_ascii().to_vec()))
}

fn read_query(query: &str, name: &str) -> Result<Option<Vec<u8>>, Refusal> {
    let mut found = None;
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if decode(key, Plus::Space)? != name.as_bytes() {
            continue;
        }
        let value = decode(value, Plus::Space)?;
        if found.replace(value).is_some() {
            return Err(Refusal::Repeated);
        }
    }
    Ok(found)
}

/// Splits a path at its slashes and percent-decodes the segments.
pub(crate) fn segments(path: &str) -> Result<Vec<Vec<u8>>, Refusal> {
    let path = path.strip_prefix('/').ok_or(Refusal::Path)?;
    if path.is_empty() {
        return Ok(Vec::new());
    }
    path.split('/').map(decode_segment).collect()
}

fn decode_segment(text: &str) -> Result<Vec<u8>, Refusal> {
    let decoded = decode(text, Plus::Literal)?;
    match decoded.as_slice() {
        b"" | b"." | b".." => Err(Refusal::Path),
        _ => Ok(decoded),
    }
}

/// Meaning of a `+`: a space in queries, itself in paths.
#[derive(Clone, Copy, PartialEq)]
enum Plus {
    Literal,
    Space,
}

/// Percent-decodes `text`.
fn decode(text: &str, plus: Plus) -> Result<Vec<u8>, Refusal> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        match byte {
            b'%' => {
                let (digits, tail) = rest.split_at_checked(2).ok_or(Refusal::Encoding)?;
                let mut value = [0];
                hex::decode_to_slice(digits, &mut value).map_err(|_| Refusal::Encoding)?;
                decoded.push(value[0]);
                rest = tail;
            }
            b'+' if plus == Plus::Space => decoded.push(b' '),
            _ => decoded.push(byte),
        }
    }
    Ok(decoded)
}
