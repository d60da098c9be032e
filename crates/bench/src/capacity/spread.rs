//! Propagation of news, measured on the tree of one router, and hop by hop through all routers
//! of a data centre.

use std::collections::VecDeque;
use std::hint::black_box;

use eelgrassrock_membership::spread::{Action, Event, Forward, Message, News, Settings, Tree};
use eelgrassrock_model::Version;
use eelgrassrock_model::time::Instant;

use super::codec::datagram_bytes;
use super::{Series, micros, names};
use crate::{cpu, memory};

const MEMBER_COUNTS: [usize; 4] = [250, 500, 1_000, 2_000];
const KEY_COUNTS: [usize; 3] = [5_000, 10_000, 20_000];
const PAYLOAD_BYTES: [usize; 4] = [100, 200, 400, 800];
/// Binary logarithms of the numbers of routers for which the hops are counted.
const MEMBER_COUNT_LOG2S: [usize; 4] = [4, 6, 8, 10];
/// Size of a row with the home of an upstream, or of a small difference between two
/// bundles.
const ROW_BYTES: usize = 300;
const PUSHES_PER_RUN: usize = 300;
const MIN_RUNS: usize = 5;

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

fn push_event(version: usize) -> Event {
    let message = Message::Push {
        forward: Forward::ToChildren,
        news: news(1, version, ROW_BYTES),
    };
    Event::Received {
        from: names::address(2),
        message,
    }
}

fn measure_cpu() -> Vec<Series> {
    let mut members_time = Series::new("spread.members", "us per change", "member");
    let mut push_time = Series::flat("spread.push", "us per news", "member");
    for members in MEMBER_COUNTS {
        let live: Vec<_> = (0..members).map(names::live).collect();
        let time = cpu::median_time(
            MIN_RUNS,
            || (tree(1, members), Some(live.clone())),
            |(tree, live)| {
                let live = live.take().unwrap_or_default();
                black_box(tree.step(Instant::default(), Event::Members(live)));
            },
        );
        members_time.push(members, micros(time));
        let time = cpu::median_time(
            MIN_RUNS,
            || tree(1, members),
            |tree| {
                for version in 1..=PUSHES_PER_RUN {
                    black_box(tree.step(Instant::default(), push_event(version)));
                }
            },
        );
        push_time.push(members, micros(time) / PUSHES_PER_RUN as f64);
    }
    vec![members_time, push_time]
}

fn measure_memory() -> Series {
    let mut series = Series::new("spread.memory", "B", "row of 300 B");
    for keys in KEY_COUNTS {
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

/// Publishes one piece of news and returns the largest number of hops to a router that learns
/// it, and the number of messages sent.
fn propagate(members: usize) -> (usize, usize) {
    let mut trees: Vec<Tree> = (0..members).map(|number| tree(number, members)).collect();
    let mut in_flight = VecDeque::from([(0, 0, Event::Publish(news(1, 1, ROW_BYTES)))]);
    let (mut max_hops, mut sent_messages) = (0, 0);
    while let Some((hops, number, event)) = in_flight.pop_front() {
        for action in trees[number].step(Instant::default(), event) {
            match action {
                Action::Send { to, message } => {
                    sent_messages += 1;
                    let event = Event::Received {
                        from: names::address(number),
                        message,
                    };
                    in_flight.push_back((hops + 1, names::number(to), event));
                }
                Action::Learned { .. } => max_hops = max_hops.max(hops),
                Action::Digest(_) | Action::Decide(_) => {}
            }
        }
    }
    (max_hops, sent_messages)
}

pub(crate) fn measure() -> Vec<Series> {
    let mut series = measure_cpu();
    series.push(measure_memory());
    let mut hops = Series::new("spread.hops", "hops", "log2 of members");
    let mut messages = Series::new("spread.messages", "messages", "router");
    for log2 in MEMBER_COUNT_LOG2S {
        let (max_hops, sent_messages) = propagate(1 << log2);
        hops.push(log2, max_hops as f64);
        messages.push(1 << log2, sent_messages as f64);
    }
    let mut bytes = Series::new("spread.bytes", "B per message", "B of payload");
    for payload in PAYLOAD_BYTES {
        let message = Message::Push {
            forward: Forward::ToChildren,
            news: news(1, 1, payload),
        };
        bytes.push(payload, datagram_bytes(1, &message) as f64);
    }
    series.extend([hops, messages, bytes]);
    series
}
