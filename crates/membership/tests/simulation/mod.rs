//! Simulation of a fleet in virtual time.
//!
//! Each node connects the three state machines as a daemon does. The simulated
//! network loses, delays and duplicates messages. For each router the simulation
//! records the highest version that the router was told of, and checks every
//! adoption against it.
#![allow(dead_code)]

pub(crate) mod node;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_membership::adoption::{self, FetchOutcome, Reading, Record};
use eelgrassrock_membership::member::{self, Decision, Listed, State};
use eelgrassrock_membership::spread;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Version};
use node::Node;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the virtual time, and so the resolution of the timers.
const TICK: Duration = Duration::from_millis(10);

/// Message between two routers, or an answer of the platform to a router.
#[derive(Clone, Debug)]
pub(crate) enum Packet {
    Member(member::Message),
    Spread(spread::Message),
    Ask,
    Answer(Option<Record>),
    Fetch(Digest),
    Fetched(Digest, FetchOutcome),
    Table(Reading),
    Checked(Digest, adoption::Verdict),
}

impl Packet {
    fn is_between_routers(&self) -> bool {
        !matches!(self, Self::Table(_) | Self::Checked(..))
    }
}

/// Routers of one fleet, the network between them and the platform.
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    /// Decisions of the failure detection: time, index of the router that decided, decision.
    pub(crate) decisions: Vec<(Instant, usize, Decision)>,
    /// Probability that a message between routers is lost, 0 to 1.
    pub(crate) loss: f64,
    /// Probability that a message between routers arrives twice, 0 to 1.
    pub(crate) duplicates: f64,
    /// Longest delay of a message.
    pub(crate) delay: Duration,
    /// Side of the network partition that each router is on. Messages
    /// reach only routers on the same side.
    pub(crate) partition: Vec<u32>,
    /// Whether each router is stopped. A stopped router neither runs nor receives.
    pub(crate) stopped: Vec<bool>,
    /// Row of the current bundle.
    pub(crate) row: Option<Record>,
    /// Whether the table and the object store answer.
    pub(crate) is_store_up: bool,
    /// Digests of the bundles that the check refuses.
    pub(crate) refused: BTreeSet<Digest>,
    /// Number of reads of the row by all routers.
    pub(crate) table_reads: u64,
    /// Number of fetches from the object store by all routers.
    pub(crate) object_reads: u64,
    /// Largest datagram of the failure detection, in bytes.
    pub(crate) largest_datagram: usize,
    /// Bytes that each router sent for the failure detection.
    pub(crate) sent_bytes: Vec<u64>,
    zones: usize,
    random: ChaCha8Rng,
    in_flight: BTreeMap<(Instant, u64), (usize, usize, Packet)>,
    sequence: u64,
}

impl Simulation {
    /// Creates a fleet of `count` routers in `zones` data centres. Each router has
    /// received the list of all.
    pub(crate) fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut sim = Self {
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            decisions: Vec::new(),
            loss: 0.0,
            duplicates: 0.0,
            delay: Duration::from_millis(2),
            partition: vec![0; count],
            stopped: vec![false; count],
            row: None,
            is_store_up: true,
            refused: BTreeSet::new(),
            table_reads: 0,
            object_reads: 0,
            largest_datagram: 0,
            sent_bytes: vec![0; count],
            zones,
            random: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sequence: 0,
        };
        sim.nodes = (0..count)
            .map(|index| Node::new(&sim.listed(index), 1, seed))
            .collect();
        (0..count).for_each(|index| sim.list(index));
        sim
    }

    pub(crate) fn listed(&self, index: usize) -> Listed {
        Listed {
            router: format!("r{index}").parse().unwrap(),
            data_centre: format!("dc-{}", index % self.zones).parse().unwrap(),
            address: address(index),
            leaving: false,
        }
    }

    /// Hands the platform's list to one router.
    pub(crate) fn list(&mut self, index: usize) {
        let list = (0..self.partition.len())
            .map(|other| self.listed(other))
            .collect();
        self.member(index, member::Event::List(list));
    }

    /// Replaces a router by a fresh one with a higher incarnation, and hands it the
    /// list.
    pub(crate) fn restart(&mut self, index: usize) {
        self.nodes[index] = self.fresh(index);
        self.stopped[index] = false;
        self.list(index);
    }

    /// Creates a router that knows no other router, with a higher incarnation.
    pub(crate) fn fresh(&mut self, index: usize) -> Node {
        let seed = self.random.random();
        Node::new(&self.listed(index), self.now.as_millis(), seed)
    }

    /// Writes the record of a bundle to the table.
    pub(crate) fn commit_bundle(&mut self, version: u64) {
        self.row = Some(record(version));
    }

    /// Advances the virtual time by `span`.
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

    /// Runs until `done` holds, and returns the time that it took, `None` after
    /// `timeout`.
    pub(crate) fn run_until(
        &mut self,
        timeout: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= timeout {
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
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, packet) = entry.remove();
            if self.partition[from] == self.partition[to] && !self.stopped[to] {
                self.receive(from, to, packet);
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        self.enqueue(from, usize::from(to.port()) - 1, packet);
    }

    fn enqueue(&mut self, from: usize, to: usize, packet: Packet) {
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
            self.sequence += 1;
            let key = (self.now + Duration::from_micros(delay), self.sequence);
            self.in_flight.insert(key, (from, to, packet.clone()));
        }
    }

    /// Returns the sorted names of the routers that one router believes live.
    pub(crate) fn live(&self, index: usize) -> Vec<String> {
        let live = self.nodes[index].member.live();
        let mut names: Vec<String> = live.iter().map(|live| live.router.to_string()).collect();
        names.sort();
        names
    }

    /// Returns whether every running router believes exactly the running routers on
    /// its side of the partition live.
    pub(crate) fn agrees(&self) -> bool {
        let running = || (0..self.nodes.len()).filter(|index| !self.stopped[*index]);
        running().all(|index| {
            let peers = running().filter(|other| self.partition[*other] == self.partition[index]);
            self.live(index) == names(peers)
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

    /// Returns whether every other running router believes `index` to be in `state`.
    pub(crate) fn all_believe(&self, index: usize, state: State) -> bool {
        let router = self.listed(index).router;
        let running = self.nodes.iter().zip(&self.stopped).enumerate();
        running
            .filter(|(other, (_, stopped))| *other != index && !**stopped)
            .all(|(_, (node, _))| node.member.state(&router) == Some(state))
    }
}

/// Returns the configuration of the property tests, with a fixed seed.
pub(crate) fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(4_711),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns the sorted names of the routers with these indices.
pub(crate) fn names(indices: impl IntoIterator<Item = usize>) -> Vec<String> {
    let mut names: Vec<String> = indices
        .into_iter()
        .map(|index| format!("r{index}"))
        .collect();
    names.sort();
    names
}

/// Returns the record of a bundle. Its digest is derived from the version.
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
