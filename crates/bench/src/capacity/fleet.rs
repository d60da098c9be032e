//! Machines of one data centre that exchange messages in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_membership::member::{Action, Event, Listed, Machine, Message, Settings, State};
use eelgrassrock_model::time::Instant;

use super::codec::{INCARNATION, datagram_bytes};
use super::names;

const TICK: Duration = Duration::from_millis(10);
const TICKS_PER_SECOND: usize = 100;

/// All routers of one data centre.
pub(crate) struct Fleet {
    machines: Vec<Machine>,
    running: Vec<bool>,
    under_way: VecDeque<(usize, usize, Message)>,
    now: Instant,
    ticks: usize,
    seed: u64,
    bytes: u64,
    /// Bytes that each router sent in the present second.
    second: Vec<u64>,
    worst_second: u64,
}

impl Fleet {
    /// Creates routers that all start at once with the platform's list.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            machines: Vec::new(),
            running: vec![true; count],
            under_way: VecDeque::new(),
            now: Instant::from_millis(1_000),
            ticks: 0,
            seed,
            bytes: 0,
            second: vec![0; count],
            worst_second: 0,
        };
        fleet.machines = (0..count).map(|number| fleet.machine(number)).collect();
        (0..count).for_each(|number| fleet.list(number));
        fleet
    }

    fn machine(&self, number: usize) -> Machine {
        let settings = Settings::builder(
            names::router(number),
            names::data_centre(),
            names::address(number),
        )
        .incarnation(INCARNATION + self.now.as_millis())
        .seed(self.seed + number as u64);
        Machine::new(settings.build())
    }

    fn list(&mut self, number: usize) {
        let listed = |number| Listed {
            router: names::router(number),
            data_centre: names::data_centre(),
            address: names::address(number),
            leaving: false,
        };
        let list = (0..self.running.len()).map(listed).collect();
        self.step(number, Event::List(list));
    }

    /// Replaces a router by a fresh one.
    pub(crate) fn restart(&mut self, number: usize) {
        self.machines[number] = self.machine(number);
        self.list(number);
    }

    pub(crate) fn stop(&mut self, number: usize) {
        self.running[number] = false;
    }

    fn step(&mut self, number: usize, event: Event) {
        for action in self.machines[number].step(self.now, event) {
            if let Action::Send { to, message } = action {
                let to = names::number(to);
                let size = datagram_bytes(number, &message) as u64;
                self.bytes += 2 * size;
                self.second[number] += size;
                self.second[to] += size;
                self.under_way.push_back((number, to, message));
            }
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.ticks += 1;
        for (from, to, message) in std::mem::take(&mut self.under_way) {
            if self.running[to] {
                let from = names::address(from);
                self.step(to, Event::Received { from, message });
            }
        }
        for number in 0..self.machines.len() {
            if self.running[number] && self.machines[number].next_wake() <= self.now {
                self.step(number, Event::Tick);
            }
        }
        if self.ticks.is_multiple_of(TICKS_PER_SECOND) {
            let worst = self.second.iter().max().copied().unwrap_or_default();
            self.worst_second = self.worst_second.max(worst);
            self.second.fill(0);
        }
    }

    /// Runs until `done`, at most for `most`, and returns the time it took.
    pub(crate) fn run_until(&mut self, most: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) && self.now - start < most {
            self.run(TICK);
        }
        self.now - start
    }

    /// Returns the bytes that all routers send and receive in `span`.
    pub(crate) fn bytes_of(&mut self, span: Duration) -> u64 {
        let before = self.bytes;
        self.run(span);
        self.bytes - before
    }

    /// Returns the most bytes that one router sent and received in a second.
    pub(crate) fn worst_second(&self) -> u64 {
        self.worst_second
    }

    /// Returns whether every router knows every other.
    pub(crate) fn agrees(&self) -> bool {
        let count = self.machines.len();
        self.machines
            .iter()
            .all(|machine| machine.live().len() == count)
    }

    /// Returns whether every other router knows that `number` is dead.
    pub(crate) fn all_know_dead(&self, number: usize) -> bool {
        let router = names::router(number);
        let others = self
            .machines
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number);
        others
            .map(|(_, machine)| machine.state(&router))
            .all(|state| state == Some(State::Dead))
    }
}
