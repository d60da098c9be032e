//! Simulation of all routers of one data centre, which exchange membership messages on a
//! virtual clock.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassrock_membership::member::{Action, Event, Listed, Machine, Message, Settings, State};
use eelgrassrock_model::time::Instant;

use super::codec::{INCARNATION, datagram_bytes};
use super::names;

const TICK: Duration = Duration::from_millis(10);
const TICKS_PER_SECOND: usize = 100;

/// All routers of one data centre and the messages between them.
pub(crate) struct Cluster {
    machines: Vec<Machine>,
    running: Vec<bool>,
    /// Sender, receiver and content of the messages that arrive at the next tick.
    in_flight: VecDeque<(usize, usize, Message)>,
    now: Instant,
    ticks: usize,
    seed: u64,
    /// Bytes that all routers sent and received.
    total_bytes: u64,
    /// Bytes that each router sent and received in the current second.
    second_bytes: Vec<u64>,
    peak_second_bytes: u64,
}

impl Cluster {
    /// Creates routers that all start at the same time with the platform's list of routers.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            machines: Vec::new(),
            running: vec![true; count],
            in_flight: VecDeque::new(),
            now: Instant::from_millis(1_000),
            ticks: 0,
            seed,
            total_bytes: 0,
            second_bytes: vec![0; count],
            peak_second_bytes: 0,
        };
        cluster.machines = (0..count).map(|number| cluster.machine(number)).collect();
        (0..count).for_each(|number| cluster.deliver_list(number));
        cluster
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

    fn deliver_list(&mut self, number: usize) {
        let listed = |number| Listed {
            router: names::router(number),
            data_centre: names::data_centre(),
            address: names::address(number),
            leaving: false,
        };
        let list = (0..self.running.len()).map(listed).collect();
        self.step(number, Event::List(list));
    }

    /// Restarts a router, which loses its state and gets a later incarnation.
    pub(crate) fn restart(&mut self, number: usize) {
        self.machines[number] = self.machine(number);
        self.deliver_list(number);
    }

    pub(crate) fn stop(&mut self, number: usize) {
        self.running[number] = false;
    }

    fn step(&mut self, number: usize, event: Event) {
        for action in self.machines[number].step(self.now, event) {
            if let Action::Send { to, message } = action {
                let to = names::number(to);
                let size = datagram_bytes(number, &message) as u64;
                self.total_bytes += 2 * size;
                self.second_bytes[number] += size;
                self.second_bytes[to] += size;
                self.in_flight.push_back((number, to, message));
            }
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.ticks += 1;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
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
            let peak = self.second_bytes.iter().max().copied().unwrap_or_default();
            self.peak_second_bytes = self.peak_second_bytes.max(peak);
            self.second_bytes.fill(0);
        }
    }

    /// Runs until `done` returns true or `timeout` has passed, and returns the virtual time that
    /// elapsed.
    pub(crate) fn run_until(
        &mut self,
        timeout: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !done(self) && self.now - start < timeout {
            self.run(TICK);
        }
        self.now - start
    }

    /// Runs for `duration` and returns the bytes that all routers send and receive meanwhile.
    pub(crate) fn bytes_during(&mut self, duration: Duration) -> u64 {
        let before = self.total_bytes;
        self.run(duration);
        self.total_bytes - before
    }

    /// Returns the largest number of bytes that one router sent and received in one second.
    pub(crate) fn peak_second_bytes(&self) -> u64 {
        self.peak_second_bytes
    }

    /// Returns whether every router sees all routers as live.
    pub(crate) fn has_converged(&self) -> bool {
        let count = self.machines.len();
        self.machines
            .iter()
            .all(|machine| machine.live().len() == count)
    }

    /// Returns whether every other router has declared the router `number` dead.
    pub(crate) fn is_dead_to_all(&self, number: usize) -> bool {
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
