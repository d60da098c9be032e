//! Tests of dissemination: news reach every router in few hops, and an older version never replaces
//! a newer one.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use eelgrassrock_membership::member::Live;
use eelgrassrock_membership::spread::{Action, Event, Message, News, Settings, Tree};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Hops outside the tree: to another data centre, and from there to the root of its tree.
const ENTRY_HOPS: u32 = 2;
/// Maximum number of messages that one router sends for one piece of news within its data centre:
/// to the root, and to its children.
const MAX_SENT: usize = 5;

/// Trees of all routers, and the messages in flight between them.
struct Fleet {
    trees: Vec<Tree>,
    messages: VecDeque<(u32, usize, usize, Message)>,
    random: ChaCha8Rng,
    loss: f64,
    hops: u32,
    sent: Vec<usize>,
    now: Instant,
}

fn live(index: usize, zones: usize) -> Live {
    Live {
        router: router(index),
        data_centre: zone(index, zones),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + index as u16)),
    }
}

fn router(index: usize) -> Router {
    format!("r{index}").parse().unwrap()
}

fn zone(index: usize, zones: usize) -> DataCentre {
    format!("dc-{}", index % zones).parse().unwrap()
}

fn news(key: u64, version: u64) -> News {
    News {
        key: format!("row/{key}").into(),
        version: Version(version),
        payload: version.to_le_bytes()[..].into(),
    }
}

impl Fleet {
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        let all: Vec<Live> = (0..count).map(|index| live(index, zones)).collect();
        let tree = |index| {
            let settings = Settings::new(router(index), zone(index, zones), seed);
            let mut tree = Tree::new(settings);
            tree.step(Instant::default(), Event::Members(all.clone()));
            tree
        };
        Self {
            trees: (0..count).map(tree).collect(),
            messages: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            hops: 0,
            sent: vec![0; count],
            now: Instant::default(),
        }
    }

    fn step(&mut self, index: usize, hops: u32, event: Event) {
        for action in self.trees[index].step(self.now, event) {
            match action {
                Action::Send { to, message } => {
                    self.sent[index] += 1;
                    let to = usize::from(to.port()) - 1;
                    self.messages.push_back((hops + 1, index, to, message));
                }
                Action::Learned { .. } => self.hops = self.hops.max(hops),
                Action::Digest(_) | Action::Decide(_) => {}
            }
        }
    }

    fn deliver_all(&mut self) {
        while let Some((hops, from, to, message)) = self.messages.pop_front() {
            if !self.random.random_bool(self.loss) {
                let from = live(from, 1).address;
                self.step(to, hops, Event::Received { from, message });
            }
        }
    }

    /// Lets each router compare its news with a random peer, as after a ping.
    fn repair(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now + std::time::Duration::from_secs(1);
            for index in 0..self.trees.len() {
                let peer = self.random.random_range(0..self.trees.len());
                self.step(
                    index,
                    0,
                    Event::Differ {
                        peer: live(peer, 1).address,
                    },
                );
            }
            self.deliver_all();
        }
    }

    fn all_have(&self, news: &News) -> bool {
        self.trees
            .iter()
            .all(|tree| tree.get(&news.key) == Some(news))
    }
}

#[rstest]
#[case::fleet(12, 3, 2)]
#[case::data_centre(1_000, 1, 5)]
#[case::continents(3_000, 3, 5)]
fn reaches_all_in_logarithmic_hops(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] depth: u32,
    #[values(1, 2, 3)] version: u64,
) {
    let mut fleet = Fleet::new(count, zones, 5);
    let news = news(1, version);
    fleet.step(count / 2, 0, Event::Publish(news.clone()));
    fleet.deliver_all();
    assert!(fleet.all_have(&news));
    assert!(fleet.hops <= depth + ENTRY_HOPS, "{} hops", fleet.hops);
    let relays = 2 * (zones - 1);
    assert!(fleet.sent.iter().all(|sent| *sent <= MAX_SENT + relays));
}

#[test]
fn two_publishers_of_one_version_share_one_tree() {
    let mut fleet = Fleet::new(1_000, 1, 6);
    let news = news(1, 1);
    fleet.step(3, 0, Event::Publish(news.clone()));
    fleet.step(700, 0, Event::Publish(news.clone()));
    fleet.deliver_all();
    let sent: usize = fleet.sent.iter().sum();
    assert!(fleet.all_have(&news));
    assert!(sent <= 1_002, "{sent} messages to 1,000 routers");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(4_711),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn newest_version_wins_everywhere(
        writes in prop::collection::vec((0..4u64, 1..40u64, 0..12usize), 1..30),
        loss in 0.0..0.6f64,
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(12, 3, seed);
        fleet.loss = loss;
        let mut newest = BTreeMap::new();
        for (key, version, publisher) in writes {
            fleet.step(publisher, 0, Event::Publish(news(key, version)));
            let top: &mut u64 = newest.entry(key).or_default();
            *top = version.max(*top);
            let half = fleet.messages.len() / 2;
            fleet.messages.rotate_left(half);
            fleet.deliver_all();
            for tree in &fleet.trees {
                let known = tree.get(&news(key, 1).key).map_or(0, |news| news.version.0);
                prop_assert!(known <= *top);
            }
            let kept = fleet.trees[publisher].get(&news(key, 1).key).unwrap();
            prop_assert!(kept.version.0 >= version);
        }
        fleet.loss = 0.0;
        fleet.repair(8);
        for (key, version) in newest {
            prop_assert!(fleet.all_have(&news(key, version)));
        }
    }
}
