//! State machine that pushes news along a tree and repairs missed pushes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router, Version};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::replica::{self, Replica};
use super::{Forward, KeyVersion, Message, News};
use crate::member::Live;

/// Settings of a [`Tree`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this router.
    pub router: Router,
    /// Data centre of this router.
    pub data_centre: DataCentre,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of children in the tree to which each router forwards news.
    pub fan_out: usize,
    /// Number of routers in each other data centre to which a publisher sends news.
    pub relays: usize,
    /// Minimum time between two comparisons with peers.
    pub compare_period: Duration,
    /// Maximum size of the news in one message, in bytes. A larger piece of news is
    /// sent in a message of its own.
    pub batch_bytes: usize,
}

impl Settings {
    /// Returns the default settings for `router` in `data_centre`: fan-out 4, two relays
    /// per other data centre, at most one comparison every 300 ms, batches of 8 KiB.
    pub fn new(router: Router, data_centre: DataCentre, seed: u64) -> Self {
        Self {
            router,
            data_centre,
            seed,
            fan_out: 4,
            relays: 2,
            compare_period: Duration::from_millis(300),
            batch_bytes: 8 * 1_024,
        }
    }
}

/// Input of [`Tree::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The live routers changed. Holds all of them.
    Members(Vec<Live>),
    /// This router publishes news to all routers, for example a row that it read.
    Publish(News),
    /// An authenticated message arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A ping showed that the digest of a peer's news differs.
    Differ {
        /// Address of the peer.
        peer: SocketAddr,
    },
}

/// Output of [`Tree::step`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another router.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Newer news arrived from another router.
    Learned {
        /// The news.
        news: News,
        /// Address of the router that sent them.
        from: SocketAddr,
    },
    /// The digest of all news changed. It goes into the messages of the failure
    /// detection.
    Digest(u32),
    /// Write the decision to the log.
    Decide(Decision),
}

/// Decision to store a piece of news, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Key of the news.
    pub key: Arc<str>,
    /// Version that is now stored.
    pub version: Version,
    /// Way in which the news arrived.
    pub path: Path,
}

/// Way in which a piece of news arrived.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// This router published the news.
    #[display("published")]
    Published,
    /// The news were pushed along the tree.
    #[display("pushed")]
    Pushed,
    /// The news were sent after a comparison of digests.
    #[display("repaired")]
    Repaired,
}

/// State machine of one router's dissemination of news. It performs no I/O.
#[derive(Debug)]
pub struct Tree {
    settings: Settings,
    replica: Replica,
    /// Live routers of this data centre, including this one, sorted by their position
    /// on the hash ring.
    ring: Vec<(u64, Live)>,
    /// Addresses of the live routers in each other data centre.
    remote_routers: IndexMap<DataCentre, Vec<SocketAddr>>,
    next_compare: Instant,
    random: ChaCha8Rng,
    actions: Vec<Action>,
}

impl Tree {
    /// Creates the state machine of a router that holds no news yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            replica: Replica::new(),
            ring: Vec::new(),
            remote_routers: IndexMap::new(),
            next_compare: Instant::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles one event and returns the resulting actions, in order.
    ///
    /// ```
    /// use eelgrassrock_membership::spread::{Event, News, Settings, Tree};
    /// use eelgrassrock_model::Version;
    /// use eelgrassrock_model::time::Instant;
    ///
    /// let mut tree = Tree::new(Settings::new("r1".parse()?, "dc-1".parse()?, 7));
    /// let news = News { key: "home/u1".into(), version: Version(3), payload: b"r1"[..].into() };
    /// tree.step(Instant::default(), Event::Publish(news.clone()));
    /// assert_eq!(tree.get("home/u1"), Some(&news));
    ///
    /// let older = News { version: Version(2), ..news.clone() };
    /// tree.step(Instant::default(), Event::Publish(older));
    /// assert_eq!(tree.get("home/u1"), Some(&news));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Members(live) => self.set_live(live),
            Event::Publish(news) => self.publish(news),
            Event::Received { from, message } => self.receive(from, message),
            Event::Differ { peer } => self.request_compare(now, peer),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest news of `key`, `None` if there are none.
    pub fn get(&self, key: &str) -> Option<&News> {
        self.replica.get_by_key(key)
    }

    /// Returns the number of keys that have news.
    pub fn len(&self) -> usize {
        self.replica.len()
    }

    /// Returns whether there are no news yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn set_live(&mut self, live: Vec<Live>) {
        self.ring.clear();
        self.remote_routers.clear();
        for member in live {
            if member.data_centre == self.settings.data_centre {
                let ring_position = replica::hash(&member.router.to_string());
                self.ring.push((ring_position, member));
            } else {
                let remote = self.remote_routers.entry(member.data_centre).or_default();
                remote.push(member.address);
            }
        }
        self.ring.sort_by_key(|(ring_position, _)| *ring_position);
    }

    fn publish(&mut self, news: News) {
        if !self.store_if_newer(&news, Path::Published) {
            return;
        }
        for addresses in self.remote_routers.values() {
            for to in addresses.sample(&mut self.random, self.settings.relays) {
                let message = Message::Push {
                    forward: Forward::ToRoot,
                    news: news.clone(),
                };
                self.actions.push(Action::Send { to: *to, message });
            }
        }
        self.forward_to_root(&news);
    }

    /// Stores news if they are newer than the stored version, and returns whether they
    /// are.
    fn store_if_newer(&mut self, news: &News, path: Path) -> bool {
        if !self.replica.insert(news.clone()) {
            return false;
        }
        self.actions.push(Action::Digest(self.replica.digest()));
        self.actions.push(Action::Decide(Decision {
            key: news.key.clone(),
            version: news.version,
            path,
        }));
        true
    }

    fn accept(&mut self, news: &News, from: SocketAddr, path: Path) {
        if self.store_if_newer(news, path) {
            let news = news.clone();
            self.actions.push(Action::Learned { news, from });
        }
    }

    fn receive(&mut self, from: SocketAddr, message: Message) {
        match message {
            Message::Push { forward, news } => {
                self.accept(&news, from, Path::Pushed);
                match forward {
                    Forward::ToRoot => self.forward_to_root(&news),
                    Forward::ToChildren => self.forward_to_children(&news),
                }
            }
            Message::Compare { buckets } => self.send_versions(from, &buckets),
            Message::Versions { bucket, versions } => self.reconcile(from, bucket, &versions),
            Message::Fetch { keys } => self.send_batches(from, &keys),
            Message::Batch { news } => {
                for news in &news {
                    self.accept(news, from, Path::Repaired);
                }
            }
        }
    }

    /// Forwards news to the root of the tree in this data centre. News that a newer
    /// version has replaced aren't forwarded.
    fn forward_to_root(&mut self, news: &News) {
        if self.replica.version(replica::hash(&news.key)) != news.version {
            return;
        }
        let start = replica::ring_start(&news.key, news.version);
        let Some(root) = self.router_at(start, 0) else {
            return;
        };
        if root.router == self.settings.router {
            self.forward_to_children(news);
        } else {
            let to = root.address;
            let message = Message::Push {
                forward: Forward::ToChildren,
                news: news.clone(),
            };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Forwards news to this router's children in the tree, once per version.
    fn forward_to_children(&mut self, news: &News) {
        if !self.replica.mark_forwarded(&news.key, news.version) {
            return;
        }
        let start = replica::ring_start(&news.key, news.version);
        let Some(position) = self.tree_position(start) else {
            return;
        };
        let first_child = position * self.settings.fan_out + 1;
        for child in first_child..first_child + self.settings.fan_out {
            let Some(child) = self.router_at(start, child) else {
                return;
            };
            let to = child.address;
            let message = Message::Push {
                forward: Forward::ToChildren,
                news: news.clone(),
            };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Returns the router at a position of the tree whose root follows `start` on the
    /// ring. The children of position `p` are at `p * fan_out + 1` and following.
    fn router_at(&self, start: u64, position: usize) -> Option<&Live> {
        if position >= self.ring.len() {
            return None;
        }
        let root = self.root_index(start);
        Some(&self.ring[(root + position) % self.ring.len()].1)
    }

    fn root_index(&self, start: u64) -> usize {
        self.ring
            .partition_point(|(ring_position, _)| *ring_position < start)
            % self.ring.len()
    }

    fn tree_position(&self, start: u64) -> Option<usize> {
        let me = &self.settings.router;
        let own_index = self.ring.iter().position(|(_, live)| live.router == *me)?;
        let count = self.ring.len();
        Some((own_index + count - self.root_index(start)) % count)
    }

    fn request_compare(&mut self, now: Instant, peer: SocketAddr) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + self.settings.compare_period;
        let buckets = self.replica.buckets().to_vec();
        self.actions.push(Action::Send {
            to: peer,
            message: Message::Compare { buckets },
        });
    }

    fn send_versions(&mut self, to: SocketAddr, theirs: &[u32]) {
        for (index, bucket) in self.replica.buckets().iter().enumerate() {
            if theirs.get(index) != Some(bucket) {
                let versions = self.replica.versions_in(index);
                let message = Message::Versions {
                    bucket: index as u32,
                    versions,
                };
                self.actions.push(Action::Send { to, message });
            }
        }
    }

    /// Requests the news that the peer holds in a newer version, and sends those that it
    /// holds in an older version or lacks.
    fn reconcile(&mut self, peer: SocketAddr, bucket: u32, theirs: &[KeyVersion]) {
        let theirs: IndexMap<u64, Version> = theirs
            .iter()
            .map(|entry| (entry.key, entry.version))
            .collect();
        let newer = theirs
            .iter()
            .filter(|(key, version)| **version > self.replica.version(**key));
        let keys: Vec<u64> = newer.map(|(key, _)| *key).collect();
        if !keys.is_empty() {
            self.actions.push(Action::Send {
                to: peer,
                message: Message::Fetch { keys },
            });
        }
        let ours = self.replica.versions_in(bucket as usize);
        let known = |key| theirs.get(key).copied().unwrap_or_default();
        let older = ours
            .iter()
            .filter(|entry| entry.version > known(&entry.key));
        let older: Vec<u64> = older.map(|entry| entry.key).collect();
        self.send_batches(peer, &older);
    }

    fn send_batches(&mut self, to: SocketAddr, keys: &[u64]) {
        let mut batch = Vec::new();
        let mut size = 0;
        for news in keys.iter().filter_map(|key| self.replica.get(*key)) {
            if size + news.size() > self.settings.batch_bytes && !batch.is_empty() {
                let news = std::mem::take(&mut batch);
                self.actions.push(Action::Send {
                    to,
                    message: Message::Batch { news },
                });
                size = 0;
            }
            size += news.size();
            batch.push(news.clone());
        }
        if !batch.is_empty() {
            self.actions.push(Action::Send {
                to,
                message: Message::Batch { news: batch },
            });
        }
    }
}
