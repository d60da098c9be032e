//! The baseline: every request is sent at once over a connection of the
//! upstream, and failures are retried without a budget.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use eelgrassrock_model::fleet::Repeat;
use eelgrassrock_model::time::Instant;

use super::load::{Fault, Load};
use super::report::Report;
use super::server::{Server, Start, Ticket};
use super::trace::Trace;

const ATTEMPTS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Due(usize),
    Served(Ticket),
    TimedOut(Ticket),
    Break,
    Replace,
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
    agenda: BinaryHeap<Reverse<(Instant, u64, Happening)>>,
    running: HashMap<Ticket, Running>,
    started: HashMap<Ticket, Instant>,
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
        agenda: BinaryHeap::new(),
        running: HashMap::new(),
        started: HashMap::new(),
        serial: 0,
        replaced: false,
        report: Report::new(load),
    };
    baseline.play();
    baseline.report.conclude();
    baseline.report
}

impl Baseline<'_> {
    fn play(&mut self) {
        for index in 0..self.trace.due.len() {
            self.schedule(self.trace.due[index].at, Happening::Due(index));
        }
        let fault_at = Instant::default() + self.load.fault_at();
        if self.load.fault != Fault::None {
            self.schedule(fault_at, Happening::Break);
        }
        if matches!(self.load.fault, Fault::Frozen | Fault::Lost) {
            self.schedule(fault_at + self.load.lease, Happening::Replace);
        }
        while let Some(Reverse((now, _, happening))) = self.agenda.pop() {
            self.happen(now, happening);
        }
    }

    fn schedule(&mut self, at: Instant, happening: Happening) {
        self.serial += 1;
        self.agenda.push(Reverse((at, self.serial, happening)));
    }

    fn happen(&mut self, now: Instant, happening: Happening) {
        match happening {
            Happening::Due(index) => {
                self.report.offered += 1;
                let customer = self.trace.due[index].customer;
                self.report.partners[customer].offered += 1;
                self.send(now, index, 1);
            }
            Happening::Served(ticket) => self.serve(now, ticket),
            Happening::TimedOut(ticket) => self.time_out(now, ticket),
            Happening::Break => self.break_first(now),
            Happening::Replace => self.replaced = true,
        }
    }

    fn break_first(&mut self, now: Instant) {
        match self.load.fault {
            Fault::None => {}
            Fault::Slow(factor) => self.servers[0].slowdown = factor,
            Fault::Frozen => self.servers[0].frozen = true,
            Fault::Lost => {
                self.servers[0].lost = true;
                let running = self.running.iter();
                let mut tickets: Vec<Ticket> = running
                    .filter(|(_, running)| running.server == 0)
                    .map(|(ticket, _)| *ticket)
                    .collect();
                tickets.sort_unstable();
                for ticket in tickets {
                    self.time_out(now, ticket);
                }
            }
        }
    }

    fn send(&mut self, now: Instant, index: usize, attempt: u32) {
        let due = self.trace.due[index];
        let moved = due.upstream == 0 && self.replaced;
        let server = if moved { due.substitute } else { due.upstream };
        let connections = self.load.connections as usize;
        if self.servers[server].lost || self.servers[server].open() >= connections {
            return self.give_up(now, index, attempt);
        }
        self.report.sent += 1;
        self.serial += 1;
        let ticket = self.serial;
        let running = Running {
            index,
            server,
            attempt,
            since: now,
        };
        self.running.insert(ticket, running);
        let timeout = self.load.deadline / 2;
        self.schedule(now + timeout, Happening::TimedOut(ticket));
        let start = self.servers[server].accept(ticket, due.service);
        self.start(now, start);
    }

    fn start(&mut self, now: Instant, start: Option<Start>) {
        let Some(start) = start else {
            return;
        };
        self.started.insert(start.ticket, now);
        let end = now + self.load.hop * 2 + start.service;
        self.schedule(end, Happening::Served(start.ticket));
    }

    fn serve(&mut self, now: Instant, ticket: Ticket) {
        let Some(running) = self.running.get(&ticket) else {
            return;
        };
        if self.servers[running.server].frozen {
            return;
        }
        let running = self.running.remove(&ticket).expect("it is running");
        let (_, start) = self.servers[running.server].end(ticket);
        self.start(now, start);
        self.note_answer(now, ticket, &running);
    }

    fn note_answer(&mut self, now: Instant, ticket: Ticket, running: &Running) {
        let due = self.trace.due[running.index];
        let in_time = now <= due.at + self.load.deadline;
        self.report.good += u64::from(in_time);
        self.report.late += u64::from(!in_time);
        let started = self.started[&ticket];
        let waits = &mut self.report.partners[due.customer];
        waits.good += u64::from(in_time);
        waits.busy += now - started;
        waits.queue_us.push((started - due.at).as_micros() as u64);
        waits.answer_us.push((now - due.at).as_micros() as u64);
    }

    fn time_out(&mut self, now: Instant, ticket: Ticket) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let start = self.servers[running.server].cancel(ticket);
        self.start(now, start);
        if let Some(started) = self.started.remove(&ticket) {
            let customer = self.trace.due[running.index].customer;
            self.report.partners[customer].busy += now - started.max(running.since);
        }
        if self.load.repeat == Repeat::Once {
            return self.conclude_unknown(now, running.index);
        }
        self.give_up(now, running.index, running.attempt);
    }

    fn give_up(&mut self, now: Instant, index: usize, attempt: u32) {
        let due = self.trace.due[index];
        let left = (due.at + self.load.deadline) - now;
        if attempt < ATTEMPTS && left > Duration::ZERO {
            return self.send(now, index, attempt + 1);
        }
        self.report.refused += 1;
        self.report.slowest_refusal = self.report.slowest_refusal.max(now - due.at);
    }

    fn conclude_unknown(&mut self, now: Instant, index: usize) {
        self.report.unknown += 1;
        let waited = now - self.trace.due[index].at;
        self.report.slowest_refusal = self.report.slowest_refusal.max(waited);
    }
}
