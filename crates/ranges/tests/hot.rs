//! Runs of hot keys on hundreds of upstreams are spread quickly enough for their requests to be
//! served.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::{Action, Leader, Order, Outcome, Settings, Upstream};
use eelgrassrock_ranges::map::{Instance, Map};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const UPSTREAMS: u32 = 394;
const SLOTS: u32 = 2;
const WORK_MS: f64 = 550.0;
/// Time between two reports of the requested keys.
const REPORT_MS: u64 = 400;
const STEP_MS: u64 = 20;
const CALL_MS: u64 = 8;
const COMMIT_MS: u64 = 10;
const HOT_FROM_MS: u64 = 6_000;
const END_MS: u64 = 11_000;

enum Event {
    Granted(Order),
    Released(Order),
    Committed(Instant),
}

struct World {
    random: ChaCha8Rng,
    leader: Leader,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000 + ms)
}

impl World {
    fn new(seed: u64) -> Self {
        let settings = Settings {
            hold: Duration::from_secs(3),
            authority: Duration::from_secs(600),
            response_timeout: Duration::from_millis(1_200),
        };
        let mut leader = Leader::first(settings, 0, at(0), at(0));
        let upstreams = (0..UPSTREAMS).map(|n| Upstream {
            instance: Instance {
                upstream: format!("i-{:08x}", n.wrapping_mul(2_654_435_761)).into(),
                incarnation: 1,
            },
            slots: SLOTS,
            leaving: false,
        });
        leader.set_upstreams(upstreams.collect());
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            leader,
            now: 0,
            events: BTreeMap::new(),
            next: 0,
        }
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after_ms, self.next), event);
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let later = self.events.split_off(&(self.now + 1, 0));
        for (_, event) in std::mem::replace(&mut self.events, later) {
            let (done, now) = (Outcome::Done { handover: None }, at(self.now));
            match event {
                Event::Granted(order) => {
                    self.leader.granted(&order, &done, now);
                }
                Event::Released(order) => self.leader.released(&order, &done, now),
                Event::Committed(queried_at) => self.leader.committed(queried_at),
            }
        }
        for action in self.leader.poll(at(self.now)) {
            match action {
                Action::Grant { order, .. } => self.push(CALL_MS, Event::Granted(order)),
                Action::Release(order) => {
                    // Requests that run on the keys end first.
                    let running = self.random.random_range(0..WORK_MS as u64);
                    self.push(running, Event::Released(order));
                }
                Action::Commit(_) => self.push(COMMIT_MS, Event::Committed(at(self.now))),
            }
        }
    }
}

/// Requests per second, of which a share is for a run of hot keys.
struct Traffic {
    per_s: f64,
    hot_share: f64,
    hot_keys: u16,
}

impl Traffic {
    fn key(&self, random: &mut ChaCha8Rng, is_hot: bool) -> u16 {
        if is_hot && random.random_bool(self.hot_share) {
            30_000 + random.random_range(0..self.hot_keys)
        } else {
            random.random_range(0..=u16::MAX)
        }
    }
}

/// Share of the requests that their holders have the capacity to serve in `ms`.
fn servable(map: &Map, keys: &[u16], ms: u64) -> f64 {
    let mut demand: HashMap<&Arc<str>, f64> = HashMap::new();
    for key in keys {
        let range = map.range(*key);
        if let (Some(holder), true) = (&range.holder, range.sources.is_empty()) {
            *demand.entry(&holder.upstream).or_default() += 1.0;
        }
    }
    let room = f64::from(SLOTS) * ms as f64 / WORK_MS;
    let served: f64 = demand.values().map(|demand| demand.min(room + 1.0)).sum();
    served / keys.len().max(1) as f64
}

/// Simulates a run of hot keys, and returns the servable share in each half second of it.
fn play(traffic: &Traffic, seed: u64) -> Vec<f64> {
    let mut world = World::new(seed);
    let mut traffic_random = ChaCha8Rng::seed_from_u64(seed + 1);
    let (mut reported, mut recent) = (Vec::new(), Vec::new());
    let mut shares = Vec::new();
    while world.now < END_MS {
        let is_hot = world.now >= HOT_FROM_MS;
        let due = traffic.per_s * STEP_MS as f64 / 1e3;
        let count = due as u64 + u64::from(traffic_random.random_bool(due.fract()));
        for _ in 0..count {
            let key = traffic.key(&mut traffic_random, is_hot);
            reported.push(key);
            recent.push(key);
        }
        world.step();
        if world.now.is_multiple_of(REPORT_MS) {
            world.leader.record(reported.drain(..));
            for upstream in 0..UPSTREAMS {
                let name = format!("i-{:08x}", upstream.wrapping_mul(2_654_435_761)).into();
                let span = Duration::from_millis(WORK_MS as u64);
                world.leader.record_answers(&name, 1, span);
            }
        }
        if world.now.is_multiple_of(500) {
            if world.now > HOT_FROM_MS {
                shares.push(servable(world.leader.map(), &recent, 500));
            }
            recent.clear();
        }
    }
    shares
}

/// Two fifths of the requests go to a run of 60 or 200 neighbouring keys for 5 s.
#[rstest]
#[case::sixty(60)]
#[case::two_hundred(200)]
fn a_hot_run_is_spread_within_two_seconds(#[case] hot_keys: u16) {
    let traffic = Traffic {
        per_s: 517.0,
        hot_share: 0.4,
        hot_keys,
    };
    let shares = play(&traffic, 5);
    let after: f64 = shares[4..].iter().sum::<f64>() / (shares.len() - 4) as f64;
    assert!(after >= 0.9, "{shares:.2?}");
}
