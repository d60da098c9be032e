//! A graceful stop of a router or an upstream doesn't cut off any request.

mod support;

use eelgrassrock_model::table;
use eelgrassrock_request::{Action, Event, Grant, Outcome, Reason, Settings, simulation};
use support::*;

fn drained(actions: &[Action]) -> bool {
    actions.contains(&Action::Drained)
}

#[test]
fn draining_router_completes_admitted_requests_and_refuses_new_ones() {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=3 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
    }
    for id in 1..=2 {
        machine.step(at(1), began(id, 1));
    }
    assert!(!drained(&machine.step(at(2), Event::Drain)));
    let refusal = finished(&machine.step(at(3), Event::Arrive(read(4, at(3)))))[0].1;
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (Outcome::NotRun, Reason::Draining)
    );
    assert!(refusal.retry_after.is_some());
    assert_eq!(sent(&machine.step(at(4), done(1, 1))), [3]);
    machine.step(at(4), began(3, 1));
    assert!(!drained(&machine.step(at(5), done(2, 1))));
    let last = machine.step(at(6), done(3, 1));
    assert!(drained(&last));
    assert!(!drained(&machine.step(at(7), Event::Tick)));
    let unix = std::time::Duration::from_secs(1);
    machine.step(at(8), Event::TimeOfDay { unix });
    machine.step(at(1_000), Event::Tick);
    assert_eq!(machine.next_wake(), None, "nothing is left to do");
}

#[test]
fn draining_router_records_outcomes_before_it_is_drained() {
    let mut machine = machine(Settings::builder().build());
    let mut table = simulation::Table::default();
    let mut write = |actions: Vec<Action>| -> Option<Event> {
        let transaction = actions.into_iter().find_map(|action| match action {
            Action::Write(transaction) => Some(transaction),
            _ => None,
        })?;
        let outcome: table::Outcome = table.apply(&transaction);
        let operation = transaction.operation;
        Some(Event::Written { operation, outcome })
    };
    let claim = write(machine.step(at(1), Event::Arrive(once(1, at(1), "a", 0))));
    machine.step(at(2), claim.unwrap());
    machine.step(at(2), began(1, 1));
    machine.step(at(2), Event::Drain);
    assert!(!drained(&machine.step(at(3), done(1, 1))));
    let record = write(machine.step(at(1000), Event::Tick)).expect("the outcome is written");
    assert!(drained(&machine.step(at(1001), record)));
}

#[test]
fn leaving_upstream_serves_its_queue_and_gets_no_new_requests() {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=3 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
    }
    let grant_changed = Event::GrantChanged {
        upstream: upstream(),
        grant: Grant::Leaving,
    };
    assert!(finished(&machine.step(at(2), grant_changed)).is_empty());
    let refusal = finished(&machine.step(at(3), Event::Arrive(read(4, at(3)))))[0].1;
    assert_eq!(refusal.reason, Reason::Draining);
    machine.step(at(3), began(1, 1));
    assert_eq!(sent(&machine.step(at(4), done(1, 1))), [3]);
}
