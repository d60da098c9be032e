//! Tests of the fault schedule and of the command-line arguments.

use std::collections::HashSet;
use std::mem::discriminant;
use std::time::Duration;

use eelgrassrock_soak::flags::{Arguments, command};
use eelgrassrock_soak::schedule::draw;
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(20);

#[test]
fn fifty_seeds_draw_every_kind_of_fault() {
    let events = (1..=50).flat_map(|seed| draw(seed, LENGTH, 4, 12));
    let kinds: HashSet<_> = events.map(|event| discriminant(&event.fault)).collect();
    assert_eq!(kinds.len(), 13);
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
