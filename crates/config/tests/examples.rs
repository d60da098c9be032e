//! The example settings and bundles are valid, and the fleets have the sizes
//! that their users stated.

mod support;

use std::path::PathBuf;

use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Verdict};
use eelgrassrock_config::settings::Settings;
use eelgrassrock_config::{Kind, Report};
use eelgrassrock_model::Name;
use rstest::rstest;
use support::FakeEnvironment;

fn example(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read_to_string(root.join(path)).unwrap()
}

#[rstest]
#[case::umuhanga("umuhanga", 3, &[("lookup", 8), ("issue", 6), ("label", 11)], 2, 110)]
#[case::sneslaede("sneslaede", 4, &[("catalogue", 14), ("booking", 9), ("manifest", 13)], 4, 55)]
fn example_fleet_has_expected_size(
    #[case] name: &str,
    #[case] data_centres: usize,
    #[case] services: &[(&str, usize)],
    #[case] slots: u32,
    #[case] connections: u32,
) {
    let bundle = Bundle::parse(name, &example(&format!("{name}/bundle.ini"))).unwrap();
    let fleet = bundle.fleet();
    let mut found: Vec<&str> = fleet
        .upstreams
        .values()
        .map(|u| u.data_centre.as_str())
        .collect();
    found.sort_unstable();
    found.dedup();
    assert_eq!(found.len(), data_centres);
    for (service, count) in services {
        let upstreams = fleet.upstreams.values();
        assert_eq!(
            upstreams.filter(|u| u.service.as_str() == *service).count(),
            *count
        );
    }
    assert!(
        fleet
            .upstreams
            .values()
            .all(|u| u.slots == slots && u.connections == connections)
    );
}

#[rstest]
fn example_settings_are_valid(#[values("umuhanga", "sneslaede", "first")] name: &str) {
    let environment = FakeEnvironment::variable("EELGRASSROCK_SECRET", "0123456789abcdef");
    let text = example(&format!("{name}/router.ini"));
    Settings::parse(name, &text, &environment).unwrap();
}

#[rstest]
#[case("umuhanga", &["imena", "keza"])]
#[case("sneslaede", &["asta", "signe"])]
#[case("first", &["imena"])]
fn example_keys_approve_the_example(#[case] name: &str, #[case] approvers: &[&str]) {
    let bundle = Bundle::parse(name, &example(&format!("{name}/bundle.ini"))).unwrap();
    let approve = |approver: &&str| {
        let key = Key::parse(&example(&format!("keys/{approver}.key"))).unwrap();
        key.approve(approver.parse().unwrap(), &bundle)
    };
    let approvals: Vec<_> = approvers.iter().map(approve).collect();
    assert!(matches!(
        roll::check(None, &bundle, &approvals),
        Verdict::Accepted(_)
    ));
}

/// Returns the keys that `report` lists as allowed instead of the unknown key `strange`.
fn allowed_keys(report: &Report) -> Vec<&str> {
    let faults = report
        .faults()
        .iter()
        .filter(|fault| fault.kind == Kind::UnknownKey);
    faults.flat_map(|fault| fault.allowed.split(", ")).collect()
}

/// The fault for an unknown key lists all keys that its section knows. The guide
/// must document each of them.
#[rstest]
fn guide_documents_every_key() {
    let guide = example("../docs/GUIDE.md");
    let with_unknown_key = |path: &str| example(path).replace("]\n", "]\nstrange = 1\n");
    let environment = FakeEnvironment::variable("EELGRASSROCK_SECRET", "0123456789abcdef");
    let settings =
        Settings::parse("f", &with_unknown_key("umuhanga/router.ini"), &environment).unwrap_err();
    let bundle = Bundle::parse("f", &with_unknown_key("first/bundle.ini")).unwrap_err();
    let keys = [allowed_keys(&settings), allowed_keys(&bundle)].concat();
    assert!(keys.contains(&"`authority`") && keys.contains(&"`checks-idempotency`"));
    let undocumented: Vec<&str> = keys
        .into_iter()
        .filter(|key| !guide.contains(key))
        .collect();
    assert_eq!(undocumented, Vec::<&str>::new());
}
