//! Messages under way between routers, delivered in virtual time.
//!
//! Each node glues the three machines together as a daemon does. The bag loses,
//! delays and duplicates messages, and keeps its own small model of what a
//! router has been told, against which every adoption is checked.
#![allow(dead_code)]

pub(crate) mod node;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_membership::adoption::{self, Contents, Reading, Record};
use eelgrassrock_membership::member::{self, Decision, Listed, State};
use eelgrassrock_membership::spread;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use node::Node;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Resolution of the timers.
const TICK: Duration = Duration::from_millis(10);

/// Message between two routers, or the platform's answer to one.
#[derive(Clone, Debug)]
pub(crate) enum Packet {
    Member(member::Message),
    Spread(spread::Message),
    Ask,
    Answer(Option<Record>),
    Fetch(Digest),
    Contents(Digest, Contents),
    Table(Reading),
    Checked(Digest, adoption::Verdict),
}

impl Packet {
    fn is_between_routers(&self) -> bool {
        !matches!(self, Self::Table(_) | Self::Checked(..))
    }
}

/// Routers of one fleet, and the messages between them.
pub(crate) struct Bag {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) decisions: Vec<(Instant, usize, Decision)>,
    /// Share of the messages between routers that are lost.
    pub(crate) loss: f64,
    /// Share of them that arrive twice.
    pub(crate) duplicates: f64,
    /// Longest delay of a message.
    pub(crate) delay: Duration,
    /// Part of the network that each router is in.
    pub(crate) part: Vec<u32>,
    /// Routers that neither run nor receive.
    pub(crate) stopped: Vec<bool>,
    pub(crate) row: Option<Record>,
    pub(crate) store_up: bool,
    /// Digests whose check refuses them.
    pub(crate) refused: BTreeSet<Digest>,
    pub(crate) reads: u64,
    pub(crate) object_reads: u64,
    /// Largest datagram of the failure detection, in bytes.
    pub(crate) largest: usize,
    /// Bytes of datagrams that each router sent for the failure detection.
    pub(crate) bytes: Vec<u64>,
    zones: usize,
    random: ChaCha8Rng,
    under_way: BTreeMap<(Instant, u64), (usize, usize, Packet)>,
    sent: u64,
}

impl Bag {
    /// Creates a fleet of `count` routers in `zones` data centres, each with
    /// the list of all.
    pub(crate) fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut bag = Self {
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            decisions: Vec::new(),
            loss: 0.0,
            duplicates: 0.0,
            delay: Duration::from_millis(2),
            part: vec![0; count],
            stopped: vec![false; count],
            row: None,
            store_up: true,
            refused: BTreeSet::new(),
            reads: 0,
            object_reads: 0,
            largest: 0,
            bytes: vec![0; count],
            zones,
            random: ChaCha8Rng::seed_from_u64(seed),
            under_way: BTreeMap::new(),
            sent: 0,
        };
        bag.nodes = (0..count)
            .map(|index| Node::new(&bag.listed(index), 1, seed))
            .collect();
        (0..count).for_each(|index| bag.list(index));
        bag
    }

    pub(crate) fn listed(&self, index: usize) -> Listed {
        Listed {
            router: format!("r{index}").parse().unwrap(),
            data_centre: format!("dc-{}", index % self.zones).parse().unwrap(),
            address: address(index),
            leaving: false,
        }
    }

    /// Gives one router the platform's list.
    pub(crate) fn list(&mut self, index: usize) {
        let list = (0..self.part.len())
            .map(|other| self.listed(other))
            .collect();
        self.member(index, member::Event::List(list));
    }

    /// Replaces a router by a fresh one with a higher incarnation.
    pub(crate) fn restart(&mut self, index: usize) {
        self.nodes[index] = self.fresh(index);
        self.stopped[index] = false;
        self.list(index);
    }

    /// Creates a router that knows nobody, with a higher incarnation.
    pub(crate) fn fresh(&mut self, index: usize) -> Node {
        let seed = self.random.random();
        Node::new(&self.listed(index), self.now.as_millis(), seed)
    }

    /// Commits a bundle to the table.
    pub(crate) fn roll(&mut self, version: u64) {
        self.row = Some(record(version));
    }

    /// Lets virtual time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                if !self.stopped[index] {
                    self.tick(index);
                }
            }
        }
    }

    /// Runs until `done`, and returns the time that it took, `None` if it took
    /// longer than `most`.
    pub(crate) fn run_until(
        &mut self,
        most: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(TICK);
        }
        Some(self.now - start)
    }

    fn tick(&mut self, index: usize) {
        if self.nodes[index].member.next_wake() <= self.now {
            self.member(index, member::Event::Tick);
        }
        let wake = self.nodes[index].adoption.next_wake();
        if wake.is_some_and(|wake| wake <= self.now) {
            self.adoption(index, adoption::Event::Tick);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.under_way.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, packet) = entry.remove();
            if self.part[from] == self.part[to] && !self.stopped[to] {
                self.receive(from, to, packet);
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        self.post(from, usize::from(to.port()) - 1, packet);
    }

    fn post(&mut self, from: usize, to: usize, packet: Packet) {
        let network = packet.is_between_routers();
        if network && self.random.random_bool(self.loss) {
            return;
        }
        let copies = if network && self.random.random_bool(self.duplicates) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.random.random_range(0..=self.delay.as_micros() as u64);
            self.sent += 1;
            let key = (self.now + Duration::from_micros(delay), self.sent);
            self.under_way.insert(key, (from, to, packet.clone()));
        }
    }

    /// Returns the sorted names of the routers that one router thinks live.
    pub(crate) fn live(&self, index: usize) -> Vec<String> {
        let live = self.nodes[index].member.live();
        let mut names: Vec<String> = live.iter().map(|live| live.router.to_string()).collect();
        names.sort();
        names
    }

    /// Returns whether every running router thinks just the running routers
    /// of its part of the network live.
    pub(crate) fn agrees(&self) -> bool {
        let running = || (0..self.nodes.len()).filter(|index| !self.stopped[*index]);
        running().all(|index| {
            let mates = running().filter(|other| self.part[*other] == self.part[index]);
            self.live(index) == names(mates)
        })
    }

    /// Returns whether every running router has `version` in force.
    pub(crate) fn is_in_force(&self, version: u64) -> bool {
        let running = self
            .nodes
            .iter()
            .zip(&self.stopped)
            .filter(|(_, stopped)| !**stopped);
        running
            .map(|(node, _)| node)
            .all(|node| node.version() == Version(version))
    }

    /// Returns whether every running router believes this about `index`.
    pub(crate) fn all_believe(&self, index: usize, state: State) -> bool {
        let router = self.listed(index).router;
        let running = self.nodes.iter().zip(&self.stopped).enumerate();
        running
            .filter(|(other, (_, stopped))| *other != index && !**stopped)
            .all(|(_, (node, _))| node.member.state(&router) == Some(state))
    }
}

/// Returns a configuration of property tests with a fixed seed.
pub(crate) fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(4_711),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns sorted names of routers.
pub(crate) fn names(indices: impl IntoIterator<Item = usize>) -> Vec<String> {
    let mut names: Vec<String> = indices
        .into_iter()
        .map(|index| format!("r{index}"))
        .collect();
    names.sort();
    names
}

/// Returns the record of a bundle, whose digest follows from the version.
pub(crate) fn record(version: u64) -> Record {
    Record {
        version: Version(version),
        digest: Digest::from_bytes([version as u8; 32]),
        approvals: "".into(),
    }
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + index as u16))
}
