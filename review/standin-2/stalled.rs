//! The store is unavailable in part: for some seconds, calls for the table of the instances get no
//! response. A while after its return an instance reports that it drains.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::router::Machine;
use crate::world::{Route, World, configuration};

const DRAIN: Duration = Duration::from_millis(2_000);
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Calm time after the outage, more than `stable`.
const CALM: Duration = Duration::from_secs(5);
/// Time after its report at which the instance exits: `drain` and a little longer.
const LEFT: Duration = Duration::from_secs(4);

pub fn play(path: &str, has_trouble: bool) -> Option<bool> {
    let world = World::new(path, &["kig-a", "kig-b", "kig-c"]);
    let route = Route { name: "r-1", prefix: "/issue/", kind: "unsafe", service: "issuer" };
    world.configure(&configuration(1, &[route], &["issuer"]));
    let work = Duration::from_millis(200);
    let leaving = world.instance("i-1", "issuer", "kig-a", work);
    let _others = [
        world.instance("i-2", "issuer", "kig-a", work),
        world.instance("i-3", "issuer", "kig-b", work),
        world.instance("i-4", "issuer", "kig-c", work),
    ];
    let places = [(0, 1), (0, 2), (0, 3), (0, 4), (1, 1), (1, 2), (2, 1), (2, 2)];
    let machines: Vec<Machine> = places.iter().map(|(zone, number)| world.fleet.machine(*zone, *number)).collect();
    for machine in &machines {
        world.fleet.start(machine, true);
    }
    if !world.fleet.await_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        world.store.set_silent(Some("servers"));
        thread::sleep(OUTAGE);
        world.store.set_silent(None);
    } else {
        thread::sleep(OUTAGE);
    }
    thread::sleep(CALM);
    let has_ended = AtomicBool::new(false);
    let served = Mutex::new(HashSet::new());
    let reported_at = thread::scope(|scope| {
        for machine in &machines {
            for caller in 0..3 {
                let (world, has_ended, served) = (&world, &has_ended, &served);
                scope.spawn(move || {
                    let mut round = 0;
                    while !has_ended.load(Ordering::Relaxed) {
                        round += 1;
                        let path = format!("/issue/{caller}-{round}");
                        let (id, answer) = world.send(machine, "POST", &path, None);
                        if answer.is_some_and(|answer| answer.status() == 200) {
                            served.lock().unwrap().insert(id);
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        }
        thread::sleep(Duration::from_secs(1));
        world.store.write("servers", &leaving.id, Some(&leaving.entry("draining", 2)));
        let reported_at = world.record.now();
        thread::sleep(LEFT);
        leaving.exit();
        thread::sleep(Duration::from_secs(1));
        has_ended.store(true, Ordering::Relaxed);
        reported_at
    });
    let after = world.record.runs_at(&leaving.id).into_iter().filter(|(_, run)| run.at > reported_at);
    let after: Vec<_> = after.map(|(id, run)| (id, run.at - reported_at)).collect();
    let late: Vec<_> = after.iter().filter(|(_, after)| *after > DRAIN).collect();
    for (id, after) in late.iter().take(20) {
        world.record.line(&format!("DRAIN: request {id} reached {} {:.0} ms after the ack of its report", leaving.id, after.as_secs_f64() * 1e3));
    }
    let served = served.into_inner().unwrap();
    let lost = late.iter().filter(|(id, _)| !served.contains(id)).count();
    world.record.line(&format!("{lost} of them were running when it exited, and were lost"));
    let last = after.last().map_or(0.0, |(_, after)| after.as_secs_f64() * 1e3);
    world.record.line(&format!("{} requests reached {} after the ack of its report, the last {last:.0} ms after it; {} later than 2000 ms", after.len(), leaving.id, late.len()));
    Some(!late.is_empty())
}
