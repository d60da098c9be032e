//! Regression tests that drive one machine step by step, each for a fault of a past issue.

use std::sync::Arc;

use eelgrassrock_model::fleet::{self, Fleet, Goal};
use eelgrassrock_model::shard::{Count, Shard};
use eelgrassrock_model::table::{Check, Operation, Outcome, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Service, Term, Upstream, Version};
use eelgrassrock_ownership::row::{Entry, encode_block};
use eelgrassrock_ownership::{Action, Event, Machine, Member, Message, Release, Settings};

/// Machine of one router whose requests to the table are answered by the test.
struct Harness {
    machine: Machine,
    now: u64,
}

impl Harness {
    fn step(&mut self, event: Event) -> Vec<Action> {
        self.now += 10;
        self.machine.step(Instant::from_millis(self.now), event)
    }

    /// Runs until the machine has taken over the upstream and is settled.
    fn take_over(&mut self) {
        let mut events = vec![Event::Members(vec![member("r1"), member("r2")])];
        events.push(Event::Fleet(fleet()));
        for _ in 0..500 {
            let event = events.pop().unwrap_or(Event::Tick);
            for action in self.step(event) {
                events.extend(answer(action));
            }
        }
        let homes = self.machine.snapshot().homes;
        assert_eq!(homes[&upstream()].settled, Some(true));
    }
}

fn answer(action: Action) -> Option<Event> {
    match action {
        Action::Scan { scan, .. } => Some(Event::Scanned {
            scan,
            rows: Vec::new(),
        }),
        Action::Write(transaction) => {
            let checks = transaction.writes.iter().map(|write| Check {
                key: write.key.clone(),
                version: Version(1),
            });
            Some(Event::Written {
                operation: transaction.operation.clone(),
                outcome: Outcome::Committed(checks.collect()),
            })
        }
        _ => None,
    }
}

fn upstream() -> Upstream {
    "u1".parse().unwrap()
}

fn service() -> Service {
    "lookup".parse().unwrap()
}

fn member(name: &str) -> Member {
    Member {
        router: name.parse().unwrap(),
        data_centre: "z1".parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let shards = Count::try_from(16).unwrap();
    let goal = Goal::Availability;
    fleet
        .services
        .insert(service(), fleet::Service { shards, goal });
    let declared = fleet::Upstream {
        service: service(),
        data_centre: "z2".parse().unwrap(),
        address: "10.0.1.1:1".parse().unwrap(),
        slots: 2,
        connections: 110,
        checks_orders: true,
        checks_idempotency: false,
    };
    fleet.upstreams.insert(upstream(), declared);
    fleet
}

/// Returns a row in which the home of `term` moved all shards away from the upstream.
fn moved_row(term: Term) -> Row {
    let entry = Entry {
        owner: Some("u2".parse().unwrap()),
        epoch: Epoch(2),
        prior: Some(upstream()),
        prior_term: Some(term),
    };
    Row {
        key: Arc::from("shards/lookup/0"),
        version: Version(9),
        operation: Operation(Arc::from("r2-1-1")),
        value: encode_block(&vec![entry; 16]),
    }
}

/// Returns whether a home of term 1 proves the release of a shard that the
/// home of `term` moved away.
fn releases(term: Term) -> bool {
    let router = "r1".parse().unwrap();
    let address = "10.0.0.1:1".parse().unwrap();
    let settings = Settings::builder(router, address, "z1".parse().unwrap(), "1").build();
    let mut harness = Harness {
        machine: Machine::new(settings),
        now: 1_000,
    };
    harness.take_over();
    harness.step(Event::Rows(vec![moved_row(term)]));
    let release = Release {
        service: service(),
        prior: upstream(),
        shards: vec![(Shard(0), Epoch(2))],
    };
    let actions = harness.step(Event::Message {
        from: "r2".parse().unwrap(),
        message: Message::AskRelease(release),
    });
    let released = |action: &Action| {
        matches!(
            action,
            Action::Send {
                message: Message::Released(_),
                ..
            }
        )
    };
    actions.iter().any(released)
}

/// Regression test for issue 4. A home that hadn't learnt yet that it was superseded
/// confirmed a release on the basis of its own orders, while the upstream followed an
/// order of the later home.
#[test]
fn superseded_home_proves_no_release() {
    assert!(releases(Term(1)));
    assert!(!releases(Term(2)));
}
