//! Tests of the fault schedule and of the command-line arguments.

use std::collections::HashSet;
use std::mem::discriminant;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eelgrassrock_soak::flags::{Arguments, command};
use eelgrassrock_soak::plan::{Earlier, Mix, Plan};
use eelgrassrock_soak::schedule::draw;
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(20);

#[test]
fn fifty_seeds_draw_every_kind_of_fault() {
    let events = (1..=50).flat_map(|seed| draw(seed, LENGTH, 4, 12));
    let kinds: HashSet<_> = events.map(|event| discriminant(&event.fault)).collect();
    assert_eq!(kinds.len(), 14);
}

#[test]
fn different_seeds_draw_different_faults() {
    assert_ne!(draw(1, LENGTH, 4, 12), draw(2, LENGTH, 4, 12));
}

#[test]
fn a_missing_router_binary_is_named_in_the_error() {
    let matches = command()
        .try_get_matches_from(["eelgrassrock-soak", "--program", "/nowhere/router"])
        .unwrap();
    let fault = Arguments::from_matches(&matches).unwrap_err();
    assert!(fault.contains("`/nowhere/router` doesn't exist"), "{fault}");
}

#[rstest]
#[case::no_number("x", "`x` is not a number")]
#[case::descending("9..3", "3 is below 9")]
fn invalid_seeds_are_refused(#[case] seeds: &str, #[case] reason: &str) {
    let fault = command()
        .try_get_matches_from(["eelgrassrock-soak", "--seeds", seeds])
        .unwrap_err();
    assert!(fault.to_string().contains(reason), "{fault}");
}

fn mixed(mix: Mix) -> Plan {
    Plan {
        program: PathBuf::from("new"),
        earlier: Some(Earlier {
            program: PathBuf::from("old"),
            mix,
        }),
        routers: 4,
        upstreams: 12,
        callers: 3,
        length: LENGTH,
        logs: PathBuf::from("logs"),
    }
}

#[test]
fn both_versions_are_drawn_in_the_same_order_each_time() {
    let plan = mixed(Mix::Any);
    let draw = || -> Vec<&Path> {
        let starts = (0..40).map(|start| plan.program_of(7, start as usize % 4, start / 4));
        starts.collect()
    };
    assert_eq!(draw(), draw());
    let old = draw().iter().filter(|path| path.ends_with("old")).count();
    assert!((8..=32).contains(&old), "{old}");
}

#[test]
fn an_upgrade_never_goes_back() {
    let plan = mixed(Mix::First);
    for router in 0..4 {
        assert_eq!(plan.program_of(7, router, 0), Path::new("old"));
        for start in 1..10 {
            assert_eq!(plan.program_of(7, router, start), Path::new("new"));
        }
    }
}

#[rstest]
#[case::upgrade_alone(&["--upgrade"], "--earlier")]
fn options_that_lack_another_one_are_refused(#[case] options: &[&str], #[case] reason: &str) {
    let arguments = ["eelgrassrock-soak"].iter().chain(options);
    let fault = command().try_get_matches_from(arguments).unwrap_err();
    assert!(fault.to_string().contains(reason), "{fault}");
}
