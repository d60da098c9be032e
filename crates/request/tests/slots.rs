//! Requests take slots, wait for them and release them.

mod support;

use std::time::Duration;

use eelgrassrock_model::fleet::{Patience, Repeat};
use eelgrassrock_request::{Action, Answer, Event, Grant, Id, Outcome, Reason, Settings, Verdict};
use rstest::rstest;
use support::*;

#[test]
fn next_request_starts_when_a_slot_is_free() {
    let mut machine = machine(Settings::builder().build());
    let arrive = |id| Event::Arrive(read(id, at(1)));
    assert_eq!(sent(&machine.step(at(1), arrive(1))), [1]);
    assert_eq!(sent(&machine.step(at(1), arrive(2))), [2]);
    assert!(sent(&machine.step(at(1), arrive(3))).is_empty());
    machine.step(at(1), began(1, 1));
    let actions = machine.step(at(9), done(1, 1));
    assert_eq!(sent(&actions), [3]);
    let verdict = Verdict {
        outcome: Outcome::Done,
        reason: Reason::Answered(200),
        retry_after: None,
    };
    assert_eq!(finished(&actions), [(1, verdict)]);
}

#[test]
fn waiting_request_is_refused_when_it_can_no_longer_start() {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=3 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
    }
    let latest = at(1) + (DEADLINE - Duration::from_millis(10));
    assert!(finished(&machine.step(at(1_990), Event::Tick)).is_empty());
    assert_eq!(machine.next_wake(), Some(latest));
    let actions = machine.step(latest, Event::Tick);
    let verdicts = finished(&actions);
    assert_eq!(verdicts.len(), 1);
    let (id, verdict) = verdicts[0];
    assert_eq!((id, verdict.outcome), (3, Outcome::NotRun));
    assert!(verdict.retry_after.is_some());
}

#[test]
fn prompt_request_is_refused_on_arrival() {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=4 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
    }
    let mut prompt = read(9, at(2));
    prompt.class = class(
        Repeat::Idempotent,
        Patience::Prompt(Duration::from_millis(5)),
    );
    let verdicts = finished(&machine.step(at(2), Event::Arrive(prompt)));
    let (_, verdict) = verdicts[0];
    assert_eq!(verdict.reason, Reason::Overload);
    let retry_after = verdict.retry_after.unwrap();
    assert!(retry_after >= Duration::from_millis(10) && retry_after < Duration::from_millis(20));
}

#[rstest]
#[case::waiting(3, false)]
#[case::running(1, true)]
fn disconnected_caller_frees_its_queue_entry_or_slot(#[case] id: u64, #[case] cancelled: bool) {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=3 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
    }
    machine.step(at(1), began(1, 1));
    let actions = machine.step(at(2), Event::Disconnected { request: Id(id) });
    assert_eq!(cancels(&actions, id), cancelled);
    assert!(finished(&actions).is_empty());
    assert_eq!(machine.snapshot().requests, 2);
}

#[test]
fn answer_of_an_earlier_attempt_is_ignored() {
    let mut machine = machine(Settings::builder().build());
    machine.step(at(1), Event::Arrive(read(1, at(1))));
    machine.step(at(1), began(1, 1));
    machine.step(at(2), answered(1, 1, Answer::Broken));
    let wake = machine.next_wake().unwrap();
    assert_eq!(sent(&machine.step(wake, Event::Tick)), [1]);
    assert!(finished(&machine.step(wake, done(1, 1))).is_empty());
    assert_eq!(finished(&machine.step(wake, done(1, 2))).len(), 1);
}

#[test]
fn lapsed_upstream_gets_no_request_before_a_new_grant() {
    let mut machine = machine(Settings::builder().build());
    let grant_changed = |grant| Event::GrantChanged {
        upstream: upstream(),
        grant,
    };
    machine.step(at(1), grant_changed(Grant::Lapsed));
    let actions = machine.step(at(2), Event::Arrive(read(1, at(2))));
    assert!(actions.is_empty());
    let actions = machine.step(at(3), grant_changed(Grant::Held));
    assert_eq!(sent(&actions), [1]);
}

#[test]
fn queue_of_a_released_upstream_is_redirected() {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=3 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
    }
    let grant = Grant::Released;
    let upstream = upstream();
    let actions = machine.step(at(2), Event::GrantChanged { upstream, grant });
    let redirect = Action::Redirect {
        request: Id(3),
        attempts: 1,
        claim: None,
    };
    assert!(actions.contains(&redirect));
    assert_eq!(machine.snapshot().requests, 2);
}

#[test]
fn refused_retry_of_an_attempt_that_began_is_unknown() {
    let mut machine = machine(Settings::builder().build());
    machine.step(at(1), Event::Arrive(read(1, at(1))));
    machine.step(at(1), began(1, 1));
    machine.step(at(2), answered(1, 1, Answer::Broken));
    let grant = Grant::Lapsed;
    let upstream = upstream();
    machine.step(at(3), Event::GrantChanged { upstream, grant });
    let verdicts = finished(&machine.step(at(9000), Event::Tick));
    assert_eq!(verdicts[0].1.outcome, Outcome::Unknown);
}

#[rstest]
#[case::requests(Settings::builder().queue_requests(5), 100, 5)]
#[case::bytes(Settings::builder().queue_bytes(4_000), 1_000, 4)]
fn queue_of_a_partner_is_bounded(
    #[case] settings: eelgrassrock_request::Builder,
    #[case] bytes: u32,
    #[case] bound: usize,
) {
    let mut machine = machine(settings.build());
    let mut refused = Vec::new();
    for id in 0..20 {
        let mut arrival = read(id, at(1));
        arrival.bytes = bytes;
        refused.extend(finished(&machine.step(at(1), Event::Arrive(arrival))));
    }
    assert_eq!(machine.snapshot().upstreams[&upstream()].queued, bound);
    assert_eq!(refused.len(), 20 - 2 - bound);
    let bound =
        |verdict: &Verdict| verdict.reason == Reason::Bound && verdict.retry_after.is_some();
    assert!(refused.iter().all(|(_, verdict)| bound(verdict)));
    let mut other = read(99, at(1));
    other.partner = "chemist".parse().unwrap();
    assert!(finished(&machine.step(at(1), Event::Arrive(other))).is_empty());
}
