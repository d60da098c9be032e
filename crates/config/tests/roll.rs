//! The check of rolls: approvals, versions and changes.

mod support;

use eelgrassrock_config::approval::{Approval, Rejection};
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Malformed, Record, Refusal, Verdict};
use eelgrassrock_model::Version;
use rstest::rstest;
use support::{bundle, bundle_text, key, parse};

fn approve(number: u64, name: &str, bundle: &Bundle) -> Approval {
    key(number).approve(name.parse().unwrap(), bundle)
}

/// Returns the number of valid approvals and the reasons why the others weren't counted.
fn rejections(verdict: &Verdict) -> (usize, Vec<Rejection>) {
    let Verdict::Refused(refusals) = verdict else {
        panic!("accepted");
    };
    let [Refusal::Approvals { found, ignored, .. }] = refusals.as_slice() else {
        panic!("{refusals:?}");
    };
    (
        *found,
        ignored.iter().map(|ignored| ignored.reason).collect(),
    )
}

#[rstest]
#[case::first(None, 1)]
#[case::next(Some(1), 2)]
fn enough_approvals_are_accepted(#[case] in_force: Option<u64>, #[case] version: u64) {
    let (in_force, next) = (in_force.map(bundle), bundle(version));
    let approvals = [approve(1, "a1", &next), approve(3, "a3", &next)];
    let verdict = roll::check(in_force.as_ref(), &next, &approvals);
    assert_eq!(verdict, Verdict::Accepted(approvals.to_vec()));
}

#[rstest]
#[case::too_few(&[(1, "a1")], 1, &[])]
#[case::same_approver_twice(&[(1, "a1"), (1, "a1")], 1, &[Rejection::Repeated])]
#[case::one_key_two_names(&[(1, "a1"), (1, "a2")], 1, &[Rejection::Forged])]
#[case::unknown_approver(&[(1, "a1"), (9, "a9")], 1, &[Rejection::UnknownApprover])]
#[case::forged(&[(9, "a1"), (9, "a2")], 0, &[Rejection::Forged, Rejection::Forged])]
fn missing_approvals_are_refused(
    #[case] signers: &[(u64, &str)],
    #[case] valid: usize,
    #[case] expected: &[Rejection],
) {
    let next = bundle(2);
    let approvals: Vec<Approval> = signers
        .iter()
        .map(|(n, name)| approve(*n, name, &next))
        .collect();
    let verdict = roll::check(Some(&bundle(1)), &next, &approvals);
    assert_eq!(rejections(&verdict), (valid, expected.to_vec()));
}

#[rstest]
#[case::other_text("slots = 2", "slots = 3")]
#[case::comment("[bundle]", "; harmless\n[bundle]")]
fn approval_is_bound_to_the_digest(#[case] from: &str, #[case] to: &str) {
    let signed = bundle(2);
    let rolled = parse(&bundle_text(2).replacen(from, to, 1));
    let approvals = [approve(1, "a1", &signed), approve(2, "a2", &signed)];
    let verdict = roll::check(Some(&bundle(1)), &rolled, &approvals);
    assert_eq!(
        rejections(&verdict),
        (0, vec![Rejection::OtherBundle, Rejection::OtherBundle])
    );
}

#[rstest]
fn approval_with_a_swapped_digest_is_forged() {
    let (signed, rolled) = (bundle(2), parse(&format!("; other\n{}", bundle_text(2))));
    let swap = |mut approval: Approval| {
        approval.digest = rolled.digest();
        approval
    };
    let approvals = [approve(1, "a1", &signed), approve(2, "a2", &signed)].map(swap);
    let verdict = roll::check(Some(&bundle(1)), &rolled, &approvals);
    assert_eq!(
        rejections(&verdict),
        (0, vec![Rejection::Forged, Rejection::Forged])
    );
}

/// A new bundle must not be approved under its own declaration: neither by a key that
/// only it declares, nor with the lower number of approvals that it requires.
#[rstest]
fn bundle_in_force_sets_approvers_and_number() {
    let text = bundle_text(2).replace("required = 2", "required = 1");
    let text = text.replace(&key(1).public(), &key(9).public());
    let next = parse(&text);
    let verdict = roll::check(Some(&bundle(1)), &next, &[approve(9, "a1", &next)]);
    assert_eq!(rejections(&verdict), (0, vec![Rejection::Forged]));
    let verdict = roll::check(Some(&bundle(1)), &next, &[approve(2, "a2", &next)]);
    assert_eq!(rejections(&verdict), (1, vec![]));
    let approvals = [approve(2, "a2", &next), approve(3, "a3", &next)];
    let verdict = roll::check(Some(&bundle(1)), &next, &approvals);
    assert!(matches!(verdict, Verdict::Accepted(_)));
}

#[rstest]
#[case::lower(Some(3), 2)]
#[case::same(Some(2), 2)]
#[case::gap(Some(1), 3)]
#[case::first_is_not_one(None, 2)]
fn version_must_follow(#[case] in_force: Option<u64>, #[case] version: u64) {
    let (old, next) = (in_force.map(bundle), bundle(version));
    let approvals = [approve(1, "a1", &next), approve(2, "a2", &next)];
    let expected = Refusal::Version {
        in_force: Version(in_force.unwrap_or(0)),
        found: Version(version),
    };
    let verdict = roll::check(old.as_ref(), &next, &approvals);
    assert_eq!(verdict, Verdict::Refused(vec![expected]));
}

#[rstest]
#[case::shards("shards = 64", "shards = 128", "service `lookup`: shards 64 -> 128")]
#[case::key(
    "segment 2",
    "segment 3",
    "service `lookup`: key segment 2 -> segment 3"
)]
#[case::address(
    "10.0.0.1:80",
    "10.0.0.7:80",
    "upstream `l1`: address 10.0.0.1:80 -> 10.0.0.7:80"
)]
#[case::renamed(
    "[upstream l1]",
    "[upstream l2]",
    "upstream `l2` added at the address of upstream `l1`"
)]
#[case::service(
    "[upstream m1]\nservice = manifest",
    "[upstream m2]\nservice = manifest\ndata-centre = x\naddress = 10.0.0.8:80\nslots = 1\nconnections = 1\n[upstream m1]\nservice = hold",
    "upstream `m1`: service manifest -> hold"
)]
fn unsafe_change_is_refused(#[case] from: &str, #[case] to: &str, #[case] shown: &str) {
    let next = parse(&bundle_text(2).replacen(from, to, 1));
    let approvals = [approve(1, "a1", &next), approve(2, "a2", &next)];
    let Verdict::Refused(refusals) = roll::check(Some(&bundle(1)), &next, &approvals) else {
        panic!("accepted");
    };
    assert_eq!(refusals.len(), 1, "{refusals:?}");
    assert!(
        refusals[0].to_string().starts_with(shown),
        "{}",
        refusals[0]
    );
}

#[rstest]
fn record_round_trips() {
    let next = bundle(2);
    let record = Record::new(&next, vec![approve(1, "a1", &next)]);
    assert_eq!(Record::from_json(&record.to_json()), Ok(record));
}

#[rstest]
#[case::other_format("\"format\":1", "\"format\":2", Malformed::Format(2))]
#[case::version_zero(
    "\"version\":2,\"digest\"",
    "\"version\":0,\"digest\"",
    Malformed::Version
)]
#[case::other_bundle("\"version\":2,\"digest\"", "\"version\":3,\"digest\"", Malformed::Approval("a1".parse().unwrap()))]
fn inconsistent_record_is_refused(#[case] from: &str, #[case] to: &str, #[case] fault: Malformed) {
    let next = bundle(2);
    let text = Record::new(&next, vec![approve(1, "a1", &next)]).to_json();
    assert!(text.contains(from), "{text}");
    assert_eq!(Record::from_json(&text.replacen(from, to, 1)), Err(fault));
}

#[rstest]
#[case::empty("")]
#[case::array("[]")]
#[case::no_digest(r#"{"format":1,"version":1,"approvals":[]}"#)]
#[case::short_digest(r#"{"format":1,"version":1,"digest":"ab","approvals":[]}"#)]
fn malformed_record_is_refused(#[case] text: &str) {
    assert!(matches!(Record::from_json(text), Err(Malformed::Json(_))));
}
