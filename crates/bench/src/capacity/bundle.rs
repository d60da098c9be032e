//! Parsing and comparison of bundles.

use std::hint::black_box;

use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::diff;
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;

use super::deployment::bundle_text;
use super::{Series, micros};
use crate::{cpu, memory};

const UPSTREAM_COUNTS: [usize; 4] = [128, 256, 512, 1_024];
const MIN_RUNS: usize = 5;

fn text(upstreams: usize, version: u64, weight: u32) -> String {
    let key = Key::generate(&mut ChaCha20Rng::seed_from_u64(1));
    let approver = format!("[approver imena]\npublic-key = {}\n", key.public());
    bundle_text(upstreams, version, weight) + &approver
}

fn parse(text: &str) -> Bundle {
    Bundle::parse("bundle.ini", text).unwrap_or_else(|report| panic!("{report}"))
}

pub(crate) fn measure() -> Vec<Series> {
    let mut text_bytes = Series::new("bundle.bytes", "B", "upstream");
    let mut parse_time = Series::new("bundle.parse", "us", "upstream");
    let mut diff_time = Series::new("bundle.diff", "us", "upstream");
    let mut differences = Series::flat("bundle.changes", "differences", "upstream");
    let mut memory_bytes = Series::new("bundle.memory", "B", "upstream");
    for upstreams in UPSTREAM_COUNTS {
        let (old, new) = (text(upstreams, 1, 1), text(upstreams, 2, 2));
        text_bytes.push(upstreams, old.len() as f64);
        let time = cpu::median_time(MIN_RUNS, || (), |()| drop(black_box(parse(&old))));
        parse_time.push(upstreams, micros(time));
        let ((old, fleet), bytes) = memory::retained(|| {
            let bundle = parse(&old);
            let fleet = bundle.fleet();
            (bundle, fleet)
        });
        memory_bytes.push(upstreams, bytes as f64);
        drop(fleet);
        let new = parse(&new);
        let time = cpu::median_time(
            MIN_RUNS,
            || (),
            |()| drop(black_box(diff::diff(&old, &new))),
        );
        diff_time.push(upstreams, micros(time));
        differences.push(upstreams, diff::diff(&old, &new).len() as f64);
    }
    vec![text_bytes, parse_time, diff_time, differences, memory_bytes]
}
