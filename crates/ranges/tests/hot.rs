//! Runs of hot keys on hundreds of upstreams, and the keys of upstreams that have set a limit, are
//! spread quickly enough for their requests to be served.

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
    upstreams: u32,
    random: ChaCha8Rng,
    leader: Leader,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000 + ms)
}

fn name(upstream: u32) -> Arc<str> {
    format!("i-{:08x}", upstream.wrapping_mul(2_654_435_761)).into()
}

impl World {
    fn new(upstreams: u32, seed: u64) -> Self {
        let settings = Settings {
            hold: Duration::from_secs(3),
            authority: Duration::from_secs(600),
            response_timeout: Duration::from_millis(1_200),
        };
        let mut world = Self {
            upstreams,
            random: ChaCha8Rng::seed_from_u64(seed),
            leader: Leader::first(settings, 0, at(0), at(0)),
            now: 0,
            events: BTreeMap::new(),
            next: 0,
        };
        world.limit(0, 0.0);
        world
    }

    /// Lists the upstreams, of which the first `count` have set a limit.
    fn limit(&mut self, count: u32, limit_per_s: f64) {
        let upstreams = (0..self.upstreams).map(|n| Upstream {
            instance: Instance {
                upstream: name(n),
                incarnation: 1,
            },
            slots: SLOTS,
            leaving: false,
            limit_per_s: (n < count).then_some(limit_per_s),
            evacuated: false,
        });
        self.leader.set_upstreams(upstreams.collect());
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
                Action::Connect(instance) => self.leader.connected(&instance),
                Action::Grant(grant) => self.push(CALL_MS, Event::Granted(grant.order)),
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

/// Returns the requests for each holder.
fn demand<'a>(map: &'a Map, keys: &[u16]) -> HashMap<&'a Arc<str>, f64> {
    let mut demand: HashMap<&Arc<str>, f64> = HashMap::new();
    for key in keys {
        let range = map.range(*key);
        if let (Some(holder), true) = (&range.holder, range.sources.is_empty()) {
            *demand.entry(&holder.upstream).or_default() += 1.0;
        }
    }
    demand
}

/// Share of the requests that their holders have the capacity to serve in `ms`.
fn servable(map: &Map, keys: &[u16], ms: u64) -> f64 {
    let demand = demand(map, keys);
    let room = f64::from(SLOTS) * ms as f64 / WORK_MS;
    let served: f64 = demand.values().map(|demand| demand.min(room + 1.0)).sum();
    served / keys.len().max(1) as f64
}

/// Plays traffic, and calls `observe` with the requests of each half second.
fn play(
    world: &mut World,
    traffic: &Traffic,
    seed: u64,
    mut observe: impl FnMut(&mut World, &[u16]),
) {
    let mut traffic_random = ChaCha8Rng::seed_from_u64(seed + 1);
    let (mut reported, mut recent) = (Vec::new(), Vec::new());
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
            for upstream in 0..world.upstreams {
                let span = Duration::from_millis(WORK_MS as u64);
                world.leader.record_answers(&name(upstream), 1, span);
            }
        }
        if world.now.is_multiple_of(500) {
            observe(world, &recent);
            recent.clear();
        }
    }
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
    let mut shares = Vec::new();
    let mut world = World::new(UPSTREAMS, 5);
    play(&mut world, &traffic, 5, |world, requests| {
        if world.now > HOT_FROM_MS {
            shares.push(servable(world.leader.map(), requests, 500));
        }
    });
    let after: f64 = shares[4..].iter().sum::<f64>() / (shares.len() - 4) as f64;
    assert!(after >= 0.9, "{shares:.2?}");
}

/// Their keys take a while to move.
#[test]
fn routers_are_told_at_once_which_share_an_upstream_with_a_limit_takes() {
    let traffic = Traffic {
        per_s: 25.0,
        hot_share: 0.0,
        hot_keys: 1,
    };
    let mut world = World::new(14, 7);
    let mut shares = Vec::new();
    play(&mut world, &traffic, 7, |world, _| {
        if world.now == 6_000 {
            world.limit(2, 0.1);
            // The next plan.
            world.leader.poll(at(6_300));
            shares = world.leader.admitted_shares().to_vec();
        }
    });
    for limited in [name(0), name(1)] {
        let mut told = shares.iter().filter(|(upstream, _)| *upstream == limited);
        assert!(
            told.any(|(_, share)| *share <= 0.5),
            "{limited}: {shares:?}"
        );
    }
}

/// Some upstreams set a limit of a quarter of what they get.
#[rstest]
#[case::fourteen(14, 2, 25.0)]
#[case::hundreds(UPSTREAMS, 30, 517.0)]
fn the_keys_of_upstreams_with_a_limit_move_to_others(
    #[case] upstreams: u32,
    #[case] limited: u32,
    #[case] per_s: f64,
) {
    let traffic = Traffic {
        per_s,
        hot_share: 0.0,
        hot_keys: 1,
    };
    let limit_per_s = 0.25 * per_s / f64::from(upstreams);
    let names: Vec<Arc<str>> = (0..limited).map(name).collect();
    let (mut before, mut after) = (0.0, 0.0);
    let mut world = World::new(upstreams, 7);
    play(&mut world, &traffic, 7, |world, requests| {
        let demand = demand(world.leader.map(), requests);
        let of_limited: f64 = names.iter().filter_map(|name| demand.get(name)).sum();
        match world.now {
            3_000..6_000 => before += of_limited / 3.0,
            6_000 => world.limit(limited, limit_per_s),
            8_000.. => after += of_limited / 3.0,
            _ => {}
        }
    });
    let limit = limit_per_s * f64::from(limited);
    assert!(
        before > 2.0 * limit,
        "{before}/s before the limit of {limit}/s"
    );
    assert!(after <= limit, "{after}/s with a limit of {limit}/s");
}
