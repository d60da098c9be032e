//! Measures the time of a route and of a step for fleets of different sizes.
//!
//! Usage: `cargo run --example cost`

use std::sync::Arc;
use std::time::{Duration, Instant as Clock};

use eelgrassrock_model::Version;
use eelgrassrock_model::fleet::{self, Fleet, Goal};
use eelgrassrock_model::shard::{Count, Shard};
use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_ownership::row::{Entry, Home, encode_block};
use eelgrassrock_ownership::{Event, Machine, Member, Settings};

const ROUNDS: u32 = 20_000;
const UPSTREAMS_PER_SERVICE: usize = 10;

fn main() {
    println!("| upstreams | routers | shards | route | step without work |");
    println!("| --- | --- | --- | --- | --- |");
    for upstreams in [10, 1_000, 10_000] {
        measure(upstreams);
    }
}

fn measure(upstreams: usize) {
    let address = "10.0.0.1:1".parse().expect("an address");
    let name = |text: &str| text.parse().expect("a name");
    let zone = "z1".parse().expect("a name");
    let settings = Settings::builder(name("r0"), address, zone, "1").build();
    let mut machine = Machine::new(settings);
    let member = |index: usize| Member {
        router: name(&format!("r{index}")),
        data_centre: "z1".parse().expect("a name"),
        address,
    };
    let routers = upstreams;
    let start = Instant::from_millis(1);
    machine.step(start, Event::Rows(rows(upstreams)));
    machine.step(start, Event::Members((0..routers).map(member).collect()));
    machine.step(start, Event::Fleet(fleet(upstreams)));
    let service = "s0".parse().expect("a name");
    let route = time(|round| {
        std::hint::black_box(machine.route(&service, Shard(round % 256)));
    });
    let step = time(|round| {
        let now = start + Duration::from_micros(u64::from(round));
        std::hint::black_box(machine.step(now, Event::Tick));
    });
    let shards = upstreams / UPSTREAMS_PER_SERVICE * 256;
    println!("| {upstreams} | {routers} | {shards} | {route} ns | {step} ns |");
}

fn time(mut run: impl FnMut(u32)) -> u128 {
    let start = Clock::now();
    (0..ROUNDS).for_each(&mut run);
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn fleet(upstreams: usize) -> Fleet {
    let mut fleet = Fleet {
        version: Version(1),
        ..Fleet::default()
    };
    let shards = Count::try_from(256).expect("a power of two");
    for index in 0..upstreams {
        let service: eelgrassrock_model::Service = format!("s{}", index / UPSTREAMS_PER_SERVICE)
            .parse()
            .expect("a name");
        let goal = Goal::Balance;
        let declared = fleet::Service { shards, goal };
        fleet.services.entry(service.clone()).or_insert(declared);
        let declared = fleet::Upstream {
            service,
            data_centre: "z2".parse().expect("a name"),
            address: "10.0.1.1:1".parse().expect("an address"),
            slots: 2,
            connections: 110,
            checks_orders: true,
            checks_idempotency: false,
        };
        let name = format!("u{index}").parse().expect("a name");
        fleet.upstreams.insert(name, declared);
    }
    fleet
}

/// Returns rows in which each upstream has a live home and each shard an owner.
fn rows(upstreams: usize) -> Vec<Row> {
    let row = |key: String, value: Arc<str>| Row {
        key: key.into(),
        version: Version(1),
        operation: Operation("o".into()),
        value,
    };
    let address = "10.0.0.1:1".parse().expect("an address");
    let homes = (0..upstreams).map(|index| {
        let router = format!("r{}", index.max(1)).parse().expect("a name");
        row(
            format!("home/u{index}"),
            Home::new(router, "1", address).encode(),
        )
    });
    let blocks = (0..upstreams / UPSTREAMS_PER_SERVICE).map(|service| {
        let entries: Vec<Entry> = (0..256)
            .map(|shard| Entry {
                owner: Some(
                    format!("u{}", service * UPSTREAMS_PER_SERVICE + shard % 10)
                        .parse()
                        .expect("a name"),
                ),
                epoch: eelgrassrock_model::Epoch(1),
                ..Entry::default()
            })
            .collect();
        row(format!("shards/s{service}/0"), encode_block(&entries))
    });
    homes.chain(blocks).collect()
}
