//! Records a trace of a small fleet for replay.
//!
//! Usage: `cargo run --example record -- losses|departure > trace.jsonl`

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Duration;

use eelgrassrock_model::fleet::Goal;
use eelgrassrock_ownership::Event;
use eelgrassrock_ownership::replay::{Bounds, Line};
use world::{Shape, World, upstream};

const SECOND: Duration = Duration::from_secs(1);

fn main() {
    let scenario = std::env::args().nth(1).unwrap_or_default();
    let (world, bounds) = match scenario.as_str() {
        "losses" => losses(),
        "departure" => departure(),
        other => {
            eprintln!("`{other}` isn't a scenario; give `losses` or `departure`");
            std::process::exit(2);
        }
    };
    for line in world.trace.into_iter().flatten() {
        print(&line);
    }
    print(&Line::Bounds(bounds));
}

fn print(line: &Line) {
    let text = serde_json::to_string(line).expect("lines have text keys only");
    println!("{text}");
}

fn world(checks_orders: bool) -> World {
    let shape = Shape {
        checks_orders,
        shards: 16,
        goal: Goal::Availability,
        ..Shape::default()
    };
    let mut world = World::with_trace(shape, Some(Vec::new()));
    world.settle();
    world
}

/// An upstream is lost, and two seconds later a home.
fn losses() -> (World, Bounds) {
    let mut world = world(true);
    let least_moves = world.count_of(0) as u32;
    world.upstreams[&upstream(0)].up = false;
    world.run_for(2 * SECOND);
    let home = world.home_of(&upstream(1));
    world.stop(&home);
    world.run_for(2 * SECOND);
    let bounds = Bounds {
        least_moves,
        imbalance: 1.51,
        churn: 1.0,
        worst_unavailable_ms: 1_000,
    };
    (world, bounds)
}

/// The table is down for a while, then an upstream leaves.
fn departure() -> (World, Bounds) {
    let mut world = world(false);
    let least_moves = world.count_of(0) as u32;
    world.table.up = false;
    world.run_for(SECOND);
    world.table.up = true;
    world.run_for(SECOND);
    world.send_all(&Event::Leaving(vec![upstream(0)]));
    world.run_for(2 * SECOND);
    let bounds = Bounds {
        least_moves,
        imbalance: 1.51,
        churn: 1.0,
        worst_unavailable_ms: 20,
    };
    (world, bounds)
}
