//! Machines are restarted in turn while some of the store's answers are lost. One write of a stopping
//! process gets no answer and is done six seconds later, when its machine runs again.

use std::thread;
use std::time::Duration;

use crate::platform::Late;
use crate::router::{Machine, SIGTERM};
use crate::world::{Route, World, configuration};

const APPLY: Duration = Duration::from_millis(2_000);
/// Longest delay of a write that is done late.
const LATE: Duration = Duration::from_millis(5_900);

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
    // As many machines in each zone as at the Umuhanga gateway.
    let places = [(0, 1), (0, 2), (0, 3), (0, 4), (1, 1), (1, 2), (2, 1), (2, 2)];
    let machines: Vec<Machine> = places.iter().map(|(zone, number)| world.fleet.machine(*zone, *number)).collect();
    for machine in &machines {
        world.fleet.start(machine, true);
    }
    if !world.fleet.await_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    // The platform restarts three machines, one second apart.
    let rolled = [&machines[4], &machines[2], &machines[6]];
    if has_trouble {
        let key = format!("router/{}", machines[2].name);
        world.store.delay(Late { key, removes: true, by: LATE });
    }
    let (fleet, store) = (&world.fleet, &world.store);
    thread::scope(|scope| {
        for (index, machine) in rolled.into_iter().enumerate() {
            scope.spawn(move || {
                thread::sleep(Duration::from_secs(index as u64));
                fleet.signal(machine, SIGTERM);
                fleet.await_end(machine, Duration::from_secs(6));
                thread::sleep(Duration::from_millis(300));
                fleet.start(machine, false);
            });
        }
    });
    if !world.fleet.await_ready(&machines, Duration::from_secs(10)) || !store.has_delayed() {
        return None;
    }
    // Long after the roll and the last impairment, the operator moves the route.
    thread::sleep(Duration::from_secs(16));
    for machine in &machines {
        world.send(machine, "POST", "/issue/before", None);
    }
    world.configure(&configuration(2, &[route("issuer-new")], &services));
    world.record.line("config r2 acknowledged: the route moves to issuer-new");
    thread::sleep(APPLY);
    let mut old = 0;
    for round in 0..100 {
        for machine in machines.iter().filter(|machine| machine.is_ready()) {
            let (id, _) = world.send(machine, "POST", &format!("/issue/{round}"), None);
            if world.record.runs(&id).iter().any(|run| run.service == "issuer") {
                old += 1;
                world.record.line(&format!("CONFIG: request {id}, sent to {} over 2000 ms after the ack of r2, was run by the old service", machine.name));
            }
        }
        thread::sleep(Duration::from_millis(60));
    }
    world.record.line(&format!("{old} requests were run by the old service"));
    Some(old > 0)
}
