//! Conclusions from signs of whether a process has stopped.

use eelgrassrock_model::process::{Finding, Sign};
use rstest::rstest;

/// Guards against keys with two holders: a sign that a partition can cause is never taken for a
/// proof.
#[rstest]
fn signs_that_a_partition_can_cause_prove_nothing(
    #[values(Sign::ConnectionRefused, Sign::Unresponsive, Sign::Acting)] sign: Sign,
    #[values(false, true)] is_cut_off: bool,
) {
    assert_ne!(sign.judge(is_cut_off), Finding::Stopped);
}

#[rstest]
fn other_processes_and_resignations_prove_the_end(
    #[values(Sign::Resigned, Sign::OtherAnswered, Sign::OtherRegistered)] sign: Sign,
    #[values(false, true)] is_cut_off: bool,
) {
    assert_eq!(sign.judge(is_cut_off), Finding::Stopped);
}
