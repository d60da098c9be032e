//! Changes between bundles: every difference is found and printed in readable form.

mod support;

use eelgrassrock_config::diff::diff;
use rstest::rstest;
use support::{bundle, bundle_text, key, parse};

#[rstest]
fn version_alone_is_no_change() {
    assert_eq!(diff(&bundle(1), &bundle(2)), []);
}

#[rstest]
#[case::goal(
    "goal = balance",
    "goal = availability",
    "service `lookup`: goal balance -> availability"
)]
#[case::slots("slots = 2", "slots = 4", "upstream `l1`: slots 2 -> 4")]
#[case::checks(
    "checks-orders = yes",
    "checks-orders = no",
    "upstream `l1`: checks-orders yes -> no"
)]
#[case::deadline(
    "deadline = 10 s",
    "deadline = 90 s",
    "route `GET /lookups`: deadline 10 s -> 90 s"
)]
#[case::repeat(
    "repeat = idempotent",
    "repeat = once",
    "route `GET /lookups`: repeat idempotent -> once\nroute `GET /lookups`: needs-idempotency-key no -> yes"
)]
#[case::path(
    "path = /holds",
    "path = /seats",
    "route `POST /holds` removed\nroute `POST /seats` added"
)]
#[case::weight("weight = 2", "weight = 3", "partner `brokers`: weight 2 -> 3")]
#[case::credential("9f86d081", "00000000", "partner `brokers`: another credential")]
#[case::partner(
    "[partner brokers]",
    "[partner chemists]",
    "partner `brokers` removed\npartner `chemists` added"
)]
#[case::required("required = 2", "required = 3", "required approvals 2 -> 3")]
#[case::approver(
    "[approver a1]",
    "[approver a4]",
    "approver `a1` removed\napprover `a4` added"
)]
fn allowed_change_is_shown_in_one_line(#[case] from: &str, #[case] to: &str, #[case] shown: &str) {
    let new = parse(&bundle_text(2).replacen(from, to, 1));
    let changes = diff(&bundle(1), &new);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines.join("\n"), shown);
    assert!(changes.iter().all(|change| change.refusal().is_none()));
}

#[rstest]
fn changed_public_key_is_shown() {
    let new = parse(&bundle_text(2).replace(&key(2).public(), &key(8).public()));
    let changes = diff(&bundle(1), &new);
    assert_eq!(changes[0].to_string(), "approver `a2`: another public key");
}
