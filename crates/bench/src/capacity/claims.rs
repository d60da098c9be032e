//! Claims of idempotency keys, which are written in group commits. The simulated table
//! answers each transaction after [`COMMIT_LATENCY`].

use std::time::Duration;

use eelgrassrock_model::table::{Check, Operation, Outcome, Transaction};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use eelgrassrock_request::idempotency::{Key, Token};
use eelgrassrock_request::{Action, Event, Machine, Settings};

use super::request::{arrival, complete_sends, machine_with_grants};
use super::{Series, micros};
use crate::{cpu, memory};

/// Requests per second that need a claim because they run at most once.
const RATES: [usize; 4] = [50, 100, 200, 400];
const SIMULATED_SECONDS: usize = 10;
const COMMIT_LATENCY: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(1);
const MIN_RUNS: usize = 5;

/// One home and its simulated table.
struct Simulation {
    machine: Machine,
    now: Instant,
    pending_commits: Vec<(Instant, Transaction)>,
    transactions: usize,
    rows: usize,
    next_key: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            machine: machine_with_grants(Settings::builder().build()),
            now: Instant::from_millis(2_000),
            pending_commits: Vec::new(),
            transactions: 0,
            rows: 0,
            next_key: 0,
        }
    }

    fn arrive(&mut self) {
        let text = format!("key-{}", self.next_key);
        let key = Key::try_from(text.as_str()).unwrap_or_else(|_| unreachable!("it is short"));
        let body = Digest::from_bytes([7; 32]);
        let token = Token {
            key,
            body,
            carried: None,
        };
        let arrival = arrival(self.next_key, self.now, Some(token));
        self.next_key += 1;
        self.step(Event::Arrive(arrival));
    }

    fn step(&mut self, event: Event) {
        let actions = self.machine.step(self.now, event);
        for action in complete_sends(&mut self.machine, self.now, actions) {
            if let Action::Write(transaction) = action {
                self.transactions += 1;
                self.rows += transaction.writes.len();
                self.pending_commits
                    .push((self.now + COMMIT_LATENCY, transaction));
            }
        }
    }

    /// Passes the machine the outcome of every transaction whose commit latency has passed.
    fn complete_commits(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.pending_commits)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending_commits = pending;
        let due: Vec<(Instant, Transaction)> = due;
        for (_, transaction) in due {
            let (operation, outcome) = commit_outcome(&transaction);
            self.step(Event::Written { operation, outcome });
        }
    }

    fn run(&mut self, rate: usize) {
        let ticks = SIMULATED_SECONDS * (1_000 / TICK.as_millis() as usize);
        for tick in 0..ticks {
            self.now = self.now + TICK;
            self.complete_commits();
            // Spreads `rate` arrivals evenly over the 1000 ticks of a second.
            if tick * rate / 1_000 != (tick + 1) * rate / 1_000 {
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

/// Returns the operation and the outcome of a committed transaction. Each written row gets the
/// version that follows the checked one.
fn commit_outcome(transaction: &Transaction) -> (Operation, Outcome) {
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
    let mut cpu_time = Series::new("claims.cpu", "us/s", "claim/s");
    let mut memory_bytes = Series::new("claims.memory", "B", "record");
    for rate in RATES {
        let (simulation, bytes) = memory::retained(|| {
            let mut simulation = Simulation::new();
            simulation.run(rate);
            simulation
        });
        transactions.push(
            rate,
            simulation.transactions as f64 / SIMULATED_SECONDS as f64,
        );
        rows.push(rate, simulation.rows as f64 / SIMULATED_SECONDS as f64);
        memory_bytes.push(simulation.next_key, bytes as f64);
        let time = cpu::median_time(MIN_RUNS, Simulation::new, |simulation| simulation.run(rate));
        cpu_time.push(rate, micros(time) / SIMULATED_SECONDS as f64);
    }
    vec![transactions, rows, cpu_time, memory_bytes]
}
