//! Leases that one home renews, against a table and upstreams that answer at
//! once.

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

const UPSTREAMS: [usize; 4] = [2, 4, 8, 16];
/// Numbers of shards of which the size of one order is measured.
const SHARDS: [u32; 4] = [8, 32, 128, 512];
const TICK: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_secs(20);
const MEASURED: Duration = Duration::from_secs(1);
const RUNS: usize = 5;
/// Bytes of the request line, headers and answer of one order, without the
/// body of the order.
const HTTP_BYTES: usize = 400;

/// One router that is home of all upstreams.
struct Subject {
    machine: Machine,
    now: Instant,
    rows: BTreeMap<Arc<str>, Row>,
    /// Whether orders are counted.
    counts: bool,
    orders: usize,
    order_bytes: usize,
    writes: usize,
}

impl Subject {
    fn new(upstreams: usize) -> Self {
        let (router, address) = (names::router(0), names::address(0));
        let settings = Settings::builder(router, address, names::data_centre(), "4f2a");
        let mut subject = Self {
            machine: Machine::new(settings.build()),
            now: Instant::from_millis(1_000),
            rows: BTreeMap::new(),
            counts: false,
            orders: 0,
            order_bytes: 0,
            writes: 0,
        };
        let live = names::live(0);
        let me = Member {
            router: live.router,
            data_centre: live.data_centre,
            address: live.address,
        };
        subject.settle(Event::Fleet(fleet(upstreams)));
        subject.settle(Event::Members(vec![me]));
        subject.run(WARM_UP);
        subject
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            if self
                .machine
                .next_wake()
                .is_some_and(|wake| wake <= self.now)
            {
                self.settle(Event::Tick);
            }
        }
    }

    /// Steps the machine and answers all that it asks for.
    fn settle(&mut self, event: Event) {
        let mut open = VecDeque::from([event]);
        while let Some(event) = open.pop_front() {
            for action in self.machine.step(self.now, event) {
                open.extend(self.answer(action));
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
                if self.counts {
                    self.count(&order);
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

    fn count(&mut self, order: &Order) {
        self.orders += 1;
        let body = serde_json::to_string(order).map_or(0, |body| body.len());
        self.order_bytes += body + HTTP_BYTES;
    }

    fn write(&mut self, transaction: &Transaction) -> Event {
        self.writes += 1;
        let mut versions = Vec::new();
        for write in &transaction.writes {
            let old = self
                .rows
                .get(&write.key)
                .map_or(Version(0), |row| row.version);
            let Some(value) = &write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                key: write.key.clone(),
                version: old.next(),
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

/// Returns the bytes of the body of an order.
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
    let mut body = Series::new("home.order", "B per order", "granted shard");
    for shards in SHARDS {
        body.push(shards as usize, order_bytes(shards) as f64);
    }
    let mut processor = Series::new("home.cpu", "us/s", "upstream");
    let mut orders = Series::new("home.orders", "orders/s", "upstream");
    let mut bytes = Series::new("home.bytes", "B/s in and out", "upstream");
    let mut claims = Series::new("home.claims", "transactions", "upstream");
    for upstreams in UPSTREAMS {
        let mut subject = Subject::new(upstreams);
        let held = subject
            .machine
            .leases()
            .filter(|(_, until)| until.is_some())
            .count();
        assert_eq!(held, upstreams, "{} has no grant", upstream(held));
        claims.push(upstreams, subject.writes as f64);
        let seconds = MEASURED.as_secs_f64();
        subject.counts = true;
        subject.run(MEASURED);
        subject.counts = false;
        orders.push(upstreams, subject.orders as f64 / seconds);
        bytes.push(upstreams, subject.order_bytes as f64 / seconds);
        let span = cpu::median(RUNS, || (), |()| subject.run(MEASURED));
        processor.push(upstreams, micros(span) / seconds);
    }
    vec![body, processor, orders, bytes, claims]
}
