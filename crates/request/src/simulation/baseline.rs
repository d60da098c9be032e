//! Baseline discipline: every request is sent at once over a connection of the upstream,
//! and failures are retried without a budget.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use eelgrassrock_model::fleet::Repeat;
use eelgrassrock_model::time::Instant;

use super::load::{Fault, Load};
use super::report::Report;
use super::server::{AttemptId, Server, Start};
use super::trace::Trace;

const ATTEMPTS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival(usize),
    Completed(AttemptId),
    TimedOut(AttemptId),
    InjectFault,
    FailOver,
}

struct Running {
    index: usize,
    server: usize,
    attempt: u32,
    since: Instant,
}

struct Baseline<'a> {
    load: &'a Load,
    trace: &'a Trace,
    servers: Vec<Server>,
    event_queue: BinaryHeap<Reverse<(Instant, u64, ScheduledEvent)>>,
    running: HashMap<AttemptId, Running>,
    started: HashMap<AttemptId, Instant>,
    serial: u64,
    replaced: bool,
    report: Report,
}

pub(crate) fn run(load: &Load, trace: &Trace) -> Report {
    let servers = (0..load.upstreams).map(|_| Server::new(load.slots));
    let mut baseline = Baseline {
        load,
        trace,
        servers: servers.collect(),
        event_queue: BinaryHeap::new(),
        running: HashMap::new(),
        started: HashMap::new(),
        serial: 0,
        replaced: false,
        report: Report::new(load),
    };
    baseline.run_to_end();
    baseline.report.finalize();
    baseline.report
}

impl Baseline<'_> {
    fn run_to_end(&mut self) {
        for index in 0..self.trace.requests.len() {
            self.schedule(
                self.trace.requests[index].at,
                ScheduledEvent::Arrival(index),
            );
        }
        let fault_at = Instant::default() + self.load.fault_at();
        if self.load.fault != Fault::None {
            self.schedule(fault_at, ScheduledEvent::InjectFault);
        }
        if matches!(self.load.fault, Fault::Frozen | Fault::Lost) {
            self.schedule(fault_at + self.load.lease, ScheduledEvent::FailOver);
        }
        while let Some(Reverse((now, _, scheduled))) = self.event_queue.pop() {
            self.handle(now, scheduled);
        }
    }

    fn schedule(&mut self, at: Instant, scheduled: ScheduledEvent) {
        self.serial += 1;
        self.event_queue.push(Reverse((at, self.serial, scheduled)));
    }

    fn handle(&mut self, now: Instant, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival(index) => {
                self.report.offered += 1;
                let partner = self.trace.requests[index].partner;
                self.report.partners[partner].offered += 1;
                self.send(now, index, 1);
            }
            ScheduledEvent::Completed(attempt_id) => self.serve(now, attempt_id),
            ScheduledEvent::TimedOut(attempt_id) => self.time_out(now, attempt_id),
            ScheduledEvent::InjectFault => self.inject_fault(now),
            ScheduledEvent::FailOver => self.replaced = true,
        }
    }

    fn inject_fault(&mut self, now: Instant) {
        match self.load.fault {
            Fault::None => {}
            Fault::Slow(factor) => self.servers[0].slowdown = factor,
            Fault::Frozen => self.servers[0].frozen = true,
            Fault::Lost => {
                self.servers[0].lost = true;
                let running = self.running.iter();
                let mut attempt_ids: Vec<AttemptId> = running
                    .filter(|(_, running)| running.server == 0)
                    .map(|(attempt_id, _)| *attempt_id)
                    .collect();
                attempt_ids.sort_unstable();
                for attempt_id in attempt_ids {
                    self.time_out(now, attempt_id);
                }
            }
        }
    }

    fn send(&mut self, now: Instant, index: usize, attempt: u32) {
        let due = self.trace.requests[index];
        let moved = due.upstream == 0 && self.replaced;
        let server = if moved {
            due.failover_upstream
        } else {
            due.upstream
        };
        let connections = self.load.connections as usize;
        if self.servers[server].lost || self.servers[server].open() >= connections {
            return self.retry_or_refuse(now, index, attempt);
        }
        self.report.sent += 1;
        self.serial += 1;
        let attempt_id = self.serial;
        let running = Running {
            index,
            server,
            attempt,
            since: now,
        };
        self.running.insert(attempt_id, running);
        let timeout = self.load.deadline / 2;
        self.schedule(now + timeout, ScheduledEvent::TimedOut(attempt_id));
        let start = self.servers[server].accept(attempt_id, due.service);
        self.start(now, start);
    }

    fn start(&mut self, now: Instant, start: Option<Start>) {
        let Some(start) = start else {
            return;
        };
        self.started.insert(start.attempt_id, now);
        let end = now + self.load.network_delay * 2 + start.service;
        self.schedule(end, ScheduledEvent::Completed(start.attempt_id));
    }

    fn serve(&mut self, now: Instant, attempt_id: AttemptId) {
        let Some(running) = self.running.get(&attempt_id) else {
            return;
        };
        if self.servers[running.server].frozen {
            return;
        }
        let running = self
            .running
            .remove(&attempt_id)
            .expect("the attempt is running");
        let (_, start) = self.servers[running.server].end(attempt_id);
        self.start(now, start);
        self.record_answer(now, attempt_id, &running);
    }

    fn record_answer(&mut self, now: Instant, attempt_id: AttemptId, running: &Running) {
        let due = self.trace.requests[running.index];
        let in_time = now <= due.at + self.load.deadline;
        self.report.in_time += u64::from(in_time);
        self.report.late += u64::from(!in_time);
        let started = self.started[&attempt_id];
        let waits = &mut self.report.partners[due.partner];
        waits.in_time += u64::from(in_time);
        waits.busy += now - started;
        waits.queue_us.push((started - due.at).as_micros() as u64);
        waits.answer_us.push((now - due.at).as_micros() as u64);
    }

    fn time_out(&mut self, now: Instant, attempt_id: AttemptId) {
        let Some(running) = self.running.remove(&attempt_id) else {
            return;
        };
        let start = self.servers[running.server].cancel(attempt_id);
        self.start(now, start);
        if let Some(started) = self.started.remove(&attempt_id) {
            let partner = self.trace.requests[running.index].partner;
            self.report.partners[partner].busy += now - started.max(running.since);
        }
        if self.load.repeat == Repeat::Once {
            return self.record_unknown(now, running.index);
        }
        self.retry_or_refuse(now, running.index, running.attempt);
    }

    fn retry_or_refuse(&mut self, now: Instant, index: usize, attempt: u32) {
        let due = self.trace.requests[index];
        let left = (due.at + self.load.deadline) - now;
        if attempt < ATTEMPTS && left > Duration::ZERO {
            return self.send(now, index, attempt + 1);
        }
        self.report.refused += 1;
        self.report.slowest_refusal = self.report.slowest_refusal.max(now - due.at);
    }

    fn record_unknown(&mut self, now: Instant, index: usize) {
        self.report.unknown += 1;
        let waited = now - self.trace.requests[index].at;
        self.report.slowest_refusal = self.report.slowest_refusal.max(waited);
    }
}
