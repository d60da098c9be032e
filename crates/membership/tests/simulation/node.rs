//! One router of the simulation, with its three state machines.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eelgrassrock_membership::adoption::{self, FetchOutcome, Reading, Record, Verdict};
use eelgrassrock_membership::member::{self, Listed};
use eelgrassrock_membership::spread::{self, News};
use eelgrassrock_model::{Digest, Version};

use super::{Packet, Simulation, address};

/// Key of the news that carry the record of the current bundle.
const BUNDLE_KEY: &str = "bundle/current";

/// State machines and fetched contents of one router.
pub(crate) struct Node {
    pub(crate) member: member::Machine,
    pub(crate) tree: spread::Tree,
    pub(crate) adoption: adoption::Machine,
    contents: BTreeSet<Digest>,
    /// Highest valid version that this router was told of since its last start.
    highest_announced: Version,
}

impl Node {
    pub(crate) fn new(listed: &Listed, incarnation: u64, seed: u64) -> Self {
        let (router, zone) = (&listed.router, &listed.data_centre);
        let seed = seed.wrapping_add(u64::from(listed.address.port()));
        let settings = member::Settings::builder(router.clone(), zone.clone(), listed.address);
        let settings = settings
            .incarnation(incarnation)
            .seed(seed)
            .max_remote_members(1_000)
            .build();
        let spread = spread::Settings::new(router.clone(), zone.clone(), seed);
        let adoption = adoption::Settings::new(router.clone(), zone.clone(), seed);
        Self {
            member: member::Machine::new(settings),
            tree: spread::Tree::new(spread),
            adoption: adoption::Machine::new(adoption),
            contents: BTreeSet::new(),
            highest_announced: Version(0),
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.adoption
            .in_force()
            .map_or(Version(0), |record| record.version)
    }
}

impl Simulation {
    pub(crate) fn member(&mut self, index: usize, event: member::Event) {
        for action in self.nodes[index].member.step(self.now, event) {
            match action {
                member::Action::Send { to, message } => {
                    let size = postcard::to_stdvec(&message).unwrap().len();
                    self.largest_datagram = self.largest_datagram.max(size);
                    self.sent_bytes[index] += size as u64;
                    self.send(index, to, Packet::Member(message));
                }
                member::Action::Changed(live) => {
                    self.spread(index, spread::Event::Members(live.clone()));
                    self.adoption(index, adoption::Event::Members(live));
                }
                member::Action::NewsDiffer { peer } => {
                    self.spread(index, spread::Event::Differ { peer });
                }
                member::Action::Decide(decision) => {
                    self.decisions.push((self.now, index, decision));
                }
            }
        }
    }

    pub(crate) fn spread(&mut self, index: usize, event: spread::Event) {
        for action in self.nodes[index].tree.step(self.now, event) {
            match action {
                spread::Action::Send { to, message } => {
                    self.send(index, to, Packet::Spread(message));
                }
                spread::Action::Learned { news, .. } if &*news.key != BUNDLE_KEY => {}
                spread::Action::Learned { news, from } => {
                    let record: Record = serde_json::from_slice(&news.payload).unwrap();
                    self.note_announced(index, &record);
                    self.adoption(index, adoption::Event::Announced { from, record });
                }
                spread::Action::Digest(digest) => {
                    self.member(index, member::Event::NewsDigest(digest));
                }
                spread::Action::Decide(_) => {}
            }
        }
    }

    pub(crate) fn adoption(&mut self, index: usize, event: adoption::Event) {
        for action in self.nodes[index].adoption.step(self.now, event) {
            match action {
                adoption::Action::PollTable => self.poll(index),
                adoption::Action::AskPeer { peer } => self.send(index, peer, Packet::Ask),
                adoption::Action::FetchObject { digest, .. } => self.fetch(index, digest),
                adoption::Action::FetchFromPeer { digest, peer, .. } => {
                    self.send(index, peer, Packet::Fetch(digest));
                }
                adoption::Action::Check(record) => self.check(index, &record),
                adoption::Action::Adopt(record) => self.adopt(index, &record),
                adoption::Action::Announce(record) => {
                    let payload = serde_json::to_vec(&record).unwrap().into();
                    let news = News {
                        key: BUNDLE_KEY.into(),
                        version: record.version,
                        payload,
                    };
                    self.spread(index, spread::Event::Publish(news));
                }
                adoption::Action::Ready | adoption::Action::Decide(_) => {}
            }
        }
    }

    pub(crate) fn receive(&mut self, from: usize, to: usize, packet: Packet) {
        let sender: SocketAddr = address(from);
        match packet {
            Packet::Member(message) => {
                self.member(
                    to,
                    member::Event::Received {
                        from: sender,
                        message,
                    },
                );
            }
            Packet::Spread(message) => {
                self.spread(
                    to,
                    spread::Event::Received {
                        from: sender,
                        message,
                    },
                );
            }
            Packet::Ask => {
                let record = self.nodes[to].adoption.in_force().cloned();
                self.enqueue(to, from, Packet::Answer(record));
            }
            Packet::Answer(record) => {
                record
                    .iter()
                    .for_each(|record| self.note_announced(to, record));
                self.adoption(
                    to,
                    adoption::Event::Answered {
                        from: sender,
                        record,
                    },
                );
            }
            Packet::Fetch(digest) => {
                let is_present = self.nodes[to].contents.contains(&digest);
                let outcome = if is_present {
                    FetchOutcome::Verified
                } else {
                    FetchOutcome::Missing
                };
                self.enqueue(to, from, Packet::Fetched(digest, outcome));
            }
            Packet::Fetched(digest, outcome) => {
                if outcome == FetchOutcome::Verified {
                    self.nodes[to].contents.insert(digest);
                }
                self.adoption(to, adoption::Event::Fetched { digest, outcome });
            }
            Packet::Table(reading) => {
                if let Reading::Row(Some(record)) = &reading {
                    self.note_announced(to, record);
                }
                self.adoption(to, adoption::Event::Table(reading));
            }
            Packet::Checked(digest, verdict) => {
                self.adoption(to, adoption::Event::Checked { digest, verdict });
            }
        }
    }

    fn note_announced(&mut self, index: usize, record: &Record) {
        if !self.refused.contains(&record.digest) {
            let highest_announced = &mut self.nodes[index].highest_announced;
            *highest_announced = record.version.max(*highest_announced);
        }
    }

    /// Asserts that the router applies neither a version lower than one that it was told of nor a
    /// refused bundle.
    fn adopt(&mut self, index: usize, record: &Record) {
        let highest_announced = self.nodes[index].highest_announced;
        assert!(
            record.version >= highest_announced,
            "r{index} applies {record:?} after {highest_announced}"
        );
        assert!(!self.refused.contains(&record.digest));
    }

    fn poll(&mut self, index: usize) {
        self.table_reads += 1;
        let reading = if self.is_store_up {
            Reading::Row(self.row.clone())
        } else {
            Reading::Failed { retry_after: None }
        };
        self.enqueue(index, index, Packet::Table(reading));
    }

    fn fetch(&mut self, index: usize, digest: Digest) {
        self.object_reads += 1;
        let outcome = if self.is_store_up {
            FetchOutcome::Verified
        } else {
            FetchOutcome::Failed
        };
        self.enqueue(index, index, Packet::Fetched(digest, outcome));
    }

    fn check(&mut self, index: usize, record: &Record) {
        let verdict = if self.refused.contains(&record.digest) {
            Verdict::Refused {
                reason: "too few approvals".into(),
            }
        } else {
            Verdict::Accepted
        };
        self.enqueue(index, index, Packet::Checked(record.digest, verdict));
    }
}
