//! Records a trace of a small fleet for replay.
//!
//! Usage: `cargo run --example record -- losses|departure > trace.jsonl`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use eelgrassrock_model::fleet::Goal;
use eelgrassrock_ownership::Event;
use eelgrassrock_ownership::replay::{Bounds, Line};
use simulation::{Config, Simulation, upstream};

const SECOND: Duration = Duration::from_secs(1);

fn main() {
    let scenario = std::env::args().nth(1).unwrap_or_default();
    let (sim, bounds) = match scenario.as_str() {
        "losses" => losses(),
        "departure" => departure(),
        other => {
            eprintln!("`{other}` isn't a scenario; give `losses` or `departure`");
            std::process::exit(2);
        }
    };
    for line in sim.trace.into_iter().flatten() {
        print(&line);
    }
    print(&Line::Bounds(bounds));
}

fn print(line: &Line) {
    let text = serde_json::to_string(line).expect("lines have text keys only");
    println!("{text}");
}

fn sim(checks_orders: bool) -> Simulation {
    let config = Config {
        checks_orders,
        shards: 16,
        goal: Goal::Availability,
        ..Config::default()
    };
    let mut sim = Simulation::with_trace(config, Some(Vec::new()));
    sim.run_until_served();
    sim
}

/// Loses an upstream and, two seconds later, a home.
fn losses() -> (Simulation, Bounds) {
    let mut sim = sim(true);
    let least_moves = sim.count_of(0) as u32;
    sim.upstreams[&upstream(0)].is_up = false;
    sim.run_for(2 * SECOND);
    let home = sim.home_of(&upstream(1));
    sim.stop(&home);
    sim.run_for(2 * SECOND);
    let bounds = Bounds {
        least_moves,
        imbalance: 1.51,
        churn: 1.0,
        worst_unavailable_ms: 1_000,
    };
    (sim, bounds)
}

/// Takes the table down for a second, and lets an upstream leave afterwards.
fn departure() -> (Simulation, Bounds) {
    let mut sim = sim(false);
    let least_moves = sim.count_of(0) as u32;
    sim.table.is_up = false;
    sim.run_for(SECOND);
    sim.table.is_up = true;
    sim.run_for(SECOND);
    sim.send_all(&Event::Leaving(vec![upstream(0)]));
    sim.run_for(2 * SECOND);
    let bounds = Bounds {
        least_moves,
        imbalance: 1.51,
        churn: 1.0,
        worst_unavailable_ms: 20,
    };
    (sim, bounds)
}
