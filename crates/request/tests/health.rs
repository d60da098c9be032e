//! Unhealthy upstreams get fewer requests, and regain their slots step by step as they answer.

mod support;

use std::time::Duration;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::{Fleet, Patience, Repeat};
use eelgrassrock_model::time::Instant;
use eelgrassrock_request::{
    Action, Answer, Event, Grant, Machine, Outcome, Reason, Settings, example,
};
use support::*;

fn health(machine: &Machine) -> &'static str {
    machine.snapshot().upstreams[&upstream()].health
}

fn open_slots(machine: &Machine) -> u32 {
    machine.snapshot().upstreams[&upstream()].open_slots
}

fn suspects(actions: &[Action]) -> usize {
    let suspect = |action: &&Action| matches!(action, Action::Suspect { .. });
    actions.iter().filter(suspect).count()
}

fn probes(actions: &[Action]) -> usize {
    let probe = |action: &&Action| matches!(action, Action::Probe { .. });
    actions.iter().filter(probe).count()
}

/// Sends two requests that are never answered, and waits until the machine suspects the
/// upstream.
fn freeze(machine: &mut Machine) -> (Instant, Vec<Action>) {
    for id in 1..=2 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
        machine.step(at(1), began(id, 1));
    }
    let mut actions = Vec::new();
    while suspects(&actions) == 0 {
        let wake = machine.next_wake().expect("the machine looks again");
        assert!(wake <= at(600), "nothing noticed until {wake:?}");
        actions = machine.step(wake, Event::Tick);
        if suspects(&actions) > 0 {
            return (wake, actions);
        }
    }
    unreachable!()
}

#[test]
fn frozen_upstream_is_suspected_long_before_the_deadline() {
    let mut machine = machine(Settings::builder().build());
    let mut prompt = read(9, at(1));
    prompt.class = class(Repeat::Idempotent, Patience::Prompt(Duration::from_secs(1)));
    for id in 1..=2 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
        machine.step(at(1), began(id, 1));
    }
    assert!(finished(&machine.step(at(2), Event::Arrive(prompt))).is_empty());
    let wake = machine.next_wake().unwrap();
    let actions = machine.step(wake, Event::Tick);
    assert_eq!((suspects(&actions), probes(&actions)), (1, 1));
    let (id, verdict) = finished(&actions)[0];
    assert_eq!(
        (id, verdict.outcome, verdict.reason),
        (9, Outcome::NotRun, Reason::Unwell)
    );
    assert!(wake < at(600));
    assert_eq!(health(&machine), "unwell");
}

#[test]
fn unwell_upstream_is_probed_rarely_and_sent_nothing() {
    let mut machine = machine(Settings::builder().build());
    let (mut now, _) = freeze(&mut machine);
    let mut count = 0;
    for id in 10..40 {
        now = now + Duration::from_millis(100);
        let actions = machine.step(now, Event::Arrive(read(id, now)));
        count += probes(&actions);
        assert!(sent(&actions).is_empty());
    }
    assert!(count <= 3, "{count} probes in three seconds");
}

#[test]
fn upstream_starts_with_one_slot_after_a_successful_probe() {
    let mut machine = machine(Settings::builder().build());
    let (now, _) = freeze(&mut machine);
    let upstream = upstream();
    machine.step(
        now,
        Event::Probed {
            upstream,
            well: true,
        },
    );
    assert_eq!((health(&machine), open_slots(&machine)), ("limited", 1));
}

#[test]
fn wrong_health_endpoint_does_not_keep_an_upstream_out() {
    let mut machine = machine(Settings::builder().build());
    let (now, _) = freeze(&mut machine);
    for _ in 0..3 {
        let upstream = upstream();
        machine.step(
            now,
            Event::Probed {
                upstream,
                well: false,
            },
        );
    }
    assert_eq!((health(&machine), open_slots(&machine)), ("limited", 1));
}

#[test]
fn restarted_upstream_gets_its_slots_one_by_one() {
    let mut machine = machine(Settings::builder().build());
    let upstream = upstream();
    machine.step(at(1), Event::Restarted { upstream });
    let mut open = Vec::new();
    for id in 1..=5 {
        open.push(open_slots(&machine));
        machine.step(at(id), Event::Arrive(read(id, at(id))));
        machine.step(at(id), began(id, 1));
        machine.step(at(id), done(id, 1));
    }
    assert_eq!(open, [1, 1, 1, 1, 2]);
}

#[test]
fn shedding_upstream_is_paused_for_its_retry_after() {
    let mut machine = machine(Settings::builder().build());
    machine.step(at(1), Event::Arrive(read(1, at(1))));
    machine.step(at(1), began(1, 1));
    let retry_after = Some(Duration::from_millis(200));
    machine.step(at(2), answered(1, 1, Answer::Shed { retry_after }));
    assert!(sent(&machine.step(at(3), Event::Arrive(read(2, at(3))))).is_empty());
    assert!(sent(&machine.step(at(201), Event::Tick)).is_empty());
    assert_eq!(sent(&machine.step(at(400), Event::Tick)), [1]);
    assert_eq!(open_slots(&machine), 1);
}

#[test]
fn streaming_answer_is_not_a_stall() {
    let mut machine = machine(Settings::builder().build());
    for id in 1..=2 {
        machine.step(at(1), Event::Arrive(read(id, at(1))));
        machine.step(at(1), began(id, 1));
        let request = eelgrassrock_request::Id(id);
        machine.step(
            at(2),
            Event::Responding {
                request,
                attempt: 1,
            },
        );
    }
    for second in 1..60 {
        assert_eq!(suspects(&machine.step(at(1000 * second), Event::Tick)), 0);
    }
    assert_eq!(health(&machine), "well");
}

#[test]
fn no_more_than_half_of_a_service_is_stopped() {
    let names: Vec<Upstream> = (1..=4)
        .map(|n| format!("lookup-{n}").parse().unwrap())
        .collect();
    let mut fleet: Fleet = example::fleet();
    let declared = fleet.upstreams[0].clone();
    for name in &names {
        fleet.upstreams.insert(name.clone(), declared.clone());
    }
    let mut machine = Machine::new(Settings::builder().build());
    machine.step(at(0), Event::Fleet(fleet));
    for upstream in names.clone() {
        let grant = Grant::Held;
        machine.step(at(0), Event::GrantChanged { upstream, grant });
    }
    for (id, upstream) in (1..).zip(names) {
        let arrival = eelgrassrock_request::Arrival {
            upstream,
            ..read(id, at(1))
        };
        machine.step(at(1), Event::Arrive(arrival));
        machine.step(at(1), began(id, 1));
    }
    let actions = machine.step(at(1000), Event::Tick);
    assert_eq!(suspects(&actions), 2);
    let upstreams = machine.snapshot().upstreams;
    let stopped = upstreams.values().filter(|state| state.open_slots == 0);
    assert_eq!(stopped.count(), 2);
}

#[test]
fn lapsed_grant_cancels_running_reads() {
    let mut machine = machine(Settings::builder().build());
    machine.step(at(1), Event::Arrive(read(1, at(1))));
    machine.step(at(1), began(1, 1));
    let grant_changed = |grant| Event::GrantChanged {
        upstream: upstream(),
        grant,
    };
    let actions = machine.step(at(2), grant_changed(Grant::Lapsed));
    assert!(cancels(&actions, 1));
    assert!(sent(&machine.step(at(500), Event::Tick)).is_empty());
    assert_eq!(
        sent(&machine.step(at(501), grant_changed(Grant::Held))),
        [1]
    );
    assert_eq!(open_slots(&machine), 1);
}
