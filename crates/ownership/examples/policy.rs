//! Compares the placement policy with a static hash, on two reference fleets, one for
//! each placement goal. Runs the real machines in virtual time.
//!
//! Usage: `cargo run --release --example policy`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::collections::HashMap;
use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::fleet::{Fleet, Goal};
use eelgrassrock_model::shard::{Count, Shard};
use eelgrassrock_ownership::Event;
use simulation::{Config, Simulation, router, upstream};

const SECOND: Duration = Duration::from_secs(1);
const SHARDS: u32 = 256;
const KEYS: u32 = 20_000;
/// Busy share of all slots of a service.
const LOAD: f64 = 0.4;
const SAMPLE: Duration = Duration::from_millis(10);
const MINUTES: u32 = 4;

struct Service {
    name: &'static str,
    upstreams: usize,
    zones: usize,
    slots: u32,
    goal: Goal,
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    Join,
    Leave,
    Loss,
    DataCentre,
    Hot,
    HotMoves,
}

const SCENARIOS: [(Scenario, &str); 7] = [
    (Scenario::Steady, "no change"),
    (Scenario::Join, "one joins"),
    (Scenario::Leave, "one leaves"),
    (Scenario::Loss, "one is lost"),
    (Scenario::DataCentre, "a data centre is lost"),
    (Scenario::Hot, "hot key"),
    (Scenario::HotMoves, "hot key moves every minute"),
];

#[derive(Default)]
struct Unavailable {
    sum: Duration,
    worst: Duration,
    since: HashMap<Shard, Duration>,
}

fn main() {
    let availability_services = [("lookup", 8), ("issuing", 6), ("label", 11)];
    let balance_services = [("catalogue", 14), ("booking", 9), ("manifest", 13)];
    println!("| service | event | imbalance | static hash | churn | static hash | sum | worst |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, upstreams) in availability_services {
        run_all(&Service {
            name,
            upstreams,
            zones: 3,
            slots: 2,
            goal: Goal::Availability,
        });
    }
    for (name, upstreams) in balance_services {
        run_all(&Service {
            name,
            upstreams,
            zones: 4,
            slots: 4,
            goal: Goal::Balance,
        });
    }
}

fn run_all(service: &Service) {
    for (scenario, label) in SCENARIOS {
        run(service, scenario, label);
    }
}

fn run(service: &Service, scenario: Scenario, label: &str) {
    let mut sim = Simulation::serving(Config {
        routers: 10,
        upstreams: service.upstreams,
        zones: service.zones,
        shards: SHARDS,
        slots: service.slots,
        goal: service.goal,
        ..Config::default()
    });
    sim.run_for(2 * SECOND);
    let weights = weights(None);
    for _ in 0..90 {
        run_second(&mut sim, service, &weights, &mut None);
    }
    let before = sim.entries();
    let least = apply(&mut sim, service, scenario);
    let mut unavailable = Some(Unavailable::default());
    let mut busy = HashMap::new();
    for minute in 0..MINUTES {
        let weights = self::weights(hot_key(scenario, minute));
        for _ in 0..60 {
            run_second(&mut sim, service, &weights, &mut unavailable);
            if minute + 1 == MINUTES {
                count(&sim, &weights, &mut busy);
            }
        }
    }
    assert_eq!(sim.violation, None);
    let after = sim.entries();
    let moves: u64 = before
        .iter()
        .zip(&after)
        .map(|(a, b)| b.epoch.0 - a.epoch.0)
        .sum();
    let (hash_imbalance, hash_moves) = baseline(service, scenario);
    let unavailable = unavailable.unwrap_or_default();
    println!(
        "| {} | {label} | {:.2} | {hash_imbalance:.2} | {} | {} | {:.2} s | {:.2} s |",
        service.name,
        imbalance(&busy, live(service, scenario).len()),
        churn(moves, least),
        churn(hash_moves, least),
        unavailable.sum.as_secs_f64(),
        unavailable.worst.as_secs_f64(),
    );
}

/// Returns the key that takes half of the load in a minute, if there is one.
fn hot_key(scenario: Scenario, minute: u32) -> Option<u32> {
    match scenario {
        Scenario::Hot => Some(KEYS / 2),
        Scenario::HotMoves => Some(KEYS / 2 + minute),
        _ => None,
    }
}

/// Returns the share of each shard in the load. Keys follow Zipf's law.
fn weights(hot: Option<u32>) -> Vec<f64> {
    let count = Count::try_from(SHARDS).expect("a power of two");
    let mut weights = vec![0.0; SHARDS as usize];
    let total: f64 = (1..=KEYS).map(|rank| 1.0 / f64::from(rank)).sum();
    let scale = if hot.is_some() { 0.5 } else { 1.0 };
    for rank in 1..=KEYS {
        let shard = count.shard_of(format!("key-{rank}").as_bytes());
        weights[shard.0 as usize] += scale / f64::from(rank) / total;
    }
    if let Some(rank) = hot {
        let shard = count.shard_of(format!("key-{rank}").as_bytes());
        weights[shard.0 as usize] += 0.5;
    }
    weights
}

/// Runs one second under load, and samples which shards are served.
fn run_second(
    sim: &mut Simulation,
    service: &Service,
    weights: &[f64],
    unavailable: &mut Option<Unavailable>,
) {
    let slots = service.upstreams as u32 * service.slots;
    let capacity = SECOND.mul_f64(f64::from(slots) * LOAD);
    sim.send_load(|shard| capacity.mul_f64(weights[shard.0 as usize]));
    let Some(unavailable) = unavailable else {
        sim.run_for(SECOND);
        return;
    };
    for _ in 0..(SECOND.as_millis() / SAMPLE.as_millis()) {
        let unserved = sim.unserved();
        unavailable
            .since
            .retain(|shard, _| unserved.contains(shard));
        for shard in unserved {
            let since = unavailable.since.entry(shard).or_default();
            *since += SAMPLE;
            unavailable.sum += SAMPLE;
            unavailable.worst = unavailable.worst.max(*since);
        }
        sim.run_for(SAMPLE);
    }
}

/// Applies the event of a scenario. Returns the least number of moves that it requires.
fn apply(sim: &mut Simulation, service: &Service, scenario: Scenario) -> u64 {
    let owned = |sim: &Simulation, index| sim.count_of(index) as u64;
    match scenario {
        Scenario::Steady | Scenario::Hot | Scenario::HotMoves => 0,
        Scenario::Join => {
            let mut larger = sim.config.clone();
            larger.upstreams += 1;
            sim.set_fleet(Fleet {
                version: Version(2),
                ..simulation::fleet(&larger)
            });
            u64::from(SHARDS) / larger.upstreams as u64
        }
        Scenario::Leave => {
            sim.send_all(&Event::Leaving(vec![upstream(0)]));
            owned(sim, 0)
        }
        Scenario::Loss => {
            sim.upstreams[&upstream(0)].is_up = false;
            owned_by_table(sim, 0)
        }
        Scenario::DataCentre => {
            let lost: Vec<usize> = (0..service.upstreams).step_by(service.zones).collect();
            for index in (0..10).step_by(service.zones) {
                sim.stop(&router(index));
            }
            lost.iter()
                .for_each(|it| sim.upstreams[&upstream(*it)].is_up = false);
            lost.iter().map(|it| owned_by_table(sim, *it)).sum()
        }
    }
}

fn owned_by_table(sim: &Simulation, index: usize) -> u64 {
    let name = upstream(index);
    let entries = sim.entries();
    entries
        .iter()
        .filter(|it| it.owner.as_ref() == Some(&name))
        .count() as u64
}

/// Adds the load of one second to the busy time of the owners.
fn count(sim: &Simulation, weights: &[f64], busy: &mut HashMap<String, f64>) {
    for (entry, weight) in sim.entries().iter().zip(weights) {
        let owner = entry.owner.as_ref().map(ToString::to_string);
        *busy.entry(owner.unwrap_or_default()).or_default() += weight;
    }
}

fn imbalance(busy: &HashMap<String, f64>, upstreams: usize) -> f64 {
    let sum: f64 = busy.values().sum();
    let most = busy.values().copied().fold(0.0, f64::max);
    most * upstreams as f64 / sum
}

/// Returns the indexes of the upstreams that are live after the event.
fn live(service: &Service, scenario: Scenario) -> Vec<usize> {
    let all = 0..service.upstreams;
    match scenario {
        Scenario::Join => (0..=service.upstreams).collect(),
        Scenario::Leave | Scenario::Loss => all.skip(1).collect(),
        Scenario::DataCentre => all.filter(|it| it % service.zones != 0).collect(),
        _ => all.collect(),
    }
}

/// Returns the imbalance and the moves of a static hash over the live upstreams.
fn baseline(service: &Service, scenario: Scenario) -> (f64, u64) {
    let live = live(service, scenario);
    let weights = weights(hot_key(scenario, MINUTES - 1));
    let mut busy = HashMap::new();
    let mut moves = 0;
    for (shard, weight) in weights.iter().enumerate() {
        let owner = live[shard % live.len()];
        moves += u64::from(owner != shard % service.upstreams);
        *busy.entry(owner.to_string()).or_default() += weight;
    }
    (imbalance(&busy, live.len()), moves)
}

fn churn(moves: u64, least: u64) -> String {
    if least == 0 {
        format!("{moves} moves")
    } else {
        format!("{:.2}", moves as f64 / least as f64)
    }
}
