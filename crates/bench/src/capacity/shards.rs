//! Map of shards and homes that each router keeps.

use std::hint::black_box;
use std::sync::Arc;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Version};
use eelgrassrock_ownership::row::{BLOCK_SHARDS, Entry, Home, Key, encode_block};
use eelgrassrock_ownership::{Event, Machine, Settings};

use super::deployment::{SHARDS_PER_UPSTREAM, fleet, service, upstream};
use super::{Series, micros, names};
use crate::{cpu, memory};

const UPSTREAMS: [usize; 4] = [256, 512, 1_024, 2_048];
const LOOKUPS: u32 = 1_000;
const CHANGES: u64 = 4;
const RUNS: usize = 5;
const NOW: Instant = Instant::from_millis(1_000);

fn row(key: &Key, version: u64, value: Arc<str>) -> Row {
    Row {
        key: key.text(),
        version: Version(version),
        operation: Operation(Arc::from("bench")),
        value,
    }
}

/// Returns the row of a block whose shards are spread over all upstreams, so
/// that no two neighbours have the same owner.
fn block(index: u32, upstreams: usize, version: u64) -> Row {
    let entry = |offset| {
        let shard = (index * BLOCK_SHARDS + offset) as usize;
        Entry {
            owner: Some(upstream(shard % upstreams)),
            epoch: Epoch(1 + u64::from(offset == 0) * version),
            prior: None,
            prior_term: None,
        }
    };
    let entries: Vec<Entry> = (0..BLOCK_SHARDS).map(entry).collect();
    row(
        &Key::Block(service(), index),
        version,
        encode_block(&entries),
    )
}

fn home(number: usize) -> Row {
    let home = Home::new(
        names::router(number % 64 + 1),
        "4f2a",
        names::address(number % 64 + 1),
    );
    row(&Key::Home(upstream(number)), 1, home.encode())
}

fn blocks(upstreams: usize) -> u32 {
    (upstreams * SHARDS_PER_UPSTREAM) as u32 / BLOCK_SHARDS
}

fn empty(upstreams: usize) -> Machine {
    let (router, address) = (names::router(0), names::address(0));
    let settings = Settings::builder(router, address, names::data_centre(), "4f2a");
    let mut machine = Machine::new(settings.build());
    machine.step(NOW, Event::Fleet(fleet(upstreams)));
    machine
}

fn with_blocks(upstreams: usize) -> Machine {
    let mut machine = empty(upstreams);
    let rows = (0..blocks(upstreams)).map(|index| block(index, upstreams, 1));
    machine.step(NOW, Event::Rows(rows.collect()));
    machine
}

fn with_homes(mut machine: Machine, upstreams: usize) -> Machine {
    machine.step(NOW, Event::Rows((0..upstreams).map(home).collect()));
    machine
}

pub(crate) fn measure() -> Vec<Series> {
    let mut text = Series::new("shards.text", "B of rows", "shard");
    let mut kept = Series::new("shards.memory", "B", "shard");
    let mut homes = Series::new("homes.memory", "B", "upstream");
    let mut lookup = Series::flat("shards.route", "ns", "shard");
    let mut learn = Series::flat("shards.learn", "us per changed row", "shard");
    for upstreams in UPSTREAMS {
        let shards = upstreams * SHARDS_PER_UPSTREAM;
        let rows = (0..blocks(upstreams)).map(|index| block(index, upstreams, 1).value.len());
        text.push(shards, rows.sum::<usize>() as f64);
        let (base, base_bytes) = memory::retained(|| empty(upstreams));
        drop(base);
        let (machine, bytes) = memory::retained(|| with_blocks(upstreams));
        kept.push(shards, bytes.saturating_sub(base_bytes) as f64);
        let (machine, bytes) = memory::retained(|| with_homes(machine, upstreams));
        homes.push(upstreams, bytes as f64);
        let (service, count) = (service(), shards as u32);
        let mut turn = 0_u32;
        let span = cpu::median(
            RUNS,
            || (),
            |()| {
                for _ in 0..LOOKUPS {
                    turn = turn.wrapping_add(1);
                    let shard = Shard(turn.wrapping_mul(2_654_435_761) % count);
                    black_box(machine.route(&service, shard));
                }
            },
        );
        lookup.push(shards, micros(span) * 1_000.0 / f64::from(LOOKUPS));
        let mut machine = machine;
        let mut version = 1;
        let span = cpu::median(
            RUNS,
            || {
                let first = version + 1;
                version += CHANGES;
                let versions = first..=version;
                versions
                    .map(|version| block(0, upstreams, version))
                    .collect::<Vec<Row>>()
            },
            |changes| {
                for row in changes.drain(..) {
                    black_box(machine.step(NOW, Event::Rows(vec![row])));
                }
            },
        );
        learn.push(shards, micros(span) / CHANGES as f64);
    }
    vec![text, kept, homes, lookup, learn]
}
