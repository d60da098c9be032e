//! Only repeatable requests are retried, within their deadline and the retry budget.

mod support;

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_request::{Action, Answer, Event, Machine, Outcome, Reason, Settings, simulation};
use rstest::rstest;
use support::*;

/// Number of attempts, and the requests that they were made for.
#[derive(Debug, Default)]
struct Count {
    attempts: usize,
    requests: HashSet<u64>,
}

/// Sends `count` reads, one per millisecond. The upstream answers every attempt of each
/// second request as given, and the others at once.
fn attempts(machine: &mut Machine, count: u64, answer: &Answer) -> Count {
    let mut sends = Count::default();
    for id in 1..=count {
        let now = at(id);
        let mut events = VecDeque::from([Event::Tick, Event::Arrive(read(id, now))]);
        while let Some(event) = events.pop_front() {
            for action in machine.step(now, event) {
                if let Action::Send {
                    request, attempt, ..
                } = action
                {
                    sends.attempts += 1;
                    sends.requests.insert(request.0);
                    events.push_back(began(request.0, attempt));
                    events.push_back(match request.0 % 2 {
                        0 => done(request.0, attempt),
                        _ => answered(request.0, attempt, answer.clone()),
                    });
                }
            }
        }
    }
    sends
}

#[rstest]
#[case::broken(Answer::Broken, 2_000)]
#[case::not_sent(Answer::NotSent, 2_000)]
#[case::shed(Answer::Shed { retry_after: Some(Duration::from_millis(3)) }, 500)]
fn attempts_are_at_most_a_tenth_more_than_requests(#[case] answer: Answer, #[case] least: usize) {
    let mut machine = machine(Settings::builder().build());
    let count = attempts(&mut machine, 2_000, &answer);
    let requests = count.requests.len();
    assert!(requests >= least, "only {requests} requests were sent");
    let retries = count.attempts - requests;
    assert!(retries > 0, "nothing was retried");
    assert!(
        retries <= requests / 10 + 1,
        "{retries} retries of {requests}"
    );
}

#[test]
fn shed_request_is_not_retried_without_retry_after() {
    let mut machine = machine(Settings::builder().build());
    let answer = Answer::Shed { retry_after: None };
    let count = attempts(&mut machine, 50, &answer);
    assert_eq!((count.attempts, count.requests.len()), (50, 50));
}

#[rstest]
#[case::at_most_once(once(1, at(1), "a", 0), Outcome::Unknown)]
#[case::responding(read(1, at(1)), Outcome::Unknown)]
fn run_that_may_have_begun_is_not_repeated(
    #[case] arrival: eelgrassrock_request::Arrival,
    #[case] outcome: Outcome,
) {
    let mut machine = machine(Settings::builder().build());
    let mut table = simulation::Table::default();
    for action in machine.step(at(1), Event::Arrive(arrival)) {
        if let Action::Write(transaction) = action {
            let outcome = table.apply(&transaction);
            let operation = transaction.operation;
            machine.step(at(1), Event::Written { operation, outcome });
        }
    }
    machine.step(at(2), began(1, 1));
    let request = eelgrassrock_request::Id(1);
    if table.is_empty() {
        machine.step(
            at(2),
            Event::Responding {
                request,
                attempt: 1,
            },
        );
    }
    let verdicts = finished(&machine.step(at(3), answered(1, 1, Answer::Broken)));
    assert_eq!(
        (verdicts[0].1.outcome, verdicts[0].1.reason),
        (outcome, Reason::Broken)
    );
}

#[test]
fn retry_waits_for_retry_after() {
    let mut machine = machine(Settings::builder().build());
    machine.step(at(1), Event::Arrive(read(1, at(1))));
    machine.step(at(1), began(1, 1));
    let retry_after = Some(Duration::from_millis(300));
    machine.step(at(2), answered(1, 1, Answer::Shed { retry_after }));
    let wake = (1..10).find_map(|_| {
        let wake: Instant = machine.next_wake()?;
        let actions = machine.step(wake, Event::Tick);
        (sent(&actions) == [1]).then_some(wake)
    });
    assert!(wake.is_some_and(|wake| wake >= at(302)), "{wake:?}");
}

#[test]
fn retry_after_the_deadline_is_not_made() {
    let mut machine = machine(Settings::builder().build());
    machine.step(at(1), Event::Arrive(read(1, at(1))));
    machine.step(at(1), began(1, 1));
    let retry_after = Some(DEADLINE);
    let actions = machine.step(at(2), answered(1, 1, Answer::Shed { retry_after }));
    let verdict = finished(&actions)[0].1;
    assert_eq!(
        (verdict.outcome, verdict.retry_after),
        (Outcome::NotRun, retry_after)
    );
}
