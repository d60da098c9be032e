//! Answers to requests that repeat an idempotency key.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::table;
use eelgrassrock_model::time::Instant;
use eelgrassrock_request::idempotency::Key;
use eelgrassrock_request::simulation::Table;
use eelgrassrock_request::{
    Action, Answer, Arrival, Event, Id, Machine, Outcome, Reason, Settings, Stored, Verdict,
};
use rstest::rstest;
use support::*;

fn machine_named(router: &str) -> Machine {
    machine(Settings::builder().router(Arc::from(router)).build())
}

/// Steps the machine and answers its writes and reads from the table.
fn step(machine: &mut Machine, table: &mut Table, now: Instant, event: Event) -> Vec<Action> {
    let mut all = Vec::new();
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for action in machine.step(now, event) {
            match &action {
                Action::Write(transaction) => events.push(Event::Written {
                    operation: transaction.operation.clone(),
                    outcome: table.apply(transaction),
                }),
                Action::Read { key } => events.push(Event::Read {
                    key: key.clone(),
                    row: Ok(table.read(key).cloned()),
                }),
                _ => {}
            }
            all.push(action);
        }
    }
    all
}

fn verdict_of(actions: &[Action], id: u64) -> Verdict {
    let verdicts = finished(actions);
    let found = verdicts.iter().find(|(other, _)| *other == id);
    found
        .unwrap_or_else(|| panic!("no answer in {actions:?}"))
        .1
}

fn write_in(actions: &[Action]) -> table::Transaction {
    let write = |action: &Action| match action {
        Action::Write(transaction) => Some(transaction.clone()),
        _ => None,
    };
    actions.iter().find_map(write).expect("a transaction")
}

/// Runs request 1 with key `a`, starting at `millis`, until it is answered.
fn run_first(machine: &mut Machine, table: &mut Table, millis: u64, answer: Answer) {
    let now = at(millis);
    let actions = step(machine, table, now, Event::Arrive(once(1, now, "a", 0)));
    assert_eq!(sent(&actions), [1]);
    step(machine, table, now, began(1, 1));
    step(machine, table, now, answered(1, 1, answer));
    step(machine, table, now + Duration::from_secs(1), Event::Tick);
}

fn kept_answer() -> Answer {
    let content = Some(Arc::from(&b"sheet 1"[..]));
    Answer::Done(Stored {
        status: 201,
        content,
    })
}

#[test]
fn repeat_gets_the_stored_answer() {
    let (mut machine, mut table) = (machine_named("a"), Table::default());
    run_first(&mut machine, &mut table, 1, kept_answer());
    let repeat = Event::Arrive(once(2, at(5), "a", 0));
    let actions = step(&mut machine, &mut table, at(2000), repeat);
    let replayed = |action: &Action| matches!(action, Action::Replay { request: Id(2), .. });
    assert!(actions.iter().any(replayed));
    assert!(sent(&actions).is_empty());
}

#[rstest]
#[case::done(kept_answer(), Outcome::Done, Reason::AlreadyRan(Some(201)))]
#[case::broken(Answer::Broken, Outcome::Unknown, Reason::RunUnknown)]
fn repeat_at_another_home_gets_the_recorded_outcome(
    #[case] answer: Answer,
    #[case] outcome: Outcome,
    #[case] reason: Reason,
) {
    let mut table = Table::default();
    run_first(&mut machine_named("a"), &mut table, 1, answer);
    let repeat = Event::Arrive(once(2, at(1), "a", 0));
    let verdict = verdict_of(&step(&mut machine_named("b"), &mut table, at(1), repeat), 2);
    assert_eq!((verdict.outcome, verdict.reason), (outcome, reason));
}

#[rstest]
#[case::here(true)]
#[case::elsewhere(false)]
fn other_body_is_refused(#[case] here: bool) {
    let (mut machine, mut table) = (machine_named("a"), Table::default());
    run_first(&mut machine, &mut table, 1, kept_answer());
    let mut home = if here { machine } else { machine_named("b") };
    let other = Event::Arrive(once(2, at(2000), "a", 7));
    let verdict = verdict_of(&step(&mut home, &mut table, at(2000), other), 2);
    assert_eq!(verdict.reason, Reason::BodyDiffers);
}

#[test]
fn repeat_waits_for_the_first_run() {
    let (mut machine, mut table) = (machine_named("a"), Table::default());
    step(
        &mut machine,
        &mut table,
        at(1),
        Event::Arrive(once(1, at(1), "a", 0)),
    );
    let repeat = Event::Arrive(once(2, at(2), "a", 0));
    let actions = step(&mut machine, &mut table, at(2), repeat);
    assert!(finished(&actions).is_empty() && sent(&actions).is_empty());
    step(&mut machine, &mut table, at(3), began(1, 1));
    let actions = step(&mut machine, &mut table, at(9), done(1, 1));
    assert_eq!(
        verdict_of(&actions, 2).reason,
        Reason::AlreadyRan(Some(200))
    );
}

#[test]
fn run_of_a_crashed_home_becomes_unknown() {
    let mut table = Table::default();
    let first = Event::Arrive(once(1, at(1), "a", 0));
    step(&mut machine_named("a"), &mut table, at(1), first);
    let mut home = machine_named("b");
    let mut ask = |id: u64, now: Instant| {
        let repeat = Event::Arrive(once(id, now, "a", 0));
        verdict_of(&step(&mut home, &mut table, now, repeat), id)
    };
    assert_eq!(ask(2, at(1)).reason, Reason::Running);
    assert_eq!(ask(3, at(30_000)).reason, Reason::Running);
    let verdict = ask(4, at(40_000));
    assert_eq!(
        (verdict.outcome, verdict.reason),
        (Outcome::Unknown, Reason::RunUnknown)
    );
}

#[test]
fn unused_claim_is_freed() {
    let (mut machine, mut table) = (machine_named("a"), Table::default());
    run_first(
        &mut machine,
        &mut table,
        1,
        Answer::Shed { retry_after: None },
    );
    assert!(table.is_empty());
    let repeat = Event::Arrive(once(2, at(2000), "a", 0));
    assert_eq!(sent(&step(&mut machine, &mut table, at(2000), repeat)), [2]);
}

#[test]
fn redirected_request_keeps_its_claim() {
    let (mut machine, mut table) = (machine_named("a"), Table::default());
    let first = Event::Arrive(once(1, at(1), "a", 0));
    step(&mut machine, &mut table, at(1), first);
    let refusal = answered(1, 1, Answer::NotOwner);
    let actions = step(&mut machine, &mut table, at(2), refusal);
    let redirect = |action: &Action| match action {
        Action::Redirect {
            attempts, claim, ..
        } => Some((*attempts, claim.clone())),
        _ => None,
    };
    let (attempts, carried) = actions.iter().find_map(redirect).expect("a redirect");
    assert!(carried.is_some());
    let mut arrival = once(1, at(2), "a", 0);
    arrival.attempts = attempts;
    arrival.idempotency.as_mut().unwrap().carried = carried;
    let mut home = machine_named("b");
    let actions = step(&mut home, &mut table, at(2), Event::Arrive(arrival));
    assert_eq!(sent(&actions), [1]);
}

#[test]
fn lost_answer_of_a_claim_is_read_back() {
    let (mut machine, mut table) = (machine_named("a"), Table::default());
    let first = Event::Arrive(once(1, at(1), "a", 0));
    let transaction = write_in(&machine.step(at(1), first));
    table.apply(&transaction);
    let written = Event::Written {
        operation: transaction.operation,
        outcome: table::Outcome::Unknown,
    };
    assert_eq!(sent(&step(&mut machine, &mut table, at(2), written)), [1]);
    assert_eq!(table.writes, 1);
}

#[test]
fn store_outage_refuses_at_once_and_runs_nothing() {
    let mut machine = machine_named("a");
    let first = Event::Arrive(once(1, at(1), "a", 0));
    let transaction = write_in(&machine.step(at(1), first));
    let retry_after = Duration::from_secs(3);
    let written = Event::Written {
        operation: transaction.operation,
        outcome: table::Outcome::NotWritten { retry_after },
    };
    let expected = Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::StoreDown,
        retry_after: Some(retry_after),
    };
    assert_eq!(verdict_of(&machine.step(at(2), written), 1), expected);
    let second = Event::Arrive(once(2, at(3), "b", 0));
    assert_eq!(
        verdict_of(&machine.step(at(3), second), 2).reason,
        Reason::StoreDown
    );
}

#[test]
fn many_claims_share_a_transaction() {
    let mut machine = machine(Settings::builder().claims_per_second(10).build());
    let mut table = Table::default();
    let mut transactions = Vec::new();
    let mut pending = None;
    for id in 0..200 {
        let now = at(10 * id);
        let mut events = vec![Event::Arrive(once(id, now, &format!("key-{id}"), 0))];
        if let Some((operation, outcome)) = pending.take() {
            events.push(Event::Written { operation, outcome });
        }
        for event in events {
            for action in machine.step(now, event) {
                if let Action::Write(transaction) = action {
                    assert!(pending.is_none(), "two transactions in flight");
                    let outcome = table.apply(&transaction);
                    pending = Some((transaction.operation.clone(), outcome));
                    transactions.push(transaction.writes.len());
                }
            }
        }
    }
    assert!(transactions.len() <= 2 * 10 + 5, "{transactions:?}");
    assert!(
        transactions.iter().sum::<usize>() >= 180,
        "{transactions:?}"
    );
}

#[rstest]
#[case::empty("")]
#[case::long(&"k".repeat(256))]
#[case::space("a b")]
#[case::umlaut("schlüssel")]
fn bad_key_is_refused(#[case] text: &str) {
    assert!(Key::try_from(text).is_err());
}

#[test]
fn missing_key_is_refused_where_the_class_needs_one() {
    let arrival = Arrival {
        idempotency: None,
        ..once(1, at(1), "a", 0)
    };
    let actions = machine_named("a").step(at(1), Event::Arrive(arrival));
    assert_eq!(verdict_of(&actions, 1).reason, Reason::KeyMissing);
}

#[test]
fn foreign_claim_is_read_again_and_its_body_compared() {
    let mut table = Table::default();
    let mut other = machine_named("a");
    step(
        &mut other,
        &mut table,
        at(1),
        Event::Arrive(once(1, at(1), "a", 0)),
    );
    let mut home = machine_named("b");
    let repeat = Event::Arrive(once(2, at(1), "a", 0));
    assert_eq!(
        verdict_of(&step(&mut home, &mut table, at(1), repeat), 2).reason,
        Reason::Running
    );
    step(
        &mut other,
        &mut table,
        at(2),
        answered(1, 1, Answer::NotSent),
    );
    step(
        &mut other,
        &mut table,
        at(2),
        Event::Disconnected { request: Id(1) },
    );
    step(&mut other, &mut table, at(2000), Event::Tick);
    assert!(table.is_empty());
    run_first_as(&mut other, &mut table, once(3, at(2000), "a", 7));
    let repeat = Event::Arrive(once(4, at(2000), "a", 0));
    let verdict = verdict_of(&step(&mut home, &mut table, at(2000), repeat), 4);
    assert_eq!(verdict.reason, Reason::BodyDiffers);
}

fn run_first_as(machine: &mut Machine, table: &mut Table, arrival: Arrival) {
    let (id, now) = (arrival.request.0, arrival.deadline);
    step(machine, table, at(2000), Event::Arrive(arrival));
    step(machine, table, at(2000), began(id, 1));
    step(machine, table, at(2001), done(id, 1));
    step(machine, table, now, Event::Tick);
}

#[test]
fn requests_that_wait_for_claims_count_towards_the_bound() {
    let mut machine = machine(Settings::builder().queue_requests(5).build());
    let mut refused = Vec::new();
    for id in 1..=9 {
        let arrival = once(id, at(1), &format!("key-{id}"), 0);
        refused.extend(finished(&machine.step(at(1), Event::Arrive(arrival))));
    }
    assert_eq!(refused.len(), 4);
    assert!(
        refused
            .iter()
            .all(|(_, verdict)| verdict.reason == Reason::Bound)
    );
    let partners = &machine.snapshot().upstreams[&upstream()].partners;
    assert_eq!(partners[0].bytes, 500);
    machine.step(at(9_000), Event::StoreDown);
    assert_eq!(
        machine.snapshot().upstreams[&upstream()].partners[0].bytes,
        0
    );
}
