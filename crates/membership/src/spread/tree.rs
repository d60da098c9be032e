//! The machine that pushes news along a tree and repairs what was missed.

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

use super::archive::{self, Archive};
use super::{Leaf, Message, News, Route};
use crate::member::Live;

/// Settings of a [`Tree`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this router.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of children that each router hands news to.
    pub fan_out: usize,
    /// Number of routers of each other data centre that news are handed to.
    pub relays: usize,
    /// Least time between two comparisons with peers.
    pub compare_period: Duration,
    /// Most bytes of news in one message, unless one piece is larger.
    pub batch_bytes: usize,
}

impl Settings {
    /// Returns the default settings: fan-out 4, two relays per data centre, a
    /// comparison every 300 ms at most, batches of 8 KiB.
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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The live routers changed.
    Members(Vec<Live>),
    /// This router has news for all, for example a row that it read.
    Publish(News),
    /// An authenticated message arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A ping showed that a peer has other news.
    Differ {
        /// Address of the peer.
        peer: SocketAddr,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another router.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Other news were learned than this router has published itself.
    Learned {
        /// The news.
        news: News,
        /// Address of the router that sent them.
        from: SocketAddr,
    },
    /// The digest of all news changed; pings carry it.
    Digest(u32),
    /// One line for the log.
    Decide(Decision),
}

/// Taking in of a piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Key of the news.
    pub key: Arc<str>,
    /// Version that is now kept.
    pub version: Version,
    /// How it arrived.
    pub path: Path,
}

/// How a piece of news arrived.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// This router published it.
    #[display("published")]
    Published,
    /// It came along the tree.
    #[display("pushed")]
    Pushed,
    /// It came with a repair.
    #[display("repaired")]
    Repaired,
}

/// Spreading of news by one router.
#[derive(Debug)]
pub struct Tree {
    settings: Settings,
    archive: Archive,
    /// Live routers of this data centre by their place on the ring, this one
    /// included.
    ring: Vec<(u64, Live)>,
    others: IndexMap<DataCentre, Vec<SocketAddr>>,
    next_compare: Instant,
    random: ChaCha8Rng,
    actions: Vec<Action>,
}

impl Tree {
    /// Creates the tree of one router without news.
    pub fn new(settings: Settings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            archive: Archive::new(),
            ring: Vec::new(),
            others: IndexMap::new(),
            next_compare: Instant::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles one event.
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
            Event::Members(live) => self.arrange(live),
            Event::Publish(news) => self.publish(news),
            Event::Received { from, message } => self.receive(from, message),
            Event::Differ { peer } => self.compare(now, peer),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest news of `key`.
    pub fn get(&self, key: &str) -> Option<&News> {
        self.archive.find(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.archive.len()
    }

    /// Returns whether there are no news yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn arrange(&mut self, live: Vec<Live>) {
        self.ring.clear();
        self.others.clear();
        for member in live {
            if member.data_centre == self.settings.data_centre {
                let place = archive::hash(&member.router.to_string());
                self.ring.push((place, member));
            } else {
                let others = self.others.entry(member.data_centre).or_default();
                others.push(member.address);
            }
        }
        self.ring.sort_by_key(|(place, _)| *place);
    }

    fn publish(&mut self, news: News) {
        if !self.keep(&news, Path::Published) {
            return;
        }
        for addresses in self.others.values() {
            for to in addresses.sample(&mut self.random, self.settings.relays) {
                let message = Message::Push {
                    route: Route::Enter,
                    news: news.clone(),
                };
                self.actions.push(Action::Send { to: *to, message });
            }
        }
        self.enter(&news);
    }

    /// Keeps news that are newer, and returns whether they are.
    fn keep(&mut self, news: &News, path: Path) -> bool {
        if !self.archive.insert(news.clone()) {
            return false;
        }
        self.actions.push(Action::Digest(self.archive.digest()));
        self.actions.push(Action::Decide(Decision {
            key: news.key.clone(),
            version: news.version,
            path,
        }));
        true
    }

    fn learn(&mut self, news: &News, from: SocketAddr, path: Path) {
        if self.keep(news, path) {
            let news = news.clone();
            self.actions.push(Action::Learned { news, from });
        }
    }

    fn receive(&mut self, from: SocketAddr, message: Message) {
        match message {
            Message::Push { route, news } => {
                self.learn(&news, from, Path::Pushed);
                match route {
                    Route::Enter => self.enter(&news),
                    Route::Down => self.descend(&news),
                }
            }
            Message::Compare { buckets } => self.answer(from, &buckets),
            Message::Versions { bucket, leaves } => self.reconcile(from, bucket, &leaves),
            Message::Fetch { keys } => self.send_batches(from, &keys),
            Message::Batch { news } => {
                for news in &news {
                    self.learn(news, from, Path::Repaired);
                }
            }
        }
    }

    /// Hands news to the root of this data centre's tree.
    fn enter(&mut self, news: &News) {
        if self.archive.version(archive::hash(&news.key)) != news.version {
            return;
        }
        let start = archive::start(&news.key, news.version);
        let Some(root) = self.at(start, 0) else {
            return;
        };
        if root.router == self.settings.router {
            self.descend(news);
        } else {
            let to = root.address;
            let message = Message::Push {
                route: Route::Down,
                news: news.clone(),
            };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Hands news to this router's children in the tree, once per version.
    fn descend(&mut self, news: &News) {
        if !self.archive.forward(&news.key, news.version) {
            return;
        }
        let start = archive::start(&news.key, news.version);
        let Some(position) = self.position(start) else {
            return;
        };
        let first = position * self.settings.fan_out + 1;
        for child in first..first + self.settings.fan_out {
            let Some(child) = self.at(start, child) else {
                return;
            };
            let to = child.address;
            let message = Message::Push {
                route: Route::Down,
                news: news.clone(),
            };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Returns the router at a position of the tree that starts at `start`.
    fn at(&self, start: u64, position: usize) -> Option<&Live> {
        if position >= self.ring.len() {
            return None;
        }
        let root = self.root(start);
        Some(&self.ring[(root + position) % self.ring.len()].1)
    }

    fn root(&self, start: u64) -> usize {
        self.ring.partition_point(|(place, _)| *place < start) % self.ring.len()
    }

    fn position(&self, start: u64) -> Option<usize> {
        let me = &self.settings.router;
        let mine = self.ring.iter().position(|(_, live)| live.router == *me)?;
        let count = self.ring.len();
        Some((mine + count - self.root(start)) % count)
    }

    fn compare(&mut self, now: Instant, peer: SocketAddr) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + self.settings.compare_period;
        let buckets = self.archive.buckets().to_vec();
        self.actions.push(Action::Send {
            to: peer,
            message: Message::Compare { buckets },
        });
    }

    fn answer(&mut self, to: SocketAddr, theirs: &[u32]) {
        for (index, bucket) in self.archive.buckets().iter().enumerate() {
            if theirs.get(index) != Some(bucket) {
                let leaves = self.archive.leaves(index);
                let message = Message::Versions {
                    bucket: index as u32,
                    leaves,
                };
                self.actions.push(Action::Send { to, message });
            }
        }
    }

    /// Asks for what the peer has newer, and sends what it has older.
    fn reconcile(&mut self, peer: SocketAddr, bucket: u32, theirs: &[Leaf]) {
        let theirs: IndexMap<u64, Version> =
            theirs.iter().map(|leaf| (leaf.key, leaf.version)).collect();
        let newer = theirs
            .iter()
            .filter(|(key, version)| **version > self.archive.version(**key));
        let keys: Vec<u64> = newer.map(|(key, _)| *key).collect();
        if !keys.is_empty() {
            self.actions.push(Action::Send {
                to: peer,
                message: Message::Fetch { keys },
            });
        }
        let ours = self.archive.leaves(bucket as usize);
        let known = |key| theirs.get(key).copied().unwrap_or_default();
        let older = ours.iter().filter(|leaf| leaf.version > known(&leaf.key));
        let older: Vec<u64> = older.map(|leaf| leaf.key).collect();
        self.send_batches(peer, &older);
    }

    fn send_batches(&mut self, to: SocketAddr, keys: &[u64]) {
        let mut batch = Vec::new();
        let mut size = 0;
        for news in keys.iter().filter_map(|key| self.archive.get(*key)) {
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
