//! Claims of idempotency keys in group commits, against a table that answers
//! after a while.

use std::time::Duration;

use eelgrassrock_model::table::{Check, Operation, Outcome, Transaction};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use eelgrassrock_request::idempotency::{Key, Token};
use eelgrassrock_request::{Action, Event, Machine, Settings};

use super::request::{arrival, machine, serve};
use super::{Series, micros};
use crate::{cpu, memory};

/// Requests per second that run at most once.
const RATES: [usize; 4] = [50, 100, 200, 400];
const SECONDS: usize = 10;
const COMMIT: Duration = Duration::from_millis(5);
const STEP: Duration = Duration::from_millis(1);
const RUNS: usize = 5;

/// One home and its table.
struct Subject {
    machine: Machine,
    now: Instant,
    commits: Vec<(Instant, Transaction)>,
    transactions: usize,
    rows: usize,
    next: usize,
}

impl Subject {
    fn new() -> Self {
        Self {
            machine: machine(Settings::builder().build()),
            now: Instant::from_millis(2_000),
            commits: Vec::new(),
            transactions: 0,
            rows: 0,
            next: 0,
        }
    }

    fn arrive(&mut self) {
        let text = format!("key-{}", self.next);
        let key = Key::try_from(text.as_str()).unwrap_or_else(|_| unreachable!("it is short"));
        let body = Digest::from_bytes([7; 32]);
        let token = Token {
            key,
            body,
            carried: None,
        };
        let arrival = arrival(self.next, self.now, Some(token));
        self.next += 1;
        self.step(Event::Arrive(arrival));
    }

    fn step(&mut self, event: Event) {
        let actions = self.machine.step(self.now, event);
        for action in serve(&mut self.machine, self.now, actions) {
            if let Action::Write(transaction) = action {
                self.transactions += 1;
                self.rows += transaction.writes.len();
                self.commits.push((self.now + COMMIT, transaction));
            }
        }
    }

    fn commit(&mut self) {
        let now = self.now;
        let (due, open) = std::mem::take(&mut self.commits)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.commits = open;
        let due: Vec<(Instant, Transaction)> = due;
        for (_, transaction) in due {
            let (operation, outcome) = committed(&transaction);
            self.step(Event::Written { operation, outcome });
        }
    }

    fn run(&mut self, rate: usize) {
        let steps = SECONDS * (1_000 / STEP.as_millis() as usize);
        for turn in 0..steps {
            self.now = self.now + STEP;
            self.commit();
            if turn * rate / 1_000 != (turn + 1) * rate / 1_000 {
                self.arrive();
            }
            if self
                .machine
                .next_wake()
                .is_some_and(|wake| wake <= self.now)
            {
                self.step(Event::Tick);
            }
        }
    }
}

fn committed(transaction: &Transaction) -> (Operation, Outcome) {
    let version = |key| {
        let check = transaction.checks.iter().find(|check| check.key == key);
        check.map_or(Version(0), |check| check.version).next()
    };
    let written = transaction.writes.iter();
    let checks = written.map(|write| Check {
        key: write.key.clone(),
        version: version(write.key.clone()),
    });
    (
        transaction.operation.clone(),
        Outcome::Committed(checks.collect()),
    )
}

pub(crate) fn measure() -> Vec<Series> {
    let mut transactions = Series::flat("claims.transactions", "transactions/s", "claim/s");
    let mut rows = Series::new("claims.rows", "rows/s", "claim/s");
    let mut processor = Series::new("claims.cpu", "us/s", "claim/s");
    let mut kept = Series::new("claims.memory", "B", "record");
    for rate in RATES {
        let (subject, bytes) = memory::retained(|| {
            let mut subject = Subject::new();
            subject.run(rate);
            subject
        });
        transactions.push(rate, subject.transactions as f64 / SECONDS as f64);
        rows.push(rate, subject.rows as f64 / SECONDS as f64);
        kept.push(subject.next, bytes as f64);
        let span = cpu::median(RUNS, Subject::new, |subject| subject.run(rate));
        processor.push(rate, micros(span) / SECONDS as f64);
    }
    vec![transactions, rows, processor, kept]
}
