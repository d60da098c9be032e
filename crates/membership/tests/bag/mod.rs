//! Datagrams under way between machines, delivered in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use eelgrassrock_membership::member::{
    Action, Decision, Event, Listed, Machine, Message, Settings,
};
use eelgrassrock_model::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two runs of a machine's timer.
const TICK: Duration = Duration::from_millis(10);

/// Machines of one fleet, and the datagrams between them.
pub(crate) struct Bag {
    pub(crate) now: Instant,
    pub(crate) machines: Vec<Machine>,
    pub(crate) decisions: Vec<(Instant, usize, Decision)>,
    /// Share of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Longest delay of a datagram.
    pub(crate) delay: Duration,
    /// Pairs of groups that can't reach each other are told apart by number.
    pub(crate) part: Vec<u32>,
    /// Machines that neither run nor receive.
    pub(crate) stopped: Vec<bool>,
    count: usize,
    zones: usize,
    random: ChaCha8Rng,
    under_way: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    sent: u64,
}

#[allow(dead_code)]
impl Bag {
    pub(crate) fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut bag = Self {
            now: Instant::from_millis(1_000),
            machines: Vec::new(),
            decisions: Vec::new(),
            loss: 0.0,
            delay: Duration::from_millis(2),
            part: vec![0; count],
            stopped: vec![false; count],
            count,
            zones,
            random: ChaCha8Rng::seed_from_u64(seed),
            under_way: BTreeMap::new(),
            sent: 0,
        };
        bag.machines = (0..count).map(|index| bag.machine(index, 1)).collect();
        for index in 0..count {
            bag.list(index);
        }
        bag
    }

    fn machine(&self, index: usize, incarnation: u64) -> Machine {
        let listed = self.listed(index);
        let settings = Settings::builder(listed.router, listed.data_centre, listed.address)
            .incarnation(incarnation)
            .seed(index as u64)
            .bridges(self.count)
            .build();
        Machine::new(settings)
    }

    fn listed(&self, index: usize) -> Listed {
        Listed {
            router: format!("r{index}").parse().unwrap(),
            data_centre: format!("dc-{}", index % self.zones).parse().unwrap(),
            address: address(index),
            leaving: false,
        }
    }

    /// Gives one machine the list of all routers.
    pub(crate) fn list(&mut self, index: usize) {
        let list = (0..self.count).map(|other| self.listed(other)).collect();
        self.step(index, Event::List(list));
    }

    /// Replaces a machine by a fresh one that knows nobody.
    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.machines[index] = self.machine(index, incarnation);
        self.stopped[index] = false;
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.stopped[index] = true;
    }

    pub(crate) fn step(&mut self, index: usize, event: Event) {
        for action in self.machines[index].step(self.now, event) {
            match action {
                Action::Send { to, message } => self.send(index, to, message),
                Action::Decide(decision) => self.decisions.push((self.now, index, decision)),
                Action::Changed(_) | Action::NewsDiffer { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let most = self.delay.as_micros() as u64;
        let delay = Duration::from_micros(self.random.random_range(0..=most));
        self.sent += 1;
        let to = usize::from(to.port()) - 1;
        self.under_way
            .insert((self.now + delay, self.sent), (from, to, message));
    }

    /// Lets virtual time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for index in 0..self.count {
                let due = self.machines[index].next_wake() <= self.now;
                if due && !self.stopped[index] {
                    self.step(index, Event::Tick);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.under_way.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            if self.part[from] == self.part[to] && !self.stopped[to] {
                self.step(
                    to,
                    Event::Received {
                        from: address(from),
                        message,
                    },
                );
            }
        }
    }

    /// Returns the sorted names of the routers that one machine thinks live.
    pub(crate) fn live(&self, index: usize) -> Vec<String> {
        let live = self.machines[index].live();
        let mut names: Vec<String> = live.iter().map(|live| live.router.to_string()).collect();
        names.sort();
        names
    }

    pub(crate) fn names(&self, indices: impl IntoIterator<Item = usize>) -> Vec<String> {
        let mut names: Vec<String> = indices
            .into_iter()
            .map(|index| format!("r{index}"))
            .collect();
        names.sort();
        names
    }

    pub(crate) fn all(&self) -> Range<usize> {
        0..self.count
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + index as u16))
}
