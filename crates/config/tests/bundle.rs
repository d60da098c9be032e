//! Parsing of bundles: each fault is reported with its location and the allowed values.

mod support;

use std::time::Duration;

use eelgrassrock_config::bundle::{self, Bundle};
use eelgrassrock_model::{Name, fleet};
use rstest::rstest;
use support::{assert_one_fault, bundle_text, key, parse};

#[rstest]
fn fleet_has_services_upstreams_and_partners() {
    let bundle = parse(&bundle_text(3));
    let fleet = bundle.fleet();
    assert_eq!((fleet.version.0, bundle.replaces().0), (3, 2));
    assert_eq!(fleet.services["lookup"].goal, fleet::Goal::Balance);
    assert_eq!(fleet.services["manifest"].goal, fleet::Goal::Availability);
    assert_eq!(fleet.services["lookup"].shards.get(), 64);
    let [l1, m1] = ["l1", "m1"].map(|name| &fleet.upstreams[name]);
    assert!(l1.checks_orders && !m1.checks_orders);
    assert!(!l1.checks_idempotency && !m1.checks_idempotency);
    assert_eq!(fleet.partners["brokers"].weight, 2);
    assert_eq!(
        bundle.digest(),
        bundle::digest_of(bundle_text(3).as_bytes())
    );
}

#[rstest]
fn classes_have_safe_defaults() {
    let bundle = parse(&bundle_text(1));
    let class = |name: &str| {
        let mut routes = bundle.routes();
        routes
            .find(|route| &*route.class.name == name)
            .unwrap()
            .class
            .clone()
    };
    assert!(!class("lookup").needs_idempotency_key);
    assert!(class("lookup-issue").needs_idempotency_key);
    assert!(!class("hold").needs_idempotency_key);
    let prompt = fleet::Patience::Prompt(Duration::from_millis(200));
    assert_eq!(class("hold").patience, prompt);
}

#[rstest]
fn partner_is_found_by_its_credential() {
    let bundle = parse(&bundle_text(1));
    assert_eq!(bundle.partner(b"test").map(Name::as_str), Some("brokers"));
    assert_eq!(bundle.partner(b"tesT"), None);
    assert_eq!(bundle.partner(b""), None);
}

#[rstest]
#[case::version("version = 1", "version = 0", &["fleet.ini:2: [bundle] version `0`", "from 1 to"])]
#[case::replaces("replaces = 0", "replaces = 1", &["fleet.ini:3: [bundle] replaces `1`", "must replace version 0"])]
#[case::shards("shards = 64", "shards = 63", &["fleet.ini:5: [service lookup] shards `63`", "a power of two"])]
#[case::goal("goal = balance", "goal = fair", &["fleet.ini:6:", "`availability` or `balance`"])]
#[case::key("segment 2", "segment 0", &["fleet.ini:7: [service lookup] key `segment 0`", "`header NAME`"])]
#[case::key_kind("segment 2", "cookie c", &["fleet.ini:7:", "`query NAME`"])]
#[case::unknown_key("goal = balance", "gaol = balance", &["fleet.ini:6: [service lookup] gaol `balance`: unknown key", "`goal`"])]
#[case::unknown_service("service = lookup", "service = lokup", &["fleet.ini:15: [route lookup] service `lokup`", "lookup, manifest, hold"])]
#[case::method("method = GET", "method = FETCH", &["fleet.ini:16:", "`GET`"])]
#[case::path("path = /lookups\n", "path = lookups/\n", &["fleet.ini:17:", "without a slash at the end"])]
#[case::same_route("method = POST", "method = GET", &["fleet.ini:24: [route lookup-issue] path `/lookups`", "route `lookup` has the same"])]
#[case::repeat("repeat = idempotent", "repeat = often", &["fleet.ini:18:", "`idempotent` or `once`"])]
#[case::patience("patience = wait", "patience = prompt", &["fleet.ini:19:", "`prompt 200 ms`"])]
#[case::slow_prompt("patience = prompt 200 ms", "patience = prompt 6 s", &["`prompt 6 s`", "at most `deadline`"])]
#[case::deadline("deadline = 10 s", "deadline = 0 s", &["fleet.ini:20:", "1 ms to 1 h"])]
#[case::address("10.0.0.1:80", "lookup-1:80", &["[upstream l1] address `lookup-1:80`", "an IP address and a port"])]
#[case::same_address("10.0.0.2:80", "10.0.0.1:80", &["[upstream m1] address", "upstream `l1` has the same"])]
#[case::slots("slots = 2", "slots = 0", &["slots `0`", "1 to 10000"])]
#[case::connections("connections = 110", "connections = 1", &["connections `1`", "more than connections"])]
#[case::flag("checks-orders = yes", "checks-orders = true", &["checks-orders `true`", "`yes` or `no`"])]
#[case::idle_service("[service hold]", "[service spare]\nshards = 1\nkey = segment 1\n[service hold]", &["fleet.ini:11: [service spare]", "no upstream"])]
#[case::weight("weight = 2", "weight = 0", &["weight `0`", "1 to 1000"])]
#[case::credential("9f86d081", "9f86d08", &["credential-sha256", "64 hexadecimal"])]
#[case::same_credential("[approvals]", "[partner copy]\nweight = 1\ncredential-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n[approvals]", &["[partner copy] credential-sha256", "partner `brokers` has the same"])]
#[case::required("required = 2", "required = 4", &["required `4`", "only 3 approvers"])]
#[case::none_required("required = 2", "required = 0", &["required `0`", "from 1 to"])]
#[case::no_approvals("[approvals]\nrequired = 2\n", "", &["fleet.ini: [approvals]: the section is missing"])]
#[case::weak_key("[approver a1]\npublic-key = ", "[approver a1]\npublic-key = 00", &["[approver a1] public-key", "keygen"])]
#[case::section_name("[partner brokers]", "[partner Brokers]", &["[partner Brokers]", "no valid name"])]
#[case::bare_section("[partner brokers]", "[partner]", &["[partner]", "no valid name", "[upstream a1]"])]
#[case::unknown_section("[partner brokers]", "[parnter x]\n[partner brokers]", &["[parnter x]: unknown section", "[partner NAME]"])]
fn fault_names_location_and_allowed_values(
    #[case] from: &str,
    #[case] to: &str,
    #[case] parts: &[&str],
) {
    let valid = bundle_text(1);
    assert!(valid.contains(from));
    let report = Bundle::parse("fleet.ini", &valid.replacen(from, to, 1)).unwrap_err();
    assert_one_fault(&report, parts);
}

#[rstest]
fn approvers_with_the_same_key_are_refused() {
    let text = bundle_text(1).replace(&key(2).public(), &key(1).public());
    let report = Bundle::parse("fleet.ini", &text).unwrap_err();
    assert_one_fault(
        &report,
        &["[approver a2] public-key", "approver `a1` has the same"],
    );
}

/// A service with a fault must not also be reported as unknown by the routes and
/// upstreams that refer to it.
#[rstest]
fn fault_causes_no_follow_up_faults() {
    let text = bundle_text(1)
        .replace("shards = 64", "shards = 0")
        .replace("10.0.0.1", "l");
    let report = Bundle::parse("fleet.ini", &text).unwrap_err();
    assert_eq!(report.faults().len(), 2, "{report}");
}

#[rstest]
fn empty_text_reports_every_missing_section() {
    let report = Bundle::parse("fleet.ini", "").unwrap_err();
    assert_eq!(report.faults().len(), 7, "{report}");
}
