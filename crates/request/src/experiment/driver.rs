//! Drives machines through a trace in virtual time.

mod setup;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::fleet::{Class, Repeat};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, table};

use super::load::{Fault, Load};
use super::report::Report;
use super::server::{Server, Start, Ticket};
use super::table::Table;
use super::trace::Trace;
use crate::idempotency::{Key, Token};
use crate::{Action, Answer, Arrival, Event, Grant, Id, Machine, Outcome, Stored, Verdict};

const TABLE_ROUND_TRIP: Duration = Duration::from_millis(3);
const PROBE_TIME: Duration = Duration::from_millis(6);
/// Wait after which a refusal counts as late.
const LATE: Duration = Duration::from_millis(50);
/// Time after the end of the trace in which the last answers come in.
const TAIL: Duration = Duration::from_secs(60);

/// What happens next in a run.
#[derive(Clone, Debug)]
enum Happening {
    Due(usize),
    Served(Ticket),
    Tell(usize, Box<Event>),
    Wake(usize),
    Break,
    Lapse,
    Replace,
}

struct Running {
    index: usize,
    router: usize,
    server: usize,
    attempt: u32,
    since: Instant,
}

struct Driver<'a> {
    load: &'a Load,
    trace: &'a Trace,
    machines: Vec<Machine>,
    servers: Vec<Server>,
    names: Vec<eelgrassrock_model::Upstream>,
    partners: Vec<eelgrassrock_model::Partner>,
    class: Arc<Class>,
    agenda: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: HashMap<u64, Happening>,
    serial: u64,
    running: HashMap<Ticket, Running>,
    tickets: HashMap<(usize, Id), Ticket>,
    started: HashMap<usize, Instant>,
    wakes: Vec<Option<Instant>>,
    table: Table,
    replaced: bool,
    report: Report,
}

pub(crate) fn run(load: &Load, trace: &Trace, routers: u32) -> Report {
    let mut driver = Driver::new(load, trace, routers);
    driver.prepare();
    driver.play();
    driver.report.writes = driver.table.writes;
    driver.report.conclude();
    driver.report
}

impl Driver<'_> {
    fn schedule(&mut self, at: Instant, happening: Happening) {
        self.serial += 1;
        self.agenda.push(Reverse((at, self.serial)));
        self.happenings.insert(self.serial, happening);
    }

    fn play(&mut self) {
        let end = Instant::default() + self.load.length + TAIL;
        while let Some(Reverse((now, serial))) = self.agenda.pop() {
            if now > end {
                return;
            }
            let happening = self.happenings.remove(&serial).expect("it is scheduled");
            self.happen(now, happening);
        }
    }

    fn happen(&mut self, now: Instant, happening: Happening) {
        match happening {
            Happening::Due(index) => {
                self.report.offered += 1;
                let customer = self.trace.due[index].customer;
                self.report.partners[customer].offered += 1;
                self.arrive(now, index, 0, None);
            }
            Happening::Served(ticket) => self.serve(now, ticket),
            Happening::Tell(router, event) => self.step(now, router, *event),
            Happening::Wake(router) if self.wakes[router] == Some(now) => {
                self.wakes[router] = None;
                self.step(now, router, Event::Tick);
            }
            Happening::Wake(_) => {}
            Happening::Break => self.break_first(now),
            Happening::Lapse => self.tell_all(now, Grant::Lapsed),
            Happening::Replace => {
                self.replaced = true;
                self.tell_all(now, Grant::Released);
            }
        }
    }

    fn tell_all(&mut self, now: Instant, grant: Grant) {
        for router in 0..self.machines.len() {
            let upstream = self.names[0].clone();
            self.step(now, router, Event::Serving { upstream, grant });
        }
    }

    fn break_first(&mut self, now: Instant) {
        match self.load.fault {
            Fault::None => {}
            Fault::Slow(factor) => self.servers[0].slowdown = factor,
            Fault::Frozen => self.servers[0].frozen = true,
            Fault::Lost => {
                self.servers[0].lost = true;
                let mut tickets: Vec<Ticket> = self
                    .running
                    .iter()
                    .filter(|(_, running)| running.server == 0)
                    .map(|(ticket, _)| *ticket)
                    .collect();
                tickets.sort_unstable();
                for ticket in tickets {
                    self.fail(now, ticket, Answer::Broken);
                }
            }
        }
    }

    fn owner(&self, index: usize) -> usize {
        let due = self.trace.due[index];
        if due.upstream == 0 && self.replaced {
            due.substitute
        } else {
            due.upstream
        }
    }

    fn stream(&self, index: usize) -> usize {
        let due = self.trace.due[index];
        due.customer * self.servers.len() + due.upstream
    }

    fn arrive(&mut self, now: Instant, index: usize, attempts: u32, claim: Option<table::Check>) {
        let due = self.trace.due[index];
        let router = index % self.machines.len();
        let upstream = self.names[self.owner(index)].clone();
        let once = self.load.repeat == Repeat::Once;
        let arrival = Arrival {
            request: Id(index as u64),
            upstream,
            shard: Shard(due.upstream as u32),
            partner: self.partners[due.customer].clone(),
            class: self.class.clone(),
            deadline: due.at + self.load.deadline,
            attempts,
            bytes: 1_000,
            idempotency: once.then(|| token(index, claim)),
        };
        self.step(now, router, Event::Arrive(arrival));
    }

    fn step(&mut self, now: Instant, router: usize, event: Event) {
        let arrived = match &event {
            Event::Arrive(arrival) => Some(arrival.request),
            _ => None,
        };
        let actions = self.machines[router].step(now, event);
        self.note_admission(now, arrived, &actions);
        for action in actions {
            self.act(now, router, action);
        }
        if let Some(wake) = self.machines[router].next_wake() {
            self.schedule(
                wake.max(now + Duration::from_micros(1)),
                Happening::Wake(router),
            );
        }
    }

    fn note_admission(&mut self, now: Instant, arrived: Option<Id>, actions: &[Action]) {
        let Some(id) = arrived else {
            return;
        };
        let index = id.0 as usize;
        let stream = self.stream(index);
        let refused =
            |action: &Action| matches!(action, Action::Finish { request, .. } if *request == id);
        if actions.iter().any(refused) {
            self.report.refused_on_arrival(stream, now);
        } else {
            self.report.admitted(stream, now);
        }
    }

    fn act(&mut self, now: Instant, router: usize, action: Action) {
        match action {
            Action::Send {
                request, attempt, ..
            } => self.send(now, router, request, attempt),
            Action::Cancel { request } => self.cancel(now, router, request),
            Action::Finish { request, verdict } => self.finish(now, request, verdict),
            Action::Redirect {
                request,
                attempts,
                claim,
            } => self.arrive(now, request.0 as usize, attempts, claim),
            Action::Write(transaction) => self.write(now, router, &transaction),
            Action::Read { key } => self.read(now, router, key),
            Action::Probe { upstream } => self.probe(now, router, upstream),
            Action::Scan { .. }
            | Action::Replay { .. }
            | Action::Suspect { .. }
            | Action::Decide(_) => {}
            Action::Drained => {}
        }
    }

    fn send(&mut self, now: Instant, router: usize, request: Id, attempt: u32) {
        let index = request.0 as usize;
        let server = self.owner(index);
        self.report.sent += 1;
        self.serial += 1;
        let ticket = self.serial;
        let running = Running {
            index,
            router,
            server,
            attempt,
            since: now,
        };
        self.running.insert(ticket, running);
        self.tickets.insert((router, request), ticket);
        if self.servers[server].lost {
            let answer = Answer::NotSent;
            self.running.remove(&ticket);
            let event = Event::Answered {
                request,
                attempt,
                answer,
            };
            self.schedule(
                now + self.load.hop * 2,
                Happening::Tell(router, Box::new(event)),
            );
            return;
        }
        self.step(now, router, Event::Began { request, attempt });
        self.started.insert(index, now);
        let service = self.trace.due[index].service;
        let start = self.servers[server].accept(ticket, service);
        self.start(now, start);
    }

    fn start(&mut self, now: Instant, start: Option<Start>) {
        if let Some(start) = start {
            let end = now + self.load.hop * 2 + start.service;
            self.schedule(end, Happening::Served(start.ticket));
        }
    }

    fn serve(&mut self, now: Instant, ticket: Ticket) {
        let Some(server) = self.running.get(&ticket).map(|running| running.server) else {
            return;
        };
        if self.servers[server].frozen {
            return;
        }
        let stored = Stored {
            status: 200,
            content: None,
        };
        self.fail(now, ticket, Answer::Done(stored));
    }

    fn fail(&mut self, now: Instant, ticket: Ticket, answer: Answer) {
        let running = self.running.remove(&ticket).expect("it is running");
        let (_, start) = self.servers[running.server].end(ticket);
        self.start(now, start);
        self.charge(now, &running);
        let event = Event::Answered {
            request: Id(running.index as u64),
            attempt: running.attempt,
            answer,
        };
        self.step(now, running.router, event);
    }

    fn charge(&mut self, now: Instant, running: &Running) {
        let customer = self.trace.due[running.index].customer;
        self.report.partners[customer].busy += now - running.since;
    }

    fn cancel(&mut self, now: Instant, router: usize, request: Id) {
        let Some(ticket) = self.tickets.remove(&(router, request)) else {
            return;
        };
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        self.charge(now, &running);
        let start = self.servers[running.server].cancel(ticket);
        self.start(now, start);
    }

    fn finish(&mut self, now: Instant, request: Id, verdict: Verdict) {
        let index = request.0 as usize;
        let due = self.trace.due[index];
        if let Some(told) = verdict.retry_after {
            let stream = self.stream(index);
            self.report.told_to_retry(stream, now, told);
        }
        match verdict.outcome {
            Outcome::Done => return self.note_answer(now, index),
            Outcome::NotRun => {
                self.report.refused += 1;
                self.report.refused_late += u64::from(now - due.at > LATE);
            }
            Outcome::Unknown => self.report.unknown += 1,
        }
        self.report.slowest_refusal = self.report.slowest_refusal.max(now - due.at);
    }

    fn note_answer(&mut self, now: Instant, index: usize) {
        let due = self.trace.due[index];
        let in_time = now <= due.at + self.load.deadline;
        self.report.good += u64::from(in_time);
        self.report.late += u64::from(!in_time);
        let waits = &mut self.report.partners[due.customer];
        waits.good += u64::from(in_time);
        let started = self.started[&index];
        waits.queue_us.push((started - due.at).as_micros() as u64);
        waits.answer_us.push((now - due.at).as_micros() as u64);
    }

    fn write(&mut self, now: Instant, router: usize, transaction: &table::Transaction) {
        let outcome = self.table.apply(transaction);
        let operation = transaction.operation.clone();
        let event = Event::Written { operation, outcome };
        self.schedule(
            now + TABLE_ROUND_TRIP,
            Happening::Tell(router, Box::new(event)),
        );
    }

    fn read(&mut self, now: Instant, router: usize, key: Arc<str>) {
        let row = Ok(self.table.read(&key).cloned());
        let event = Event::Read { key, row };
        self.schedule(
            now + TABLE_ROUND_TRIP,
            Happening::Tell(router, Box::new(event)),
        );
    }

    fn probe(&mut self, now: Instant, router: usize, upstream: eelgrassrock_model::Upstream) {
        let server = self.names.iter().position(|name| *name == upstream);
        let server = &self.servers[server.expect("the upstream is known")];
        let well = !server.frozen && !server.lost;
        let event = Event::Probed { upstream, well };
        self.schedule(now + PROBE_TIME, Happening::Tell(router, Box::new(event)));
    }
}

fn token(index: usize, carried: Option<table::Check>) -> Token {
    Token {
        key: Key::try_from(format!("key-{index}").as_str()).expect("a valid key"),
        body: Digest::from_bytes([0; 32]),
        carried,
    }
}
