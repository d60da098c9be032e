//! Replays of the recorded traces reproduce the decisions and keep the bounds that they
//! state.

use eelgrassrock_ownership::replay;
use rstest::rstest;

fn trace(name: &str) -> String {
    let path = format!(
        "{}/../../testdata/ownership/{name}.jsonl",
        env!("CARGO_MANIFEST_DIR")
    );
    std::fs::read_to_string(path).unwrap()
}

#[rstest]
#[case::losses("losses")]
#[case::departure("departure")]
fn recorded_trace_is_decided_as_stated(#[case] name: &str) {
    let outcome = replay::run(&trace(name)).unwrap();
    assert!(!outcome.decisions.is_empty());
    assert!(outcome.measures.moves > 0, "{:?}", outcome.measures);
}

#[test]
fn decision_that_the_trace_does_not_state_is_refused() {
    let trace = trace("losses");
    let (before, after) = trace.rsplit_once("{\"decided\"").unwrap();
    let (_, after) = after.split_once('\n').unwrap();
    let fault = replay::run(&format!("{before}{after}")).unwrap_err();
    assert!(fault.to_string().contains("doesn't state"), "{fault}");
}

#[test]
fn invalid_line_is_reported_with_its_number() {
    let fault = replay::run("\n").unwrap_err();
    assert!(fault.to_string().starts_with("line 1: ``"), "{fault}");
}
