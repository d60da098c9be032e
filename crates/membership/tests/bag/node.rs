//! One router of the bag: the three machines, glued together.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eelgrassrock_membership::adoption::{self, Contents, Reading, Record, Verdict};
use eelgrassrock_membership::member::{self, Listed};
use eelgrassrock_membership::spread::{self, News};
use eelgrassrock_model::{Digest, Version};

use super::{Bag, Packet, address};

/// Key of the news that carry records of bundles.
const KEY: &str = "bundle/current";

/// One router.
pub(crate) struct Node {
    pub(crate) member: member::Machine,
    pub(crate) tree: spread::Tree,
    pub(crate) adoption: adoption::Machine,
    contents: BTreeSet<Digest>,
    /// Highest valid version that this router was told of in this life.
    told: Version,
}

impl Node {
    pub(crate) fn new(listed: &Listed, incarnation: u64, seed: u64) -> Self {
        let (router, zone) = (&listed.router, &listed.data_centre);
        let seed = seed.wrapping_add(u64::from(listed.address.port()));
        let settings = member::Settings::builder(router.clone(), zone.clone(), listed.address);
        let settings = settings
            .incarnation(incarnation)
            .seed(seed)
            .bridges(1_000)
            .build();
        let spread = spread::Settings::new(router.clone(), zone.clone(), seed);
        let adoption = adoption::Settings::new(router.clone(), zone.clone(), seed);
        Self {
            member: member::Machine::new(settings),
            tree: spread::Tree::new(spread),
            adoption: adoption::Machine::new(adoption),
            contents: BTreeSet::new(),
            told: Version(0),
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.adoption
            .in_force()
            .map_or(Version(0), |record| record.version)
    }
}

impl Bag {
    pub(crate) fn member(&mut self, index: usize, event: member::Event) {
        for action in self.nodes[index].member.step(self.now, event) {
            match action {
                member::Action::Send { to, message } => {
                    let size = postcard::to_stdvec(&message).unwrap().len();
                    self.largest = self.largest.max(size);
                    self.bytes[index] += size as u64;
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
                spread::Action::Learned { news, .. } if &*news.key != KEY => {}
                spread::Action::Learned { news, from } => {
                    let record: Record = serde_json::from_slice(&news.payload).unwrap();
                    self.tell(index, &record);
                    self.adoption(index, adoption::Event::Told { from, record });
                }
                spread::Action::Digest(digest) => {
                    self.member(index, member::Event::News(digest));
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
                adoption::Action::Spread(record) => {
                    let payload = serde_json::to_vec(&record).unwrap().into();
                    let news = News {
                        key: KEY.into(),
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
                self.post(to, from, Packet::Answer(record));
            }
            Packet::Answer(record) => {
                record.iter().for_each(|record| self.tell(to, record));
                self.adoption(
                    to,
                    adoption::Event::Answered {
                        from: sender,
                        record,
                    },
                );
            }
            Packet::Fetch(digest) => {
                let has = self.nodes[to].contents.contains(&digest);
                let contents = if has {
                    Contents::Verified
                } else {
                    Contents::Missing
                };
                self.post(to, from, Packet::Contents(digest, contents));
            }
            Packet::Contents(digest, contents) => {
                if contents == Contents::Verified {
                    self.nodes[to].contents.insert(digest);
                }
                self.adoption(to, adoption::Event::Contents { digest, contents });
            }
            Packet::Table(reading) => {
                if let Reading::Row(Some(record)) = &reading {
                    self.tell(to, record);
                }
                self.adoption(to, adoption::Event::Table(reading));
            }
            Packet::Checked(digest, verdict) => {
                self.adoption(to, adoption::Event::Checked { digest, verdict });
            }
        }
    }

    fn tell(&mut self, index: usize, record: &Record) {
        if !self.refused.contains(&record.digest) {
            let told = &mut self.nodes[index].told;
            *told = record.version.max(*told);
        }
    }

    /// No router may ever apply a lower version than one that it was told.
    fn adopt(&mut self, index: usize, record: &Record) {
        let told = self.nodes[index].told;
        assert!(
            record.version >= told,
            "r{index} applies {record:?} after {told}"
        );
        assert!(!self.refused.contains(&record.digest));
    }

    fn poll(&mut self, index: usize) {
        self.reads += 1;
        let reading = if self.store_up {
            Reading::Row(self.row.clone())
        } else {
            Reading::Failed { retry_after: None }
        };
        self.post(index, index, Packet::Table(reading));
    }

    fn fetch(&mut self, index: usize, digest: Digest) {
        self.object_reads += 1;
        let contents = if self.store_up {
            Contents::Verified
        } else {
            Contents::Failed
        };
        self.post(index, index, Packet::Contents(digest, contents));
    }

    fn check(&mut self, index: usize, record: &Record) {
        let verdict = if self.refused.contains(&record.digest) {
            Verdict::Refused {
                reason: "too few approvals".into(),
            }
        } else {
            Verdict::Accepted
        };
        self.post(index, index, Packet::Checked(record.digest, verdict));
    }
}
