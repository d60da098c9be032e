//! Drives state machines through a trace in virtual time.

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
use super::server::{AttemptId, Server, Start};
use super::table::Table;
use super::trace::Trace;
use crate::idempotency::{Key, Token};
use crate::{Action, Answer, Arrival, Event, Grant, Id, Machine, Outcome, Stored, Verdict};

const TABLE_ROUND_TRIP: Duration = Duration::from_millis(3);
const PROBE_TIME: Duration = Duration::from_millis(6);
/// Wait above which a refusal counts as late.
const LATE_REFUSAL: Duration = Duration::from_millis(50);
/// Time after the end of the trace in which the last answers arrive.
const DRAIN_TIME: Duration = Duration::from_secs(60);

/// Event of the simulation.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    Arrival(usize),
    Completed(AttemptId),
    Deliver(usize, Box<Event>),
    Wake(usize),
    InjectFault,
    LapseGrant,
    FailOver,
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
    event_queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled_events: HashMap<u64, ScheduledEvent>,
    serial: u64,
    running: HashMap<AttemptId, Running>,
    attempt_ids: HashMap<(usize, Id), AttemptId>,
    started: HashMap<usize, Instant>,
    wakes: Vec<Option<Instant>>,
    table: Table,
    replaced: bool,
    report: Report,
}

pub(crate) fn run(load: &Load, trace: &Trace, routers: u32) -> Report {
    let mut driver = Driver::new(load, trace, routers);
    driver.prepare();
    driver.run_to_end();
    driver.report.writes = driver.table.writes;
    driver.report.finalize();
    driver.report
}

impl Driver<'_> {
    fn schedule(&mut self, at: Instant, scheduled: ScheduledEvent) {
        self.serial += 1;
        self.event_queue.push(Reverse((at, self.serial)));
        self.scheduled_events.insert(self.serial, scheduled);
    }

    fn run_to_end(&mut self) {
        let end = Instant::default() + self.load.duration + DRAIN_TIME;
        while let Some(Reverse((now, serial))) = self.event_queue.pop() {
            if now > end {
                return;
            }
            let scheduled = self
                .scheduled_events
                .remove(&serial)
                .expect("the event is scheduled");
            self.handle(now, scheduled);
        }
    }

    fn handle(&mut self, now: Instant, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival(index) => {
                self.report.offered += 1;
                let partner = self.trace.requests[index].partner;
                self.report.partners[partner].offered += 1;
                self.arrive(now, index, 0, None);
            }
            ScheduledEvent::Completed(attempt_id) => self.serve(now, attempt_id),
            ScheduledEvent::Deliver(router, event) => self.step(now, router, *event),
            ScheduledEvent::Wake(router) if self.wakes[router] == Some(now) => {
                self.wakes[router] = None;
                self.step(now, router, Event::Tick);
            }
            ScheduledEvent::Wake(_) => {}
            ScheduledEvent::InjectFault => self.inject_fault(now),
            ScheduledEvent::LapseGrant => self.set_grant(now, Grant::Lapsed),
            ScheduledEvent::FailOver => {
                self.replaced = true;
                self.set_grant(now, Grant::Released);
            }
        }
    }

    fn set_grant(&mut self, now: Instant, grant: Grant) {
        for router in 0..self.machines.len() {
            let upstream = self.names[0].clone();
            self.step(now, router, Event::GrantChanged { upstream, grant });
        }
    }

    fn inject_fault(&mut self, now: Instant) {
        match self.load.fault {
            Fault::None => {}
            Fault::Slow(factor) => self.servers[0].slowdown = factor,
            Fault::Frozen => self.servers[0].frozen = true,
            Fault::Lost => {
                self.servers[0].lost = true;
                let mut attempt_ids: Vec<AttemptId> = self
                    .running
                    .iter()
                    .filter(|(_, running)| running.server == 0)
                    .map(|(attempt_id, _)| *attempt_id)
                    .collect();
                attempt_ids.sort_unstable();
                for attempt_id in attempt_ids {
                    self.end_attempt(now, attempt_id, Answer::Broken);
                }
            }
        }
    }

    fn owner(&self, index: usize) -> usize {
        let due = self.trace.requests[index];
        if due.upstream == 0 && self.replaced {
            due.failover_upstream
        } else {
            due.upstream
        }
    }

    fn stream(&self, index: usize) -> usize {
        let due = self.trace.requests[index];
        due.partner * self.servers.len() + due.upstream
    }

    fn arrive(&mut self, now: Instant, index: usize, attempts: u32, claim: Option<table::Check>) {
        let due = self.trace.requests[index];
        let router = index % self.machines.len();
        let upstream = self.names[self.owner(index)].clone();
        let once = self.load.repeat == Repeat::Once;
        let arrival = Arrival {
            request: Id(index as u64),
            upstream,
            shard: Shard(due.upstream as u32),
            partner: self.partners[due.partner].clone(),
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
        self.record_admission(now, arrived, &actions);
        for action in actions {
            self.act(now, router, action);
        }
        if let Some(wake) = self.machines[router].next_wake() {
            self.schedule(
                wake.max(now + Duration::from_micros(1)),
                ScheduledEvent::Wake(router),
            );
        }
    }

    fn record_admission(&mut self, now: Instant, arrived: Option<Id>, actions: &[Action]) {
        let Some(id) = arrived else {
            return;
        };
        let index = id.0 as usize;
        let stream = self.stream(index);
        let refused =
            |action: &Action| matches!(action, Action::Finish { request, .. } if *request == id);
        if actions.iter().any(refused) {
            self.report.record_refused(stream, now);
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
        let attempt_id = self.serial;
        let running = Running {
            index,
            router,
            server,
            attempt,
            since: now,
        };
        self.running.insert(attempt_id, running);
        self.attempt_ids.insert((router, request), attempt_id);
        if self.servers[server].lost {
            let answer = Answer::NotSent;
            self.running.remove(&attempt_id);
            let event = Event::Answered {
                request,
                attempt,
                answer,
            };
            self.schedule(
                now + self.load.network_delay * 2,
                ScheduledEvent::Deliver(router, Box::new(event)),
            );
            return;
        }
        self.step(now, router, Event::Began { request, attempt });
        self.started.insert(index, now);
        let service = self.trace.requests[index].service;
        let start = self.servers[server].accept(attempt_id, service);
        self.start(now, start);
    }

    fn start(&mut self, now: Instant, start: Option<Start>) {
        if let Some(start) = start {
            let end = now + self.load.network_delay * 2 + start.service;
            self.schedule(end, ScheduledEvent::Completed(start.attempt_id));
        }
    }

    fn serve(&mut self, now: Instant, attempt_id: AttemptId) {
        let Some(server) = self.running.get(&attempt_id).map(|running| running.server) else {
            return;
        };
        if self.servers[server].frozen {
            return;
        }
        let stored = Stored {
            status: 200,
            content: None,
        };
        self.end_attempt(now, attempt_id, Answer::Done(stored));
    }

    fn end_attempt(&mut self, now: Instant, attempt_id: AttemptId, answer: Answer) {
        let running = self
            .running
            .remove(&attempt_id)
            .expect("the attempt is running");
        let (_, start) = self.servers[running.server].end(attempt_id);
        self.start(now, start);
        self.record_busy_time(now, &running);
        let event = Event::Answered {
            request: Id(running.index as u64),
            attempt: running.attempt,
            answer,
        };
        self.step(now, running.router, event);
    }

    fn record_busy_time(&mut self, now: Instant, running: &Running) {
        let partner = self.trace.requests[running.index].partner;
        self.report.partners[partner].busy += now - running.since;
    }

    fn cancel(&mut self, now: Instant, router: usize, request: Id) {
        let Some(attempt_id) = self.attempt_ids.remove(&(router, request)) else {
            return;
        };
        let Some(running) = self.running.remove(&attempt_id) else {
            return;
        };
        self.record_busy_time(now, &running);
        let start = self.servers[running.server].cancel(attempt_id);
        self.start(now, start);
    }

    fn finish(&mut self, now: Instant, request: Id, verdict: Verdict) {
        let index = request.0 as usize;
        let due = self.trace.requests[index];
        if let Some(retry_after) = verdict.retry_after {
            let stream = self.stream(index);
            self.report.record_retry_after(stream, now, retry_after);
        }
        match verdict.outcome {
            Outcome::Done => return self.record_answer(now, index),
            Outcome::NotRun => {
                self.report.refused += 1;
                self.report.refused_late += u64::from(now - due.at > LATE_REFUSAL);
            }
            Outcome::Unknown => self.report.unknown += 1,
        }
        self.report.slowest_refusal = self.report.slowest_refusal.max(now - due.at);
    }

    fn record_answer(&mut self, now: Instant, index: usize) {
        let due = self.trace.requests[index];
        let in_time = now <= due.at + self.load.deadline;
        self.report.in_time += u64::from(in_time);
        self.report.late += u64::from(!in_time);
        let waits = &mut self.report.partners[due.partner];
        waits.in_time += u64::from(in_time);
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
            ScheduledEvent::Deliver(router, Box::new(event)),
        );
    }

    fn read(&mut self, now: Instant, router: usize, key: Arc<str>) {
        let row = Ok(self.table.read(&key).cloned());
        let event = Event::Read { key, row };
        self.schedule(
            now + TABLE_ROUND_TRIP,
            ScheduledEvent::Deliver(router, Box::new(event)),
        );
    }

    fn probe(&mut self, now: Instant, router: usize, upstream: eelgrassrock_model::Upstream) {
        let server = self.names.iter().position(|name| *name == upstream);
        let server = &self.servers[server.expect("the upstream is known")];
        let well = !server.frozen && !server.lost;
        let event = Event::Probed { upstream, well };
        self.schedule(
            now + PROBE_TIME,
            ScheduledEvent::Deliver(router, Box::new(event)),
        );
    }
}

fn token(index: usize, carried: Option<table::Check>) -> Token {
    Token {
        key: Key::try_from(format!("key-{index}").as_str()).expect("a valid key"),
        body: Digest::from_bytes([0; 32]),
        carried,
    }
}
