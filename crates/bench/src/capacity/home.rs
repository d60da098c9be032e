//! Renewal of leases by one home. The simulated table and upstreams answer immediately.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Check, Outcome, Row, Transaction};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Sequence, Term, Version};
use eelgrassrock_ownership::grant::{Answer, Grant, Order, Ticket};
use eelgrassrock_ownership::{Action, Event, Machine, Member, Settings};

use super::deployment::{fleet, upstream};
use super::{Series, micros, names};
use crate::cpu;

const UPSTREAM_COUNTS: [usize; 4] = [2, 4, 8, 16];
/// Numbers of granted shards for which the size of an order is measured.
const GRANT_COUNTS: [u32; 4] = [8, 32, 128, 512];
const TICK: Duration = Duration::from_millis(5);
const WARM_UP_DURATION: Duration = Duration::from_secs(20);
const MEASURED_DURATION: Duration = Duration::from_secs(1);
const MIN_RUNS: usize = 5;
/// Bytes of the request line, the headers and the answer of one order, without its body.
const HTTP_OVERHEAD_BYTES: usize = 400;

/// One router that is the home of all upstreams, and its simulated table.
struct Simulation {
    machine: Machine,
    now: Instant,
    rows: BTreeMap<Arc<str>, Row>,
    /// Whether `orders` and `order_bytes` count the orders that are sent.
    is_counting_orders: bool,
    orders: usize,
    order_bytes: usize,
    writes: usize,
}

impl Simulation {
    fn new(upstreams: usize) -> Self {
        let (router, address) = (names::router(0), names::address(0));
        let settings = Settings::builder(router, address, names::data_centre(), "4f2a");
        let mut simulation = Self {
            machine: Machine::new(settings.build()),
            now: Instant::from_millis(1_000),
            rows: BTreeMap::new(),
            is_counting_orders: false,
            orders: 0,
            order_bytes: 0,
            writes: 0,
        };
        let live = names::live(0);
        let member = Member {
            router: live.router,
            data_centre: live.data_centre,
            address: live.address,
        };
        simulation.step(Event::Fleet(fleet(upstreams)));
        simulation.step(Event::Members(vec![member]));
        simulation.run(WARM_UP_DURATION);
        simulation
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            if self
                .machine
                .next_wake()
                .is_some_and(|wake| wake <= self.now)
            {
                self.step(Event::Tick);
            }
        }
    }

    /// Passes an event to the machine and answers its actions until none needs an answer.
    fn step(&mut self, event: Event) {
        let mut pending = VecDeque::from([event]);
        while let Some(event) = pending.pop_front() {
            for action in self.machine.step(self.now, event) {
                pending.extend(self.answer(action));
            }
        }
    }

    fn ticket(&self) -> Ticket {
        Ticket {
            incarnation: Arc::from("u1"),
            clock_ms: self.now.as_millis(),
            leaving: false,
            term: Term(0),
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Scan { scan, prefix } => {
                let rows = self
                    .rows
                    .values()
                    .filter(|row| row.key.starts_with(&*prefix));
                Some(Event::Scanned {
                    scan,
                    rows: rows.cloned().collect(),
                })
            }
            Action::Read { id, key } => Some(Event::Read {
                id,
                row: self.rows.get(&key).cloned(),
            }),
            Action::Write(transaction) => Some(self.write(&transaction)),
            Action::AskTicket { upstream, id, .. } => Some(Event::Ticket {
                upstream,
                id,
                ticket: Some(self.ticket()),
            }),
            Action::Order {
                upstream,
                id,
                order,
                ..
            } => {
                if self.is_counting_orders {
                    self.count_order(&order);
                }
                let answer = Answer::Accepted(self.ticket());
                Some(Event::Answered {
                    upstream,
                    id,
                    answer,
                })
            }
            _ => None,
        }
    }

    fn count_order(&mut self, order: &Order) {
        self.orders += 1;
        let body = serde_json::to_string(order).map_or(0, |body| body.len());
        self.order_bytes += body + HTTP_OVERHEAD_BYTES;
    }

    fn write(&mut self, transaction: &Transaction) -> Event {
        self.writes += 1;
        let mut versions = Vec::new();
        for write in &transaction.writes {
            let old_version = self
                .rows
                .get(&write.key)
                .map_or(Version(0), |row| row.version);
            let Some(value) = &write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                key: write.key.clone(),
                version: old_version.next(),
                operation: transaction.operation.clone(),
                value: value.clone(),
            };
            versions.push(Check {
                key: row.key.clone(),
                version: row.version,
            });
            self.rows.insert(row.key.clone(), row);
        }
        let operation = transaction.operation.clone();
        Event::Written {
            operation,
            outcome: Outcome::Committed(versions),
        }
    }
}

/// Returns the number of bytes in the body of an order that grants the given number of shards.
fn order_bytes(shards: u32) -> usize {
    let grant = |shard| Grant {
        shard: Shard(100_000 + shard),
        epoch: Epoch(12),
    };
    let order = Order {
        router: names::router(0),
        term: Term(7),
        sequence: Sequence(1_000_000),
        incarnation: Arc::from("8e03978e40d5"),
        valid_until_ms: 1_000_000_000,
        shards: (0..shards).map(grant).collect(),
    };
    serde_json::to_string(&order).map_or(0, |body| body.len())
}

pub(crate) fn measure() -> Vec<Series> {
    let mut order_body_bytes = Series::new("home.order", "B per order", "granted shard");
    for shards in GRANT_COUNTS {
        order_body_bytes.push(shards as usize, order_bytes(shards) as f64);
    }
    let mut cpu_time = Series::new("home.cpu", "us/s", "upstream");
    let mut orders = Series::new("home.orders", "orders/s", "upstream");
    let mut bytes = Series::new("home.bytes", "B/s in and out", "upstream");
    let mut claims = Series::new("home.claims", "transactions", "upstream");
    for upstreams in UPSTREAM_COUNTS {
        let mut simulation = Simulation::new(upstreams);
        let granted = simulation
            .machine
            .leases()
            .filter(|(_, until)| until.is_some())
            .count();
        assert_eq!(granted, upstreams, "{} has no grant", upstream(granted));
        claims.push(upstreams, simulation.writes as f64);
        let seconds = MEASURED_DURATION.as_secs_f64();
        simulation.is_counting_orders = true;
        simulation.run(MEASURED_DURATION);
        simulation.is_counting_orders = false;
        orders.push(upstreams, simulation.orders as f64 / seconds);
        bytes.push(upstreams, simulation.order_bytes as f64 / seconds);
        let time = cpu::median_time(MIN_RUNS, || (), |()| simulation.run(MEASURED_DURATION));
        cpu_time.push(upstreams, micros(time) / seconds);
    }
    vec![order_body_bytes, cpu_time, orders, bytes, claims]
}
