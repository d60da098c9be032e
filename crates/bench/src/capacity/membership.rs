//! Failure detection, measured on one router whose peers all answer, and on whole clusters
//! with a virtual clock.

use std::time::Duration;

use eelgrassrock_membership::member::{
    Action, Body, Event, Machine, Message, Rumour, Settings, State, Tag,
};
use eelgrassrock_model::time::Instant;

use super::cluster::Cluster;
use super::codec::{self, INCARNATION};
use super::{Series, micros, names};
use crate::{cpu, memory};

const MEMBER_COUNTS: [usize; 4] = [250, 500, 1_000, 2_000];
const CLUSTER_SIZES: [usize; 4] = [25, 50, 100, 200];
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two received pings. Each router is pinged about six times a second,
/// independently of the number of routers.
const TICKS_PER_PING: usize = 16;
const MEASURED_SECONDS: usize = 1;
const MIN_RUNS: usize = 5;
const SECOND: Duration = Duration::from_secs(1);

/// One router whose peers answer every ping.
struct Simulation {
    machine: Machine,
    members: usize,
    now: Instant,
    /// View digest that the router sent last. The peers send it back, as if they had the
    /// same view.
    view_digest: u32,
    ticks: usize,
    bytes: usize,
}

impl Simulation {
    fn new(members: usize) -> Self {
        let settings = Settings::builder(names::router(0), names::data_centre(), names::address(0))
            .incarnation(INCARNATION)
            .rumour_bytes_per_second(1 << 20);
        let mut simulation = Self {
            machine: Machine::new(settings.build()),
            members,
            now: Instant::from_millis(1_000),
            view_digest: 0,
            ticks: 0,
            bytes: 0,
        };
        simulation.learn_peers();
        simulation.run(members / 2);
        simulation.bytes = 0;
        simulation
    }

    /// Announces all peers to the router by rumours.
    fn learn_peers(&mut self) {
        let numbers: Vec<usize> = (1..=self.members).collect();
        for chunk in numbers.chunks(16) {
            let rumour = |number: &usize| Rumour {
                member: names::member(*number, INCARNATION),
                state: State::Alive,
            };
            let rumours = chunk.iter().map(rumour).collect();
            self.receive(1, Body::Inform, rumours);
        }
    }

    fn receive(&mut self, from: usize, body: Body, rumours: Vec<Rumour>) {
        let message = Message {
            body,
            view_digest: self.view_digest,
            news_digest: 0,
            rumours,
        };
        let from = names::address(from);
        self.step(Event::Received { from, message });
    }

    fn step(&mut self, event: Event) {
        for action in self.machine.step(self.now, event) {
            let Action::Send { to, message } = action else {
                continue;
            };
            self.view_digest = message.view_digest;
            if let Body::Ping { sequence, .. } = message.body {
                let body = Body::Ack {
                    sequence,
                    by: Tag::from(&names::router(names::number(to))),
                    incarnation: INCARNATION,
                    known: true,
                };
                self.receive(names::number(to), body, Vec::new());
            }
        }
    }

    fn run(&mut self, seconds: usize) {
        let ticks = seconds * (SECOND.as_millis() / TICK.as_millis()) as usize;
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.ticks += 1;
            if self.machine.next_wake() <= self.now {
                self.step(Event::Tick);
            }
            if self.ticks.is_multiple_of(TICKS_PER_PING) {
                let number = 1 + self.ticks / TICKS_PER_PING % self.members;
                let body = codec::ping_body(number, self.ticks as u64);
                self.receive(number, body, Vec::new());
            }
        }
    }
}

fn measure_one_router() -> Vec<Series> {
    let mut cpu_time = Series::new("membership.cpu", "us/s", "member");
    let mut memory_bytes = Series::new("membership.memory", "B", "member");
    for members in MEMBER_COUNTS {
        let (mut simulation, bytes) = memory::retained(|| Simulation::new(members));
        memory_bytes.push(members, bytes as f64);
        let time = cpu::median_time(MIN_RUNS, || (), |()| simulation.run(MEASURED_SECONDS));
        cpu_time.push(members, micros(time) / MEASURED_SECONDS as f64);
    }
    vec![cpu_time, memory_bytes]
}

fn measure_clusters() -> Vec<Series> {
    let mut idle_traffic = Series::flat("membership.traffic", "B/s in and out", "member");
    let mut restart_bytes = Series::flat("membership.restart", "B in and out per router", "member");
    let mut detection_time = Series::flat("membership.detect", "ms until all know", "member");
    let mut convergence_time = Series::new("membership.start", "ms until all agree", "member");
    let mut peak_bytes = Series::flat("membership.peak", "B in the worst second", "member");
    for members in CLUSTER_SIZES {
        let mut cluster = Cluster::new(members, 7);
        let elapsed = cluster.run_until(120 * SECOND, Cluster::has_converged);
        convergence_time.push(members, elapsed.as_millis() as f64);
        cluster.run(5 * SECOND);
        peak_bytes.push(members, cluster.peak_second_bytes() as f64);
        cluster.run(150 * SECOND);
        let idle_rate = cluster.bytes_during(10 * SECOND) as f64 / members as f64 / 10.0;
        idle_traffic.push(members, idle_rate);
        cluster.restart(members / 3);
        let bytes = cluster.bytes_during(20 * SECOND) as f64 / members as f64;
        restart_bytes.push(members, bytes - 20.0 * idle_rate);
        cluster.stop(members / 2);
        let elapsed = cluster.run_until(10 * SECOND, |cluster| cluster.is_dead_to_all(members / 2));
        detection_time.push(members, elapsed.as_millis() as f64);
    }
    vec![
        idle_traffic,
        restart_bytes,
        detection_time,
        convergence_time,
        peak_bytes,
    ]
}

pub(crate) fn measure() -> Vec<Series> {
    let mut series = measure_one_router();
    series.extend(measure_clusters());
    series
}
