//! Allowed values of the keys in a bundle.

use std::time::Duration;

use ed25519_dalek::VerifyingKey;
use eelgrassrock_model::{Digest, fleet, shard};
use http::Method;

use crate::key;
use crate::route::Prefix;
use crate::rule::{Choice, DurationRange, Parsed, Rule};

pub(super) const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

pub(super) const GOAL: Choice<fleet::Goal> = Choice(&[
    ("availability", fleet::Goal::Availability),
    ("balance", fleet::Goal::Balance),
]);

pub(super) const REPEAT: Choice<fleet::Repeat> = Choice(&[
    ("idempotent", fleet::Repeat::Idempotent),
    ("once", fleet::Repeat::Once),
]);

pub(super) const KEY: Parsed<key::Source> = Parsed {
    parse: key::Source::parse,
    allowed: "`segment N` (part N of the path, 1 to 16), `header NAME` or `query NAME`",
};

pub(super) const PREFIX: Parsed<Prefix> = Parsed {
    parse: Prefix::parse,
    allowed: "a path such as `/sheets/v1` of letters, digits and `-_.~`, without a slash at the end",
};

pub(super) const METHOD: Parsed<Method> = Parsed {
    parse: parse_method,
    allowed: "`GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE` or `OPTIONS`",
};

pub(super) const PATIENCE: Parsed<fleet::Patience> = Parsed {
    parse: parse_patience,
    allowed: "`wait`, or `prompt` with a time, such as `prompt 200 ms`",
};

pub(super) const SHARDS: Parsed<shard::Count> = Parsed {
    parse: parse_shards,
    allowed: "a power of two from 1 to 1048576",
};

pub(super) const DIGEST: Parsed<Digest> = Parsed {
    parse: parse_digest,
    allowed: "a SHA-256 digest of 64 hexadecimal digits",
};

pub(super) const PUBLIC_KEY: Parsed<VerifyingKey> = Parsed {
    parse: parse_public_key,
    allowed: "an Ed25519 public key of 64 hexadecimal digits, as `eelgrassrock bundle keygen` prints",
};

fn parse_method(text: &str) -> Option<Method> {
    let methods = [
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ];
    methods.into_iter().find(|method| method.as_str() == text)
}

fn parse_patience(text: &str) -> Option<fleet::Patience> {
    if text == "wait" {
        return Some(fleet::Patience::Wait);
    }
    let limit = text.strip_prefix("prompt ")?.trim_start();
    let rule = DurationRange(Duration::from_millis(1)..=MAX_DEADLINE);
    rule.parse(limit).map(fleet::Patience::Prompt)
}

fn parse_shards(text: &str) -> Option<shard::Count> {
    let count: u32 = text.parse().ok()?;
    shard::Count::try_from(count).ok()
}

fn parse_digest(text: &str) -> Option<Digest> {
    text.parse().ok()
}

fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    let key = VerifyingKey::from_bytes(&bytes).ok()?;
    (!key.is_weak()).then_some(key)
}
