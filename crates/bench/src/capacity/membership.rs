//! Failure detection: one machine among peers that all answer, and whole
//! fleets in virtual time.

use std::time::Duration;

use eelgrassrock_membership::member::{
    Action, Body, Event, Machine, Message, Rumour, Settings, State, Tag,
};
use eelgrassrock_model::time::Instant;

use super::codec::{self, INCARNATION};
use super::fleet::Fleet;
use super::{Series, micros, names};
use crate::{cpu, memory};

const MEMBERS: [usize; 4] = [250, 500, 1_000, 2_000];
const FLEETS: [usize; 4] = [25, 50, 100, 200];
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two pings that arrive: each router is pinged about six times a
/// second, whatever the number of routers.
const TICKS_PER_PING: usize = 16;
const MEASURED_SECONDS: usize = 1;
const RUNS: usize = 5;
const SECOND: Duration = Duration::from_secs(1);

/// One machine whose peers all answer.
struct Subject {
    machine: Machine,
    members: usize,
    now: Instant,
    view: u32,
    ticks: usize,
    bytes: usize,
}

impl Subject {
    fn new(members: usize) -> Self {
        let settings = Settings::builder(names::router(0), names::data_centre(), names::address(0))
            .incarnation(INCARNATION)
            .rumour_bytes_per_second(1 << 20);
        let mut subject = Self {
            machine: Machine::new(settings.build()),
            members,
            now: Instant::from_millis(1_000),
            view: 0,
            ticks: 0,
            bytes: 0,
        };
        subject.meet();
        subject.run(members / 2);
        subject.bytes = 0;
        subject
    }

    fn meet(&mut self) {
        let numbers: Vec<usize> = (1..=self.members).collect();
        for chunk in numbers.chunks(16) {
            let rumour = |number: &usize| Rumour {
                member: names::member(*number, INCARNATION),
                state: State::Alive,
            };
            let rumours = chunk.iter().map(rumour).collect();
            self.receive(1, Body::Inform, rumours);
        }
    }

    fn receive(&mut self, from: usize, body: Body, rumours: Vec<Rumour>) {
        let message = Message {
            body,
            view_digest: self.view,
            news_digest: 0,
            rumours,
        };
        let from = names::address(from);
        self.step(Event::Received { from, message });
    }

    fn step(&mut self, event: Event) {
        for action in self.machine.step(self.now, event) {
            let Action::Send { to, message } = action else {
                continue;
            };
            self.view = message.view_digest;
            if let Body::Ping { sequence, .. } = message.body {
                let body = Body::Ack {
                    sequence,
                    by: Tag::from(&names::router(names::number(to))),
                    incarnation: INCARNATION,
                    known: true,
                };
                self.receive(names::number(to), body, Vec::new());
            }
        }
    }

    fn run(&mut self, seconds: usize) {
        let ticks = seconds * (SECOND.as_millis() / TICK.as_millis()) as usize;
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.ticks += 1;
            if self.machine.next_wake() <= self.now {
                self.step(Event::Tick);
            }
            if self.ticks.is_multiple_of(TICKS_PER_PING) {
                let number = 1 + self.ticks / TICKS_PER_PING % self.members;
                let body = codec::ping_body(number, self.ticks as u64);
                self.receive(number, body, Vec::new());
            }
        }
    }
}

fn one_router() -> Vec<Series> {
    let mut processor = Series::new("membership.cpu", "us/s", "member");
    let mut kept = Series::new("membership.memory", "B", "member");
    for members in MEMBERS {
        let (mut subject, bytes) = memory::retained(|| Subject::new(members));
        kept.push(members, bytes as f64);
        let span = cpu::median(RUNS, || (), |()| subject.run(MEASURED_SECONDS));
        processor.push(members, micros(span) / MEASURED_SECONDS as f64);
    }
    vec![processor, kept]
}

fn fleets() -> Vec<Series> {
    let mut quiet = Series::flat("membership.traffic", "B/s in and out", "member");
    let mut restart = Series::flat("membership.restart", "B in and out per router", "member");
    let mut detect = Series::flat("membership.detect", "ms until all know", "member");
    let mut start = Series::new("membership.start", "ms until all agree", "member");
    let mut peak = Series::flat("membership.peak", "B in the worst second", "member");
    for members in FLEETS {
        let mut fleet = Fleet::new(members, 7);
        let took = fleet.run_until(120 * SECOND, Fleet::agrees);
        start.push(members, took.as_millis() as f64);
        fleet.run(5 * SECOND);
        peak.push(members, fleet.worst_second() as f64);
        fleet.run(150 * SECOND);
        let base = fleet.bytes_of(10 * SECOND) as f64 / members as f64 / 10.0;
        quiet.push(members, base);
        fleet.restart(members / 3);
        let bytes = fleet.bytes_of(20 * SECOND) as f64 / members as f64;
        restart.push(members, bytes - 20.0 * base);
        fleet.stop(members / 2);
        let took = fleet.run_until(10 * SECOND, |fleet| fleet.all_know_dead(members / 2));
        detect.push(members, took.as_millis() as f64);
    }
    vec![quiet, restart, detect, start, peak]
}

pub(crate) fn measure() -> Vec<Series> {
    let mut series = one_router();
    series.extend(fleets());
    series
}
