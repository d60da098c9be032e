//! Claims are deleted after their retention has ended, and not earlier.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_request::simulation::Table;
use eelgrassrock_request::{Action, Event, Grant, Machine, Settings, Unreadable};
use rstest::rstest;
use support::*;

const HOUR: Duration = Duration::from_secs(3_600);
const NOON: Duration = Duration::from_secs(1_780_000_000);

fn machine_named(router: &str) -> Machine {
    let settings = Settings::builder()
        .router(Arc::from(router))
        .retention(HOUR * 24);
    let mut machine = machine(settings.build());
    machine.step(at(0), Event::TimeOfDay { unix: NOON });
    machine
}

/// Advances the time, answers from the table, and returns the number of pages read.
fn elapse(machine: &mut Machine, table: &mut Table, key: &str, until: Instant) -> usize {
    let mut pages = 0;
    while let Some(wake) = machine.next_wake().filter(|wake| *wake <= until) {
        let mut events = vec![Event::Tick];
        while let Some(event) = events.pop() {
            for action in machine.step(wake, event) {
                match action {
                    Action::Write(transaction) => events.push(Event::Written {
                        outcome: table.apply(&transaction),
                        operation: transaction.operation,
                    }),
                    Action::Scan { prefix, .. } => {
                        assert_eq!(&*prefix, "claim/lookup/");
                        pages += 1;
                        let rows = Ok(table.read(key).cloned().into_iter().collect());
                        events.push(Event::Scanned { rows, more: false });
                    }
                    _ => {}
                }
            }
        }
    }
    pages
}

/// Claims a key, and completes its run if `ends` is set.
fn claim(machine: &mut Machine, table: &mut Table, ends: bool) -> Arc<str> {
    let mut key = Arc::from("");
    for action in machine.step(at(1), Event::Arrive(once(1, at(1), "a", 0))) {
        if let Action::Write(transaction) = action {
            key = transaction.writes[0].key.clone();
            let outcome = table.apply(&transaction);
            let operation = transaction.operation;
            machine.step(at(2), Event::Written { operation, outcome });
        }
    }
    if ends {
        machine.step(at(3), began(1, 1));
        machine.step(at(4), done(1, 1));
    }
    key
}

#[rstest]
#[case::ended_here(true, true)]
#[case::ended_elsewhere(true, false)]
#[case::left_behind(false, false)]
fn claim_is_deleted_after_its_retention(#[case] ends: bool, #[case] here: bool) {
    let mut table = Table::default();
    let mut first = machine_named("a");
    let key = claim(&mut first, &mut table, ends);
    if ends {
        elapse(&mut first, &mut table, &key, at(1_000));
    }
    let mut home = if here { first } else { machine_named("b") };
    elapse(&mut home, &mut table, &key, Instant::default() + HOUR * 24);
    assert_eq!(table.len(), 1, "deleted too early");
    elapse(&mut home, &mut table, &key, Instant::default() + HOUR * 27);
    assert!(table.is_empty(), "not deleted");
}

#[test]
fn only_the_home_of_the_first_upstream_reads_the_claims() {
    let mut machine = machine_named("a");
    let grant = Grant::Released;
    let upstream = upstream();
    machine.step(at(1), Event::GrantChanged { upstream, grant });
    let mut table = Table::default();
    let until = Instant::default() + HOUR * 3;
    assert_eq!(elapse(&mut machine, &mut table, "", until), 0);
}

#[test]
fn expired_key_is_claimed_again() {
    let mut table = Table::default();
    let key = claim(&mut machine_named("a"), &mut table, false);
    let mut home = machine_named("b");
    let now = Instant::default() + HOUR * 26;
    let scan = home.step(now, Event::Tick);
    assert!(
        scan.iter()
            .any(|action| matches!(action, Action::Scan { .. }))
    );
    let rows = Ok(vec![table.read(&key).unwrap().clone()]);
    home.step(now, Event::Scanned { rows, more: false });
    let actions = home.step(now, Event::Arrive(once(2, now, "a", 0)));
    assert!(
        sent(&actions).is_empty(),
        "it ran under a row that is being deleted"
    );
    let write = actions.iter().find_map(|action| match action {
        Action::Write(transaction) => Some(transaction.clone()),
        _ => None,
    });
    let transaction = write.expect("a claim");
    let outcome = table.apply(&transaction);
    let operation = transaction.operation;
    assert_eq!(
        sent(&home.step(now, Event::Written { operation, outcome })),
        [2]
    );
    assert_eq!(table.len(), 1);
}

#[test]
fn unreadable_page_is_tried_again_later() {
    let mut home = machine_named("a");
    let now = Instant::default() + HOUR;
    home.step(now, Event::Tick);
    home.step(
        now,
        Event::Scanned {
            rows: Err(Unreadable),
            more: false,
        },
    );
    assert_eq!(home.next_wake(), Some(now + HOUR));
}
