//! Several machines of a zone are lost for good, without a SIGTERM, and answer nothing any more.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::thread;
use std::time::Duration;

use crate::router::{Dark, Machine};
use crate::world::{Route, World, configuration};

const APPLY: Duration = Duration::from_millis(2_000);

/// Order in which the program prefers machines of equal size.
fn rank(machine: &Machine) -> u64 {
    let mut hasher = DefaultHasher::new();
    machine.name.as_str().hash(&mut hasher);
    hasher.finish()
}

pub fn play(path: &str, has_trouble: bool) -> Option<bool> {
    let world = World::new(path, &["kig-a", "kig-b", "kig-c"]);
    let route = |service| Route { name: "r-1", prefix: "/issue/", kind: "unsafe", service };
    let services = ["issuer", "issuer-new"];
    world.configure(&configuration(1, &[route("issuer")], &services));
    let work = Duration::from_millis(20);
    let _instances = [
        world.instance("i-old-1", "issuer", "kig-a", work),
        world.instance("i-old-2", "issuer", "kig-b", work),
        world.instance("i-new-1", "issuer-new", "kig-a", work),
        world.instance("i-new-2", "issuer-new", "kig-b", work),
    ];
    let places = [(0, 1), (0, 2), (0, 3), (0, 4), (0, 5), (0, 6), (1, 1), (1, 2), (2, 1), (2, 2)];
    let machines: Vec<Machine> = places.iter().map(|(zone, number)| world.fleet.machine(*zone, *number)).collect();
    for machine in &machines {
        world.fleet.start(machine, true);
    }
    if !world.fleet.await_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    // The last one in the program's order stays in its zone.
    let mut zone = machines[..6].to_vec();
    zone.sort_by_key(|machine| Reverse(rank(machine)));
    let survivor = zone.remove(0);
    let mut silent = Vec::new();
    if has_trouble {
        for machine in &zone {
            world.fleet.kill(machine);
            // Connections to a machine without power hang.
            silent.push(Dark::at(machine.internal())?);
        }
    }
    world.record.line(&format!("{} is the last machine of its zone", survivor.name));
    thread::sleep(Duration::from_secs(20));
    let mut left = machines[6..].to_vec();
    left.push(survivor);
    for machine in &left {
        world.send(machine, "POST", "/issue/before", None);
    }
    world.configure(&configuration(2, &[route("issuer-new")], &services));
    world.record.line("config r2 acknowledged: the route moves to issuer-new");
    thread::sleep(APPLY);
    let mut old = 0;
    for round in 0..100 {
        for machine in left.iter().filter(|machine| machine.is_ready()) {
            let (id, _) = world.send(machine, "POST", &format!("/issue/{round}"), None);
            if world.record.runs(&id).iter().any(|run| run.service == "issuer") {
                old += 1;
                world.record.line(&format!("CONFIG: request {id}, sent to {} over 2000 ms after the ack of r2, was run by the old service", machine.name));
            }
        }
        thread::sleep(Duration::from_millis(60));
    }
    world.record.line(&format!("{old} requests were run by the old service"));
    drop(silent);
    Some(old > 0)
}
