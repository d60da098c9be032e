//! Map of shards and homes that each router keeps: its memory, lookups and updates.

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

const UPSTREAM_COUNTS: [usize; 4] = [256, 512, 1_024, 2_048];
const LOOKUPS_PER_RUN: u32 = 1_000;
const CHANGES_PER_RUN: u64 = 4;
const MIN_RUNS: usize = 5;
const NOW: Instant = Instant::from_millis(1_000);

fn row(key: &Key, version: u64, value: Arc<str>) -> Row {
    Row {
        key: key.text(),
        version: Version(version),
        operation: Operation(Arc::from("bench")),
        value,
    }
}

/// Returns the row of a block whose shards are assigned to the upstreams in turn, so that no
/// two adjacent shards have the same owner.
fn block_row(index: u32, upstreams: usize, version: u64) -> Row {
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

fn home_row(number: usize) -> Row {
    let home = Home::new(
        names::router(number % 64 + 1),
        "4f2a",
        names::address(number % 64 + 1),
    );
    row(&Key::Home(upstream(number)), 1, home.encode())
}

fn block_count(upstreams: usize) -> u32 {
    (upstreams * SHARDS_PER_UPSTREAM) as u32 / BLOCK_SHARDS
}

fn empty_machine(upstreams: usize) -> Machine {
    let (router, address) = (names::router(0), names::address(0));
    let settings = Settings::builder(router, address, names::data_centre(), "4f2a");
    let mut machine = Machine::new(settings.build());
    machine.step(NOW, Event::Fleet(fleet(upstreams)));
    machine
}

fn machine_with_blocks(upstreams: usize) -> Machine {
    let mut machine = empty_machine(upstreams);
    let rows = (0..block_count(upstreams)).map(|index| block_row(index, upstreams, 1));
    machine.step(NOW, Event::Rows(rows.collect()));
    machine
}

fn add_homes(mut machine: Machine, upstreams: usize) -> Machine {
    machine.step(NOW, Event::Rows((0..upstreams).map(home_row).collect()));
    machine
}

pub(crate) fn measure() -> Vec<Series> {
    let mut block_bytes = Series::new("shards.text", "B of rows", "shard");
    let mut shard_memory = Series::new("shards.memory", "B", "shard");
    let mut home_memory = Series::new("homes.memory", "B", "upstream");
    let mut route_time = Series::flat("shards.route", "ns", "shard");
    let mut learn_time = Series::flat("shards.learn", "us per changed row", "shard");
    for upstreams in UPSTREAM_COUNTS {
        let shards = upstreams * SHARDS_PER_UPSTREAM;
        let rows =
            (0..block_count(upstreams)).map(|index| block_row(index, upstreams, 1).value.len());
        block_bytes.push(shards, rows.sum::<usize>() as f64);
        let (empty, empty_bytes) = memory::retained(|| empty_machine(upstreams));
        drop(empty);
        let (machine, bytes) = memory::retained(|| machine_with_blocks(upstreams));
        shard_memory.push(shards, bytes.saturating_sub(empty_bytes) as f64);
        let (machine, bytes) = memory::retained(|| add_homes(machine, upstreams));
        home_memory.push(upstreams, bytes as f64);
        let (service, count) = (service(), shards as u32);
        let mut lookup = 0_u32;
        let time = cpu::median_time(
            MIN_RUNS,
            || (),
            |()| {
                for _ in 0..LOOKUPS_PER_RUN {
                    lookup = lookup.wrapping_add(1);
                    // The multiplicative hash scatters the lookups over the shards.
                    let shard = Shard(lookup.wrapping_mul(2_654_435_761) % count);
                    black_box(machine.route(&service, shard));
                }
            },
        );
        route_time.push(shards, micros(time) * 1_000.0 / f64::from(LOOKUPS_PER_RUN));
        let mut machine = machine;
        let mut version = 1;
        let time = cpu::median_time(
            MIN_RUNS,
            || {
                let first = version + 1;
                version += CHANGES_PER_RUN;
                let versions = first..=version;
                versions
                    .map(|version| block_row(0, upstreams, version))
                    .collect::<Vec<Row>>()
            },
            |changes| {
                for row in changes.drain(..) {
                    black_box(machine.step(NOW, Event::Rows(vec![row])));
                }
            },
        );
        learn_time.push(shards, micros(time) / CHANGES_PER_RUN as f64);
    }
    vec![
        block_bytes,
        shard_memory,
        home_memory,
        route_time,
        learn_time,
    ]
}
