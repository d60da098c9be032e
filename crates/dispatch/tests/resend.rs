//! What follows from a send that gave no answer to pass on.

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_dispatch::resend::{Attempt, Ending, Next};
use eelgrassrock_dispatch::service::Report;
use rstest::rstest;

const REPORTS: [Report; 9] = [
    Report::Answered { failed: true },
    Report::Refused,
    Report::Misdirected,
    Report::Replaced,
    Report::Unreachable,
    Report::NotSent,
    Report::Broken,
    Report::TimedOut,
    Report::Cancelled,
];

fn attempts(repeat: Repeat, earlier_runs: u32) -> Vec<Attempt> {
    let attempt = |report: Report| Attempt {
        report,
        repeat,
        runs: earlier_runs + u32::from(!report.proves_not_run()),
        has_body: true,
        has_time: true,
    };
    REPORTS.into_iter().map(attempt).collect()
}

/// Guards against requests that run with an empty body: one whose body has left this router was
/// sent again.
#[rstest]
fn a_request_without_its_body_is_never_sent_again(
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
    #[values(0, 1)] earlier_runs: u32,
) {
    for attempt in attempts(repeat, earlier_runs) {
        let spent = Attempt {
            has_body: false,
            ..attempt
        };
        assert_ne!(spent.next(), Next::Again, "{spent:?}");
    }
}

#[rstest]
fn callers_are_told_that_a_request_has_not_run_only_if_no_send_may_have_run(
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
    #[values(0, 1)] earlier_runs: u32,
    #[values(false, true)] has_body: bool,
) {
    for attempt in attempts(repeat, earlier_runs) {
        let last = Attempt {
            has_body,
            has_time: false,
            ..attempt
        };
        let is_not_run = last.next() == Next::End(Ending::NotRun);
        assert_eq!(is_not_run, last.runs == 0, "{last:?}");
    }
}

#[test]
fn a_request_that_must_run_once_is_sent_again_only_if_it_has_not_run() {
    for attempt in attempts(Repeat::Once, 0) {
        let is_again = attempt.next() == Next::Again;
        assert_eq!(is_again, attempt.report.proves_not_run(), "{attempt:?}");
    }
}
