//! Spreading of news: one tree among peers, and whole data centres hop by hop.

use std::collections::VecDeque;
use std::hint::black_box;

use eelgrassrock_membership::spread::{Action, Event, Forward, Message, News, Settings, Tree};
use eelgrassrock_model::Version;
use eelgrassrock_model::time::Instant;

use super::codec::datagram_bytes;
use super::{Series, micros, names};
use crate::{cpu, memory};

const MEMBERS: [usize; 4] = [250, 500, 1_000, 2_000];
const KEYS: [usize; 3] = [5_000, 10_000, 20_000];
const PAYLOADS: [usize; 4] = [100, 200, 400, 800];
/// Binary logarithms of the numbers of routers whose hops are counted.
const DEPTHS: [usize; 4] = [4, 6, 8, 10];
/// Bytes of a row with the home of an upstream, or of a small difference.
const ROW_BYTES: usize = 300;
const REPEATS: usize = 300;
const RUNS: usize = 5;

fn news(key: usize, version: usize, bytes: usize) -> News {
    News {
        key: format!("home/upstream-{key}").into(),
        version: Version(version as u64),
        payload: vec![7; bytes].into(),
    }
}

fn tree(number: usize, members: usize) -> Tree {
    let settings = Settings::new(names::router(number), names::data_centre(), 7);
    let mut tree = Tree::new(settings);
    let live = (0..members).map(names::live).collect();
    tree.step(Instant::default(), Event::Members(live));
    tree
}

fn push(version: usize) -> Event {
    let message = Message::Push {
        forward: Forward::ToChildren,
        news: news(1, version, ROW_BYTES),
    };
    Event::Received {
        from: names::address(2),
        message,
    }
}

fn processor() -> Vec<Series> {
    let mut arrange = Series::new("spread.members", "us per change", "member");
    let mut forward = Series::flat("spread.push", "us per news", "member");
    for members in MEMBERS {
        let live: Vec<_> = (0..members).map(names::live).collect();
        let span = cpu::median(
            RUNS,
            || (tree(1, members), Some(live.clone())),
            |(tree, live)| {
                let live = live.take().unwrap_or_default();
                black_box(tree.step(Instant::default(), Event::Members(live)));
            },
        );
        arrange.push(members, micros(span));
        let span = cpu::median(
            RUNS,
            || tree(1, members),
            |tree| {
                for version in 1..=REPEATS {
                    black_box(tree.step(Instant::default(), push(version)));
                }
            },
        );
        forward.push(members, micros(span) / REPEATS as f64);
    }
    vec![arrange, forward]
}

fn kept() -> Series {
    let mut series = Series::new("spread.memory", "B", "row of 300 B");
    for keys in KEYS {
        let mut tree = tree(1, 1);
        let (_, bytes) = memory::retained(|| {
            for key in 0..keys {
                tree.step(Instant::default(), Event::Publish(news(key, 1, ROW_BYTES)));
            }
        });
        series.push(keys, bytes as f64);
    }
    series
}

/// Returns the longest way of a piece of news, in hops, and the messages.
fn spread(members: usize) -> (usize, usize) {
    let mut trees: Vec<Tree> = (0..members).map(|number| tree(number, members)).collect();
    let mut open = VecDeque::from([(0, 0, Event::Publish(news(1, 1, ROW_BYTES)))]);
    let (mut most, mut sent) = (0, 0);
    while let Some((hops, number, event)) = open.pop_front() {
        for action in trees[number].step(Instant::default(), event) {
            match action {
                Action::Send { to, message } => {
                    sent += 1;
                    let event = Event::Received {
                        from: names::address(number),
                        message,
                    };
                    open.push_back((hops + 1, names::number(to), event));
                }
                Action::Learned { .. } => most = most.max(hops),
                Action::Digest(_) | Action::Decide(_) => {}
            }
        }
    }
    (most, sent)
}

pub(crate) fn measure() -> Vec<Series> {
    let mut series = processor();
    series.push(kept());
    let mut hops = Series::new("spread.hops", "hops", "log2 of members");
    let mut copies = Series::new("spread.messages", "messages", "router");
    for depth in DEPTHS {
        let (most, sent) = spread(1 << depth);
        hops.push(depth, most as f64);
        copies.push(1 << depth, sent as f64);
    }
    let mut bytes = Series::new("spread.bytes", "B per message", "B of payload");
    for payload in PAYLOADS {
        let message = Message::Push {
            forward: Forward::ToChildren,
            news: news(1, 1, payload),
        };
        bytes.push(payload, datagram_bytes(1, &message) as f64);
    }
    series.extend([hops, copies, bytes]);
    series
}
